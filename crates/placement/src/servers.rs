//! The known backend servers, from the platform's list and from their own answers.

use core::net::SocketAddr;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use domain::Moment;
use domain::digest;
use routing::Pause;
use routing::health::Health;

use crate::Rates;

/// The grace period after an outage of the list, in which a server that lapsed during the outage
/// may reappear: the period that the platform documents and its report lag.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);
/// The time without a read of the list that counts as an outage, in which servers may have lapsed.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2_500);
/// The weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// The time for which the last report of a removed server is kept.
const REMOVED_TTL: Duration = Duration::from_secs(30);
/// The time for which it is kept of a server that was leaving, which may serve for minutes more.
const REMOVED_LEAVING_TTL: Duration = Duration::from_secs(600);
/// The time for which a server gets no work after another entry reported that it leaves, or after
/// another server answered at its address, if the list does not change.
const EXCLUSION_TIME: Duration = Duration::from_secs(10);

/// A backend server as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The platform's identifier of the server.
    pub id: String,
    /// When the process started, in milliseconds since the Unix epoch. Distinguishes restarts.
    pub started_ms: u64,
    /// The service that it belongs to.
    pub service: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// The sequence number of its report, which grows until the process restarts.
    pub sequence: u64,
    /// The number of requests that it runs concurrently.
    pub slots: usize,
    /// Whether it is leaving and takes no new work.
    pub is_leaving: bool,
}

impl Server {
    /// Returns the name of this process of the server in gossip between entries.
    pub fn incarnation(&self) -> String {
        format!("{}@{}", self.id, self.started_ms)
    }

    /// Returns the key of this process of the server in the workload.
    pub fn key(&self) -> u64 {
        digest::seeded(self.id.as_bytes(), self.started_ms)
    }
}

/// The known backend servers.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    states: BTreeMap<String, State>,
    /// Servers that were removed from the list, so that an older report doesn't add them again.
    removed: BTreeMap<String, Removed>,
    last_read: Option<Moment>,
    outage_end: Option<Moment>,
}

/// The last report of a server that was removed from the list.
#[derive(Clone, Copy, Debug)]
struct Removed {
    started_ms: u64,
    sequence: u64,
    at: Moment,
    pause: Pause,
    is_leaving: bool,
}

impl Removed {
    fn is_expired(&self, now: Moment) -> bool {
        let ttl = if self.is_leaving {
            REMOVED_LEAVING_TTL
        } else {
            REMOVED_TTL
        };
        now.since(self.at) >= ttl
    }
}

/// A server and its state as observed by this entry.
#[derive(Clone, Debug)]
pub struct State {
    /// The server as the platform lists it.
    pub server: Rc<Server>,
    /// Its key, stored since each event of each stream looks the server up by it.
    key: u64,
    /// The circuit breaker.
    pub health: Health,
    /// The moving average of its latency, and when the last answer came. Plain services only.
    latency: Option<(Duration, Moment)>,
    /// When it last sent data to this entry.
    last_activity: Option<Moment>,
    /// Whether it went off the list around an outage, and is kept for the grace period.
    is_lapsed: bool,
    /// When it was last excluded from new work.
    excluded_at: Option<Moment>,
    /// The pause that it asked this entry for.
    pub pause: Pause,
}

impl Servers {
    /// Replaces all servers by a full list.
    pub fn replace(&mut self, now: Moment, listed: Vec<Server>) {
        self.record_read(now);
        let missing: Vec<String> = self
            .states
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

    /// Records that the list was read, whether or not it had changed.
    pub fn record_read(&mut self, now: Moment) {
        let was_outage = self
            .last_read
            .is_some_and(|it| now.since(it) > OUTAGE_THRESHOLD);
        if was_outage {
            self.outage_end = Some(now);
        }
        self.last_read = Some(now);
        if !self.is_grace_period(now) {
            self.states.retain(|_, it| !it.is_lapsed);
        }
    }

    /// Records that the list came back from an older copy. Servers that it lost are kept for the grace
    /// period, in which they are written again.
    pub fn record_return(&mut self, now: Moment) {
        self.outage_end = Some(now);
    }

    /// Adds or updates one server of the list. Returns whether anything changed.
    pub fn add(&mut self, now: Moment, server: Server) -> bool {
        let report = (server.started_ms, server.sequence);
        let removed = self.removed.get(&server.id);
        let is_outdated =
            |it: &Removed| !it.is_expired(now) && report <= (it.started_ms, it.sequence);
        if removed.is_some_and(is_outdated) {
            return false;
        }
        let Some(state) = self.states.get_mut(&server.id) else {
            let same_process = removed.filter(|it| it.started_ms == server.started_ms);
            let is_leaving = server.is_leaving || same_process.is_some_and(|it| it.is_leaving);
            let state = State {
                pause: same_process.map(|it| it.pause).unwrap_or_default(),
                ..State::new(Server {
                    is_leaving,
                    ..server
                })
            };
            self.states.insert(state.server.id.clone(), state);
            return true;
        };
        let previous = (state.server.started_ms, state.server.sequence);
        if report < previous {
            return false;
        }
        if previous.0 != server.started_ms || state.server.address != server.address {
            *state = State::new(server);
            return true;
        }
        // A server that is leaving never becomes available again.
        let is_leaving = state.server.is_leaving || server.is_leaving;
        let is_changed = state.is_lapsed
            || state.server.is_leaving != is_leaving
            || state.server.service != server.service;
        state.is_lapsed = false;
        state.server = Rc::new(Server {
            is_leaving,
            ..server
        });
        is_changed
    }

    /// Removes a server that is no longer on the list. Returns whether it was listed before.
    pub fn remove(&mut self, now: Moment, id: &str) -> bool {
        let is_grace_period = self.is_grace_period(now);
        let Some(state) = self.states.get_mut(id) else {
            return false;
        };
        if is_grace_period {
            return !std::mem::replace(&mut state.is_lapsed, true);
        }
        let removed = Removed {
            started_ms: state.server.started_ms,
            sequence: state.server.sequence,
            at: now,
            pause: state.pause,
            is_leaving: state.server.is_leaving,
        };
        self.states.remove(id);
        self.removed.retain(|_, it| !it.is_expired(now));
        self.removed.insert(id.to_owned(), removed);
        true
    }

    /// Marks a server that announced in an answer that it leaves. Returns whether it was not marked
    /// before.
    pub fn mark_leaving(&mut self, key: u64) -> bool {
        let Some(state) = self.get_mut(key) else {
            return false;
        };
        let is_changed = !state.server.is_leaving;
        Rc::make_mut(&mut state.server).is_leaving = true;
        is_changed
    }

    /// Excludes a server that another entry reports as leaving, or at whose address another one
    /// answers. Returns whether it was not excluded before.
    pub fn exclude(&mut self, now: Moment, key: u64) -> bool {
        let Some(state) = self.get_mut(key) else {
            return false;
        };
        let is_changed = state.excluded_at.is_none();
        state.excluded_at = Some(now);
        is_changed
    }

    /// Closes all circuit breakers. Failures while no server was reached say nothing about a server.
    pub fn close_breakers(&mut self) {
        for state in self.states.values_mut() {
            state.health.on_success();
        }
    }

    /// Returns a server by its key.
    pub fn get_mut(&mut self, key: u64) -> Option<&mut State> {
        self.states.values_mut().find(|it| it.key == key)
    }

    /// Returns the servers of a service that take new work.
    pub fn usable<'a>(&'a self, now: Moment, service: &'a str) -> impl Iterator<Item = &'a State> {
        let servers = self.states.values();
        servers.filter(move |it| it.server.service == service && it.is_usable(now))
    }

    /// Returns the time until the first server of a service has ended its pause and takes another request
    /// by its limit. Returns `None` if any server takes work now, or if none will.
    pub fn pause_of_all(&self, now: Moment, service: &str, rates: &Rates) -> Option<Duration> {
        let servers = self.states.values();
        let staying = servers.filter(|it| it.server.service == service && it.is_staying(now));
        let left = staying.map(|it| it.pause.left(now).max(rates.left(now, it.key)));
        let first = left.min();
        first.filter(|it| !it.is_zero())
    }

    /// Returns all servers.
    pub fn all(&self) -> impl Iterator<Item = &State> {
        self.states.values()
    }

    fn is_grace_period(&self, now: Moment) -> bool {
        let is_outage = self
            .last_read
            .is_some_and(|it| now.since(it) > OUTAGE_THRESHOLD);
        is_outage
            || self
                .outage_end
                .is_some_and(|it| now.since(it) < LAPSE_GRACE)
    }
}

impl State {
    fn new(server: Server) -> Self {
        Self {
            key: server.key(),
            server: Rc::new(server),
            health: Health::default(),
            latency: None,
            last_activity: None,
            is_lapsed: false,
            excluded_at: None,
            pause: Pause::default(),
        }
    }

    /// Returns the key of this process of the server in the workload.
    pub fn key(&self) -> u64 {
        self.key
    }

    /// Records that the server sent data.
    pub fn record_activity(&mut self, now: Moment) {
        self.last_activity = Some(now);
    }

    /// Returns when the server last sent data to this entry.
    pub fn last_activity(&self) -> Option<Moment> {
        self.last_activity
    }

    /// Records the latency of an answer of a plain service.
    pub fn record_latency(&mut self, now: Moment, latency: Duration) {
        let previous = self.latency.map_or(latency, |it| it.0);
        let smoothed = previous.mul_f64(1.0 - LATENCY_WEIGHT) + latency.mul_f64(LATENCY_WEIGHT);
        self.latency = Some((smoothed, now));
    }

    /// Returns the average latency, if an answer came within `lifetime`.
    pub fn recent_latency(&self, now: Moment, lifetime: Duration) -> Option<Duration> {
        let (latency, at) = self.latency?;
        (now.since(at) < lifetime).then_some(latency)
    }

    /// Returns whether the server takes new work.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.is_staying(now) && self.pause.is_over(now)
    }

    /// Returns whether the server takes new work now or after a pause.
    fn is_staying(&self, now: Moment) -> bool {
        let is_excluded = self
            .excluded_at
            .is_some_and(|it| now.since(it) < EXCLUSION_TIME);
        !self.server.is_leaving && !is_excluded
    }
}
