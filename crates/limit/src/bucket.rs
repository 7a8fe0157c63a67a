//! Token buckets.

use std::time::Duration;

use domain::Moment;

/// The longest wait that is ever named.
const WAIT_LIMIT: Duration = Duration::from_secs(3_600);

/// A token bucket whose rate and depth may change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    rate: f64,
    depth: f64,
    level: f64,
    at: Moment,
}

impl Bucket {
    /// Returns a bucket that holds `level`, fills by `rate` a second and holds `depth` at most.
    pub fn new(now: Moment, rate: f64, depth: f64, level: f64) -> Self {
        Self {
            rate,
            depth,
            level,
            at: now,
        }
    }

    /// Changes the rate and the depth.
    pub fn set(&mut self, now: Moment, rate: f64, depth: f64) {
        self.fill(now);
        self.rate = rate;
        self.depth = depth;
    }

    /// Returns how much the bucket holds.
    pub fn level(&mut self, now: Moment) -> f64 {
        self.fill(now);
        self.level
    }

    /// Takes `amount`.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Puts `amount` back.
    pub fn put(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.depth);
    }

    /// Returns the time until the bucket will hold `amount`.
    pub fn wait(&mut self, now: Moment, amount: f64) -> Duration {
        self.fill(now);
        let missing = (amount - self.level).max(0.0);
        if self.rate <= 0.0 {
            return WAIT_LIMIT;
        }
        Duration::try_from_secs_f64(missing / self.rate)
            .unwrap_or(WAIT_LIMIT)
            .min(WAIT_LIMIT)
    }

    fn fill(&mut self, now: Moment) {
        let grown = now.since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + grown).min(self.depth);
        self.at = self.at.max(now);
    }
}
