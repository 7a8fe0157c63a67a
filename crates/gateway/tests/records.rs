//! Tests that one entry reads the list of servers for all, and that an entry that misses changes
//! reads the list itself.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::Moment;
use gateway::port::List;
use gateway::position;
use gateway::records;
use gateway::records::Cache;
use gateway::records::READ_INTERVAL;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use wire::Delta;
use wire::Record;

const START: Moment = Moment::from_millis(5_000);

fn record(key: &str) -> Record {
    Record {
        key: key.to_owned(),
        value: Some(b"{}".to_vec()),
        next: 0,
    }
}

fn delta(from: u64, to: u64) -> Delta {
    Delta {
        from,
        to,
        records: Vec::new(),
    }
}

#[test]
fn next_read_without_records_is_immediate() {
    assert_eq!(Cache::default().next_read(5), Moment::default());
}

#[test]
fn next_read_higher_rank_is_later_within_two_seconds() {
    let mut cache = Cache::default();
    cache.store_servers(START, 0, 4, Vec::new());
    assert_eq!(cache.next_read(0), START + READ_INTERVAL);
    assert!(cache.next_read(1) > cache.next_read(0));
    assert!(cache.next_read(300) < START + Duration::from_secs(2));
}

#[test]
fn is_broadcaster_only_if_no_other_entry_reads_at_the_same_moment() {
    let mut cache = Cache::default();
    cache.store_servers(START, 0, 0, vec![]);
    for rank in 0..400 {
        let is_alone = cache.next_read(rank) < cache.next_read(rank + 1);
        assert_eq!(records::is_broadcaster(rank), is_alone, "{rank}");
    }
    assert!((0..9).all(records::is_broadcaster));
}

#[test]
fn listing_contains_last_three_reads() {
    let mut cache = Cache::default();
    assert_eq!(cache.delta(), None);
    for (from, key) in [(0, "a"), (4, "b"), (9, "c"), (12, "d")] {
        cache.store_servers(START, from, from + 3, vec![record(key)]);
    }
    let delta = cache.delta().expect("a delta");
    assert_eq!((delta.from, delta.to), (4, 15));
    let keys: Vec<&str> = delta.records.iter().map(|it| it.key.as_str()).collect();
    assert_eq!(keys, ["b", "c", "d"]);
}

#[test]
fn delta_omits_no_change_after_peers_repeated_it() {
    let mut cache = Cache::default();
    cache.store_servers(START, 4, 4, Vec::new());
    cache.store_servers(START, 4, 9, vec![record("leaving")]);
    for _ in 0..3 {
        // Another entry broadcasts the same range, which contains nothing new.
        cache.store_servers(START, 4, 9, Vec::new());
    }
    cache.store_servers(START, 9, 12, Vec::new());
    let delta = cache.delta().expect("a delta");
    assert!(
        delta.from >= 9 || delta.records.contains(&record("leaving")),
        "{delta:?}"
    );
}

#[test]
fn delta_stops_repeating_changes() {
    let mut cache = Cache::default();
    cache.store_servers(START, 4, 9, vec![record("a")]);
    let later = START + Duration::from_secs(1);
    cache.store_servers(later, 9, 9, Vec::new());
    assert_eq!(cache.delta().map(|it| (it.from, it.to)), Some((4, 9)));
    let later = START + Duration::from_secs(2);
    cache.store_servers(later, 9, 9, Vec::new());
    assert_eq!(cache.delta(), Some(delta(9, 9)));
}

#[test]
fn delta_omits_whole_list() {
    let mut cache = Cache::default();
    cache.store_servers(START, 4, 9, vec![record("a")]);
    cache.replace_servers(START, 12, vec![record("b")]);
    assert_eq!(cache.delta(), Some(delta(12, 12)));
    assert_eq!(cache.snapshot(List::Servers).records, [record("b")]);
}

#[test]
fn is_continued_by_rejects_gap() {
    let mut cache = Cache::default();
    assert!(!cache.is_continued_by(&delta(0, 9)));
    cache.store_servers(START, 0, 5, Vec::new());
    assert!(cache.is_continued_by(&delta(2, 9)));
    assert!(cache.is_continued_by(&delta(5, 5)));
    assert!(!cache.is_continued_by(&delta(6, 9)));
    assert!(!cache.is_continued_by(&delta(1, 4)));
    cache.lose_position();
    assert!(!cache.is_continued_by(&delta(5, 9)));
}

#[test]
fn is_continued_by_rejects_other_eras() {
    let at = position::encode;
    let mut cache = Cache::default();
    cache.store_servers(START, at(1, 0), at(1, 5), Vec::new());
    assert!(!cache.is_before_return(at(1, 9)));
    // The older store had given out the same offsets.
    let older = delta(at(0, 2), at(0, 9));
    assert!(!cache.is_continued_by(&older));
    assert!(!cache.record_ignored(&older));
    let newer = delta(at(2, 2), at(2, 9));
    assert!(!cache.is_continued_by(&newer));
    assert!(cache.record_ignored(&newer));
    assert!(cache.is_before_return(at(2, 0)));
}

#[test]
fn read_position_after_a_move_needs_a_list_of_the_moved_store() {
    let at = position::encode;
    let mut cache = Cache::default();
    cache.store_servers(START, at(3, 0), at(3, 5), Vec::new());
    cache.move_store();
    assert!(!cache.is_continued_by(&delta(at(3, 5), at(3, 9))));
    // A list of a peer, which may use the earlier store.
    cache.replace_servers(START, at(3, 9), vec![record("a")]);
    assert_eq!(
        (cache.store_position(), cache.read_position()),
        (None, None)
    );
    assert!(cache.is_before_move(at(0, 4)) && !cache.is_before_move(at(3, 9)));
    cache.replace_servers(START, at(0, 4), vec![record("b")]);
    cache.record_store_read();
    assert_eq!(cache.read_position(), Some(at(0, 4)));
    assert!(!cache.is_before_move(at(0, 3)));
}

#[test]
fn next_read_missing_changes_are_read_at_once() {
    let mut cache = Cache::default();
    assert!(!cache.record_ignored(&delta(6, 9)));
    cache.store_servers(START, 0, 5, Vec::new());
    assert!(!cache.record_ignored(&delta(1, 4)));
    assert!(cache.next_read(3) > START);
    assert!(cache.record_ignored(&delta(6, 9)));
    assert!(cache.is_behind());
    assert_eq!(cache.next_read(3), Moment::default());
    cache.store_servers(START, 5, 9, Vec::new());
    assert!(!cache.is_behind() && cache.next_read(3) > START);
}

#[test]
fn contains_records_up_to_the_position() {
    let mut cache = Cache::default();
    let at = |next| Record {
        next,
        ..record("a")
    };
    assert!(!cache.contains(&at(1)));
    cache.store_servers(START, 0, 5, Vec::new());
    assert!(cache.contains(&at(5)));
    assert!(!cache.contains(&at(6)));
    // The position of this record is unknown.
    assert!(!cache.contains(&at(0)));
}

/// The number of entries and of servers in the property test.
const ENTRIES: usize = 4;
const SERVERS: usize = 3;

/// An entry that follows a log in which record `n` sets the state of a server to `n`.
#[derive(Default)]
struct Entry {
    cache: Cache,
    known: BTreeMap<String, usize>,
}

impl Entry {
    fn position(&self) -> u64 {
        self.cache.servers_position().unwrap_or_default()
    }

    /// Applies the records of a range of the log, and stores those that are new to this entry.
    fn apply(&mut self, from: u64, to: u64, records: Vec<Record>) {
        let new = |it: &Record| {
            let state = state_of(it);
            let known = self.known.entry(it.key.clone()).or_default();
            let is_new = *known < state;
            *known = state.max(*known);
            is_new
        };
        let changed = records.into_iter().filter(new).collect();
        self.cache.store_servers(START, from, to, changed);
    }

    fn read(&mut self, log: &[Record]) {
        let from = self.position();
        let records = log[from as usize..].to_vec();
        self.apply(from, log.len() as u64, records);
    }

    /// Reads a log of which parts may be lost since the last read. The whole log is read then.
    fn read_in_era(&mut self, era: u64, log: &[Record]) {
        let from = self.position();
        let next = position::encode(era, log.len() as u64);
        if position::era(from) == era {
            let records = log[position::offset(from) as usize..].to_vec();
            return self.apply(from, next, records);
        }
        let newest = newest(log);
        let states = newest.iter().map(|(key, it)| (key.clone(), state_of(it)));
        self.known = states.collect();
        self.cache
            .replace_servers(START, next, newest.into_values().collect());
    }

    fn receive(&mut self, delta: &Delta) {
        if self.cache.is_continued_by(delta) {
            self.apply(delta.from, delta.to, delta.records.clone());
        }
    }
}

fn state_of(record: &Record) -> usize {
    let value = record.value.as_deref().expect("a value");
    usize::from(value[0])
}

/// Returns the newest record of each server.
fn newest(log: &[Record]) -> BTreeMap<String, Record> {
    let records = log.iter().map(|it| (it.key.clone(), it.clone()));
    records.collect()
}

#[derive(Clone, Debug)]
enum Step {
    /// A server changes its state.
    Change(usize),
    /// An entry reads the log, and broadcasts to the entries whose flag is set.
    Read(usize, [bool; ENTRIES]),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..SERVERS).prop_map(Step::Change),
        (0..ENTRIES, any::<[bool; ENTRIES]>()).prop_map(|(reader, to)| Step::Read(reader, to)),
    ]
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(6), failure_persistence: None, cases: 500, ..Config::default()
    })]
    #[test]
    fn delta_lossy_broadcasts_leave_no_change_unknown(steps in vec(step(), 0..80)) {
        let mut log: Vec<Record> = Vec::new();
        let mut entries: [Entry; ENTRIES] = Default::default();
        for entry in &mut entries {
            entry.apply(0, 0, Vec::new());
        }
        for step in steps {
            match step {
                Step::Change(server) => log.push(Record {
                    key: format!("i-{server}"),
                    value: Some(vec![log.len() as u8 + 1]),
                    next: log.len() as u64 + 1,
                }),
                Step::Read(reader, receivers) => {
                    entries[reader].read(&log);
                    let delta = entries[reader].cache.delta().expect("a delta");
                    for (entry, _) in entries.iter_mut().zip(receivers).filter(|it| it.1) {
                        entry.receive(&delta);
                    }
                }
            }
            for entry in &entries {
                for record in &log[..entry.position() as usize] {
                    let known = entry.known.get(&record.key).copied().unwrap_or_default();
                    prop_assert!(known >= state_of(record), "{record:?} is unknown");
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(7), failure_persistence: None, cases: 500, ..Config::default()
    })]
    #[test]
    fn delta_returns_of_the_store_leave_all_entries_with_the_same_list(
        steps in vec((step(), any::<prop::sample::Index>(), 0..8_u8), 0..80)
    ) {
        let mut log: Vec<Record> = Vec::new();
        let mut era = 0;
        let mut entries: [Entry; ENTRIES] = Default::default();
        for entry in &mut entries {
            entry.apply(0, 0, Vec::new());
        }
        for (number, (step, kept, chance)) in steps.into_iter().enumerate() {
            if chance == 0 {
                // The store comes back from a copy that has only the first records.
                log.truncate(kept.index(log.len() + 1));
                era += 1;
            }
            match step {
                Step::Change(server) => log.push(Record {
                    key: format!("i-{server}"),
                    value: Some(vec![number as u8 + 1]),
                    next: position::encode(era, log.len() as u64 + 1),
                }),
                Step::Read(reader, receivers) => {
                    entries[reader].read_in_era(era, &log);
                    let delta = entries[reader].cache.delta().expect("a delta");
                    for (entry, _) in entries.iter_mut().zip(receivers).filter(|it| it.1) {
                        entry.receive(&delta);
                    }
                }
            }
        }
        let expected: Vec<_> = newest(&log).into_values().map(|it| (it.key, it.value)).collect();
        for entry in &mut entries {
            entry.read_in_era(era, &log);
            let records = entry.cache.snapshot(List::Servers).records;
            let records: Vec<_> = records.into_iter().map(|it| (it.key, it.value)).collect();
            prop_assert_eq!(&records, &expected);
        }
    }
}
