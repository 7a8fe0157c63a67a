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
        // What the bucket holds and its refill in a window add up to the fixed part, so that a burst and
        // the refill after it stay within it.
        let refilled = refill(policy, entries) * elapsed / policy.window_s;
        self.tokens = (self.tokens + refilled).min(capacity);
        self.tokens >= 1.0
    }
}

/// Returns this entry's part of the fixed part of the budget in each window.
fn fixed_part(policy: &Policy, entries: usize) -> f64 {
    policy.extra * USED_SHARE / entries.max(1) as f64
}

/// Returns the retries that the bucket holds: half of the fixed part, but at least one if the fixed part
/// allows it, since a bucket that holds less never permits a retry.
fn capacity(policy: &Policy, entries: usize) -> f64 {
    let part = fixed_part(policy, entries);
    (part / 2.0).max(part.min(1.0))
}

/// Returns the retries by which the bucket refills in each window: the rest of the fixed part.
fn refill(policy: &Policy, entries: usize) -> f64 {
    fixed_part(policy, entries) - capacity(policy, entries)
}
