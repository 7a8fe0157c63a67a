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
/// The time after which an unchanged limit, or its end, is reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// A report that arrives within this time after an answer to this entry may be about an older answer.
const REPORT_DELAY: Duration = Duration::from_millis(200);
/// The time for which the end of a limit is reported, so that entries that missed it learn of it.
const END_LIFETIME: Duration = Duration::from_secs(60);
/// The rate of a limit that has ended, in requests a second.
const UNLIMITED: f64 = f64::INFINITY;

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

impl Statement {
    /// Returns the requests a second that the server takes; infinite without a limit.
    pub fn per_s(self) -> f64 {
        match self {
            Self::Limited(per_s) => bounded(per_s),
            Self::Unlimited(_) => UNLIMITED,
        }
    }
}

/// A change that an answer made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The limit is new or has changed.
    Changed,
    /// The limit, or its end, is as before, and other entries should be told again.
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
    /// When an answer or another entry last stated this rate.
    stated_at: Moment,
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
            stated_at: now,
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
        // A limit that is named again after its end starts like a new one.
        self.tokens = if self.has_ended() {
            1.0
        } else {
            self.tokens(now)
        };
        self.filled = now;
    }

    fn set_rate(&mut self, now: Moment, per_s: f64) {
        self.fill(now);
        self.per_s = per_s;
        self.stated_at = now;
    }

    fn has_ended(&self) -> bool {
        self.per_s == UNLIMITED
    }

    fn is_in_force(&self, now: Moment) -> bool {
        !self.has_ended()
            && (self.named_at.is_some() || now.since(self.reported_at) < REPORT_LIFETIME)
    }

    fn is_expired(&self, now: Moment) -> bool {
        if self.has_ended() {
            return now.since(self.stated_at) >= END_LIFETIME;
        }
        !self.is_in_force(now)
    }
}

impl Rates {
    /// Records what an answer to this entry says. Returns what other entries have to know, or what
    /// changed.
    pub fn record(&mut self, now: Moment, server: u64, statement: Statement) -> Option<Change> {
        let per_s = statement.per_s();
        let known = self.limits.get(&server).filter(|it| !it.is_expired(now));
        let Some(mut limit) = known.copied() else {
            // Most servers name no limit, which nobody has to know.
            let Statement::Limited(_) = statement else {
                return None;
            };
            let mut limit = Limit::new(now, per_s);
            limit.named_at = Some(now);
            self.limits.insert(server, limit);
            return Some(Change::Changed);
        };
        if let Statement::Unlimited(sent_at) = statement
            && !limit.has_ended()
            && sent_at <= limit.stated_at
        {
            // The server may have begun to limit requests after this one was sent.
            return None;
        }
        let is_changed = limit.per_s != per_s;
        let is_due = now.since(limit.reported_at) >= REPORT_INTERVAL;
        let change = match statement {
            Statement::Unlimited(_) if !limit.has_ended() => Some(Change::Ended),
            Statement::Limited(_) if is_changed => Some(Change::Changed),
            _ => is_due.then_some(Change::Repeated),
        };
        limit.set_rate(now, per_s);
        limit.named_at = Some(now);
        if change.is_some() {
            limit.reported_at = now;
        }
        self.limits.insert(server, limit);
        change
    }

    /// Records that another entry reported a limit, or its end. The latest statement counts, whichever
    /// entry heard it.
    pub fn record_report(&mut self, now: Moment, server: u64, per_s: f64) {
        let per_s = if per_s == UNLIMITED {
            UNLIMITED
        } else {
            bounded(per_s)
        };
        let known = self.limits.get_mut(&server);
        let Some(limit) = known.filter(|it| !it.is_expired(now)) else {
            if per_s != UNLIMITED {
                self.limits.insert(server, Limit::new(now, per_s));
            }
            return;
        };
        if limit
            .named_at
            .is_some_and(|it| now.since(it) < REPORT_DELAY)
        {
            return;
        }
        if limit.per_s != per_s {
            limit.named_at = None;
        }
        limit.set_rate(now, per_s);
        limit.reported_at = now;
    }

    /// Returns the limits in force, to tell an entry that does not know them: the server's key and the
    /// requests a second.
    pub fn in_force(&self, now: Moment) -> impl Iterator<Item = (u64, f64)> {
        let limits = self.limits.iter();
        limits
            .filter(move |it| it.1.is_in_force(now))
            .map(|it| (*it.0, it.1.per_s))
    }

    /// Records that this entry or another one placed a request on a server.
    pub fn record_placed(&mut self, now: Moment, server: u64) {
        let limit = self.limits.get_mut(&server);
        let Some(limit) = limit.filter(|it| !it.has_ended()) else {
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

    /// Removes the reports of other entries that no longer count, and limits that ended long ago.
    pub fn expire(&mut self, now: Moment) {
        self.limits.retain(|_, it| !it.is_expired(now));
    }

    /// Removes the limits that servers named which no longer exist.
    pub fn retain_servers(&mut self, is_known: impl Fn(u64) -> bool) {
        self.limits
            .retain(|server, it| it.named_at.is_none() || is_known(*server));
    }
}

/// Returns the rate in the range that limits use; the lowest one if it is no number.
fn bounded(per_s: f64) -> f64 {
    if per_s.is_nan() {
        return LOWEST_RATE;
    }
    per_s.clamp(LOWEST_RATE, HIGHEST_RATE)
}
