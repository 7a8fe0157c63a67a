//! Which records of the list of servers entries pass on to each other.

use std::time::Duration;

use domain::Moment;
use placement::Listing;
use placement::Server;

fn at(millis: u64) -> Moment {
    Moment::from_millis(5_000 + millis)
}

fn server() -> Server {
    Server {
        id: "a".to_owned(),
        started_ms: 1,
        service: "app".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "dc".to_owned(),
        sequence: 1,
        slots: 6,
        is_leaving: false,
        cold_left: Some(Duration::ZERO),
    }
}

fn report(sequence: u64, cold_left_ms: Option<u64>) -> Server {
    Server {
        sequence,
        cold_left: cold_left_ms.map(Duration::from_millis),
        ..server()
    }
}

/// Checks whether a record that follows another one within a second says something else.
fn check(first: &Server, second: &Server, is_change: bool) {
    let listing = Listing::new(at(0), first.clone());
    let is_changed = listing.is_changed_by(at(700), second);
    assert_eq!(is_changed, is_change, "{first:?} {second:?}");
}

#[test]
fn is_changed_by_each_statement_of_a_record() {
    let changes: [fn(&mut Server); 6] = [
        |it| it.started_ms = 2,
        |it| it.service = "other".to_owned(),
        |it| it.address = ([10, 0, 0, 2], 80).into(),
        |it| it.data_centre = "other".to_owned(),
        |it| it.slots = 7,
        |it| it.is_leaving = true,
    ];
    for change in changes {
        let mut server = server();
        change(&mut server);
        check(&report(1, Some(0)), &server, true);
    }
}

#[test]
fn is_changed_by_repeated_statement_is_false() {
    check(&report(1, Some(0)), &report(1, Some(0)), false);
    check(&report(1, Some(0)), &report(2, Some(0)), false);
    check(&report(1, None), &report(2, None), false);
}

/// Guards against records that are broadcast every 1,200 ms, and against transitions that are not.
#[test]
fn is_changed_by_transitions_of_a_cold_server_only() {
    let mut listing = Listing::new(at(0), report(1, Some(0)));
    let mut is_changed = |millis, sequence, left| {
        let server = report(sequence, Some(left));
        let is_changed = listing.is_changed_by(at(millis), &server);
        if is_changed {
            listing = Listing::new(at(millis), server);
        }
        is_changed
    };
    assert!(!is_changed(0, 2, 0));
    assert!(is_changed(1_200, 3, 2_600));
    assert!(!is_changed(2_400, 4, 1_400));
    assert!(!is_changed(3_650, 5, 200));
    assert!(is_changed(4_800, 6, 0));
    assert!(!is_changed(6_000, 7, 0));
    // The server becomes cold again while it is cold.
    assert!(is_changed(7_200, 8, 1_000));
    assert!(is_changed(8_000, 9, 3_000));
    // It is warm earlier than it has said.
    assert!(is_changed(8_500, 10, 1_000));
}

#[test]
fn is_changed_by_the_first_statement_of_a_cold_period() {
    for left in [0, 3_000] {
        check(&report(1, None), &report(2, Some(left)), true);
        check(&report(1, Some(left)), &report(2, None), false);
    }
}
