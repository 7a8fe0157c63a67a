//! Snapshots of a fold, split into records that are small enough for the log.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::fold::Entry;
use crate::fold::Fold;
use crate::fold::Verdict;
use crate::item::Name;

/// The maximum number of entries in one part of a snapshot.
pub const ENTRIES_PER_PART: usize = 500;

/// One part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// A random number that the parts of one snapshot share.
    pub nonce: u64,
    /// The offset of the first record that the snapshot does not include.
    pub next: u64,
    /// The index of this part, from zero.
    pub index: usize,
    /// The number of parts in the snapshot.
    pub count: usize,
    /// The entries in this part.
    pub entries: BTreeMap<Name, Entry>,
    /// The latest verdicts; empty except in the first part.
    #[serde(default)]
    pub verdicts: VecDeque<Verdict>,
}

/// Splits a fold into the parts of a snapshot.
pub fn split(fold: &Fold, nonce: u64) -> Vec<Part> {
    let entries: Vec<_> = fold.entries().iter().collect();
    let count = entries.len().div_ceil(ENTRIES_PER_PART).max(1);
    (0..count)
        .map(|index| {
            let chunk = entries
                .chunks(ENTRIES_PER_PART)
                .nth(index)
                .unwrap_or_default();
            let entries = chunk
                .iter()
                .map(|(name, it)| ((*name).clone(), (*it).clone()));
            let verdicts = if index == 0 {
                fold.verdicts().clone()
            } else {
                VecDeque::new()
            };
            Part {
                nonce,
                next: fold.next(),
                index,
                count,
                entries: entries.collect(),
                verdicts,
            }
        })
        .collect()
}

/// Collects parts until a snapshot is complete.
#[derive(Debug, Default)]
pub struct Collector {
    pending: BTreeMap<u64, BTreeMap<usize, Part>>,
}

impl Collector {
    /// Adds one part from the log. Returns the fold once its snapshot is complete.
    pub fn read(&mut self, data: &[u8]) -> Option<Fold> {
        let part: Part = serde_json::from_slice(data).ok()?;
        let (nonce, count) = (part.nonce, part.count);
        let parts = self.pending.entry(nonce).or_default();
        parts.insert(part.index, part);
        if parts.len() < count {
            return None;
        }
        let parts = self.pending.remove(&nonce)?;
        let mut entries = BTreeMap::new();
        let mut verdicts = VecDeque::new();
        let mut next = 0;
        for part in parts.into_values() {
            next = part.next;
            entries.extend(part.entries);
            verdicts.extend(part.verdicts);
        }
        Some(Fold::from_parts(next, entries, verdicts))
    }
}
