//! The order of requests that wait.

use std::time::Duration;

use admission::Queue;
use admission::queue::Rank;
use admission::queue::Reason;
use domain::Moment;

const NOW: Moment = Moment::from_millis(100_000);
const TARGET: Duration = Duration::from_millis(1_000);

fn rank() -> Rank {
    Rank {
        level: 0,
        is_returned: false,
        organisation: 1,
        arrived: NOW,
        target: TARGET,
    }
}

/// Checks that these requests are planned again in this order at `now`.
fn check_order(queue: &mut Queue, now: Moment, ranks: &[Rank], expected: &[u64]) {
    for (ticket, rank) in ranks.iter().enumerate() {
        queue.wait(NOW, ticket as u64, *rank, Reason::Slot);
    }
    let order = queue.due(now, Duration::ZERO, ranks.len());
    assert_eq!(order, expected);
}

#[test]
fn due_more_urgent_first_then_returned_then_earlier() {
    let later = Rank {
        arrived: NOW + Duration::from_millis(10),
        ..rank()
    };
    let returned = Rank {
        is_returned: true,
        ..later
    };
    let less_urgent = Rank {
        level: 1,
        is_returned: true,
        ..rank()
    };
    let ranks = [less_urgent, later, rank(), returned];
    let now = NOW + Duration::from_millis(20);
    check_order(&mut Queue::default(), now, &ranks, &[3, 2, 1, 0]);
}

/// A request of a low priority must not wait behind more urgent ones for ever.
#[test]
fn due_request_that_has_waited_goes_before_more_urgent_new_one() {
    let old = Rank { level: 2, ..rank() };
    let now = NOW + TARGET * 2;
    let new = Rank {
        arrived: now,
        ..rank()
    };
    check_order(&mut Queue::default(), now, &[new, old], &[1, 0]);
    check_order(&mut Queue::default(), NOW, &[rank(), old], &[0, 1]);
}

#[test]
fn due_organisation_that_used_less_goes_first() {
    let mut queue = Queue::default();
    queue.record_placed(NOW, 1, 500.0);
    queue.record_placed(NOW, 2, 100.0);
    let other = Rank {
        organisation: 2,
        arrived: NOW + Duration::from_millis(5),
        ..rank()
    };
    let now = NOW + Duration::from_millis(10);
    check_order(&mut queue, now, &[rank(), other], &[1, 0]);
    // Earlier use is forgotten.
    let later = NOW + Duration::from_secs(60);
    queue.record_placed(later, 2, 1.0);
    let ranks = [
        Rank {
            arrived: later,
            ..rank()
        },
        Rank {
            arrived: later,
            ..other
        },
    ];
    check_order(&mut queue, later, &ranks, &[0, 1]);
}

#[test]
fn due_late_requests_come_last_and_limit_holds() {
    let mut queue = Queue::default();
    let less_urgent = Rank { level: 5, ..rank() };
    queue.wait(NOW, 0, rank(), Reason::Late);
    queue.wait(NOW, 1, less_urgent, Reason::Harm);
    queue.wait(NOW, 2, rank(), Reason::Slot);
    assert_eq!(queue.due(NOW, Duration::ZERO, 9), [2, 1, 0]);
    assert_eq!(queue.due(NOW, Duration::ZERO, 2), [2, 1]);
    let interval = Duration::from_millis(40);
    assert!(queue.due(NOW, interval, 9).is_empty(), "just planned");
}

#[test]
fn ahead_counts_those_that_need_a_slot_and_go_before() {
    let mut queue = Queue::default();
    let less_urgent = Rank { level: 1, ..rank() };
    queue.wait(NOW, 0, rank(), Reason::Slot);
    queue.wait(NOW, 1, rank(), Reason::Harm);
    queue.wait(NOW, 2, rank(), Reason::Late);
    queue.wait(NOW, 3, less_urgent, Reason::Slot);
    // A prompt that needs much memory must not hold up those that need little.
    queue.wait(NOW, 4, rank(), Reason::Room);
    let new = Rank {
        arrived: NOW + Duration::from_millis(1),
        ..rank()
    };
    assert_eq!(queue.ahead(NOW, &new).in_time, 1);
    assert_eq!(queue.ahead_of_late().in_time, 2);
    queue.leave(NOW, 0);
    assert_eq!(queue.ahead(NOW, &new).in_time, 0);
}

#[test]
fn drain_time_follows_how_fast_requests_leave() {
    let mut queue = Queue::default();
    for number in 0..200 {
        queue.wait(NOW, number, rank(), Reason::Slot);
    }
    for number in 0..100 {
        let now = NOW + Duration::from_millis(20) * number;
        queue.leave(now, number.into());
    }
    let drain = queue.drain_time();
    assert!((1.9..2.1).contains(&drain.as_secs_f64()), "{drain:?}");
}
