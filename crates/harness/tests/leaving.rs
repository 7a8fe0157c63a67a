//! Graceful shutdowns interrupt no request, and instances that leave or fail get no new requests.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use async_io::block_on;
use harness::Cluster;
use harness::Customer;
use harness::cluster::Options;
use harness::cluster::secret;
use harness::customer::Prompt;
use platform::Instance;
use platform::Status;
use serde_json::json;

/// The time within which instances that fail or leave must be out of use.
const REMOVAL_LIMIT: Duration = Duration::from_secs(3);

fn listed_names(cluster: &Cluster, entry: usize) -> Vec<String> {
    let entries = block_on(
        cluster
            .customer("forum")
            .entries(cluster.entry_address(entry)),
    )
    .unwrap();
    entries.entries.into_iter().map(|it| it.name).collect()
}

#[test]
fn entry_killed_is_removed_from_the_entry_list() {
    let mut cluster = Cluster::start(Options {
        entries: 6,
        engines: 1,
        ..Options::default()
    })
    .unwrap();
    let killed = cluster.entries[5].name.clone();
    cluster.entries[5].process.kill();
    let is_removed = || (0..5).all(|entry| !listed_names(&cluster, entry).contains(&killed));
    cluster
        .wait_until(REMOVAL_LIMIT, "no entry lists the killed entry", is_removed)
        .unwrap();
}

#[test]
fn entry_frozen_is_removed_from_the_entry_list_and_returns() {
    let cluster = Cluster::start(Options {
        engines: 1,
        ..Options::default()
    })
    .unwrap();
    let frozen = cluster.entries[2].name.clone();
    cluster.entries[2].process.signal("STOP").unwrap();
    let is_removed = || (0..2).all(|entry| !listed_names(&cluster, entry).contains(&frozen));
    cluster
        .wait_until(REMOVAL_LIMIT, "no entry lists the frozen entry", is_removed)
        .unwrap();
    cluster.entries[2].process.signal("CONT").unwrap();
    let is_listed = || (0..3).all(|entry| listed_names(&cluster, entry).len() == 3);
    cluster
        .wait_until(
            REMOVAL_LIMIT,
            "all entries list the resumed entry",
            is_listed,
        )
        .unwrap();
    let prompt = Prompt::new(1_000, 10, 1);
    let received = block_on(
        cluster
            .customer("forum")
            .prompt(cluster.entry_address(2), &prompt),
    )
    .unwrap();
    assert!(received.is_complete(&prompt));
}

/// Makes one engine leave with `announce`. Checks that it gets no new requests once an entry marks
/// it as leaving, and that all prompts are answered completely.
fn check_leaving(announce: impl Fn(&Cluster)) {
    let cluster = Cluster::start(Options {
        engines: 2,
        services: 0,
        ..Options::default()
    })
    .unwrap();
    let customer = cluster.customer("forum");
    announce(&cluster);
    let is_marked = || {
        let engines = cluster
            .get_json(cluster.entries[0].operator_address, "/engines")
            .unwrap();
        engines["runner-0"]["is_leaving"] == true
    };
    cluster
        .wait_until(
            REMOVAL_LIMIT,
            "the entry marks the engine as leaving",
            is_marked,
        )
        .unwrap();
    for seed in 0..8 {
        let prompt = Prompt::new(1_000, 5, seed);
        let received = block_on(customer.prompt(cluster.entry_address(seed as usize % 3), &prompt));
        assert!(received.unwrap().is_complete(&prompt));
        let load = cluster
            .get_json(cluster.engines[0].address, "/load")
            .unwrap();
        assert_eq!(load["running"], 0);
    }
}

#[test]
fn engine_reports_leaving_gets_no_new_requests() {
    check_leaving(|cluster| {
        cluster
            .set_faults(cluster.engines[0].address, &json!({ "leaving": true }))
            .unwrap();
    });
}

#[test]
fn engine_listed_as_leaving_gets_no_new_requests() {
    check_leaving(|cluster| {
        let instances = cluster
            .get_json(cluster.platform.address, "/instances")
            .unwrap();
        let mut listed: Vec<Instance> = serde_json::from_value(instances).unwrap();
        for instance in listed.iter_mut().filter(|it| it.name == "runner-0") {
            instance.status = Status::Leaving;
        }
        cluster.set_instances(&listed).unwrap();
    });
}

#[test]
fn service_leaving_calls_go_to_another_server() {
    let cluster = Cluster::start(Options {
        engines: 1,
        services: 2,
        ..Options::default()
    })
    .unwrap();
    cluster
        .set_faults(cluster.services[0].address, &json!({ "leaving": true }))
        .unwrap();
    for index in 0..6 {
        let customer = cluster.customer("riders");
        let sent = block_on(customer.service(cluster.entry_address(index % 3), "bookings/x", None))
            .unwrap();
        assert_eq!(sent.0, 200);
    }
    let runs = cluster
        .get_json(cluster.services[0].address, "/runs")
        .unwrap();
    assert_eq!(runs["without_key"], 0);
}

/// Sends prompts one after another, as a caller that caches the answer of `/v1/entries` for as long
/// as it allows. Returns the number of prompts that were answered completely.
fn send_prompts(entry: std::net::SocketAddr, seed: u64, is_over: &AtomicBool) -> usize {
    let customer = Customer::new(secret("forum"));
    let mut entries = block_on(customer.entries(entry)).unwrap();
    let mut fetched = Instant::now();
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        if fetched.elapsed() > Duration::from_millis(entries.keep_ms) {
            let cached = entries.entries.clone();
            let fresh = cached
                .iter()
                .find_map(|it| block_on(customer.entries(it.address)).ok());
            entries = fresh.expect("one of the cached entries answers");
            fetched = Instant::now();
        }
        let entry = &entries.entries[count % entries.entries.len()];
        let prompt = Prompt::new(1_000, 30, seed * 1_000_000 + count as u64);
        let received = block_on(customer.prompt(entry.address, &prompt));
        let received = received
            .unwrap_or_else(|error| panic!("{} interrupted a request: {error}", entry.name));
        assert!(received.is_complete(&prompt), "{:?}", received.result);
        count += 1;
    }
    count
}

/// Guards against requests that are taken for as long as others run, so that the process never ends by itself and cuts
/// them when the platform ends it.
#[test]
fn entry_that_stops_accepts_no_callers_while_it_finishes_requests() {
    let mut cluster = Cluster::start(Options {
        entries: 2,
        services: 0,
        ..Options::default()
    })
    .unwrap();
    let entry = cluster.entry_address(0);
    let prompt = Prompt::new(1_000, 1_500, 1);
    let asked = prompt.clone();
    let ask = move || block_on(Customer::new(secret("forum")).prompt(entry, &asked));
    let running = std::thread::spawn(ask);
    std::thread::sleep(Duration::from_millis(500));
    cluster.entries[0].process.signal("TERM").unwrap();
    // Callers are led away for 0.6 s.
    std::thread::sleep(Duration::from_millis(1_500));
    assert!(!running.is_finished());
    assert!(std::net::TcpStream::connect(entry).is_err());
    let received = running.join().expect("a caller").unwrap();
    assert!(received.is_complete(&prompt), "{:?}", received.result);
    let exit = cluster.entries[0].process.wait(Duration::from_secs(5));
    assert!(exit.unwrap().success());
}

#[test]
fn rolling_restart_interrupts_no_request() {
    let mut cluster = Cluster::start(Options {
        services: 0,
        ..Options::default()
    })
    .unwrap();
    let is_over = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..4)
        .map(|seed| {
            let (entry, is_over) = (cluster.entry_address(seed as usize % 3), is_over.clone());
            std::thread::spawn(move || send_prompts(entry, seed, &is_over))
        })
        .collect();
    for _ in 0..3 {
        let new_index = cluster.start_entry().unwrap();
        cluster.update_instances().unwrap();
        let is_listed =
            || (0..=new_index).all(|entry| listed_names(&cluster, entry).len() == new_index + 1);
        cluster
            .wait_until(
                Duration::from_secs(5),
                "all entries list the new entry",
                is_listed,
            )
            .unwrap();
        cluster.entries[0].process.signal("TERM").unwrap();
        let mut stopped = cluster.entries.remove(0);
        let status = stopped.process.wait(Duration::from_secs(20)).unwrap();
        assert!(status.success());
        cluster.update_instances().unwrap();
    }
    is_over.store(true, Ordering::Relaxed);
    let counts: Vec<usize> = threads.into_iter().map(|it| it.join().unwrap()).collect();
    assert!(counts.iter().all(|it| *it > 10), "{counts:?}");
}

#[test]
fn drain_callers_with_a_cached_entry_list_are_served() {
    let mut cluster = Cluster::start(Options {
        engines: 1,
        settings: json!({ "answer_lifetime_ms": 4000, "list_lag_ms": 300, "log_level": "warn" }),
        ..Options::default()
    })
    .unwrap();
    let customer = cluster.customer("forum");
    let cached = block_on(customer.entries(cluster.entry_address(0))).unwrap();
    assert_eq!(cached.keep_ms, 4_000);
    cluster.entries[0].process.signal("TERM").unwrap();
    block_on(Timer::after(Duration::from_millis(2_800)));
    let prompt = Prompt::new(1_000, 10, 1);
    let received = block_on(customer.prompt(cluster.entry_address(0), &prompt)).unwrap();
    assert!(received.is_complete(&prompt), "{:?}", received.result);
    let status = cluster.entries[0]
        .process
        .wait(Duration::from_secs(10))
        .unwrap();
    assert!(status.success());
}

#[test]
fn drain_by_operator_stops_the_process() {
    let mut cluster = Cluster::start(Options {
        engines: 1,
        ..Options::default()
    })
    .unwrap();
    let entry = cluster.entries[0].operator_address.to_string();
    let output = harness::process::output("coriander-ctl", &["drain", "--entry", &entry]).unwrap();
    assert!(output.status.success());
    block_on(Timer::after(Duration::from_millis(50)));
    let name = cluster.entries[0].name.clone();
    let is_removed = || (1..3).all(|entry| !listed_names(&cluster, entry).contains(&name));
    cluster
        .wait_until(
            REMOVAL_LIMIT,
            "no entry lists the leaving entry",
            is_removed,
        )
        .unwrap();
    let status = cluster.entries[0]
        .process
        .wait(Duration::from_secs(10))
        .unwrap();
    assert!(status.success());
}
