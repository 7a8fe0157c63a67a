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
use gateway::records::Update;
use placement::Server;
use placement::Servers;
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

fn server(id: &str, sequence: u64, is_leaving: bool) -> Server {
    Server {
        id: id.to_owned(),
        started_ms: 1,
        service: "app".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "dc".to_owned(),
        sequence,
        slots: 6,
        is_leaving,
        cold_left: None,
    }
}

/// Returns a first record of a server.
fn update(key: &str) -> Update {
    Update {
        record: record(key),
        server: Some(server(key, 1, false)),
        is_new_fault: false,
    }
}

/// Returns a record that can't be decoded.
fn fault(key: &str, is_new_fault: bool) -> Update {
    Update {
        server: None,
        is_new_fault,
        ..update(key)
    }
}

/// Checks which of further records are passed on after a first one of server `a`.
fn check(updates: Vec<Update>, expected: &[usize]) {
    let mut cache = Cache::default();
    cache.store_servers(START, 0, 1, vec![update("a")]);
    let next = 1 + updates.len() as u64;
    let changes = cache.store_servers(START, 1, next, updates.clone());
    let expected: Vec<Update> = expected.iter().map(|it| updates[*it].clone()).collect();
    assert_eq!(changes, expected);
    let records: Vec<Record> = expected.into_iter().map(|it| it.record).collect();
    let delta = cache.delta().expect("a delta");
    assert_eq!(delta.records[1..], records);
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
        cache.store_servers(START, from, from + 3, vec![update(key)]);
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
    cache.store_servers(START, 4, 9, vec![update("leaving")]);
    for _ in 0..3 {
        // Another entry broadcasts the same range, which contains nothing new.
        cache.store_servers(START, 4, 9, vec![update("leaving")]);
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
    cache.store_servers(START, 4, 9, vec![update("a")]);
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
    cache.store_servers(START, 4, 9, vec![update("a")]);
    cache.replace_servers(START, 12, &[update("b")]);
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
    cache.replace_servers(START, at(3, 9), &[update("a")]);
    assert_eq!(
        (cache.store_position(), cache.read_position()),
        (None, None)
    );
    assert!(cache.is_before_move(at(0, 4)) && !cache.is_before_move(at(3, 9)));
    cache.replace_servers(START, at(0, 4), &[update("b")]);
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

#[test]
fn store_servers_returns_changes_of_the_list_in_order() {
    let with = |server| Update {
        server: Some(server),
        ..update("a")
    };
    let heartbeat = with(server("a", 2, false));
    let leaving = with(server("a", 3, true));
    let repeated = with(server("a", 4, true));
    let removal = Update {
        record: Record {
            value: None,
            ..record("a")
        },
        ..fault("a", false)
    };
    check(vec![heartbeat.clone()], &[]);
    check(vec![heartbeat, leaving.clone(), repeated], &[1]);
    check(vec![leaving.clone(), removal, leaving], &[0, 1, 2]);
}

#[test]
fn store_servers_returns_unreadable_record_of_a_known_server_once() {
    check(vec![fault("a", false), fault("a", false)], &[0]);
    check(vec![fault("a", true), update("a")], &[0, 1]);
}

/// Guards against a cache that grows with the keys of a log which has only faulty records.
#[test]
fn store_servers_returns_unreadable_record_of_another_server_if_it_is_reported() {
    check(vec![fault("b", false), fault("c", true)], &[1]);
}

/// The number of entries and of servers in the property test.
const ENTRIES: usize = 4;
const SERVERS: usize = 3;

/// An entry that follows a log of the servers' records.
#[derive(Default)]
struct Entry {
    cache: Cache,
    servers: Servers,
}

impl Entry {
    fn position(&self) -> u64 {
        self.cache.servers_position().unwrap_or_default()
    }

    /// Applies the records of a range of the log.
    fn apply(&mut self, from: u64, to: u64, records: Vec<Record>) {
        let records = records.into_iter().filter(|it| !self.cache.contains(it));
        let mut updates: Vec<Update> = records.map(decode).collect();
        updates.retain(|it| match &it.server {
            Some(server) => self.servers.add(START, server.clone()),
            None => {
                self.servers.remove(START, &it.record.key);
                true
            }
        });
        self.cache.store_servers(START, from, to, updates);
    }

    /// Reads a log of which parts may be lost since the last read. The whole log is read then.
    fn read_in_era(&mut self, era: u64, log: &[Record]) {
        let from = self.position();
        let next = position::encode(era, log.len() as u64);
        if position::era(from) == era {
            let records = log[position::offset(from) as usize..].to_vec();
            return self.apply(from, next, records);
        }
        let updates: Vec<Update> = newest(log).into_values().map(decode).collect();
        let servers = updates.iter().filter_map(|it| it.server.clone());
        self.servers.replace(START, servers.collect());
        self.cache.replace_servers(START, next, &updates);
    }

    fn receive(&mut self, delta: &Delta) {
        if self.cache.is_continued_by(delta) {
            self.apply(delta.from, delta.to, delta.records.clone());
        }
    }

    /// Learns from a server's own answer that it leaves.
    fn learn_leaving(&mut self, id: usize) {
        let key = server(&id_of(id), 1, true).key();
        self.servers.mark_leaving(key);
    }

    /// Returns what it knows of a server.
    fn known(&self, id: &str) -> Option<&Server> {
        let mut servers = self.servers.all().map(|it| &*it.server);
        servers.find(|it| it.id == id)
    }

    /// Returns what its cached list says of the servers.
    fn listed(&self) -> Vec<Statement> {
        let records = self.cache.snapshot(List::Servers).records;
        records.iter().map(statement).collect()
    }
}

fn id_of(server: usize) -> String {
    format!("i-{server}")
}

fn decode(record: Record) -> Update {
    let server = record.value.as_deref().map(|value| Server {
        slots: value[2].into(),
        ..server(&record.key, value[0].into(), value[1] == 1)
    });
    Update {
        server,
        is_new_fault: false,
        record,
    }
}

/// Returns the newest record of each listed server.
fn newest(log: &[Record]) -> BTreeMap<String, Record> {
    let records = log.iter().map(|it| (it.key.clone(), it.clone()));
    let mut newest: BTreeMap<String, Record> = records.collect();
    newest.retain(|_, it| it.value.is_some());
    newest
}

/// The id of a server, whether it leaves, and its slots.
type Statement = (String, bool, usize);

fn statement(record: &Record) -> Statement {
    let server = decode(record.clone()).server.expect("a server");
    (server.id, server.is_leaving, server.slots)
}

#[derive(Clone, Debug)]
enum Step {
    /// A server reports that it has so many slots.
    Report(usize, u8),
    /// A server reports that it leaves.
    Leave(usize),
    /// A server is removed from the list.
    Remove(usize),
    /// A server that leaves says so in an answer to an entry, before or after its report.
    Answer(usize, usize),
    /// An entry reads the log, and broadcasts to the entries whose flag is set.
    Read(usize, [bool; ENTRIES]),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..SERVERS, 0..3_u8).prop_map(|(server, slots)| Step::Report(server, slots)),
        (0..SERVERS).prop_map(Step::Leave),
        (0..SERVERS).prop_map(Step::Remove),
        (0..ENTRIES, 0..SERVERS).prop_map(|(entry, server)| Step::Answer(entry, server)),
        (0..ENTRIES, any::<[bool; ENTRIES]>()).prop_map(|(reader, to)| Step::Read(reader, to)),
    ]
}

/// The entries, and the log that they follow.
#[derive(Default)]
struct Fleet {
    entries: [Entry; ENTRIES],
    log: Vec<Record>,
    era: u64,
    /// The number of reports so far, with those that the store has lost.
    count: u8,
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self::default();
        for entry in &mut fleet.entries {
            entry.apply(0, 0, Vec::new());
        }
        fleet
    }

    fn play(&mut self, step: &Step) {
        match step {
            Step::Report(server, slots) => {
                let last = newest(&self.log).remove(&id_of(*server));
                let is_leaving = last.is_some_and(|it| statement(&it).1);
                self.report(*server, is_leaving, *slots);
            }
            Step::Leave(server) => self.report(*server, true, 0),
            Step::Remove(server) => self.append(*server, None),
            Step::Answer(entry, server) => self.entries[*entry].learn_leaving(*server),
            Step::Read(reader, receivers) => {
                let (era, log) = (self.era, &self.log);
                self.entries[*reader].read_in_era(era, log);
                let delta = self.entries[*reader].cache.delta().expect("a delta");
                for (entry, _) in self.entries.iter_mut().zip(receivers).filter(|it| *it.1) {
                    entry.receive(&delta);
                }
            }
        }
    }

    fn report(&mut self, server: usize, is_leaving: bool, slots: u8) {
        self.count += 1;
        let value = vec![self.count, u8::from(is_leaving), slots];
        self.append(server, Some(value));
    }

    fn append(&mut self, server: usize, value: Option<Vec<u8>>) {
        self.log.push(Record {
            key: id_of(server),
            value,
            next: position::encode(self.era, self.log.len() as u64 + 1),
        });
    }
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(6), failure_persistence: None, cases: 500, ..Config::default()
    })]
    #[test]
    fn delta_lossy_broadcasts_leave_no_change_unknown(steps in vec(step(), 0..80)) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.play(&step);
            for entry in &fleet.entries {
                let log = &fleet.log[..entry.position() as usize];
                let expected: Vec<_> = newest(log).values().map(statement).collect();
                prop_assert_eq!(&entry.listed(), &expected);
                prop_assert_eq!(entry.servers.all().count(), expected.len());
                for (id, is_leaving, slots) in expected {
                    let known = entry.known(&id).expect("a server");
                    prop_assert!(known.is_leaving || !is_leaving, "{known:?} leaves");
                    prop_assert_eq!(known.slots, slots);
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
        let mut fleet = Fleet::new();
        for (step, kept, chance) in steps {
            if chance == 0 {
                // The store comes back from a copy that has only the first records.
                fleet.log.truncate(kept.index(fleet.log.len() + 1));
                fleet.era += 1;
            }
            fleet.play(&step);
        }
        let expected: Vec<_> = newest(&fleet.log).values().map(statement).collect();
        for entry in &mut fleet.entries {
            entry.read_in_era(fleet.era, &fleet.log);
            prop_assert_eq!(&entry.listed(), &expected);
        }
    }
}
