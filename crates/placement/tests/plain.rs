//! Calls to plain services go to the server that is expected to answer first.

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
use placement::workload::Change;
use placement::workload::Part;
use placement::workload::Placement;
use placement::workload::Timeliness;
use rand::SeedableRng;
use rand::rngs::StdRng;

const NOW: Moment = Moment::from_millis(10_000);

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
            slots: 2,
            is_leaving: false,
            cold_left: None,
        };
        servers.add(NOW, server);
    }
    servers
}

fn key(servers: &Servers, id: &str) -> u64 {
    let mut states = servers.all().filter(|it| it.server.id == id);
    states.next().expect("the server").server.key()
}

/// Returns how often each server is chosen in 100 calls.
fn count(servers: &Servers, workload: &Workload, tried: &[u64]) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(3);
    let chosen = (0..100).filter_map(|_| {
        let usable = servers.usable(NOW, "app");
        plain::choose(
            NOW,
            usable,
            workload,
            Expectation::default(),
            tried,
            &mut random,
        )
    });
    let chosen: Vec<&str> = chosen.map(|it| it.server.id.as_str()).collect();
    let count = |id| chosen.iter().filter(|it| **it == id).count();
    (count("a"), count("b"))
}

#[test]
fn choose_both_without_latencies() {
    let (a, b) = count(&servers(), &Workload::default(), &[]);
    assert!(a > 20 && b > 20);
}

#[test]
fn choose_server_without_a_latency() {
    let mut servers = servers();
    let key = key(&servers, "a");
    let state = servers.get_mut(key).expect("the server");
    state.record_latency(NOW, Duration::from_millis(1));
    let (a, b) = count(&servers, &Workload::default(), &[]);
    assert!(a > 20 && b > 20, "{a} {b}");
}

#[test]
fn choose_faster_server_until_the_latency_expires() {
    let mut servers = servers();
    for (id, millis) in [("a", 200), ("b", 20)] {
        let key = key(&servers, id);
        let state = servers.get_mut(key).expect("the server");
        state.record_latency(NOW, Duration::from_millis(millis));
    }
    assert_eq!(count(&servers, &Workload::default(), &[]), (0, 100));
    let later = NOW + Duration::from_secs(4);
    let mut random = StdRng::seed_from_u64(3);
    let chosen = (0..100).filter(|_| {
        let usable = servers.usable(later, "app");
        let chosen = plain::choose(
            later,
            usable,
            &Workload::default(),
            Expectation::default(),
            &[],
            &mut random,
        );
        chosen.is_some_and(|it| it.server.id == "a")
    });
    assert!(chosen.count() > 20);
}

#[test]
fn choose_untried_server_with_free_slots_first() {
    let servers = servers();
    let mut workload = Workload::default();
    for number in 0..2 {
        let part = Part {
            server: key(&servers, "a"),
            prefill_ms: 0.0,
            tokens: 0,
        };
        let placed = Placement {
            target_ms: 100,
            pause_ms: 0,
            value: 1.0,
            timeliness: Timeliness::OnTime,
            parts: vec![part],
            passes: Expectation::default(),
            service_ms: Expectation::default(),
        };
        let entry = Incarnation(1);
        let job = JobId { entry, number };
        let change = Change::Placed(placed);
        workload.apply(NOW, &Update { job, change });
    }
    assert_eq!(count(&servers, &workload, &[]), (0, 100));
    assert_eq!(count(&servers, &workload, &[key(&servers, "b")]), (100, 0));
}
