//! The fold, which is the configuration state after reading the log up to an offset.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::item::Item;
use crate::item::Name;
use crate::item::Version;
use crate::record::Record;

/// The number of recent verdicts that a fold keeps. Operators can query them, and records with one
/// of their nonces are recognised as duplicates.
pub const VERDICTS_KEPT: usize = 256;

/// The configuration state after reading the log up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fold {
    /// The offset of the next record to read.
    next: u64,
    /// Every item that ever existed; removed items keep their version.
    entries: BTreeMap<Name, Entry>,
    /// The verdicts on the latest records, oldest first.
    verdicts: VecDeque<Verdict>,
}

/// An item with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The version, which only increases.
    pub version: Version,
    /// The value; absent if the item was removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Item>,
}

/// The decision on a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The record's offset.
    pub offset: u64,
    /// The record's nonce.
    pub nonce: u64,
    /// The operator who published the record.
    pub author: String,
    /// Whether the record took effect.
    pub outcome: Outcome,
}

/// Whether a record took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The record took effect.
    Accepted,
    /// Another record changed an item first.
    Lost {
        /// The first item whose version did not match.
        name: Name,
        /// The version that the record expected.
        expected: Version,
        /// The item's current version.
        found: Version,
    },
    /// The record could not be parsed.
    Malformed,
}

/// A record that can't be applied because earlier ones are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("records from {next} to {offset} are missing: restart from a snapshot or a peer")]
pub struct Gap {
    /// The offset of the next record to read.
    pub next: u64,
    /// The offset of the given record.
    pub offset: u64,
}

impl Fold {
    /// Returns a fold with the given contents, taken from a snapshot.
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

    /// Applies the record at `offset`. A record that was read before has no effect.
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
            Ok(record) => self.apply(offset, record),
            Err(_) => self.push_verdict(Verdict {
                offset,
                nonce: 0,
                author: String::new(),
                outcome: Outcome::Malformed,
            }),
        }
        Ok(())
    }

    /// Replaces this fold by `other` if that has read further. Returns whether it did.
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

    /// Returns the version of an item, or zero if it never existed.
    pub fn version(&self, name: &Name) -> Version {
        self.entries.get(name).map_or(0, |entry| entry.version)
    }

    /// Returns an item, or `None` if it does not exist.
    pub fn item(&self, name: &Name) -> Option<&Item> {
        self.entries.get(name)?.value.as_ref()
    }

    /// Returns the items that exist, in order of name.
    pub fn items(&self) -> impl Iterator<Item = (&Name, &Item)> {
        self.entries
            .iter()
            .filter_map(|(name, entry)| Some((name, entry.value.as_ref()?)))
    }

    /// Returns all entries by name, including removed ones.
    pub fn entries(&self) -> &BTreeMap<Name, Entry> {
        &self.entries
    }

    /// Returns the verdicts on the latest records, oldest first.
    pub fn verdicts(&self) -> &VecDeque<Verdict> {
        &self.verdicts
    }

    /// Returns the verdict on the record with this nonce, if the record is among the latest.
    pub fn verdict(&self, nonce: u64) -> Option<&Verdict> {
        self.verdicts.iter().find(|verdict| verdict.nonce == nonce)
    }

    fn apply(&mut self, offset: u64, record: Record) {
        if self.verdict(record.nonce).is_some() {
            return;
        }
        let conflict = record
            .changes
            .iter()
            .find(|it| self.version(&it.name) != it.replaces);
        let outcome = match conflict {
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
        self.push_verdict(Verdict {
            offset,
            nonce: record.nonce,
            author: record.author,
            outcome,
        });
    }

    fn push_verdict(&mut self, verdict: Verdict) {
        if self.verdicts.len() == VERDICTS_KEPT {
            self.verdicts.pop_front();
        }
        self.verdicts.push_back(verdict);
    }
}
