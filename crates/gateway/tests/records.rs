//! One entry reads the list of servers for all, and whoever misses something reads for itself.

use std::time::Duration;

use domain::Moment;
use gateway::records::Cache;
use gateway::records::READ_INTERVAL;
use wire::Listing;
use wire::Record;

const START: Moment = Moment::from_millis(5_000);

fn record(key: &str) -> Record {
    Record {
        key: key.to_owned(),
        value: Some(b"{}".to_vec()),
    }
}

fn listing(from: u64, to: u64) -> Listing {
    Listing {
        from,
        to,
        records: Vec::new(),
    }
}

#[test]
fn due_is_at_once_while_nothing_is_known() {
    assert_eq!(Cache::default().due(5), Moment::default());
}

#[test]
fn due_is_later_for_later_ranks_but_within_the_bound_on_leaving() {
    let mut cache = Cache::default();
    cache.note_servers(START, 0, 4, Vec::new());
    assert_eq!(cache.due(0), START + READ_INTERVAL);
    assert!(cache.due(1) > cache.due(0));
    assert!(cache.due(300) < START + Duration::from_secs(2));
}

#[test]
fn listing_tells_the_last_readings_again() {
    let mut cache = Cache::default();
    assert_eq!(cache.listing(), None);
    for (from, key) in [(0, "a"), (4, "b"), (9, "c"), (12, "d")] {
        cache.note_servers(START, from, from + 3, vec![record(key)]);
    }
    let listing = cache.listing().expect("a listing");
    assert_eq!((listing.from, listing.to), (4, 15));
    let keys: Vec<&str> = listing.records.iter().map(|it| it.key.as_str()).collect();
    assert_eq!(keys, ["b", "c", "d"]);
}

#[test]
fn listing_that_leaves_a_gap_does_not_continue() {
    let mut cache = Cache::default();
    assert!(!cache.is_continued_by(&listing(0, 9)));
    cache.note_servers(START, 0, 5, Vec::new());
    assert!(cache.is_continued_by(&listing(2, 9)));
    assert!(cache.is_continued_by(&listing(5, 5)));
    assert!(!cache.is_continued_by(&listing(6, 9)));
    assert!(!cache.is_continued_by(&listing(1, 4)));
    cache.lose_position();
    assert!(!cache.is_continued_by(&listing(5, 9)));
}
