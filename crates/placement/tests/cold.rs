//! Servers are cold for as long as they say, and get no more than their bound meanwhile.

#[path = "window/window.rs"]
mod window;

use std::collections::BTreeMap;
use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
use placement::Expectation;
use placement::JobId;
use placement::Server;
use placement::Servers;
use placement::Update;
use placement::Workload;
use placement::cold::Source;
use placement::cold::Window;
use placement::plain;
use placement::servers::State;
use placement::workload::Change;
use placement::workload::Part;
use placement::workload::Placement;
use placement::workload::Timeliness;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::ColdStart;
use window::KEY;
use window::PER_S;
use window::after;
use window::attempt;
use window::fill;
use window::window;

const COLD_S: Duration = Duration::from_secs(3);

fn server(id: &str, started_ms: u64, sequence: u64, cold_left_ms: Option<u64>) -> Server {
    Server {
        id: id.to_owned(),
        started_ms,
        service: "app".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "dc".to_owned(),
        sequence,
        slots: 6,
        is_leaving: false,
        cold_left: cold_left_ms.map(Duration::from_millis),
    }
}

fn cold_starts(per_s: f64) -> BTreeMap<String, ColdStart> {
    let cold_start = ColdStart {
        duration: COLD_S,
        per_s,
    };
    [("app".to_owned(), cold_start)].into()
}

/// Returns servers of a service that has a cold start, among them a warm `a`.
fn servers() -> Servers {
    let mut servers = Servers::default();
    servers.set_cold_starts(cold_starts(PER_S));
    servers.replace(after(0), vec![server("a", 1, 1, Some(0))]);
    servers
}

fn state<'a>(servers: &'a Servers, id: &str) -> &'a State {
    let mut states = servers.all().filter(|it| it.server.id == id);
    states.next().expect("the server")
}

/// Checks how long a server is still cold.
fn check(servers: &Servers, id: &str, millis: u64, expected_ms: u64) {
    let left = state(servers, id).cold.left(after(millis));
    assert_eq!(left.as_millis() as u64, expected_ms, "after {millis} ms");
}

fn respond(servers: &mut Servers, id: &str, millis: u64, left_ms: u64) {
    let key = state(servers, id).key();
    let state = servers.get_mut(key).expect("the server");
    let left = Duration::from_millis(left_ms);
    state.cold.record_response(after(millis), left);
}

fn placed(key: u64, number: u64) -> Update {
    let part = Part {
        server: key,
        prefill_ms: 0.0,
        tokens: 0,
    };
    let placement = Placement {
        target_ms: 100,
        pause_ms: 0,
        value: 1.0,
        timeliness: Timeliness::OnTime,
        passes: Expectation::default(),
        service_ms: Expectation::default(),
        parts: vec![part],
    };
    let job = JobId {
        entry: Incarnation(1),
        number,
    };
    Update {
        job,
        change: Change::Placed(placement),
    }
}

#[test]
fn left_counts_requests_of_a_sliding_second() {
    let mut window = window(12, 12);
    for number in 0..18 {
        let now = after(number * 10);
        assert!(window.left(now, KEY, PER_S).is_zero());
        window.record_placed(now, KEY, attempt(number));
    }
    let left = window.left(after(500), KEY, PER_S);
    assert_eq!(left, Duration::from_millis(550));
    assert!(window.left(after(1_050), KEY, PER_S).is_zero());
    assert!(window.left(after(500), KEY + 1, PER_S).is_zero());
}

#[test]
fn bound_is_the_share_of_live_entries() {
    for (live, expected, bound) in [(63, 63, 18), (57, 63, 16), (44, 63, 8), (2, 2, 18)] {
        let placed = fill(&mut window(live, expected), after(0));
        assert_eq!(placed, bound, "{live} of {expected}");
    }
}

#[test]
fn bound_is_at_least_one() {
    for (live, expected) in [(1, 63), (0, 0), (1, 2_000)] {
        assert!(fill(&mut window(live, expected), after(0)) >= 1);
    }
    assert_eq!(fill(&mut window(1, 63), after(0)), 1);
}

/// The sides of a network that is partitioned in any way with up to 19 single entries stay within 32.
#[test]
fn bound_of_all_sides_together_is_below_that_of_the_platform() {
    for alone in 0..=19 {
        let rest = fill(&mut window(63 - alone, 63), after(0));
        assert!(rest + alone as u64 <= 32, "{alone} alone");
    }
    for first in 1..63 {
        let sides = [first, 63 - first].map(|it| fill(&mut window(it, 63), after(0)));
        assert!(sides.iter().sum::<u64>() <= 32, "{first} on one side");
    }
}

/// An entry that has just started does not know what the others placed in the last second.
#[test]
fn bound_is_one_in_the_first_second_of_an_entry() {
    let mut window = Window::default();
    window.enable(after(0));
    window.set_share(12, 12);
    assert_eq!(fill(&mut window, after(10)), 1);
    assert_eq!(fill(&mut window, after(1_060)), 18);
}

/// An entry that was stopped, or that others did not tell of their work, does not know what they placed.
#[test]
fn bound_is_one_in_the_first_second_in_which_others_are_heard() {
    for is_listening in [true, false] {
        let mut window = window(12, 12);
        let tick_every_100_ms = |window: &mut Window, from: u64, to: u64, is_listening| {
            (from..to).for_each(|it| window.tick(after(it * 100), is_listening));
        };
        window.tick(after(0), true);
        if is_listening {
            window.tick(after(3_000), true);
        } else {
            tick_every_100_ms(&mut window, 1, 31, false);
        }
        assert_eq!(fill(&mut window, after(3_010)), 1);
        tick_every_100_ms(&mut window, 31, 41, true);
        assert_eq!(fill(&mut window, after(4_040)), 0);
        assert_eq!(fill(&mut window, after(4_070)), 18);
    }
}

#[test]
fn window_keeps_nothing_without_a_cold_start() {
    let mut window = Window::default();
    (0..100).for_each(|it| window.record_placed(after(0), KEY, attempt(it)));
    assert!(window.is_empty());
    window.enable(after(0));
    window.record_placed(after(0), KEY, attempt(1));
    assert_eq!(window.len(), 1);
    window.disable();
    assert!(window.is_empty() && !window.is_enabled());
}

/// Guards against memory that grows with the requests or with keys of servers that don't exist.
#[test]
fn window_memory_is_bounded() {
    let mut window = window(1, 1);
    (0..5_000).for_each(|it| window.record_placed(after(0), KEY, attempt(it)));
    assert!(window.len() <= 1_024);
    (0..10_000).for_each(|it| window.record_placed(after(0), it, attempt(it)));
    assert!(window.len() <= 1_024 + 4_096);
    window.expire(after(2_000));
    assert!(window.is_empty());
}

#[test]
fn is_allowed_takes_as_many_as_the_bound_of_those_placed_together() {
    let mut window = window(12, 12);
    for number in 0..30 {
        window.record_placed(after(number % 7), KEY, attempt(number));
    }
    let now = after(100);
    let allowed = (0..30).filter(|it| window.is_allowed(now, KEY, PER_S, attempt(*it)));
    let allowed = allowed.count();
    assert!((1..=18).contains(&allowed), "{allowed}");
}

#[test]
fn is_allowed_within_the_bound() {
    let mut window = window(12, 12);
    let placed = fill(&mut window, after(0));
    let first = after(0).as_micros();
    for number in first..first + placed {
        assert!(window.is_allowed(after(400), KEY, PER_S, attempt(number)));
    }
    // One that was placed without knowledge of the others is withdrawn.
    window.record_placed(after(200), KEY, attempt(u64::MAX));
    assert!(!window.is_allowed(after(400), KEY, PER_S, attempt(u64::MAX)));
    window.record_withdrawn(KEY, attempt(u64::MAX));
    assert_eq!(window.len() as u64, placed);
}

/// Guards against requests that were placed early and sent late, together with the next ones.
#[test]
fn record_sent_counts_from_the_moment_of_sending() {
    let mut window = window(12, 12);
    let placed = fill(&mut window, after(0));
    let first = after(0).as_micros();
    for number in first..first + placed {
        window.record_sent(after(400), KEY, attempt(number));
    }
    assert_eq!(window.len() as u64, placed);
    assert!(!window.left(after(1_400), KEY, PER_S).is_zero());
    assert!(window.left(after(1_450), KEY, PER_S).is_zero());
}

#[test]
fn place_counts_helpers_and_requests_that_ended() {
    let mut workload = Workload::default();
    workload.window_mut().enable(after(0));
    let mut update = placed(KEY, 1);
    if let Change::Placed(placement) = &mut update.change {
        let helper = Part {
            server: KEY + 1,
            ..placement.parts[0]
        };
        placement.parts.push(helper);
    }
    workload.apply(after(0), &update);
    workload.apply(after(0), &update);
    let change = Change::Ended;
    workload.apply(after(10), &Update { change, ..update });
    assert_eq!(workload.window().len(), 2);
}

#[test]
fn record_counts_from_its_arrival() {
    let mut servers = servers();
    servers.add(after(500), server("a", 1, 2, Some(2_400)));
    check(&servers, "a", 500, 2_400);
    check(&servers, "a", 2_900, 0);
    // A record that says nothing changes nothing, and one that was applied before does not count again.
    servers.add(after(1_000), server("a", 1, 3, None));
    servers.add(after(1_200), server("a", 1, 3, Some(2_400)));
    check(&servers, "a", 1_200, 1_700);
    servers.add(after(1_300), server("a", 1, 4, Some(0)));
    check(&servers, "a", 1_300, 0);
}

#[test]
fn record_without_a_cold_start_of_its_service_changes_nothing() {
    let mut servers = Servers::default();
    servers.replace(after(0), Vec::new());
    servers.add(after(0), server("a", 1, 1, Some(3_000)));
    assert!(!state(&servers, "a").is_cold(after(0)));
    servers.mark_cold(after(0), "dc", Some(COLD_S));
    assert!(!state(&servers, "a").is_cold(after(0)));
}

/// Guards against an instance that reads the list before the configuration, and is told of changes only.
#[test]
fn record_counts_if_the_configuration_is_read_later() {
    let mut servers = Servers::default();
    servers.replace(after(0), vec![server("a", 1, 1, Some(3_000))]);
    assert!(!state(&servers, "a").is_cold(after(100)));
    servers.set_cold_starts(cold_starts(PER_S));
    assert!(state(&servers, "a").is_cold(after(100)));
    servers.set_cold_starts(BTreeMap::new());
    assert!(!state(&servers, "a").is_cold(after(100)));
}

#[test]
fn response_takes_precedence_over_an_older_record() {
    let mut servers = servers();
    respond(&mut servers, "a", 0, 3_000);
    check(&servers, "a", 1_000, 2_000);
    servers.add(after(400), server("a", 1, 2, Some(0)));
    check(&servers, "a", 1_000, 2_000);
    servers.add(after(1_200), server("a", 1, 3, Some(0)));
    check(&servers, "a", 1_200, 0);
    respond(&mut servers, "a", 2_000, 3_000);
    respond(&mut servers, "a", 2_100, 0);
    check(&servers, "a", 2_100, 0);
}

#[test]
fn first_listed_while_in_use_is_cold_unless_it_says_otherwise() {
    let mut servers = Servers::default();
    servers.set_cold_starts(cold_starts(PER_S));
    servers.replace(after(0), vec![server("a", 1, 1, None)]);
    check(&servers, "a", 0, 0);
    servers.add(after(100), server("b", 1, 1, None));
    servers.add(after(100), server("c", 1, 1, Some(0)));
    servers.add(after(100), server("d", 1, 1, Some(700)));
    check(&servers, "b", 100, 3_000);
    check(&servers, "c", 100, 0);
    check(&servers, "d", 100, 700);
}

#[test]
fn restart_begins_a_period_of_its_own() {
    let mut servers = servers();
    respond(&mut servers, "a", 0, 60_000);
    servers.add(after(100), server("a", 2, 1, Some(500)));
    check(&servers, "a", 100, 500);
    servers.add(after(200), server("a", 3, 1, Some(0)));
    check(&servers, "a", 200, 0);
    servers.add(after(300), server("a", 4, 1, None));
    check(&servers, "a", 300, 3_000);
}

#[test]
fn period_outlasts_a_removal_from_the_list() {
    let mut servers = servers();
    servers.add(after(0), server("a", 1, 2, Some(3_000)));
    servers.record_read(after(0));
    servers.remove(after(100), "a");
    servers.add(after(200), server("a", 1, 3, None));
    check(&servers, "a", 200, 2_800);
}

#[test]
fn mark_cold_holds_until_the_server_says_less() {
    let mut servers = servers();
    assert_eq!(servers.mark_cold(after(0), "other", None), 0);
    check(&servers, "a", 0, 0);
    assert_eq!(servers.mark_cold(after(0), "dc", None), 1);
    check(&servers, "a", 0, 3_000);
    servers.mark_cold(after(0), "dc", Some(Duration::from_secs(1)));
    check(&servers, "a", 0, 3_000);
    servers.add(after(500), server("a", 1, 2, Some(0)));
    check(&servers, "a", 500, 0);
}

#[test]
fn observe_reports_each_transition_once_with_its_source() {
    let mut servers = servers();
    let key = state(&servers, "a").key();
    let observe = |servers: &mut Servers, millis| {
        let state = servers.get_mut(key).expect("the server");
        state.observe_cold(after(millis))
    };
    assert_eq!(observe(&mut servers, 0), None);
    servers.mark_cold(after(0), "dc", None);
    let cold = Some((true, Source::Evacuation));
    assert_eq!(observe(&mut servers, 1), cold);
    assert_eq!(observe(&mut servers, 2), None);
    let elapsed = Some((false, Source::Elapsed));
    assert_eq!(observe(&mut servers, 3_001), elapsed);
    servers.add(after(4_000), server("a", 1, 2, Some(2_000)));
    assert_eq!(observe(&mut servers, 4_000), Some((true, Source::Record)));
    respond(&mut servers, "a", 4_500, 0);
    let warm = Some((false, Source::Response));
    assert_eq!(observe(&mut servers, 4_500), warm);
}

/// Returns the ids of the servers chosen in 100 calls to a plain service.
fn choices(servers: &Servers, workload: &Workload) -> Vec<String> {
    choices_of(servers, workload, Expectation::default())
}

fn choices_of(servers: &Servers, workload: &Workload, expected: Expectation) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(3);
    let chosen = (0..100).filter_map(|_| {
        let usable = servers.usable(after(0), "app");
        plain::choose(after(0), usable, workload, expected, &[], &mut random)
    });
    chosen.map(|it| it.server.id.clone()).collect()
}

#[test]
fn choose_warm_server_before_an_equal_cold_one() {
    let mut servers = servers();
    servers.add(after(0), server("b", 1, 1, Some(3_000)));
    let workload = Workload::default();
    assert!(choices(&servers, &workload).iter().all(|it| it == "a"));
    let known = Expectation {
        mean: 60.0,
        upper: 100.0,
    };
    assert!(known.work().is_some());
    let chosen = choices_of(&servers, &workload, known);
    assert!(chosen.iter().all(|it| it == "a"));
}

#[test]
fn choose_no_cold_server_that_has_reached_its_bound() {
    let mut servers = Servers::default();
    servers.set_cold_starts(cold_starts(1.0));
    servers.add(after(0), server("a", 1, 1, Some(3_000)));
    let mut workload = Workload::default();
    workload.window_mut().enable(Moment::from_millis(1));
    workload.window_mut().set_share(1, 1);
    assert_eq!(choices(&servers, &workload).len(), 100);
    assert_eq!(servers.pause_of_all(after(0), "app", &workload), None);
    workload.apply(after(0), &placed(state(&servers, "a").key(), 1));
    assert!(choices(&servers, &workload).is_empty());
    let left = servers.pause_of_all(after(50), "app", &workload);
    assert_eq!(left, Some(Duration::from_secs(1)));
    // The bound ends with the period.
    respond(&mut servers, "a", 100, 200);
    let left = servers.pause_of_all(after(100), "app", &workload);
    assert_eq!(left, Some(Duration::from_millis(200)));
    respond(&mut servers, "a", 100, 0);
    assert_eq!(choices(&servers, &workload).len(), 100);
}
