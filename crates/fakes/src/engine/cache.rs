//! The prefix cache: prompt prefixes that need no prefill. Cache events are delayed and some of
//! them are lost.

use std::collections::VecDeque;
use std::time::Duration;

use domain::Moment;
use domain::digest;
use serde::Deserialize;
use serde::Serialize;

/// The length of a cached block, in tokens.
pub const BLOCK_TOKENS: u64 = 1_024;
/// The maximum number of blocks in the cache.
const BLOCK_LIMIT: usize = 512;
/// The delay of events.
const EVENT_LAG: Duration = Duration::from_millis(300);
/// One in this many events is lost.
const EVENT_LOSS: u64 = 10;
/// The maximum number of events that are kept.
const EVENT_LIMIT: usize = 1_000;

/// The cached blocks, in order of their last use.
#[derive(Debug, Default)]
pub struct Cache {
    blocks: VecDeque<u64>,
    events: VecDeque<Event>,
    last_event: u64,
}

/// A change of the cache's content.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// The sequence number of the event. Lost events leave gaps.
    pub number: u64,
    /// The digest of the prompt up to the end of the block.
    pub block: u64,
    /// Whether the block was stored; `false` if it was evicted.
    pub is_stored: bool,
    #[serde(skip)]
    at: Moment,
}

/// Returns the digests of a prompt up to the end of each whole block.
pub fn prefix_digests(prompt: &str) -> Vec<u64> {
    let block_bytes = (BLOCK_TOKENS * domain::length::BYTES_PER_TOKEN) as usize;
    let mut prefix = 0;
    let blocks = prompt.as_bytes().chunks_exact(block_bytes);
    let digests = blocks.map(|it| {
        prefix = digest::seeded(it, prefix);
        prefix
    });
    digests.collect()
}

impl Cache {
    /// Returns how many tokens of a prompt are cached, then caches all its blocks.
    pub fn access(&mut self, now: Moment, prefixes: &[u64]) -> u64 {
        let cached = prefixes
            .iter()
            .take_while(|it| self.blocks.contains(it))
            .count();
        for block in prefixes {
            let is_stored = !self.blocks.contains(block);
            self.blocks.retain(|it| it != block);
            self.blocks.push_back(*block);
            if is_stored {
                self.record_event(now, *block, true);
            }
        }
        while self.blocks.len() > BLOCK_LIMIT {
            if let Some(block) = self.blocks.pop_front() {
                self.record_event(now, block, false);
            }
        }
        cached as u64 * BLOCK_TOKENS
    }

    /// Returns the events from a sequence number that are visible at `now`.
    pub fn events(&self, now: Moment, from: u64) -> Vec<&Event> {
        let visible = self
            .events
            .iter()
            .filter(|it| it.number >= from && it.at + EVENT_LAG <= now);
        visible.collect()
    }

    fn record_event(&mut self, now: Moment, block: u64, is_stored: bool) {
        self.last_event += 1;
        if self.last_event.is_multiple_of(EVENT_LOSS) {
            return;
        }
        self.events.push_back(Event {
            number: self.last_event,
            block,
            is_stored,
            at: now,
        });
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}
