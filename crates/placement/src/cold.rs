//! Which backend servers are cold, and how many requests a cold server may still get.
//!
//! A server that has just started takes only a few requests a second. Each entry counts the requests
//! that all entries place on a server, as with [`Rates`](crate::Rates), and uses the share of the
//! server's bound that the live entries have among those expected. So the sides of a partitioned
//! network stay within the bound together.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;

/// The time for which a request counts: the second in which requests are counted, and the usual time
/// between a placement and the arrival at the server, so that requests which were sent late don't
/// arrive together with later ones.
const WINDOW: Duration = Duration::from_millis(1_050);
/// The longest period. A malformed value must not limit a server for good.
const LONGEST: Duration = Duration::from_secs(3_600);
/// A record that arrives within this time after a response may be older than the response, since the
/// list is read every 650 ms and passed on by other entries.
const RECORD_DELAY: Duration = Duration::from_secs(1);
/// The time between two ticks, of which ten are due each second, from which on the process was stopped.
const STOPPED_TIME: Duration = Duration::from_millis(500);
/// Requests that were placed within this time of each other may have been placed without knowledge of each
/// other.
const CONCURRENCE: Duration = Duration::from_millis(100);
/// The requests for each request of the rate that all entries may send together, if those that this entry
/// does not reach are each alone and send one. It leaves room below the platform's bound, 1.5 times the rate
/// and 5, for requests that are placed at the same moment.
const EXCESS: f64 = 1.5;
/// The requests that are remembered for each server; more than any cold server takes in a second.
const MAX_REQUESTS: usize = 1_024;
/// The servers for which requests are remembered; more than any deployment has.
const MAX_SERVERS: usize = 4_096;

/// An attempt at a request: the entry that placed it, and its number there.
pub type Attempt = (Incarnation, u64);

/// From where it is known that a server is cold, or not cold any more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Source {
    /// The server's record in the list.
    #[default]
    Record,
    /// A response of the server.
    Response,
    /// The server was listed for the first time, and its record says nothing.
    FirstListed,
    /// The evacuation of its data centre has ended.
    Evacuation,
    /// The period that was known last has run out.
    Elapsed,
}

impl Source {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Response => "response",
            Self::FirstListed => "first_listed",
            Self::Evacuation => "evacuation",
            Self::Elapsed => "elapsed",
        }
    }
}

/// The period in which a server is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Period {
    until: Option<Moment>,
    source: Source,
    /// When a response last stated the period.
    responded_at: Option<Moment>,
    /// Whether the server counted as cold when that was last observed.
    was_cold: bool,
}

impl Period {
    /// Records the remaining time by a record of the list that has just arrived.
    pub fn record_listed(&mut self, now: Moment, left: Duration) {
        let until = end(now, left);
        let is_outdated = self
            .responded_at
            .is_some_and(|it| now.since(it) < RECORD_DELAY);
        if !is_outdated || until > self.until {
            self.set(until, Source::Record);
        }
    }

    /// Records the remaining time by a response of the server.
    pub fn record_response(&mut self, now: Moment, left: Duration) {
        self.responded_at = Some(now);
        self.set(end(now, left), Source::Response);
    }

    /// Extends the period to `duration` from now, until the server states something else.
    pub fn extend(&mut self, now: Moment, duration: Duration, source: Source) {
        let until = end(now, duration);
        if until > self.until.filter(|it| *it > now) {
            self.set(until, source);
        }
    }

    /// Returns the time left, or zero if the server is not cold.
    pub fn left(&self, now: Moment) -> Duration {
        self.until.map_or(Duration::ZERO, |it| now.until(it))
    }

    /// Returns whether the server is cold, and from where that is known, if this has changed since the
    /// last call.
    pub fn observe(&mut self, now: Moment) -> Option<(bool, Source)> {
        let is_cold = !self.left(now).is_zero();
        let was_cold = std::mem::replace(&mut self.was_cold, is_cold);
        let has_elapsed = !is_cold && self.until.is_some();
        let source = if has_elapsed {
            Source::Elapsed
        } else {
            self.source
        };
        (was_cold != is_cold).then_some((is_cold, source))
    }

    fn set(&mut self, until: Option<Moment>, source: Source) {
        self.until = until;
        self.source = source;
    }
}

/// Returns when a period ends of which this time is left; `None` if it has ended.
pub(crate) fn end(now: Moment, left: Duration) -> Option<Moment> {
    (!left.is_zero()).then(|| now + left.min(LONGEST))
}

/// The requests that all entries have lately placed on each server. Nothing is kept while no service
/// has a cold start.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// Since when requests are counted; `None` while no service has a cold start.
    counted_since: Option<Moment>,
    /// When this process was last known to run.
    last_tick: Moment,
    /// The entries that this one reaches.
    reached: Reached,
    /// Those that it reached before, and until when, for as long as requests of that time count.
    formerly_reached: VecDeque<(Moment, Reached)>,
    /// This entry, whose requests have a bound of their own; `None` if only the shared bound applies.
    own: Option<Incarnation>,
    servers: HashMap<u64, VecDeque<Request>>,
}

/// The number of live entries among those expected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Reached {
    live: usize,
    expected: usize,
}

impl Reached {
    /// Returns the requests that a cold server which can take `per_s` requests a second may get in a second
    /// from these entries, without bounds.
    fn bound(self, per_s: f64) -> f64 {
        let share = self.live as f64 / self.expected.max(self.live).max(1) as f64;
        let missing = self.expected.saturating_sub(self.live);
        (per_s * share).min(per_s * EXCESS - missing as f64)
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    attempt: Attempt,
    placed_at: Moment,
}

impl Request {
    fn is_recent(&self, now: Moment) -> bool {
        now.since(self.placed_at) < WINDOW
    }
}

impl Window {
    /// Begins to count requests, unless that has begun before.
    pub fn enable(&mut self, now: Moment) {
        self.counted_since.get_or_insert(now);
        self.last_tick = now;
    }

    /// Records that this process runs, and whether it hears of the requests that others place. If it was
    /// stopped or does not hear of them, it counts from now on. Must be called several times a second.
    pub fn tick(&mut self, now: Moment, is_listening: bool) {
        let was_stopped = now.since(self.last_tick) > STOPPED_TIME;
        self.last_tick = now;
        if was_stopped || !is_listening {
            self.counted_since = self.counted_since.map(|_| now);
        }
    }

    /// Stops counting requests, since no service has a cold start.
    pub fn disable(&mut self) {
        *self = Self::default();
    }

    /// Returns whether requests are counted.
    pub fn is_enabled(&self) -> bool {
        self.counted_since.is_some()
    }

    /// Sets the number of live entries among those expected. A larger share counts once this entry has heard
    /// for a second what the others place.
    pub fn set_share(&mut self, live: usize, expected: usize) {
        let reached = Reached { live, expected };
        if reached == self.reached {
            return;
        }
        let now = self.last_tick;
        let former = &mut self.formerly_reached;
        former.retain(|it| now.since(it.0) < WINDOW);
        if self.reached != Reached::default() {
            former.push_back((now, self.reached));
        }
        self.reached = reached;
    }

    /// Bounds the requests of this entry by themselves, in addition to those of all that it reaches.
    pub fn set_own(&mut self, own: Incarnation) {
        self.own = Some(own);
    }

    /// Records that this entry or another one placed a request on a server.
    pub fn record_placed(&mut self, now: Moment, server: u64, attempt: Attempt) {
        if !self.is_enabled() {
            return;
        }
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(&server) {
            return;
        }
        let requests = self.servers.entry(server).or_default();
        while requests.front().is_some_and(|it| !it.is_recent(now))
            || requests.len() >= MAX_REQUESTS
        {
            requests.pop_front();
        }
        let placed_at = now;
        requests.push_back(Request { attempt, placed_at });
    }

    /// Returns the time until a cold server that can take `per_s` requests a second gets another one,
    /// or zero if it gets one now.
    pub fn left(&self, now: Moment, server: u64, per_s: f64) -> Duration {
        let recent: Vec<&Request> = self.recent(now, server).collect();
        let own: Vec<&Request> = recent
            .iter()
            .copied()
            .filter(|it| self.is_own(it))
            .collect();
        let until_free = |requests: &[&Request], bound: usize| {
            let excess = (requests.len() + 1).checked_sub(bound);
            let last = excess.and_then(|it| requests.get(it.checked_sub(1)?));
            last.map_or(Duration::ZERO, |it| now.until(it.placed_at + WINDOW))
        };
        until_free(&recent, self.bound(now, per_s)).max(until_free(&own, self.own_bound(per_s)))
    }

    /// Returns whether an attempt that was placed on a cold server may still be sent to it. If entries that
    /// did not know of each other's placements placed too many together, the same of them go on all
    /// entries, so that not all withdraw.
    pub fn is_allowed(&self, now: Moment, server: u64, per_s: f64, attempt: Attempt) -> bool {
        let others = self
            .recent(now, server)
            .take_while(|it| it.attempt != attempt);
        if others.filter(|it| self.is_own(it)).count() >= self.own_bound(per_s) {
            return false;
        }
        let mut recent = self.recent(now, server);
        let mut ahead = 0;
        let own = recent
            .by_ref()
            .inspect(|_| ahead += 1)
            .find(|it| it.attempt == attempt);
        if let Some(own) = own {
            let is_concurrent = |it: &&Request| it.placed_at.since(own.placed_at) < CONCURRENCE;
            let concurrent = recent.take_while(is_concurrent);
            ahead += concurrent.filter(|it| it.attempt < attempt).count();
            ahead -= 1;
        }
        ahead < self.bound(now, per_s)
    }

    /// Records that an attempt of this entry is sent to a server now, which may be some time after it was
    /// placed.
    pub fn record_sent(&mut self, now: Moment, server: u64, attempt: Attempt) {
        if let Some(requests) = self.servers.get_mut(&server) {
            requests.retain(|it| it.attempt != attempt);
        }
        self.record_placed(now, server, attempt);
    }

    /// Records that an attempt of this entry is not sent to a server.
    pub fn record_withdrawn(&mut self, server: u64, attempt: Attempt) {
        if let Some(requests) = self.servers.get_mut(&server) {
            requests.retain(|it| it.attempt != attempt);
        }
    }

    /// Removes requests that no longer count. Must be called every few seconds.
    pub fn expire(&mut self, now: Moment) {
        self.servers.retain(|_, requests| {
            requests.retain(|it| it.is_recent(now));
            !requests.is_empty()
        });
    }

    /// Returns the number of requests that are remembered.
    pub fn len(&self) -> usize {
        self.servers.values().map(VecDeque::len).sum()
    }

    /// Returns whether no requests are remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn recent(&self, now: Moment, server: u64) -> impl Iterator<Item = &Request> {
        let requests = self.servers.get(&server).into_iter().flatten();
        requests.filter(move |it| it.is_recent(now))
    }

    fn is_own(&self, request: &Request) -> bool {
        self.own == Some(request.attempt.0)
    }

    /// Returns the requests that a cold server may get in a second from this entry alone. Entries that have
    /// just lost each other, and don't know it yet, stay within the platform's bound by it.
    fn own_bound(&self, per_s: f64) -> usize {
        let part = per_s * EXCESS / self.reached.expected.max(1) as f64;
        (part as usize).clamp(1, MAX_REQUESTS)
    }

    /// Returns the requests that a cold server may get in a second from this entry and those that it
    /// reaches. An entry that has counted for less than a second doesn't know what others placed before.
    fn bound(&self, now: Moment, per_s: f64) -> usize {
        let is_complete = self.counted_since.is_some_and(|it| now.since(it) >= WINDOW);
        if !is_complete {
            return 1;
        }
        let former = self.formerly_reached.iter();
        let former = former.filter(|it| now.since(it.0) < WINDOW).map(|it| it.1);
        let bounds = former.chain([self.reached]).map(|it| it.bound(per_s));
        let lowest = bounds.fold(f64::INFINITY, f64::min);
        (lowest as usize).clamp(1, MAX_REQUESTS)
    }
}
