//! A backend server as this entry observes it.

use std::rc::Rc;
use std::time::Duration;

use domain::Moment;
use route::ColdStart;
use routing::Pause;
use routing::health::Health;

use super::Server;
use crate::Workload;
use crate::cold::Period;
use crate::cold::Source;

/// The weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// The bounds of how much longer one call takes than expected, in the measurement of a server's pace.
const PACE_BOUNDS: (f64, f64) = (0.125, 8.0);
/// The time for which a server gets no work after another entry reported that it leaves, or after
/// another server answered at its address, if the list does not change.
const EXCLUSION_TIME: Duration = Duration::from_secs(10);

/// A server and its state as observed by this entry.
#[derive(Clone, Debug)]
pub struct State {
    /// The server as the platform lists it.
    pub server: Rc<Server>,
    /// Its key, stored since each event of each stream looks the server up by it.
    pub(super) key: u64,
    /// The circuit breaker.
    pub health: Health,
    /// The moving average of its latency, and when the last answer came. Plain services only.
    latency: Option<(Duration, Moment)>,
    /// The moving average of the logarithm of the factor by which calls take longer than expected, and
    /// when it was last measured. Plain services only.
    pace: Option<(f64, Moment)>,
    /// When it last sent data to this entry.
    last_activity: Option<Moment>,
    /// Whether it went off the list around an outage, and is kept for the grace period.
    pub(super) is_lapsed: bool,
    /// When it was last excluded from new work.
    pub(super) excluded_at: Option<Moment>,
    /// The pause that it asked this entry for.
    pub pause: Pause,
    /// The period in which it is cold.
    pub cold: Period,
    /// The cold start of its service; `None` if its servers are never cold.
    pub(super) cold_start: Option<ColdStart>,
}

impl State {
    pub(super) fn new(server: Server, cold_start: Option<ColdStart>) -> Self {
        Self {
            key: server.key(),
            server: Rc::new(server),
            health: Health::default(),
            latency: None,
            pace: None,
            last_activity: None,
            is_lapsed: false,
            excluded_at: None,
            pause: Pause::default(),
            cold: Period::default(),
            cold_start,
        }
    }

    /// Begins the cold start of a server that is listed for the first time while the list is in use, if
    /// its record says nothing.
    pub(super) fn begin_cold_start(&mut self, now: Moment, is_loaded: bool) {
        if let Some(cold_start) = self.cold_start
            && is_loaded
            && self.server.cold_left.is_none()
        {
            let duration = cold_start.duration;
            self.cold.extend(now, duration, Source::FirstListed);
        }
    }

    /// Records what the server's report says of the time for which it is cold.
    pub(super) fn record_cold(&mut self, now: Moment) {
        if let Some(left) = self.server.cold_left {
            self.cold.record_listed(now, left);
        }
    }

    /// Returns whether the server is cold, and from where that is known, if this has changed since the last
    /// call.
    pub fn observe_cold(&mut self, now: Moment) -> Option<(bool, Source)> {
        self.cold_start.and_then(|_| self.cold.observe(now))
    }

    /// Returns whether the server is cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.cold_start.is_some() && !self.cold.left(now).is_zero()
    }

    /// Returns the requests a second that the server can take if it is cold.
    pub fn cold_rate(&self, now: Moment) -> Option<f64> {
        let cold_start = self.cold_start.filter(|_| self.is_cold(now));
        cold_start.map(|it| it.per_s)
    }

    /// Returns the time until the server gets another request by its bound if it is cold. The bound ends
    /// with the period.
    pub fn cold_hold(&self, now: Moment, workload: &Workload) -> Duration {
        let per_s = self.cold_rate(now);
        let hold = per_s.map(|it| workload.window().left(now, self.key, it));
        hold.unwrap_or_default().min(self.cold.left(now))
    }

    /// Returns the time until the server takes another request by the limit that it named, and by its
    /// bound if it is cold.
    pub fn hold(&self, now: Moment, workload: &Workload) -> Duration {
        let limited = workload.rates().left(now, self.key);
        limited.max(self.cold_hold(now, workload))
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

    /// Records that a call to a plain service took `factor` times the time that was expected.
    pub fn record_pace(&mut self, now: Moment, factor: f64) {
        let (least, most) = PACE_BOUNDS;
        let previous = self.pace.map_or(0.0, |it| it.0);
        let measured = factor.clamp(least, most).ln();
        let smoothed = previous + LATENCY_WEIGHT * (measured - previous);
        self.pace = Some((smoothed, now));
    }

    /// Returns the factor by which calls take longer than expected, if one was measured within
    /// `lifetime`.
    pub fn recent_pace(&self, now: Moment, lifetime: Duration) -> Option<f64> {
        let (pace, at) = self.pace?;
        (now.since(at) < lifetime).then_some(pace.exp())
    }

    /// Returns whether the server takes new work.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.is_staying(now) && self.pause.is_over(now)
    }

    /// Returns whether the server takes new work now or after a pause.
    pub(super) fn is_staying(&self, now: Moment) -> bool {
        let is_excluded = self
            .excluded_at
            .is_some_and(|it| now.since(it) < EXCLUSION_TIME);
        !self.server.is_leaving && !is_excluded
    }
}
