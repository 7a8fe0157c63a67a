//! The budget of requests that may be sent to a second backend server, shared by all entries.

use domain::Moment;

/// This entry's part of the budget of one service.
///
/// It is a token bucket: in no stretch of time can more be spent than the bucket holds and the
/// requests of that stretch add. The bucket of all entries together holds the fixed part.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    tokens: f64,
    filled: Moment,
}

/// The policy of the budget of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, in each window.
    pub extra: f64,
    /// The window, in seconds.
    pub window_s: f64,
}

/// The part of the budget that is used. The rest covers what other entries count differently:
/// an entry that was restarted has a full bucket again, and one that joins lowers the part of the
/// others only once they know of it.
const USED_PART: f64 = 0.6;

impl Budget {
    /// Returns a full bucket.
    pub fn new(now: Moment, policy: &Policy, entries: usize) -> Self {
        Self {
            tokens: capacity(policy, entries),
            filled: now,
        }
    }

    /// Notes a request.
    pub fn earn(&mut self, policy: &Policy, entries: usize) {
        let most = capacity(policy, entries);
        self.tokens = (self.tokens + policy.ratio * USED_PART).min(most);
    }

    /// Takes one repeat, if any is left.
    pub fn spend(&mut self, now: Moment, policy: &Policy, entries: usize) -> bool {
        let has_left = self.has_left(now, policy, entries);
        if has_left {
            self.tokens -= 1.0;
        }
        has_left
    }

    /// Tells whether a repeat is left.
    pub fn has_left(&mut self, now: Moment, policy: &Policy, entries: usize) -> bool {
        let most = capacity(policy, entries);
        let elapsed = now.since(self.filled).as_secs_f64();
        self.filled = now;
        // The fixed part returns over a window. Half of it is held in the bucket and half flows
        // in, so that a burst and the flow after it stay within the part.
        self.tokens = (self.tokens + most * elapsed / policy.window_s).min(most);
        self.tokens >= 1.0
    }
}

fn capacity(policy: &Policy, entries: usize) -> f64 {
    policy.extra * USED_PART / 2.0 / entries.max(1) as f64
}
