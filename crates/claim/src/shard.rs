//! The fold over one claim stream.

use std::collections::HashMap;
use std::time::Duration;

use domain::Key;

use crate::Nonce;
use crate::Outcome;
use crate::Verdict;
use crate::hold::Hold;
use crate::record::Event;
use crate::record::Kind;
use crate::record::Record;

/// A claim counts only if the log's time of its record lies within this part of the log's
/// retention from the time at which the key was minted, before or after. Two claims of one key
/// that count therefore lie at most half the retention apart, so that whoever appends the second
/// could still read the first.
const WINDOW_PART: u32 = 4;

/// The claims of one stream, as far as it was read.
#[derive(Clone, Debug)]
pub struct Shard {
    window: Duration,
    next: u64,
    keys: HashMap<Key, Hold>,
    /// The log's time of the latest record.
    latest: Duration,
    /// The log's time at which old keys were last dropped.
    dropped: Duration,
}

/// Records were missed: the fold has to start again, and claims that are under way can't be judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("claims from {next} to {first} have expired unread: claims under way can't be judged")]
pub struct Gap {
    /// The offset that was to be read.
    pub next: u64,
    /// The oldest offset that the log still has.
    pub first: u64,
}

impl Shard {
    /// Returns an empty fold of a stream that keeps records for at least `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            window: retention / WINDOW_PART,
            next: 0,
            keys: HashMap::new(),
            latest: Duration::ZERO,
            dropped: Duration::ZERO,
        }
    }

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Starts again at the oldest offset that the log has.
    pub fn restart(&mut self, first: u64) {
        self.keys.clear();
        self.next = first;
    }

    /// Checks that the log still has the next record, given the oldest offset that it has.
    pub fn check(&self, first: u64) -> Result<(), Gap> {
        if first > self.next {
            Err(Gap {
                next: self.next,
                first,
            })
        } else {
            Ok(())
        }
    }

    /// Reads the record at `offset`, which the log took at `at` after the Unix epoch by its own
    /// clock. A record that was read before changes nothing.
    pub fn read(&mut self, offset: u64, at: Duration, data: &[u8]) -> Result<(), Gap> {
        if offset < self.next {
            return Ok(());
        }
        self.check(offset)?;
        self.next = offset + 1;
        self.latest = self.latest.max(at);
        // A record that can't be read claims nothing: no holder of it can exist.
        let record: Record = serde_json::from_slice(data).unwrap_or_default();
        for event in record.events {
            self.apply(at, event);
        }
        self.drop_old();
        Ok(())
    }

    /// Returns what the stream says of a claim, or `None` if it has no claim of this key yet.
    pub fn verdict(&self, key: Key, nonce: Nonce) -> Option<Verdict> {
        self.keys.get(&key)?.verdict(nonce)
    }

    /// Notes how a request ended, before the log tells.
    pub fn settle(&mut self, key: Key, nonce: Nonce, outcome: Outcome) {
        if let Some(hold) = self.keys.get_mut(&key) {
            hold.settle(nonce, outcome);
        }
    }

    /// Returns why a claim of `key` that the log took at `at` does not count, if so.
    pub fn misdated(&self, key: Key, at: Duration) -> Option<Verdict> {
        if at > key.created() + self.window {
            return Some(Verdict::TooOld);
        }
        (key.created() > at + self.window).then_some(Verdict::TooNew)
    }

    /// Returns the number of keys that are known.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Tells whether no keys are known.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn apply(&mut self, at: Duration, event: Event) {
        let Event { key, nonce, kind } = event;
        match kind {
            Kind::Claim if self.misdated(key, at).is_some() => {}
            Kind::Claim => self.keys.entry(key).or_default().claim(nonce),
            Kind::Release => self.keys.entry(key).or_default().release(nonce),
            Kind::Settle(outcome) => self.settle(key, nonce, outcome),
        }
    }

    /// Drops keys whose claims no longer count, once in a while.
    fn drop_old(&mut self) {
        if self.latest < self.dropped + self.window / 4 {
            return;
        }
        self.dropped = self.latest;
        let (latest, window) = (self.latest, self.window);
        self.keys.retain(|key, _| key.created() + window >= latest);
    }
}
