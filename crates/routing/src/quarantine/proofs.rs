//! The parts of prompts that ran to their end lately, in bounded memory.

use std::collections::HashMap;

use domain::Moment;

use super::PROOF_LIMIT;
use super::PROOF_TIME;

/// Parts of prompts that ran to their end, in two generations. The older one is dropped as a whole, so
/// that no answer pays for a sweep.
#[derive(Clone, Debug, Default)]
pub struct Proofs {
    /// The parts with the time of their latest proof.
    current: HashMap<u64, Moment>,
    previous: HashMap<u64, Moment>,
    /// When the current generation began.
    began_at: Moment,
}

impl Proofs {
    /// Records that a request with this part ran to its end.
    pub fn insert(&mut self, now: Moment, part: u64) {
        let is_full = self.current.len() >= PROOF_LIMIT / 2 && !self.current.contains_key(&part);
        if is_full || now.since(self.began_at) >= PROOF_TIME {
            self.previous = std::mem::take(&mut self.current);
            self.began_at = now;
        }
        self.current.insert(part, now);
    }

    /// Returns whether a request with this part ran to its end within [`PROOF_TIME`].
    pub fn contains(&self, now: Moment, part: u64) -> bool {
        let current = self.current.get(&part);
        let proven = current.or_else(|| self.previous.get(&part));
        proven.is_some_and(|it| now.since(*it) < PROOF_TIME)
    }

    /// Returns the number of parts that are kept.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }
}
