//! The state of one claim stream, built by reading its records in order.

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

/// A claim counts only if the log's time of its record differs from the creation time of the key by
/// at most the retention of the log divided by this number. Two claims of one key that both count
/// are therefore at most half the retention apart, so the appender of the second one can still read
/// the first.
const WINDOW_DIVISOR: u32 = 4;

/// The claims of one stream up to the position read so far.
#[derive(Clone, Debug)]
pub struct Shard {
    window: Duration,
    next: u64,
    keys: HashMap<Key, Hold>,
    /// The log's time of the latest record.
    latest: Duration,
    /// The log's time at which expired keys were last removed.
    last_removal: Duration,
}

/// Records expired before they were read. The fold has to restart, and pending claims can't be
/// decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("claims from {next} to {first} expired unread: pending claims can't be decided")]
pub struct Gap {
    /// The offset of the next record to read.
    pub next: u64,
    /// The oldest offset that the log still has.
    pub first: u64,
}

impl Shard {
    /// Returns an empty shard for a stream whose records are kept for at least `retention`.
    pub fn new(retention: Duration) -> Self {
        Self {
            window: retention / WINDOW_DIVISOR,
            next: 0,
            keys: HashMap::new(),
            latest: Duration::ZERO,
            last_removal: Duration::ZERO,
        }
    }

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Discards all claims and restarts at `first`, the oldest offset that the log has.
    pub fn restart(&mut self, first: u64) {
        self.keys.clear();
        self.next = first;
    }

    /// Checks that the log still has the next record, given `first`, the oldest offset that it has.
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

    /// Applies the record at `offset`, which the log appended at `appended_at` after the Unix epoch
    /// by its own clock. A record that was read before has no effect.
    pub fn read(&mut self, offset: u64, appended_at: Duration, data: &[u8]) -> Result<(), Gap> {
        if offset < self.next {
            return Ok(());
        }
        self.check(offset)?;
        self.next = offset + 1;
        self.latest = self.latest.max(appended_at);
        // A malformed record is treated as empty, since no valid claim can come from it.
        let record: Record = serde_json::from_slice(data).unwrap_or_default();
        for event in record.events {
            self.apply(appended_at, event);
        }
        self.remove_expired();
        Ok(())
    }

    /// Returns the verdict on the claim of `nonce`, or `None` if the key has no holder.
    pub fn verdict(&self, key: Key, nonce: Nonce) -> Option<Verdict> {
        self.keys.get(&key)?.verdict(nonce)
    }

    /// Records the outcome of a request before its record is read from the log.
    pub fn settle(&mut self, key: Key, nonce: Nonce, outcome: Outcome) {
        if let Some(hold) = self.keys.get_mut(&key) {
            hold.settle(nonce, outcome);
        }
    }

    /// Returns the verdict on a claim of `key` that the log appended at `appended_at`, outside the
    /// window in which claims count, or `None` within the window.
    pub fn window_violation(&self, key: Key, appended_at: Duration) -> Option<Verdict> {
        if appended_at > key.created() + self.window {
            return Some(Verdict::TooOld);
        }
        (key.created() > appended_at + self.window).then_some(Verdict::TooNew)
    }

    /// Returns the number of keys in memory.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no keys are in memory.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn apply(&mut self, appended_at: Duration, event: Event) {
        let Event { key, nonce, kind } = event;
        match kind {
            Kind::Claim if self.window_violation(key, appended_at).is_some() => {}
            Kind::Claim => self.keys.entry(key).or_default().claim(nonce),
            Kind::Release => self.keys.entry(key).or_default().release(nonce),
            Kind::Settle(outcome) => self.settle(key, nonce, outcome),
        }
    }

    /// Periodically removes keys whose claims no longer count.
    fn remove_expired(&mut self) {
        if self.latest < self.last_removal + self.window / 4 {
            return;
        }
        self.last_removal = self.latest;
        let (latest, window) = (self.latest, self.window);
        self.keys.retain(|key, _| key.created() + window >= latest);
    }
}
