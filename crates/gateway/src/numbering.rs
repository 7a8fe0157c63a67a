//! The ids of a stream's events: which events the caller already has, and whether another server can go on after
//! the last one.
//!
//! A server may damage an id. The events of one answer are in order whatever their ids say, so none is left out
//! for its id, but a stream is resumed only after an event whose id agrees with those around it.

use h1::Error;

/// The id of the first event of most streams.
const FIRST_ID: u64 = 1;

/// The ids of the events of one answer.
#[derive(Clone, Debug, Default)]
pub struct Numbering {
    /// The id of the event after which the stream is resumed.
    resumed_after: Option<u64>,
    /// The highest id among the events that the caller already had.
    highest_known: Option<u64>,
    /// The id of the last event that was passed on.
    last: Option<u64>,
    /// The highest id that those after it have not shown to be damaged. It lags behind `last` after a gap.
    certain: Option<u64>,
    /// Whether an event was passed on of which the id is unknown, after `last`.
    has_unnumbered: bool,
    /// Whether the ids have gaps, so that a gap shows nothing.
    has_gaps: bool,
    /// Whether an id was damaged.
    is_damaged: bool,
}

/// Whether the caller has an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An earlier attempt has passed it on.
    Known,
    /// It has not been passed on.
    New,
}

impl Numbering {
    /// Returns the numbering of an answer that resumes a stream after the event with id `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            resumed_after: last,
            last,
            certain: last,
            ..Self::default()
        }
    }

    /// Returns the id of the last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether an id was damaged.
    pub fn is_damaged(&self) -> bool {
        self.is_damaged
    }

    /// Returns whether another server can go on after the last event, or the caller has no events.
    pub fn can_resume(&self) -> bool {
        self.last == self.certain && !self.has_unnumbered && !self.is_damaged
    }

    /// Returns whether the answer has not reached the events that the caller lacks.
    pub fn is_behind(&self) -> bool {
        self.resumed_after.is_some() && self.resumed_after == self.last
    }

    /// Returns whether the next event may be one that the caller has.
    pub fn may_repeat(&self) -> bool {
        self.is_behind() && self.highest_known < self.resumed_after
    }

    /// Returns whether the answer has begun with events that the caller has, and lacks the last one of them.
    pub fn ends_early(&self) -> bool {
        self.highest_known.is_some() && self.may_repeat()
    }

    /// Takes the next event. Fails if it is unknown whether the caller has it.
    pub fn take(&mut self, id: u64) -> Result<Event, Error> {
        if self.is_behind() && Some(id) <= self.resumed_after {
            self.highest_known = self.highest_known.max(Some(id));
            return Ok(Event::Known);
        }
        let is_next = follows(self.certain, id);
        if self.is_behind() && self.highest_known.is_some() && !is_next {
            return Err(Error::Malformed(
                "events are missing before the first new one of a resumed stream",
            ));
        }
        if Some(id) <= self.certain {
            return Err(Error::Malformed("an event with the id of an earlier one"));
        }
        let mut is_certain = is_next;
        if self.last > self.certain {
            // The id after a gap shows whether the one before it was right.
            is_certain = follows(self.last, id);
            self.is_damaged |= Some(id) <= self.last;
            self.has_gaps |= !is_certain;
        }
        if is_certain || self.has_gaps {
            self.certain = Some(id);
        }
        self.last = Some(id);
        self.has_unnumbered = false;
        Ok(Event::New)
    }

    /// Takes the next event, which has no id. Fails if it is unknown whether the caller has it.
    pub fn take_unnumbered(&mut self) -> Result<Event, Error> {
        if self.is_behind() {
            return Err(Error::Malformed(
                "an event without an id in a resumed stream",
            ));
        }
        self.has_unnumbered = true;
        Ok(Event::New)
    }
}

/// Returns whether `id` is the one after `last`, or the first one.
fn follows(last: Option<u64>, id: u64) -> bool {
    match last {
        Some(last) => last.checked_add(1) == Some(id),
        None => id == FIRST_ID,
    }
}
