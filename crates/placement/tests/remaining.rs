//! What servers still have to do follows from what their requests were expected to take and have taken.

use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
use placement::Expectation;
use placement::JobId;
use placement::Server;
use placement::Servers;
use placement::Update;
use placement::Workload;
use placement::plain;
use placement::remaining::Pace;
use placement::workload::Change;
use placement::workload::Part;
use placement::workload::Placement;
use placement::workload::Queue;
use placement::workload::Timeliness;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::Engine;

const SLOTS: usize = 12;
const PACE: Pace = Pace {
    pass_ms: 50.0,
    slowdown: 1.0,
};

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn engine() -> Engine {
    Engine {
        slots: SLOTS,
        memory_tokens: 197_200,
        steps_per_pass: 43,
        step_ms: 1.02,
        sequence_ms: 0.002_26,
        context_ms_per_k: 0.004_31,
        prefill_tokens_per_ms: 206.0,
        pairs_ms_per_m: 0.138,
        prefill_chunk: 2_048,
        usual_answer_tokens: 1_303,
    }
}

fn expectation(mean: f32, upper: f32) -> Expectation {
    Expectation { mean, upper }
}

fn place(workload: &mut Workload, millis: u64, number: u64, server: u64, each: [Expectation; 2]) {
    let placed = Placement {
        target_ms: 300,
        pause_ms: 250,
        value: 1.0,
        timeliness: Timeliness::OnTime,
        parts: vec![Part {
            server,
            prefill_ms: 25.0,
            tokens: 6_300,
        }],
        passes: each[0],
        service_ms: each[1],
    };
    apply(workload, millis, number, Change::Placed(placed));
}

fn apply(workload: &mut Workload, millis: u64, number: u64, change: Change) {
    let job = JobId {
        entry: Incarnation(1),
        number,
    };
    workload.apply(at(millis), &Update { job, change });
}

/// Returns the workload of a full engine whose answers began together and are expected to take so many
/// passes.
fn full(passes: Expectation) -> Workload {
    let mut workload = Workload::default();
    for number in 0..SLOTS as u64 {
        place(
            &mut workload,
            0,
            number,
            1,
            [passes, Expectation::default()],
        );
    }
    for number in 0..SLOTS as u64 {
        apply(&mut workload, 100, number, Change::Started);
    }
    workload
}

fn until_free(workload: &Workload, millis: u64, slots: usize) -> f64 {
    let queue = workload.queue(1).expect("work");
    queue.passes_until_free(at(millis), &engine(), PACE, slots)
}

/// Without estimates, a slot becomes free every two passes, as before there were any.
#[test]
fn passes_until_free_without_estimates_are_two_a_slot() {
    let workload = full(Expectation::default());
    for slots in 0..40 {
        for millis in [100, 900, 9_000] {
            assert_eq!(until_free(&workload, millis, slots), 2.0 * slots as f64);
        }
    }
    let queue = workload.queue(1).expect("work");
    assert_eq!(queue.excess_tokens(at(9_000), &engine(), PACE), 0.0);
}

#[test]
fn passes_until_free_follow_from_the_time_since_the_start() {
    let workload = full(expectation(20.0, 36.0));
    let early = until_free(&workload, 100, 1);
    let late = until_free(&workload, 100 + 15 * 50, 1);
    assert!((4.0..14.0).contains(&early), "{early}");
    assert!(late < early / 3.0, "{early} {late}");
    let more: Vec<f64> = (1..30).map(|it| until_free(&workload, 100, it)).collect();
    assert!(more.is_sorted(), "{more:?}");
}

#[test]
fn passes_until_free_are_fewer_with_short_answers() {
    let short = until_free(&full(expectation(6.0, 11.0)), 100, 1);
    let long = until_free(&full(expectation(40.0, 72.0)), 100, 1);
    assert!(short * 4.0 < long, "{short} {long}");
}

/// Prefill makes passes longer, so that fewer of them fit into the same time; so does a slow engine.
#[test]
fn passes_until_free_take_prefill_and_slowdown_into_account() {
    let mut workload = full(expectation(20.0, 36.0));
    let before = until_free(&workload, 850, 1);
    let slow = Pace {
        slowdown: 5.0,
        ..PACE
    };
    let queue = workload.queue(1).expect("work");
    let on_slow = queue.passes_until_free(at(850), &engine(), slow, 1);
    assert!(on_slow > 2.0 * before, "{on_slow} {before}");
    for number in 20..40 {
        place(&mut workload, 400, number, 1, [expectation(1.0, 2.0); 2]);
        apply(&mut workload, 840, number, Change::Started);
        apply(&mut workload, 850, number, Change::Ended);
    }
    assert!(until_free(&workload, 850, 1) > before);
}

#[test]
fn excess_tokens_grow_once_answers_are_longer_than_expected() {
    let workload = full(expectation(20.0, 36.0));
    let queue = workload.queue(1).expect("work");
    let excess = |passes: u64| {
        let now = at(100 + passes * 50);
        queue.excess_tokens(now, &engine(), PACE)
    };
    assert_eq!(excess(2), 0.0);
    assert!(excess(20) > 0.0 && excess(40) > 2.0 * excess(20));
}

/// An expectation from another entry that can't be true counts as none.
#[test]
fn expectation_malformed_is_unknown() {
    for (mean, upper) in [
        (f32::NAN, 1.0),
        (1.0, f32::NAN),
        (f32::INFINITY, f32::INFINITY),
        (-1.0, 2.0),
        (0.0, 0.0),
    ] {
        assert!(expectation(mean, upper).work().is_none(), "{mean} {upper}");
    }
    assert!(expectation(5.0, 1.0).work().is_some());
}

fn servers() -> Servers {
    let mut servers = Servers::default();
    for id in ["a", "b"] {
        let server = Server {
            id: id.to_owned(),
            started_ms: 1,
            service: "app".to_owned(),
            address: ([10, 0, 0, 1], 80).into(),
            data_centre: "dc".to_owned(),
            sequence: 1,
            slots: 6,
            is_leaving: false,
            cold_left: None,
        };
        servers.add(at(0), server);
    }
    servers
}

fn key(servers: &Servers, id: &str) -> u64 {
    let mut states = servers.all().filter(|it| it.server.id == id);
    states.next().expect("the server").key()
}

/// Returns how often the server `a` is chosen in 100 calls.
fn count(servers: &Servers, workload: &Workload, millis: u64) -> usize {
    let mut random = StdRng::seed_from_u64(3);
    let chosen = (0..100).filter_map(|_| {
        let usable = servers.usable(at(millis), "app");
        let expected = expectation(60.0, 90.0);
        plain::choose(at(millis), usable, workload, expected, &[], &mut random)
    });
    chosen.filter(|it| it.server.id == "a").count()
}

/// Places calls on servers `a` and `b`.
fn calls(servers: &Servers, each: &[(&str, u64, Expectation)]) -> Workload {
    let mut workload = Workload::default();
    for (number, (id, millis, service_ms)) in each.iter().enumerate() {
        let expected = [Expectation::default(), *service_ms];
        place(
            &mut workload,
            *millis,
            number as u64,
            key(servers, id),
            expected,
        );
    }
    workload
}

/// Guards against counting calls: two that are nearly done are less work than one that takes long.
#[test]
fn choose_server_with_less_work_left_though_it_has_more_calls() {
    let servers = servers();
    let (light, heavy) = (expectation(60.0, 90.0), expectation(900.0, 1_200.0));
    let workload = calls(
        &servers,
        &[("a", 0, light), ("a", 0, light), ("b", 0, heavy)],
    );
    assert_eq!(count(&servers, &workload, 50), 100);
}

#[test]
fn choose_among_similar_servers_the_one_with_the_lower_quantile() {
    let servers = servers();
    let (sure, unsure) = (expectation(60.0, 66.0), expectation(60.0, 110.0));
    let each: Vec<_> = (0..5)
        .flat_map(|_| [("a", 0, sure), ("b", 0, unsure)])
        .collect();
    let chosen = count(&servers, &calls(&servers, &each), 0);
    assert!(chosen > 60, "{chosen}");
}

/// A server whose calls take much longer than expected gets fewer, until its pace expires.
#[test]
fn choose_server_with_the_usual_pace() {
    let mut servers = servers();
    for (id, factor) in [("a", 1.0), ("b", 5.0)] {
        let key = key(&servers, id);
        let state = servers.get_mut(key).expect("the server");
        (0..3).for_each(|_| state.record_pace(at(0), factor));
    }
    assert_eq!(count(&servers, &Workload::default(), 10), 100);
    let later = Duration::from_secs(4).as_millis() as u64;
    let chosen = count(&servers, &Workload::default(), later);
    assert!((20..80).contains(&chosen), "{chosen}");
}

/// The queue of a server that runs nothing has no work left.
#[test]
fn remaining_of_an_empty_queue_is_zero() {
    let usual = expectation(60.0, 90.0).work().expect("known");
    let left = Queue::default().remaining(at(0), 6, &usual, 1.0);
    assert_eq!((left.mean_ms, left.upper_ms), (0.0, 0.0));
}

/// Guards against taking the time that calls waited for time that they were served: servers of which many
/// calls wait would look nearly done, or slow.
#[test]
fn remaining_counts_no_time_before_a_call_got_its_slot() {
    let servers = servers();
    let each = expectation(60.0, 90.0);
    let calls_of_a: Vec<_> = (0..9).map(|_| ("a", 0, each)).collect();
    let mut workload = calls(&servers, &calls_of_a);
    for number in 0..6 {
        apply(&mut workload, 1_000, number, Change::Ended);
    }
    let usual = each.work().expect("known");
    let queue = workload.queue(key(&servers, "a")).expect("work");
    let left = queue.remaining(at(1_000), 6, &usual, 1.0);
    assert!((left.mean_ms - 180.0).abs() < 1.0, "{left:?}");
    assert_eq!(queue.overdue_pace(at(1_000), 6, &usual), 1.0);
    // Two calls that take long after they began show a slow server.
    let pace = queue.overdue_pace(at(1_400), 6, &usual);
    assert!(pace > 3.0, "{pace}");
}

/// One call that takes long says nothing about its server.
#[test]
fn overdue_pace_of_one_long_call_is_the_usual_one() {
    let servers = servers();
    let each = expectation(60.0, 90.0);
    let workload = calls(&servers, &[("a", 0, each), ("a", 390, each)]);
    let usual = each.work().expect("known");
    let queue = workload.queue(key(&servers, "a")).expect("work");
    assert_eq!(queue.overdue_pace(at(400), 6, &usual), 1.0);
}
