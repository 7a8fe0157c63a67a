//! Token buckets.

use std::time::Duration;

use domain::Moment;

/// The maximum wait that is returned.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// A token bucket whose rate and depth can change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    rate: f64,
    depth: f64,
    level: f64,
    updated_at: Moment,
}

impl Bucket {
    /// Returns a bucket with `level` tokens that gains `rate` tokens per second, up to `depth`.
    pub fn new(now: Moment, rate: f64, depth: f64, level: f64) -> Self {
        Self {
            rate,
            depth,
            level,
            updated_at: now,
        }
    }

    /// Changes the rate and the depth.
    pub fn set(&mut self, now: Moment, rate: f64, depth: f64) {
        self.fill(now);
        self.rate = rate;
        self.depth = depth;
    }

    /// Returns the number of tokens in the bucket, which may be negative.
    pub fn level(&mut self, now: Moment) -> f64 {
        self.fill(now);
        self.level
    }

    /// Takes `amount` tokens. The level may become negative.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Returns `amount` tokens to the bucket.
    pub fn put(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.depth);
    }

    /// Returns the time until the bucket holds `amount` tokens.
    pub fn wait(&mut self, now: Moment, amount: f64) -> Duration {
        self.fill(now);
        let missing = (amount - self.level).max(0.0);
        if self.rate <= 0.0 {
            return MAX_WAIT;
        }
        Duration::try_from_secs_f64(missing / self.rate)
            .unwrap_or(MAX_WAIT)
            .min(MAX_WAIT)
    }

    fn fill(&mut self, now: Moment) {
        let gained = now.since(self.updated_at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.depth);
        self.updated_at = self.updated_at.max(now);
    }
}
