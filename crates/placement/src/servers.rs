//! The known backend servers, from the platform's list and from their own answers.

use core::net::SocketAddr;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use domain::Homes;
use domain::Moment;
use domain::Regions;
use domain::digest;
use route::ColdStart;
use routing::Pause;

use crate::Workload;
use crate::cold::Period;
use crate::cold::Source;

mod scope;
mod state;

pub use self::scope::Scope;
pub use self::state::State;

/// The grace period after an outage of the list, in which a server that lapsed during the outage
/// may reappear: the period that the platform documents and its report lag.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);
/// The time without a read of the list that counts as an outage, in which servers may have lapsed.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(2_500);
/// The time for which the last report of a removed server is kept.
const REMOVED_TTL: Duration = Duration::from_secs(30);
/// The time for which it is kept of a server that was leaving, which may serve for minutes more.
const REMOVED_LEAVING_TTL: Duration = Duration::from_secs(600);

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
    /// The time for which it remains cold, counted from when the report arrives; `None` if it does not
    /// say.
    pub cold_left: Option<Duration>,
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

    /// Returns whether two reports say the same, apart from their numbers and the remaining cold period.
    pub fn is_same_statement(&self, other: &Self) -> bool {
        let renumbered = Self {
            sequence: other.sequence,
            cold_left: other.cold_left,
            ..self.clone()
        };
        renumbered == *other
    }
}

/// The known backend servers.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    states: BTreeMap<String, State>,
    /// Servers that were removed from the list, so that an older report doesn't add them again.
    removed: BTreeMap<String, Removed>,
    /// The evacuated data centres, whose servers get no new work.
    evacuated: BTreeSet<String>,
    /// The regions of the data centres, by the settings.
    regions: Rc<Regions>,
    last_read: Option<Moment>,
    outage_end: Option<Moment>,
    /// Whether a whole list was read, so that servers which are new have just started.
    is_loaded: bool,
    /// The cold starts of the services that have one.
    cold_starts: BTreeMap<String, ColdStart>,
}

/// The last report of a server that was removed from the list.
#[derive(Clone, Copy, Debug)]
struct Removed {
    started_ms: u64,
    sequence: u64,
    at: Moment,
    pause: Pause,
    is_leaving: bool,
    cold: Period,
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
        self.is_loaded = true;
    }

    /// Sets the cold starts of services, by the configuration in force.
    pub fn set_cold_starts(&mut self, cold_starts: BTreeMap<String, ColdStart>) {
        for state in self.states.values_mut() {
            state.cold_start = cold_starts.get(&state.server.service).copied();
        }
        self.cold_starts = cold_starts;
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

    /// Adds or updates one server of the list. Returns false if a later report of it is known already.
    pub fn add(&mut self, now: Moment, server: Server) -> bool {
        let report = (server.started_ms, server.sequence);
        let cold_start = self.cold_starts.get(&server.service).copied();
        let is_loaded = self.is_loaded;
        let removed = self.removed.get(&server.id);
        let is_outdated =
            |it: &Removed| !it.is_expired(now) && report <= (it.started_ms, it.sequence);
        if removed.is_some_and(is_outdated) {
            return false;
        }
        let Some(state) = self.states.get_mut(&server.id) else {
            let same_process = removed.filter(|it| it.started_ms == server.started_ms);
            let is_leaving = server.is_leaving || same_process.is_some_and(|it| it.is_leaving);
            let pause = same_process.map(|it| it.pause).unwrap_or_default();
            let known_period = same_process.map(|it| it.cold);
            let server = Server {
                is_leaving,
                ..server
            };
            let mut state = State::new(server, cold_start);
            state.pause = pause;
            match known_period {
                Some(period) => state.cold = period,
                None => state.begin_cold_start(now, is_loaded),
            }
            state.record_cold(now);
            self.states.insert(state.server.id.clone(), state);
            return true;
        };
        let previous = (state.server.started_ms, state.server.sequence);
        if report < previous {
            return false;
        }
        if previous.0 != server.started_ms || state.server.address != server.address {
            *state = State::new(server, cold_start);
            state.begin_cold_start(now, is_loaded);
            state.record_cold(now);
            return true;
        }
        // A server that is leaving never becomes available again.
        let is_leaving = state.server.is_leaving || server.is_leaving;
        state.is_lapsed = false;
        state.server = Rc::new(Server {
            is_leaving,
            ..server
        });
        state.cold_start = cold_start;
        if report > previous {
            state.record_cold(now);
        }
        true
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
            cold: state.cold,
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

    /// Marks the servers of a data centre as cold for `duration`, or for the cold start of their service
    /// if it is `None`, until they state something else. Called when its evacuation ends. Returns the
    /// number of servers that are cold for it.
    pub fn mark_cold(
        &mut self,
        now: Moment,
        data_centre: &str,
        duration: Option<Duration>,
    ) -> usize {
        let states = self.states.values_mut();
        let inside = states.filter(|it| it.server.data_centre == data_centre);
        let cold = inside.filter_map(|it| Some((it.cold_start?, it)));
        cold.map(|(cold_start, state)| {
            let duration = duration.unwrap_or(cold_start.duration);
            state.cold.extend(now, duration, Source::Evacuation);
        })
        .count()
    }

    /// Returns whether a later process is listed under the id of a server.
    pub fn is_replaced(&self, server: &Server) -> bool {
        let listed = self.states.get(&server.id);
        listed.is_some_and(|it| it.key != server.key())
    }

    /// Returns the keys of the servers that are listed or were removed lately.
    pub fn known_keys(&self, now: Moment) -> HashSet<u64> {
        let removed = self.removed.iter().filter(|it| !it.1.is_expired(now));
        let removed = removed.map(|(id, it)| digest::seeded(id.as_bytes(), it.started_ms));
        self.states
            .values()
            .map(State::key)
            .chain(removed)
            .collect()
    }

    /// Returns a server by its key.
    pub fn get(&self, key: u64) -> Option<&State> {
        self.states.values().find(|it| it.key == key)
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
    pub fn usable<'a>(
        &'a self,
        now: Moment,
        scope: impl Into<Scope<'a>>,
    ) -> impl Iterator<Item = &'a State> {
        let servers = self.in_scope(scope.into());
        servers.filter(move |it| it.is_usable(now))
    }

    /// Returns the time until the first server of a service has ended its pause and takes another request
    /// by its limit, and by its bound if it is cold. Returns `None` if any server takes work now, or if
    /// none will.
    pub fn pause_of_all<'a>(
        &'a self,
        now: Moment,
        scope: impl Into<Scope<'a>>,
        workload: &Workload,
    ) -> Option<Duration> {
        let servers = self.in_scope(scope.into());
        let staying = servers.filter(|it| it.is_staying(now));
        let left = staying.map(|it| it.pause.left(now).max(it.hold(now, workload)));
        let first = left.min();
        first.filter(|it| !it.is_zero())
    }

    /// Returns the servers of a service in the home regions of a request and outside evacuated data centres.
    fn in_scope<'a>(&'a self, scope: Scope<'a>) -> impl Iterator<Item = &'a State> {
        let servers = self.states.values();
        servers.filter(move |it| {
            it.server.service == scope.service
                && !self.is_evacuated(&it.server.data_centre)
                && self.is_home(&it.server, &scope.homes)
        })
    }

    /// Sets the regions of the data centres.
    pub fn set_regions(&mut self, regions: Rc<Regions>) {
        self.regions = regions;
    }

    /// Returns whether a server is in the home regions of a request.
    pub fn is_home(&self, server: &Server, homes: &Homes) -> bool {
        homes.permit(&self.regions, &server.data_centre)
    }

    /// Sets the evacuated data centres, whose servers get no new work.
    pub fn set_evacuated(&mut self, data_centres: BTreeSet<String>) {
        self.evacuated = data_centres;
    }

    /// Returns whether the servers of a data centre get no new work because it is evacuated.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Returns all servers.
    pub fn all(&self) -> impl Iterator<Item = &State> {
        self.states.values()
    }

    /// Returns all servers, to change their state.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut State> {
        self.states.values_mut()
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
