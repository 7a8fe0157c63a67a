//! When a rejected caller should come back.

use std::time::Duration;

/// The share of the time that a caller has left within which it comes back if told to.
const HONOURED_SHARE: f64 = 1.0 / 3.0;
/// The share of the longest honoured delay that may be used to spread retries, if room comes later.
const SPREAD_SHARE: f64 = 0.5;
/// The shortest spread. Callers that are rejected in one moment must not come back in one moment.
const MIN_SPREAD: Duration = Duration::from_millis(100);
/// The shortest delay: an update of the workload takes about as long to reach all instances.
const MIN_DELAY: Duration = Duration::from_millis(50);

/// When a rejected caller should come back: at `earliest`, plus a random part of `spread`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryTime {
    /// The time after which a retry may succeed.
    pub earliest: Duration,
    /// The time over which the callers' retries are distributed.
    pub spread: Duration,
}

impl RetryTime {
    /// Returns the time for a caller that has `left`, if room is expected after `room` and those who
    /// wait are served within `drain`.
    pub fn new(room: Duration, drain: Duration, left: Duration) -> Self {
        let longest = left.mul_f64(HONOURED_SHARE);
        let spread = drain.max(MIN_SPREAD).min(longest.mul_f64(SPREAD_SHARE));
        Self {
            earliest: room.max(MIN_DELAY).min(longest - spread),
            spread,
        }
    }

    /// Returns the delay at this point of the spread, from 0 to 1.
    pub fn delay(self, point: f64) -> Duration {
        self.earliest + self.spread.mul_f64(point)
    }
}
