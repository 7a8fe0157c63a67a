//! The requests of one service that wait at an instance, and their order.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use domain::Moment;

use crate::Usage;

/// A request moves up one level of priority when it has waited this share of its target, and another
/// one each time that the wait doubles. So no request waits behind more urgent ones for ever.
const AGING_SHARE: f64 = 0.25;
/// The weight of the newest interval in the mean time between two requests that leave the queue.
const INTERVAL_WEIGHT: f64 = 0.1;
/// The longest interval between two requests that counts; longer ones lie between two bursts.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// The requests that wait, by their tickets.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiters: BTreeMap<u64, Waiter>,
    usage: Usage,
    last_left: Option<Moment>,
    interval: Duration,
}

/// What the order of a request depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// The levels by which it is less urgent than the most urgent requests of its service.
    pub level: u32,
    /// Whether it comes back as a rejection told it to.
    pub is_returned: bool,
    /// The digest of the organisation's name.
    pub organisation: u64,
    /// When it arrived.
    pub arrived: Moment,
    /// The time that it had until its target when it arrived.
    pub target: Duration,
}

/// Why a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No slot is free.
    Slot,
    /// No engine has memory for it. Others may go before it, since they need less.
    Room,
    /// Others would lose more than it gains.
    Harm,
    /// It can no longer be in time.
    Late,
}

impl Reason {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Slot => "slot",
            Self::Room => "room",
            Self::Harm => "harm",
            Self::Late => "late",
        }
    }
}

/// The waiting requests that go before another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Those that can be in time and need a slot.
    pub in_time: usize,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    rank: Rank,
    reason: Reason,
    planned_at: Moment,
}

impl Queue {
    /// Adds a request, or records why it still waits after it was planned again.
    pub fn wait(&mut self, now: Moment, ticket: u64, rank: Rank, reason: Reason) {
        let waiter = Waiter {
            rank,
            reason,
            planned_at: now,
        };
        self.waiters.insert(ticket, waiter);
    }

    /// Removes a request that waits no longer.
    pub fn leave(&mut self, now: Moment, ticket: u64) {
        if self.waiters.remove(&ticket).is_none() {
            return;
        }
        let interval = self.last_left.map(|it| now.since(it).min(MAX_INTERVAL));
        if let Some(interval) = interval {
            self.interval =
                self.interval.mul_f64(1.0 - INTERVAL_WEIGHT) + interval.mul_f64(INTERVAL_WEIGHT);
        }
        self.last_left = Some(now);
    }

    /// Records that a request of an organisation was placed, which takes `cost_ms` of engine time.
    pub fn record_placed(&mut self, now: Moment, organisation: u64, cost_ms: f64) {
        self.usage.add(now, organisation, cost_ms);
    }

    /// Returns the requests that wait ahead of one with this rank, which is not late.
    pub fn ahead(&self, now: Moment, rank: &Rank) -> Ahead {
        let waiters = self.waiters.values();
        let ahead = waiters.filter(|it| {
            it.reason == Reason::Slot && self.compare(now, &it.rank, rank) == Ordering::Less
        });
        Ahead {
            in_time: ahead.count(),
        }
    }

    /// Returns the requests that wait and can be in time, all of which go before a late one.
    pub fn ahead_of_late(&self) -> Ahead {
        let in_time = self.waiters.values();
        Ahead {
            in_time: in_time.filter(|it| it.reason == Reason::Slot).count(),
        }
    }

    /// Returns the first `limit` requests that were not planned within the last `interval`, in order.
    pub fn due(&self, now: Moment, interval: Duration, limit: usize) -> Vec<u64> {
        let waiters = self.waiters.iter();
        let due = waiters.filter(|it| now.since(it.1.planned_at) >= interval);
        let mut due: Vec<(&u64, &Waiter)> = due.collect();
        due.sort_by(|a, b| {
            let is_late = |it: &Waiter| it.reason == Reason::Late;
            let by_reason = is_late(a.1).cmp(&is_late(b.1));
            by_reason
                .then_with(|| self.compare(now, &a.1.rank, &b.1.rank))
                .then(a.0.cmp(b.0))
        });
        due.into_iter().take(limit).map(|it| *it.0).collect()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the time in which the queue is expected to drain.
    pub fn drain_time(&self) -> Duration {
        self.interval * u32::try_from(self.len()).unwrap_or(u32::MAX)
    }

    /// Compares two requests that wait equally in time: the more urgent one is less, then the one that
    /// came back as told, then the one whose organisation has used less, then the earlier one.
    fn compare(&self, now: Moment, a: &Rank, b: &Rank) -> Ordering {
        let used = |it: &Rank| self.usage.of(now, it.organisation);
        band(now, a)
            .cmp(&band(now, b))
            .then_with(|| b.is_returned.cmp(&a.is_returned))
            .then_with(|| used(a).total_cmp(&used(b)))
            .then_with(|| a.arrived.cmp(&b.arrived))
    }
}

/// Returns the level of a request that has waited until `now`.
fn band(now: Moment, rank: &Rank) -> i64 {
    let waited = now.since(rank.arrived).as_secs_f64();
    let aging = waited / (rank.target.as_secs_f64() * AGING_SHARE).max(1e-3);
    let raised = (1.0 + aging).log2().floor();
    i64::from(rank.level) - raised as i64
}
