//! The retry budget: how many requests may be sent to a second backend server, over all entries.

use domain::Moment;

/// This entry's part of the retry budget of one service.
///
/// It is a token bucket. Within any window, the retries of all entries together stay within
/// [`Policy::extra`] and what the requests of that window add.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    tokens: f64,
    filled: Moment,
}

/// The size of the retry budget of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in each window regardless of the number of requests.
    pub extra: f64,
    /// The window, in seconds.
    pub window_s: f64,
}

/// The share of the budget that is used. The rest covers differences between entries: a restarted
/// entry has a full bucket again, and an entry that joins lowers the part of the others only once
/// they have discovered it.
const USED_SHARE: f64 = 0.6;

impl Budget {
    /// Returns a full bucket.
    pub fn new(now: Moment, policy: &Policy, entries: usize) -> Self {
        Self {
            tokens: capacity(policy, entries),
            filled: now,
        }
    }

    /// Adds the retries that a request earns.
    pub fn earn(&mut self, policy: &Policy, entries: usize) {
        let capacity = capacity(policy, entries);
        self.tokens = (self.tokens + policy.ratio * USED_SHARE).min(capacity);
    }

    /// Takes one retry if any is left.
    pub fn spend(&mut self, now: Moment, policy: &Policy, entries: usize) -> bool {
        let has_left = self.has_left(now, policy, entries);
        if has_left {
            self.tokens -= 1.0;
        }
        has_left
    }

    /// Returns whether a retry is left.
    pub fn has_left(&mut self, now: Moment, policy: &Policy, entries: usize) -> bool {
        let capacity = capacity(policy, entries);
        let elapsed = now.since(self.filled).as_secs_f64();
        self.filled = now;
        // The bucket holds half of the fixed part and refills by the other half in each window, so
        // that a burst and the refill after it stay within the fixed part.
        self.tokens = (self.tokens + capacity * elapsed / policy.window_s).min(capacity);
        self.tokens >= 1.0
    }
}

fn capacity(policy: &Policy, entries: usize) -> f64 {
    policy.extra * USED_SHARE / 2.0 / entries.max(1) as f64
}
