//! A planned stop of the process: which requests are still taken, so that none is cut at its end.

use std::time::Duration;

use domain::Moment;

use crate::Settings;

/// Callers may use an answer to an address query for this multiple of its lifetime, as the
/// platform documents.
const MAX_LIFETIMES: u32 = 3;
/// The fraction of the grace period after which requests in progress are abandoned, so that the
/// process ends before it is killed.
const GRACE_FRACTION: f64 = 0.96;

/// A planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// When callers no longer use the addresses that they were told, and the listeners are closed.
    pub closing: Moment,
    /// When the requests in progress are abandoned.
    pub ending: Moment,
}

impl Stop {
    /// Returns a stop that begins at `now`.
    pub fn begin(now: Moment, settings: &Settings) -> Self {
        let ending = now + settings.grace_period.mul_f64(GRACE_FRACTION);
        let lead_away = settings.address_lifetime * MAX_LIFETIMES;
        Self {
            closing: (now + lead_away).min(ending),
            ending,
        }
    }

    /// Returns whether a request that no server has run may be sent to one. It is answered by `deadline` at the
    /// latest, and in `expected` at most by its forecast.
    ///
    /// While callers are led away, the forecast is enough. Later, a request is taken only if nothing can cut it.
    /// Other instances serve the callers that are turned away.
    pub fn permits(&self, now: Moment, deadline: Moment, expected: Duration) -> bool {
        deadline <= self.ending || (now < self.closing && now + expected <= self.ending)
    }
}
