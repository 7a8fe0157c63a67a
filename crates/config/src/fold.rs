//! The fold: the state after reading the log up to a position.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::item::Item;
use crate::item::Name;
use crate::item::Version;
use crate::record::Record;

/// The number of recent verdicts that a fold keeps for operators who ask, and of recent nonces
/// that it recognises.
pub const VERDICTS_KEPT: usize = 256;

/// The state after reading the log up to a position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fold {
    /// The offset of the next record to read.
    next: u64,
    /// Every item that ever existed; removed ones keep their version.
    entries: BTreeMap<Name, Entry>,
    /// The latest records and what became of them, oldest first.
    verdicts: VecDeque<Verdict>,
}

/// An item with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The version; it only grows.
    pub version: Version,
    /// The value; absent once removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Item>,
}

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The record's offset.
    pub offset: u64,
    /// The record's nonce.
    pub nonce: u64,
    /// Who published it.
    pub author: String,
    /// What was decided.
    pub outcome: Outcome,
}

/// Whether a record came into force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It is in force.
    Accepted,
    /// Another operator was first.
    Lost {
        /// The item that had changed.
        name: Name,
        /// The version that the record expected.
        expected: Version,
        /// The version that it met.
        found: Version,
    },
    /// It could not be read.
    Malformed,
}

/// A record that can't be folded yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("records from {next} to {offset} are missing: start again from a snapshot or a peer")]
pub struct Gap {
    /// The offset that the fold expects.
    pub next: u64,
    /// The offset that it was given.
    pub offset: u64,
}

impl Fold {
    /// Returns a fold with the given contents, as a snapshot holds them.
    pub(crate) fn from_parts(
        next: u64,
        entries: BTreeMap<Name, Entry>,
        verdicts: VecDeque<Verdict>,
    ) -> Self {
        Self {
            next,
            entries,
            verdicts,
        }
    }

    /// Reads the record at `offset`. A record that was read before changes nothing.
    pub fn read(&mut self, offset: u64, data: &[u8]) -> Result<(), Gap> {
        if offset < self.next {
            return Ok(());
        }
        if offset > self.next {
            return Err(Gap {
                next: self.next,
                offset,
            });
        }
        self.next = offset + 1;
        match serde_json::from_slice::<Record>(data) {
            Ok(record) => self.decide(offset, record),
            Err(_) => self.keep(Verdict {
                offset,
                nonce: 0,
                author: String::new(),
                outcome: Outcome::Malformed,
            }),
        }
        Ok(())
    }

    /// Takes over `other` if it has read further. Returns whether it did.
    pub fn merge(&mut self, other: Self) -> bool {
        if other.next <= self.next {
            return false;
        }
        *self = other;
        true
    }

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns the version of an item; zero if it never existed.
    pub fn version(&self, name: &Name) -> Version {
        self.entries.get(name).map_or(0, |entry| entry.version)
    }

    /// Returns an item, unless it does not exist.
    pub fn item(&self, name: &Name) -> Option<&Item> {
        self.entries.get(name)?.value.as_ref()
    }

    /// Returns the items that exist, by name.
    pub fn items(&self) -> impl Iterator<Item = (&Name, &Item)> {
        self.entries
            .iter()
            .filter_map(|(name, entry)| Some((name, entry.value.as_ref()?)))
    }

    /// Returns all entries, removed ones included, by name.
    pub fn entries(&self) -> &BTreeMap<Name, Entry> {
        &self.entries
    }

    /// Returns the latest records and what became of them, oldest first.
    pub fn verdicts(&self) -> &VecDeque<Verdict> {
        &self.verdicts
    }

    /// Returns what became of the record with this nonce, if it was read lately.
    pub fn verdict(&self, nonce: u64) -> Option<&Verdict> {
        self.verdicts.iter().find(|verdict| verdict.nonce == nonce)
    }

    fn decide(&mut self, offset: u64, record: Record) {
        if self.verdict(record.nonce).is_some() {
            return;
        }
        let lost = record
            .changes
            .iter()
            .find(|it| self.version(&it.name) != it.replaces);
        let outcome = match lost {
            Some(change) => Outcome::Lost {
                name: change.name.clone(),
                expected: change.replaces,
                found: self.version(&change.name),
            },
            None => Outcome::Accepted,
        };
        if outcome == Outcome::Accepted {
            let version = offset + 1;
            for change in record.changes {
                self.entries.insert(
                    change.name,
                    Entry {
                        version,
                        value: change.value,
                    },
                );
            }
        }
        self.keep(Verdict {
            offset,
            nonce: record.nonce,
            author: record.author,
            outcome,
        });
    }

    fn keep(&mut self, verdict: Verdict) {
        if self.verdicts.len() == VERDICTS_KEPT {
            self.verdicts.pop_front();
        }
        self.verdicts.push_back(verdict);
    }
}
