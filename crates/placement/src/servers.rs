//! The backend servers that are known, from the platform's list and from what they say themselves.

use core::net::SocketAddr;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use domain::Moment;
use domain::digest;
use routing::health::Health;

/// The time after the list's return in which a server that lapsed during its outage may come back;
/// from the platform's pages, with its report lag added.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);
/// A silence of the list that counts as an outage: servers may have lapsed meanwhile.
const OUTAGE: Duration = Duration::from_millis(2_500);
/// The weight of the newest latency in the smoothed one.
const LATENCY_WEIGHT: f64 = 0.2;
/// The time for which the last report of a server that went is kept.
const GONE_KEPT: Duration = Duration::from_secs(30);
/// The time for which a server that said itself that it leaves, or turned out to be another one, is
/// left alone if the list does not change.
const DISOWNED_FOR: Duration = Duration::from_secs(10);

/// A backend server as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The platform's name for this server.
    pub id: String,
    /// When the process started, in milliseconds since the Unix epoch; tells two lives apart.
    pub started_ms: u64,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// The number of its report; it grows within one life.
    pub sequence: u64,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Whether it takes no new work.
    pub is_leaving: bool,
}

impl Server {
    /// Returns what names this life of the server in news.
    pub fn incarnation(&self) -> String {
        format!("{}@{}", self.id, self.started_ms)
    }

    /// Returns what names this life of the server on the workload.
    pub fn key(&self) -> u64 {
        digest::seeded(self.id.as_bytes(), self.started_ms)
    }
}

/// The backend servers that are known.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    known: BTreeMap<String, State>,
    /// Servers that went off the list, so that an older report does not bring them back.
    gone: BTreeMap<String, Gone>,
    heard: Option<Moment>,
    returned: Option<Moment>,
}

/// The last report of a server that went off the list.
#[derive(Clone, Copy, Debug)]
struct Gone {
    started_ms: u64,
    sequence: u64,
    at: Moment,
}

/// A server and what was found out about it.
#[derive(Clone, Debug)]
pub struct State {
    /// As the platform lists it.
    pub server: Rc<Server>,
    /// Its key, which each event of each stream is looked up by.
    key: u64,
    /// The circuit breaker.
    pub health: Health,
    /// How long its plain answers take, smoothed, and when the last one came.
    latency: Option<(Duration, Moment)>,
    /// When it last sent anything to this entry.
    sign: Option<Moment>,
    lapsed: bool,
    excluded: Option<Moment>,
}

impl Servers {
    /// Takes the whole list.
    pub fn replace(&mut self, now: Moment, listed: Vec<Server>) {
        self.record_read(now);
        let missing: Vec<String> = self
            .known
            .keys()
            .filter(|id| !listed.iter().any(|it| it.id == **id))
            .cloned()
            .collect();
        for server in listed {
            self.add(now, server);
        }
        for id in missing {
            self.remove(now, &id);
        }
    }

    /// Notes that the list was read, whether or not it had changed.
    pub fn record_read(&mut self, now: Moment) {
        let was_out = self.heard.is_some_and(|it| now.since(it) > OUTAGE);
        if was_out {
            self.returned = Some(now);
        }
        self.heard = Some(now);
        if !self.may_come_back(now) {
            self.known.retain(|_, it| !it.lapsed);
        }
    }

    /// Takes one entry of the list. Returns whether it says anything new.
    pub fn add(&mut self, now: Moment, server: Server) -> bool {
        let newest = (server.started_ms, server.sequence);
        let gone = self.gone.get(&server.id);
        let is_overtaken =
            |it: &Gone| now.since(it.at) < GONE_KEPT && newest <= (it.started_ms, it.sequence);
        if gone.is_some_and(is_overtaken) {
            return false;
        }
        let Some(known) = self.known.get_mut(&server.id) else {
            self.known.insert(server.id.clone(), State::new(server));
            return true;
        };
        let before = (known.server.started_ms, known.server.sequence);
        if newest < before {
            return false;
        }
        if before.0 != server.started_ms || known.server.address != server.address {
            *known = State::new(server);
            return true;
        }
        // A server that leaves stays one that leaves.
        let is_leaving = known.server.is_leaving || server.is_leaving;
        let is_news = known.lapsed
            || known.server.is_leaving != is_leaving
            || known.server.service != server.service;
        known.lapsed = false;
        known.server = Rc::new(Server {
            is_leaving,
            ..server
        });
        is_news
    }

    /// Takes the removal of an entry from the list. Returns whether it was there before.
    pub fn remove(&mut self, now: Moment, id: &str) -> bool {
        let may_come_back = self.may_come_back(now);
        let Some(known) = self.known.get_mut(id) else {
            return false;
        };
        if may_come_back {
            return !std::mem::replace(&mut known.lapsed, true);
        }
        let gone = Gone {
            started_ms: known.server.started_ms,
            sequence: known.server.sequence,
            at: now,
        };
        self.known.remove(id);
        self.gone.retain(|_, it| now.since(it.at) < GONE_KEPT);
        self.gone.insert(id.to_owned(), gone);
        true
    }

    /// Notes that a server said itself that it takes no new work, or that another one answers at
    /// its address. Returns whether this was news.
    pub fn exclude(&mut self, now: Moment, key: u64) -> bool {
        let Some(known) = self.get_mut(key) else {
            return false;
        };
        let is_news = known.excluded.is_none();
        known.excluded = Some(now);
        is_news
    }

    /// Returns a server by its key.
    pub fn get_mut(&mut self, key: u64) -> Option<&mut State> {
        self.known.values_mut().find(|it| it.key == key)
    }

    /// Returns the servers of a service that take new work.
    pub fn usable<'a>(&'a self, now: Moment, service: &'a str) -> impl Iterator<Item = &'a State> {
        self.known.values().filter(move |it| {
            it.server.service == service && !it.server.is_leaving && !it.is_excluded(now)
        })
    }

    /// Returns all servers.
    pub fn all(&self) -> impl Iterator<Item = &State> {
        self.known.values()
    }

    fn may_come_back(&self, now: Moment) -> bool {
        let is_out = self.heard.is_some_and(|it| now.since(it) > OUTAGE);
        is_out || self.returned.is_some_and(|it| now.since(it) < LAPSE_GRACE)
    }
}

impl State {
    fn new(server: Server) -> Self {
        Self {
            key: server.key(),
            server: Rc::new(server),
            health: Health::default(),
            latency: None,
            sign: None,
            lapsed: false,
            excluded: None,
        }
    }

    /// Returns what names this life of the server on the workload.
    pub fn key(&self) -> u64 {
        self.key
    }

    /// Notes that the server sent something.
    pub fn note_activity(&mut self, now: Moment) {
        self.sign = Some(now);
    }

    /// Returns when the server last sent anything to this entry.
    pub fn last_activity(&self) -> Option<Moment> {
        self.sign
    }

    /// Notes how long a plain answer took.
    pub fn note_latency(&mut self, now: Moment, latency: Duration) {
        let before = self.latency.map_or(latency, |it| it.0);
        let smoothed = before.mul_f64(1.0 - LATENCY_WEIGHT) + latency.mul_f64(LATENCY_WEIGHT);
        self.latency = Some((smoothed, now));
    }

    /// Returns how long plain answers take, if one came within `kept`.
    pub fn recent_latency(&self, now: Moment, kept: Duration) -> Option<Duration> {
        let (latency, at) = self.latency?;
        (now.since(at) < kept).then_some(latency)
    }

    fn is_excluded(&self, now: Moment) -> bool {
        self.excluded.is_some_and(|it| now.since(it) < DISOWNED_FOR)
    }
}
