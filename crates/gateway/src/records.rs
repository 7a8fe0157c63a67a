//! What the platform's lists say, shared between entries.
//!
//! Reading costs the platform a call for each entry, and the platform turns single entries away. So
//! one entry reads the list of servers and tells the others what changed and up to which position;
//! whoever hears nothing, or misses a stretch, reads for itself. An entry that can't reach the
//! platform asks a peer for everything that it knows.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use domain::Moment;
use wire::Listing;
use wire::Record;

use crate::port::List;
use crate::port::Snapshot;

/// The time between two readings of the list of servers: a third of the 2 s after which a leaving
/// server must get no more work.
pub const READ_INTERVAL: Duration = Duration::from_millis(650);
/// An entry of the next rank reads so much later if it hears nothing, so that one reads for all.
const RANK_DELAY: Duration = Duration::from_millis(80);
/// The longest such delay: all have to know of a leaving server within the 2 s.
const LONGEST_DELAY: Duration = Duration::from_millis(800);
/// Readings whose changes are told again, in case a datagram was lost.
const TOLD_AGAIN: usize = 3;
/// What the platform's lists say, as it was written.
#[derive(Debug, Default)]
pub struct Cache {
    /// The configuration of routes.
    routes: Option<Record>,
    routes_next: u64,
    servers: BTreeMap<String, Vec<u8>>,
    /// The position from which changes of servers are to be read; absent if nothing is known.
    servers_next: Option<u64>,
    /// When the list of servers was last known to be up to date.
    fresh: Option<Moment>,
    /// The changes of the last readings, and from where on they count.
    recent: VecDeque<(u64, Vec<Record>)>,
}

impl Cache {
    /// Returns the position from which changes of servers are to be read.
    pub fn servers_next(&self) -> Option<u64> {
        self.servers_next
    }

    /// Notes the configuration in force.
    pub fn note_routes(&mut self, record: &Record, next: u64) {
        self.routes = Some(record.clone());
        self.routes_next = next;
    }

    /// Returns when this entry has to read the list of servers itself, as one of this rank.
    pub fn due(&self, rank: usize) -> Moment {
        let delay = (RANK_DELAY * rank as u32).min(LONGEST_DELAY);
        self.fresh
            .map_or(Moment::default(), |it| it + READ_INTERVAL + delay)
    }

    /// Notes records of servers up to `next`. Those in `news` said something new.
    pub fn note_servers(&mut self, now: Moment, from: u64, next: u64, news: Vec<Record>) {
        for record in &news {
            match &record.value {
                Some(value) => self.servers.insert(record.key.clone(), value.clone()),
                None => self.servers.remove(&record.key),
            };
        }
        self.recent.push_back((from, news));
        while self.recent.len() > TOLD_AGAIN {
            self.recent.pop_front();
        }
        self.servers_next = Some(next);
        self.fresh = Some(now);
    }

    /// Forgets the servers, since all of them are about to be told.
    pub fn clear_servers(&mut self) {
        self.servers.clear();
        self.recent.clear();
    }

    /// Notes that the positions known are no longer kept.
    pub fn lose_position(&mut self) {
        self.servers_next = None;
    }

    /// Returns what the other entries are to be told after a reading.
    pub fn listing(&self) -> Option<Listing> {
        let (from, _) = self.recent.front()?;
        let records = self.recent.iter().flat_map(|it| &it.1);
        Some(Listing {
            from: *from,
            to: self.servers_next?,
            records: records.cloned().collect(),
        })
    }

    /// Tells whether a listing of another entry continues what is known here.
    pub fn is_continued_by(&self, listing: &Listing) -> bool {
        let known = self.servers_next;
        known.is_some_and(|it| listing.from <= it && it <= listing.to)
    }

    /// Returns all that is known of a list.
    pub fn snapshot(&self, list: List) -> Snapshot {
        match list {
            List::Routes => Snapshot {
                records: self.routes.iter().cloned().collect(),
                next: self.routes_next,
            },
            List::Servers | List::Entries => Snapshot {
                records: self
                    .servers
                    .iter()
                    .map(|(key, value)| Record {
                        key: key.clone(),
                        value: Some(value.clone()),
                    })
                    .collect(),
                next: self.servers_next.unwrap_or_default(),
            },
        }
    }
}
