//! A cache of the records of the platform's lists, which entries share with each other.
//!
//! Each entry that reads costs the platform a call, and the platform may refuse calls of single
//! entries. So one entry reads the list of servers and broadcasts the changes, with the positions
//! between which they are complete. An entry that receives no broadcast, or misses a range, reads the
//! list itself. An entry that can't reach the platform fetches the cached records of a peer.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use domain::Moment;
use placement::Listing;
use placement::Server;
use wire::Delta;
use wire::Record;

use crate::port::List;
use crate::port::Snapshot;
use crate::position;

/// The interval between two reads of the list of servers: a third of the 2 s after which a leaving
/// server must receive no more work.
pub const READ_INTERVAL: Duration = Duration::from_millis(650);
/// The additional delay per rank before an entry reads the list itself. With it, one entry usually
/// reads for all.
const RANK_DELAY: Duration = Duration::from_millis(80);
/// The maximum such delay: all entries must learn of a leaving server within the 2 s.
const MAX_DELAY: Duration = Duration::from_millis(800);
/// The number of ranges of changes that each broadcast contains, in case a datagram was lost.
const RANGES_REPEATED: usize = 3;
/// The time for which a range is broadcast again. Most reads find no changes, so a range would
/// otherwise be repeated until others displace it.
const REPEAT_TIME: Duration = Duration::from_secs(2);

/// Returns whether an entry of this rank broadcasts what it reads. Those of higher ranks share the longest
/// delay, so that many of them may read at the same moment.
pub fn is_broadcaster(rank: usize) -> bool {
    read_delay(rank) < MAX_DELAY
}

fn read_delay(rank: usize) -> Duration {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    RANK_DELAY.saturating_mul(rank).min(MAX_DELAY)
}

/// A record of the list of servers, and what it was decoded to.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// The record.
    pub record: Record,
    /// The server; `None` if the record removes it or can't be decoded.
    pub server: Option<Server>,
    /// Whether it can't be decoded, and this entry has not reported that before. Other entries report it too.
    pub is_new_fault: bool,
}

/// The records of the platform's lists.
#[derive(Debug, Default)]
pub struct Cache {
    /// The record with the configuration of routes.
    routes: Option<Record>,
    /// The position from which to read changes of routes.
    routes_position: u64,
    /// When the platform last answered a read of the configuration.
    routes_read: Option<Moment>,
    servers: BTreeMap<String, Cached>,
    /// The position from which to read changes of servers; absent if no list was read.
    servers_position: Option<u64>,
    /// When the list of servers was last up to date.
    updated: Option<Moment>,
    /// Whether another entry has broadcast changes that start after the cached position.
    is_behind: bool,
    /// Whether the platform has no changes from the cached position on, so that the whole list has to
    /// be read.
    is_position_lost: bool,
    /// Whether the store has moved to another address, and the whole list was not read there yet. The cached
    /// position is one of the earlier store then.
    has_store_moved: bool,
    /// The latest changes. Each range starts where the previous one ends, and the last one ends at
    /// the cached position.
    recent: VecDeque<Range>,
}

/// The latest record of a server that says something new.
#[derive(Debug)]
struct Cached {
    value: Vec<u8>,
    /// What it says; `None` if it can't be decoded.
    listing: Option<Listing>,
}

impl Cached {
    fn new(now: Moment, value: &[u8], server: Option<&Server>) -> Self {
        Self {
            value: value.to_vec(),
            listing: server.map(|it| Listing::new(now, it.clone())),
        }
    }
}

/// All changes of the list of servers from a position up to the next range.
#[derive(Debug)]
struct Range {
    from: u64,
    stored: Moment,
    records: Vec<Record>,
}

impl Cache {
    /// Returns the position from which to read changes of servers.
    pub fn servers_position(&self) -> Option<u64> {
        self.servers_position
    }

    /// Returns the same position if it is one of the store at its present address.
    pub fn store_position(&self) -> Option<u64> {
        self.servers_position.filter(|_| !self.has_store_moved)
    }

    /// Returns the position from which to read changes of servers from the platform; absent if the
    /// whole list has to be read.
    pub fn read_position(&self) -> Option<u64> {
        self.store_position().filter(|_| !self.is_position_lost)
    }

    /// Stores the record of the configuration in force.
    pub fn store_routes(&mut self, record: &Record, next: u64) {
        self.routes = Some(record.clone());
        self.routes_position = next;
    }

    /// Records that the platform has answered a read of the configuration.
    pub fn record_routes_read(&mut self, now: Moment) {
        self.routes_read = Some(now);
    }

    /// Returns the time since the platform last answered a read of the configuration; `None` if it never
    /// has.
    pub fn routes_age(&self, now: Moment) -> Option<Duration> {
        self.routes_read.map(|it| now.since(it))
    }

    /// Returns when an entry of this rank has to read the list of servers itself: at once if changes
    /// are known to be missing.
    pub fn next_read(&self, rank: usize) -> Moment {
        if self.is_behind {
            return Moment::default();
        }
        self.updated.map_or(Moment::default(), |it| {
            it + READ_INTERVAL + read_delay(rank)
        })
    }

    /// Stores the records of the positions `from` to `next`, which have to include the cached position. Returns those
    /// that say something else than the list did before. Only they are passed on to other entries.
    pub fn store_servers(
        &mut self,
        now: Moment,
        from: u64,
        next: u64,
        updates: Vec<Update>,
    ) -> Vec<Update> {
        self.updated = Some(now);
        self.is_behind = false;
        self.is_position_lost = false;
        self.recent.retain(|it| now.since(it.stored) < REPEAT_TIME);
        let position = self.servers_position;
        if position.is_some_and(|it| next <= it) {
            return Vec::new();
        }
        let changes = updates.into_iter().filter(|it| self.store(now, it));
        let changes: Vec<Update> = changes.collect();
        // Changes before the cached position are in earlier ranges, so this one does not cover them.
        self.recent.push_back(Range {
            from: position.map_or(from, |it| it.max(from)),
            stored: now,
            records: changes.iter().map(|it| it.record.clone()).collect(),
        });
        while self.recent.len() > RANGES_REPEATED {
            self.recent.pop_front();
        }
        self.servers_position = Some(next);
        changes
    }

    /// Stores a record if it says something else than the list did before. Returns whether it does.
    fn store(&mut self, now: Moment, update: &Update) -> bool {
        let Update { record, server, .. } = update;
        let Some(value) = &record.value else {
            self.servers.remove(&record.key);
            return true;
        };
        let known = self.servers.get(&record.key).map(|it| &it.listing);
        let is_change = match (known, server) {
            (Some(Some(known)), Some(server)) => known.is_changed_by(now, server),
            (Some(known), server) => known.is_some() != server.is_some(),
            (None, server) => server.is_some(),
        };
        let is_stored = is_change || update.is_new_fault;
        if is_stored {
            let cached = Cached::new(now, value, server.as_ref());
            self.servers.insert(record.key.clone(), cached);
        }
        is_stored
    }

    /// Replaces all servers by a whole list, which is complete up to `next`.
    pub fn replace_servers(&mut self, now: Moment, next: u64, updates: &[Update]) {
        let servers = updates.iter().filter_map(|it| {
            let value = it.record.value.as_ref()?;
            let cached = Cached::new(now, value, it.server.as_ref());
            Some((it.record.key.clone(), cached))
        });
        self.servers = servers.collect();
        self.recent.clear();
        self.servers_position = Some(next);
        self.updated = Some(now);
        self.is_behind = false;
        self.is_position_lost = false;
    }

    /// Records that the platform has no changes from the cached position on: they are deleted, or
    /// the store came back from an older copy.
    pub fn lose_position(&mut self) {
        self.is_position_lost = true;
    }

    /// Records that the store has moved to another address. The store there may have other records before the
    /// cached position.
    pub fn move_store(&mut self) {
        self.has_store_moved = true;
    }

    /// Records that the whole list was read from the store at its present address.
    pub fn record_store_read(&mut self) {
        self.has_store_moved = false;
    }

    /// Returns whether a list that is complete up to `next`, the first one that was read since the store moved,
    /// shows that the store lacks records of the earlier one.
    pub fn is_before_move(&self, next: u64) -> bool {
        self.has_store_moved && self.servers_position.is_some_and(|it| next < it)
    }

    /// Returns whether a list that is complete up to `next` shows that the store came back from an
    /// older copy since the cached list was read.
    pub fn is_before_return(&self, next: u64) -> bool {
        let position = self.servers_position;
        position.is_some_and(|it| position::era(it) < position::era(next))
    }

    /// Returns the delta to broadcast to the other entries after a read. If there are no recent
    /// changes, it is empty and confirms that the list is up to date.
    pub fn delta(&self) -> Option<Delta> {
        let to = self.servers_position?;
        let records = self.recent.iter().flat_map(|it| &it.records);
        Some(Delta {
            from: self.recent.front().map_or(to, |it| it.from),
            to,
            records: records.cloned().collect(),
        })
    }

    /// Returns whether the delta of another entry continues from the cached position.
    pub fn is_continued_by(&self, delta: &Delta) -> bool {
        let position = self.read_position();
        position.is_some_and(|it| delta.from <= it && it <= delta.to)
    }

    /// Returns whether the cache already reflects a record of the log. Applying it again could undo
    /// later ones: a server that was removed and listed again would be removed.
    pub fn contains(&self, record: &Record) -> bool {
        let position = self.servers_position;
        record.next != 0 && position.is_some_and(|it| record.next <= it)
    }

    /// Records that a delta could not be applied. Returns whether changes between the cached position
    /// and its start are missing.
    pub fn record_ignored(&mut self, delta: &Delta) -> bool {
        let is_gap = self.servers_position.is_some_and(|it| it < delta.from);
        self.is_behind |= is_gap;
        is_gap
    }

    /// Returns whether another entry is known to have later changes.
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// Returns all cached records of a list.
    pub fn snapshot(&self, list: List) -> Snapshot {
        match list {
            List::Routes => Snapshot {
                records: self.routes.iter().cloned().collect(),
                next: self.routes_position,
            },
            List::Servers | List::Entries => Snapshot {
                records: self
                    .servers
                    .iter()
                    .map(|(key, cached)| Record {
                        key: key.clone(),
                        value: Some(cached.value.clone()),
                        next: 0,
                    })
                    .collect(),
                next: self.servers_position.unwrap_or_default(),
            },
        }
    }
}
