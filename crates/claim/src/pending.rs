//! What an entry still has to append to one claim stream, batched.

use std::time::Duration;

use domain::Moment;

use crate::record::Event;
use crate::record::Kind;
use crate::record::Record;

/// The time between two appends to one stream when there are many.
pub const APPEND_INTERVAL: Duration =
    Duration::from_millis(1_000 * crate::SHARD_COUNT / crate::APPENDS_PER_SECOND);
/// Appends that may follow one another at once after a pause.
const APPEND_BURST: u32 = 4;
/// The same while nobody waits for the append, so that more events share a record.
pub const QUIET_INTERVAL: Duration = Duration::from_millis(500);
/// The most events in one record.
const BATCH_LIMIT: usize = 100;
/// The most events that wait; what is beyond is forgotten, which leaves outcomes open.
const EVENT_LIMIT: usize = 10_000;

/// Events that wait to be appended.
#[derive(Clone, Debug, Default)]
pub struct Pending {
    events: Vec<Event>,
    appended: Option<Moment>,
    /// When all appends so far would be over if they were an interval apart.
    paid_until: Moment,
}

impl Pending {
    /// Adds an event.
    pub fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Returns when the next append may happen, or `None` if there is nothing to append.
    pub fn due(&self, now: Moment) -> Option<Moment> {
        if self.events.is_empty() {
            return None;
        }
        let is_awaited = self.events.iter().any(|it| it.kind == Kind::Claim);
        if is_awaited {
            let burst = APPEND_INTERVAL * (APPEND_BURST - 1);
            let wait = now.until(self.paid_until).saturating_sub(burst);
            return Some(now + wait);
        }
        Some(self.appended.map_or(now, |it| it + QUIET_INTERVAL))
    }

    /// Puts events back in front, after an append that did not take effect.
    pub fn put_back(&mut self, events: Vec<Event>) {
        let later = std::mem::replace(&mut self.events, events);
        self.events.extend(later);
        self.events.truncate(EVENT_LIMIT);
    }

    /// Takes the next batch, to be appended now.
    pub fn take(&mut self, now: Moment) -> Record {
        self.appended = Some(now);
        self.paid_until = self.paid_until.max(now) + APPEND_INTERVAL;
        let rest = self.events.split_off(self.events.len().min(BATCH_LIMIT));
        Record {
            events: std::mem::replace(&mut self.events, rest),
        }
    }

    /// Returns the number of events that wait.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}
