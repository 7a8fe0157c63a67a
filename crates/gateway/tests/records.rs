//! Tests that one entry reads the list of servers for all, and that an entry that misses changes
//! reads the list itself.

use std::time::Duration;

use domain::Moment;
use gateway::records::Cache;
use gateway::records::READ_INTERVAL;
use wire::Delta;
use wire::Record;

const START: Moment = Moment::from_millis(5_000);

fn record(key: &str) -> Record {
    Record {
        key: key.to_owned(),
        value: Some(b"{}".to_vec()),
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
fn is_continued_by_rejects_gap() {
    let mut cache = Cache::default();
    assert!(!cache.is_continued_by(&delta(0, 9)));
    cache.store_servers(START, 0, 5, Vec::new());
    assert!(cache.is_continued_by(&delta(2, 9)));
    assert!(cache.is_continued_by(&delta(5, 5)));
    assert!(!cache.is_continued_by(&delta(6, 9)));
    assert!(!cache.is_continued_by(&delta(1, 4)));
    cache.drop_position();
    assert!(!cache.is_continued_by(&delta(5, 9)));
}
