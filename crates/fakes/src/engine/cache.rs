//! The prefix cache: which starts of prompts need no prefill, with events late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use domain::Moment;
use domain::digest;
use serde::Deserialize;
use serde::Serialize;

/// The length of a cached block, in tokens.
pub const BLOCK_TOKENS: u64 = 1_024;
/// The blocks that the cache holds.
const BLOCK_LIMIT: usize = 512;
/// How late events come out.
const EVENT_LAG: Duration = Duration::from_millis(300);
/// One event in so many is lost.
const EVENT_GAP: u64 = 10;
/// The events that are kept.
const EVENT_LIMIT: usize = 1_000;

/// Cached starts of prompts, the latest used last.
#[derive(Debug, Default)]
pub struct Cache {
    blocks: VecDeque<u64>,
    events: VecDeque<Event>,
    next_event: u64,
}

/// A change of the cache.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// The event's number; gaps occur.
    pub number: u64,
    /// The digest of the prompt up to the end of the block.
    pub block: u64,
    /// Whether the block was stored or dropped.
    pub is_stored: bool,
    #[serde(skip)]
    at: Moment,
}

/// Returns the digests of a prompt up to the end of each whole block.
pub fn prefix_digests(prompt: &str) -> Vec<u64> {
    let block = (BLOCK_TOKENS * domain::length::BYTES_PER_TOKEN) as usize;
    let mut running = 0;
    let whole = prompt.as_bytes().chunks_exact(block);
    let digests = whole.map(|it| {
        running = digest::seeded(it, running);
        running
    });
    digests.collect()
}

impl Cache {
    /// Returns how many tokens of a prompt are cached, and caches all of it.
    pub fn access(&mut self, now: Moment, prefixes: &[u64]) -> u64 {
        let known = prefixes
            .iter()
            .take_while(|it| self.blocks.contains(it))
            .count();
        for block in prefixes {
            let is_stored = !self.blocks.contains(block);
            self.blocks.retain(|it| it != block);
            self.blocks.push_back(*block);
            if is_stored {
                self.tell(now, *block, true);
            }
        }
        while self.blocks.len() > BLOCK_LIMIT {
            if let Some(block) = self.blocks.pop_front() {
                self.tell(now, block, false);
            }
        }
        known as u64 * BLOCK_TOKENS
    }

    /// Returns the events from a number on that have come out by now.
    pub fn events(&self, now: Moment, from: u64) -> Vec<&Event> {
        let out = self
            .events
            .iter()
            .filter(|it| it.number >= from && it.at + EVENT_LAG <= now);
        out.collect()
    }

    fn tell(&mut self, now: Moment, block: u64, is_stored: bool) {
        self.next_event += 1;
        if self.next_event.is_multiple_of(EVENT_GAP) {
            return;
        }
        self.events.push_back(Event {
            number: self.next_event,
            block,
            is_stored,
            at: now,
        });
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }
}
