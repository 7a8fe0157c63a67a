//! Events that an entry still has to append to one claim stream, in batches.

use std::time::Duration;

use domain::Moment;

use crate::record::Event;
use crate::record::Kind;
use crate::record::Record;

/// The average time between two appends to one stream under load.
pub const APPEND_INTERVAL: Duration =
    Duration::from_millis(1_000 * crate::SHARD_COUNT / crate::APPENDS_PER_SECOND);
/// The number of appends that may follow each other immediately after a pause.
const APPEND_BURST: u32 = 4;
/// The time between two appends while no claim waits for one. The longer interval puts more events
/// into each record.
pub const QUIET_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum number of events in one record.
const BATCH_LIMIT: usize = 100;
/// The maximum number of pending events after a failed append. Events beyond it are dropped, which
/// leaves the outcomes of their requests open.
const EVENT_LIMIT: usize = 10_000;

/// Events that wait to be appended.
#[derive(Clone, Debug, Default)]
pub struct Pending {
    events: Vec<Event>,
    last_append: Option<Moment>,
    /// The time at which the appends so far would end if they were evenly spaced; limits the rate.
    paced_until: Moment,
}

impl Pending {
    /// Adds an event.
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Returns when the next append is due, or `None` if there is nothing to append.
    pub fn due(&self, now: Moment) -> Option<Moment> {
        if self.events.is_empty() {
            return None;
        }
        let is_awaited = self.events.iter().any(|it| it.kind == Kind::Claim);
        if is_awaited {
            let burst = APPEND_INTERVAL * (APPEND_BURST - 1);
            let wait = now.until(self.paced_until).saturating_sub(burst);
            return Some(now + wait);
        }
        Some(self.last_append.map_or(now, |it| it + QUIET_INTERVAL))
    }

    /// Puts events back at the front after an append that had no effect.
    pub fn put_back(&mut self, events: Vec<Event>) {
        let later = std::mem::replace(&mut self.events, events);
        self.events.extend(later);
        self.events.truncate(EVENT_LIMIT);
    }

    /// Removes the next batch, which the caller appends now.
    pub fn take(&mut self, now: Moment) -> Record {
        self.last_append = Some(now);
        self.paced_until = self.paced_until.max(now) + APPEND_INTERVAL;
        let rest = self.events.split_off(self.events.len().min(BATCH_LIMIT));
        Record {
            events: std::mem::replace(&mut self.events, rest),
        }
    }

    /// Returns the number of pending events.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns whether no events are pending.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}
