//! Which data centres are evacuated, as one entry knows it.
//!
//! Each entry acts on its own copy. A copy changes by what the entry reads of the operator's list and by
//! the copies of other entries, and each of these comes with the position in the list as of which it is
//! known. The later position wins, so stale, repeated and reordered updates change nothing.
//!
//! If the store comes back from an older copy, its list may lack evacuations that operators still count
//! on. They are held for a while, in which the operator writes them again.

use std::collections::BTreeSet;
use std::time::Duration;

use domain::Moment;
use domain::evacuation::Set;
use domain::position;

/// The time for which a list of a later era ends no evacuation. The operator rewrites within it what the
/// store has lost.
const HOLD_TIME: Duration = Duration::from_secs(10);

/// One entry's copy of the evacuated data centres.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// What is known; absent until the list was read or another entry sent its copy.
    known: Option<Set>,
    /// Until when evacuations that only earlier eras have are held.
    hold_end: Moment,
    /// Data centres whose evacuation ended in the present era, so that older copies of others don't
    /// hold them again.
    removed: BTreeSet<String>,
    /// When this copy was last known to be up to date.
    updated: Option<Moment>,
}

/// A record of the operator's list that starts or ends an evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The data centre.
    pub data_centre: String,
    /// Whether the record starts the evacuation. Otherwise it ends it.
    pub is_start: bool,
    /// The position after the record.
    pub next: u64,
}

/// What an update changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The data centres whose evacuation has started.
    pub started: Vec<String>,
    /// The data centres whose evacuation has ended, so that their servers get work again.
    pub ended: Vec<String>,
    /// The time since this copy was last known to be up to date, which bounds the delay of the change.
    /// Absent for the first update.
    pub delay: Option<Duration>,
}

impl Change {
    /// Returns whether any evacuation started or ended.
    pub fn is_empty(&self) -> bool {
        self.started.is_empty() && self.ended.is_empty()
    }
}

impl Evacuations {
    /// Returns what is known, to send it to other entries.
    pub fn known(&self) -> Option<&Set> {
        self.known.as_ref()
    }

    /// Returns the data centres whose servers get no new work.
    pub fn data_centres(&self) -> BTreeSet<String> {
        self.known
            .as_ref()
            .map(Set::data_centres)
            .unwrap_or_default()
    }

    /// Applies a whole list, read from the platform, that is complete up to `position`.
    pub fn apply_list(&mut self, now: Moment, position: u64, listed: BTreeSet<String>) -> Change {
        self.update(now, |it| {
            it.adopt(
                now,
                &Set {
                    position,
                    listed,
                    held: BTreeSet::new(),
                },
            );
        })
    }

    /// Applies the records of the positions `from` to `to`, read from the platform. Returns `None` if
    /// records before them are missing, so that the whole list has to be read.
    pub fn apply_changes(
        &mut self,
        now: Moment,
        from: u64,
        to: u64,
        records: &[Record],
    ) -> Option<Change> {
        let known = self.known.as_ref()?;
        if from > known.position {
            return None;
        }
        if to < known.position || position::era(from) < position::era(known.position) {
            return Some(Change::default());
        }
        let known = known.position;
        Some(self.update(now, |it| {
            for record in records.iter().filter(|it| it.next > known) {
                it.apply_record(record);
            }
            if let Some(known) = &mut it.known {
                known.position = to;
            }
            it.updated = Some(now);
        }))
    }

    /// Applies another entry's copy.
    pub fn receive(&mut self, now: Moment, set: &Set) -> Change {
        self.update(now, |it| it.adopt(now, set))
    }

    /// Ends the evacuations that were held for long enough. Must be called several times a second.
    pub fn expire(&mut self, now: Moment) -> Change {
        if now < self.hold_end {
            return Change::default();
        }
        self.update(now, |it| {
            if let Some(known) = &mut it.known {
                known.held.clear();
            }
        })
    }

    /// Runs `update` and returns what it changed.
    fn update(&mut self, now: Moment, update: impl FnOnce(&mut Self)) -> Change {
        let before = self.data_centres();
        let delay = self.updated.map(|it| now.since(it));
        update(self);
        let after = self.data_centres();
        Change {
            started: after.difference(&before).cloned().collect(),
            ended: before.difference(&after).cloned().collect(),
            delay,
        }
    }

    /// Adopts a set if it is not older than what is known.
    fn adopt(&mut self, now: Moment, set: &Set) {
        let Some(known) = &mut self.known else {
            self.known = Some(set.clone());
            self.hold_end = now + HOLD_TIME;
            self.updated = Some(now);
            return;
        };
        let (era, known_era) = (position::era(set.position), position::era(known.position));
        if era < known_era {
            // The store may have lost these evacuations when it came back.
            self.hold(now, &set.data_centres());
            return;
        }
        if era > known_era {
            known.held = known.data_centres();
            known.listed.clear();
            known.position = set.position;
            self.removed.clear();
            self.hold_end = now + HOLD_TIME;
        }
        if set.position > known.position {
            self.removed
                .extend(known.listed.difference(&set.listed).cloned());
            known.listed.clear();
            known.position = set.position;
        }
        if set.position == known.position {
            // A record that is missing from the log's history may still be in a list as of the same
            // position, so neither of two sets of one position ends what the other one has.
            known.listed.extend(set.listed.iter().cloned());
            self.updated = Some(now);
        }
        self.removed.retain(|it| !known.listed.contains(it));
        let listed = known.listed.clone();
        known.held.retain(|it| !listed.contains(it));
        self.hold(now, &set.held);
    }

    /// Holds data centres that are not on the list, within the time for that.
    fn hold(&mut self, now: Moment, data_centres: &BTreeSet<String>) {
        let Some(known) = self.known.as_mut().filter(|_| now < self.hold_end) else {
            return;
        };
        let (listed, removed) = (&known.listed, &self.removed);
        let is_lost = |it: &&String| !listed.contains(*it) && !removed.contains(*it);
        known
            .held
            .extend(data_centres.iter().filter(is_lost).cloned());
    }

    fn apply_record(&mut self, record: &Record) {
        let Some(known) = &mut self.known else {
            return;
        };
        known.held.remove(&record.data_centre);
        if record.is_start {
            self.removed.remove(&record.data_centre);
            known.listed.insert(record.data_centre.clone());
        } else {
            known.listed.remove(&record.data_centre);
            self.removed.insert(record.data_centre.clone());
        }
    }
}
