//! The limits of requests a second that servers name, for all entries together.
//!
//! Each entry counts the requests that all entries place on such a server, so that together they stay
//! within its limit without a share for each.

use std::collections::HashMap;
use std::time::Duration;

use domain::Moment;

/// The requests that may arrive at once, as a time at the limit's rate; at least one.
const BURST: Duration = Duration::from_millis(500);
/// The requests beyond the limit that are made up for later, as a time at the limit's rate.
const LONGEST_DEBT: Duration = Duration::from_secs(2);
/// The lowest rate, in requests a second. A server that gets none can't say that its limit has ended.
const LOWEST_RATE: f64 = 0.1;
/// The highest rate, in requests a second, which limits nothing.
const HIGHEST_RATE: f64 = 1e6;
/// The time for which the report of another entry counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// The time after which an unchanged limit is reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The limits of servers, by their keys.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    limits: HashMap<u64, Limit>,
}

/// What an answer of a server says of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// The server takes this many requests a second.
    Limited(f64),
    /// The server names no limit. The request was sent at this moment.
    Unlimited(Moment),
}

/// A change that an answer made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The limit is new or has changed.
    Changed,
    /// The limit is as before, and other entries should be told again.
    Repeated,
    /// The limit has ended.
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct Limit {
    per_s: f64,
    /// Requests that may be sent; negative if there were too many.
    tokens: f64,
    filled: Moment,
    /// When an answer to this entry last named the limit; `None` if only other entries did.
    named_at: Option<Moment>,
    /// When this entry last told the others, or another entry told this one.
    reported_at: Moment,
}

impl Limit {
    fn new(now: Moment, per_s: f64) -> Self {
        Self {
            per_s: bounded(per_s),
            tokens: 1.0,
            filled: now,
            named_at: None,
            reported_at: now,
        }
    }

    fn tokens(&self, now: Moment) -> f64 {
        let capacity = (self.per_s * BURST.as_secs_f64()).max(1.0);
        let elapsed = now.since(self.filled).as_secs_f64();
        (self.tokens + self.per_s * elapsed).min(capacity)
    }

    fn fill(&mut self, now: Moment) {
        self.tokens = self.tokens(now);
        self.filled = now;
    }

    fn set_rate(&mut self, now: Moment, per_s: f64) {
        self.fill(now);
        self.per_s = bounded(per_s);
    }

    fn is_in_force(&self, now: Moment) -> bool {
        self.named_at.is_some() || now.since(self.reported_at) < REPORT_LIFETIME
    }
}

impl Rates {
    /// Records what an answer to this entry says. Returns what other entries have to know, or what
    /// changed.
    pub fn record(&mut self, now: Moment, server: u64, statement: Statement) -> Option<Change> {
        let per_s = match statement {
            Statement::Limited(per_s) => bounded(per_s),
            Statement::Unlimited(sent_at) => return self.end(server, sent_at),
        };
        let previous = self.limits.get(&server).filter(|it| it.is_in_force(now));
        let mut limit = previous.copied().unwrap_or_else(|| Limit::new(now, per_s));
        let is_changed = previous.is_none_or(|it| it.per_s != per_s || it.named_at.is_none());
        limit.set_rate(now, per_s);
        limit.named_at = Some(now);
        let is_due = now.since(limit.reported_at) >= REPORT_INTERVAL;
        if is_changed || is_due {
            limit.reported_at = now;
        }
        self.limits.insert(server, limit);
        match (is_changed, is_due) {
            (true, _) => Some(Change::Changed),
            (false, true) => Some(Change::Repeated),
            (false, false) => None,
        }
    }

    /// Records that another entry reported a limit. What the server said to this entry goes first.
    pub fn record_report(&mut self, now: Moment, server: u64, per_s: f64) {
        let limit = self.limits.entry(server);
        let limit = limit.or_insert_with(|| Limit::new(now, per_s));
        if limit.named_at.is_none() {
            limit.set_rate(now, per_s);
            limit.reported_at = now;
        }
    }

    /// Records that this entry or another one placed a request on a server.
    pub fn record_placed(&mut self, now: Moment, server: u64) {
        let Some(limit) = self.limits.get_mut(&server) else {
            return;
        };
        limit.fill(now);
        let debt = limit.per_s * LONGEST_DEBT.as_secs_f64();
        limit.tokens = (limit.tokens - 1.0).max(-debt);
    }

    /// Returns the time until a server takes a request, or zero if it takes one now.
    pub fn left(&self, now: Moment, server: u64) -> Duration {
        let limit = self.limits.get(&server).filter(|it| it.is_in_force(now));
        let missing = limit.map_or(0.0, |it| (1.0 - it.tokens(now)) / it.per_s);
        Duration::try_from_secs_f64(missing).unwrap_or_default()
    }

    /// Returns whether a server takes a request now.
    pub fn is_open(&self, now: Moment, server: u64) -> bool {
        self.left(now, server).is_zero()
    }

    /// Removes the reports of other entries that no longer count.
    pub fn expire(&mut self, now: Moment) {
        self.limits.retain(|_, it| it.is_in_force(now));
    }

    /// Removes the limit of a server that no longer exists.
    pub fn remove(&mut self, server: u64) {
        self.limits.remove(&server);
    }

    /// Ends a limit, unless it was named after the request was sent whose answer names none.
    fn end(&mut self, server: u64, sent_at: Moment) -> Option<Change> {
        let named_at = self.limits.get(&server)?.named_at;
        if named_at.is_some_and(|it| it >= sent_at) {
            return None;
        }
        self.limits.remove(&server);
        Some(Change::Ended)
    }
}

/// Returns the rate in the range that limits use; the lowest one if it is no number.
fn bounded(per_s: f64) -> f64 {
    if per_s.is_nan() {
        return LOWEST_RATE;
    }
    per_s.clamp(LOWEST_RATE, HIGHEST_RATE)
}
