//! The workload applies updates, recovers lost ones from snapshots, and removes entries that left.

use std::collections::BTreeSet;
use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
use placement::Expectation;
use placement::JobId;
use placement::Update;
use placement::Workload;
use placement::workload::Change;
use placement::workload::Part;
use placement::workload::Placement;
use placement::workload::Timeliness;
use proptest::prelude::*;

const ENGINE: u64 = 1;
const HELPER: u64 = 2;

fn job(number: u64) -> JobId {
    JobId {
        entry: Incarnation(7),
        number,
    }
}

fn placed(tokens_at_helper: u32) -> Change {
    let part = |server, tokens| Part {
        server,
        prefill_ms: 100.0,
        tokens,
    };
    Change::Placed(Placement {
        target_ms: 300,
        pause_ms: 250,
        value: 1.0,
        timeliness: Timeliness::OnTime,
        parts: vec![part(ENGINE, 5_000), part(HELPER, tokens_at_helper)],
        passes: Expectation::default(),
        service_ms: Expectation::default(),
    })
}

fn apply(workload: &mut Workload, millis: u64, number: u64, change: Change) {
    let update = Update {
        job: job(number),
        change,
    };
    workload.apply(Moment::from_millis(millis), &update);
}

/// Checks the number of requests on the engine and on the helper.
fn check(workload: &Workload, expected: (usize, usize)) {
    let count = |server| workload.queue(server).map_or(0, |it| it.len());
    assert_eq!((count(ENGINE), count(HELPER)), expected);
}

#[test]
fn apply_first_token_ends_the_part_of_a_helper() {
    let mut workload = Workload::default();
    apply(&mut workload, 0, 1, placed(0));
    check(&workload, (1, 1));
    apply(&mut workload, 200, 1, Change::Started);
    check(&workload, (1, 0));
    apply(&mut workload, 900, 1, Change::Ended);
    check(&workload, (0, 0));
}

#[test]
fn apply_helper_that_holds_memory_stays_until_the_end() {
    let mut workload = Workload::default();
    apply(&mut workload, 0, 1, placed(90_000));
    apply(&mut workload, 200, 1, Change::Started);
    check(&workload, (1, 1));
    apply(&mut workload, 900, 1, Change::Ended);
    check(&workload, (0, 0));
}

#[test]
fn backlog_ms_shrinks_with_time_and_excludes_late_requests() {
    let mut workload = Workload::default();
    apply(&mut workload, 0, 1, placed(0));
    let Change::Placed(late) = placed(0) else {
        return;
    };
    let timeliness = Timeliness::Late;
    apply(
        &mut workload,
        0,
        2,
        Change::Placed(Placement { timeliness, ..late }),
    );
    let backlog = |millis, timeliness| {
        let queue = workload.queue(ENGINE).expect("work");
        queue
            .backlog_ms(Moment::from_millis(millis), timeliness)
            .round()
    };
    assert_eq!(backlog(0, Timeliness::OnTime), 110.0);
    assert_eq!(backlog(0, Timeliness::Late), 220.0);
    assert_eq!(backlog(60, Timeliness::OnTime), 50.0);
    assert_eq!(backlog(500, Timeliness::Late), 0.0);
}

#[test]
fn remove_entry_that_has_left() {
    let mut workload = Workload::default();
    apply(&mut workload, 0, 1, placed(9));
    workload.remove_entry(Moment::from_millis(10), Incarnation(8));
    check(&workload, (1, 1));
    workload.remove_entry(Moment::from_millis(10), Incarnation(7));
    check(&workload, (0, 0));
}

#[test]
fn expire_request_without_an_end() {
    let mut workload = Workload::default();
    apply(&mut workload, 0, 1, placed(9));
    workload.expire(Moment::from_millis(30_000));
    check(&workload, (1, 1));
    workload.expire(Moment::from_millis(41_000));
    check(&workload, (0, 0));
}

proptest! {
    /// After any loss of updates, one snapshot makes two workloads equal.
    #[test]
    fn reconcile_recovers_lost_updates(
        updates in prop::collection::vec((0_u64..6, 0_u8..3, any::<bool>()), 0..60),
    ) {
        let (mut own, mut other) = (Workload::default(), Workload::default());
        let mut time = 0;
        let mut numbers = BTreeSet::new();
        for (number, kind, is_lost) in updates {
            time += 10;
            if kind == 0 && !numbers.insert(number) {
                // An entry uses each number once.
                continue;
            }
            let change = match kind {
                0 => placed(9),
                1 => Change::Started,
                _ => Change::Ended,
            };
            apply(&mut own, time, number, change.clone());
            if !is_lost {
                apply(&mut other, time, number, change);
            }
        }
        let now = Moment::from_millis(time) + Duration::from_millis(10);
        other.reconcile(now, &own.snapshot(Incarnation(7)));
        let sorted = |workload: &Workload| {
            let mut snapshot = workload.snapshot(Incarnation(7));
            snapshot.placed.sort_by_key(|it| it.job);
            snapshot.started.sort();
            snapshot
        };
        prop_assert_eq!(sorted(&own), sorted(&other));
        for server in [ENGINE, HELPER] {
            let decoding = |workload: &Workload| workload.queue(server).map(|it| it.decoding());
            prop_assert_eq!(decoding(&own).unwrap_or_default(), decoding(&other).unwrap_or_default());
        }
    }
}
