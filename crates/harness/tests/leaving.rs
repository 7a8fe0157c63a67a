//! Planned stops cut nothing, and what leaves or dies gets nothing new.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use async_io::block_on;
use harness::Cluster;
use harness::Customer;
use harness::cluster::Plan;
use harness::cluster::secret;
use harness::customer::Prompt;
use platform::Instance;
use platform::Status;
use serde_json::json;

/// The time in which the dead and the leaving have to be out of use.
const OUT_LIMIT: Duration = Duration::from_secs(3);

fn names(cluster: &Cluster, entry: usize) -> Vec<String> {
    let entries = block_on(cluster.customer("forum").entries(cluster.entry(entry))).unwrap();
    entries.entries.into_iter().map(|it| it.name).collect()
}

#[test]
fn dead_entry_leaves_the_answer_in_time() {
    let mut cluster = Cluster::start(Plan {
        entries: 6,
        engines: 1,
        ..Plan::default()
    })
    .unwrap();
    let dead = cluster.entries[5].name.clone();
    cluster.entries[5].process.kill();
    let is_out = || (0..5).all(|entry| !names(&cluster, entry).contains(&dead));
    cluster
        .until(OUT_LIMIT, "the dead entry is out of all answers", is_out)
        .unwrap();
}

#[test]
fn frozen_entry_leaves_and_comes_back() {
    let cluster = Cluster::start(Plan {
        engines: 1,
        ..Plan::default()
    })
    .unwrap();
    let frozen = cluster.entries[2].name.clone();
    cluster.entries[2].process.signal("STOP").unwrap();
    let is_out = || (0..2).all(|entry| !names(&cluster, entry).contains(&frozen));
    cluster
        .until(OUT_LIMIT, "the frozen entry is out", is_out)
        .unwrap();
    cluster.entries[2].process.signal("CONT").unwrap();
    let is_back = || (0..3).all(|entry| names(&cluster, entry).len() == 3);
    cluster
        .until(OUT_LIMIT, "the thawed entry is back", is_back)
        .unwrap();
    let prompt = Prompt::new(1_000, 10, 1);
    let received = block_on(cluster.customer("forum").prompt(cluster.entry(2), &prompt)).unwrap();
    assert!(received.is_complete(&prompt));
}

/// Lets one engine leave by `sign`, and checks that its streams end whole and that it gets nothing
/// new once the time is up.
fn check_leaving(sign: impl Fn(&Cluster)) {
    let cluster = Cluster::start(Plan {
        engines: 2,
        services: 0,
        ..Plan::default()
    })
    .unwrap();
    let customer = cluster.customer("forum");
    sign(&cluster);
    let is_seen = || {
        let page = cluster
            .page(cluster.entries[0].operators, "/engines")
            .unwrap();
        page["runner-0"]["is_leaving"] == true
    };
    cluster
        .until(OUT_LIMIT, "the entry knows", is_seen)
        .unwrap();
    for seed in 0..8 {
        let prompt = Prompt::new(1_000, 5, seed);
        let received = block_on(customer.prompt(cluster.entry(seed as usize % 3), &prompt));
        assert!(received.unwrap().is_complete(&prompt));
        let trail = cluster.page(cluster.engines[0].address, "/load").unwrap();
        assert_eq!(trail["running"], 0);
    }
}

#[test]
fn engine_says_it_leaves_gets_nothing_new() {
    check_leaving(|cluster| {
        cluster
            .fault(cluster.engines[0].address, &json!({ "leaving": true }))
            .unwrap();
    });
}

#[test]
fn list_says_engine_leaves_gets_nothing_new() {
    check_leaving(|cluster| {
        let page = cluster
            .page(cluster.platform.address, "/instances")
            .unwrap();
        let mut listed: Vec<Instance> = serde_json::from_value(page).unwrap();
        for instance in listed.iter_mut().filter(|it| it.name == "runner-0") {
            instance.status = Status::Leaving;
        }
        cluster.tell_list(&listed).unwrap();
    });
}

#[test]
fn service_leaves_calls_go_elsewhere() {
    let cluster = Cluster::start(Plan {
        engines: 1,
        services: 2,
        ..Plan::default()
    })
    .unwrap();
    cluster
        .fault(cluster.services[0].address, &json!({ "leaving": true }))
        .unwrap();
    for index in 0..6 {
        let call = cluster.customer("riders");
        let sent = block_on(call.service(cluster.entry(index % 3), "bookings/x", None)).unwrap();
        assert_eq!(sent.0, 200);
    }
    let runs = cluster.page(cluster.services[0].address, "/runs").unwrap();
    assert_eq!(runs["without_key"], 0);
}

/// Sends prompts without a pause, as callers do who keep the answer of `/v1/entries` for as long
/// as it says. Returns how many were answered whole.
fn load(entry: std::net::SocketAddr, seed: u64, is_over: &AtomicBool) -> usize {
    let customer = Customer::new(secret("forum"));
    let mut entries = block_on(customer.entries(entry)).unwrap();
    let mut fetched = Instant::now();
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        if fetched.elapsed() > Duration::from_millis(entries.keep_ms) {
            let known = entries.entries.clone();
            let fresh = known
                .iter()
                .find_map(|it| block_on(customer.entries(it.address)).ok());
            entries = fresh.expect("one of the known entries answers");
            fetched = Instant::now();
        }
        let entry = &entries.entries[count % entries.entries.len()];
        let prompt = Prompt::new(1_000, 30, seed * 1_000_000 + count as u64);
        let received = block_on(customer.prompt(entry.address, &prompt));
        let received = received.unwrap_or_else(|error| panic!("cut by {}: {error}", entry.name));
        assert!(received.is_complete(&prompt), "{:?}", received.result);
        count += 1;
    }
    count
}

#[test]
fn rolling_restart_cuts_nothing() {
    let mut cluster = Cluster::start(Plan {
        services: 0,
        ..Plan::default()
    })
    .unwrap();
    let is_over = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..4)
        .map(|seed| {
            let (entry, is_over) = (cluster.entry(seed as usize % 3), is_over.clone());
            std::thread::spawn(move || load(entry, seed, &is_over))
        })
        .collect();
    for _ in 0..3 {
        let new = cluster.start_entry().unwrap();
        cluster.list().unwrap();
        let is_known = || (0..=new).all(|entry| names(&cluster, entry).len() == new + 1);
        cluster
            .until(Duration::from_secs(5), "the new entry is known", is_known)
            .unwrap();
        cluster.entries[0].process.signal("TERM").unwrap();
        let mut stopped = cluster.entries.remove(0);
        let status = stopped.process.wait(Duration::from_secs(20)).unwrap();
        assert!(status.success());
        cluster.list().unwrap();
    }
    is_over.store(true, Ordering::Relaxed);
    let counts: Vec<usize> = threads.into_iter().map(|it| it.join().unwrap()).collect();
    assert!(counts.iter().all(|it| *it > 10), "{counts:?}");
}

#[test]
fn kept_answer_is_served_after_a_stop_began() {
    let mut cluster = Cluster::start(Plan {
        engines: 1,
        settings: json!({ "answer_lifetime_ms": 1000, "list_lag_ms": 300, "log_level": "warn" }),
        ..Plan::default()
    })
    .unwrap();
    let customer = cluster.customer("forum");
    let kept = block_on(customer.entries(cluster.entry(0))).unwrap();
    assert_eq!(kept.keep_ms, 1_000);
    cluster.entries[0].process.signal("TERM").unwrap();
    block_on(Timer::after(Duration::from_millis(700)));
    let prompt = Prompt::new(1_000, 10, 1);
    let received = block_on(customer.prompt(cluster.entry(0), &prompt)).unwrap();
    assert!(received.is_complete(&prompt), "{:?}", received.result);
    let status = cluster.entries[0]
        .process
        .wait(Duration::from_secs(10))
        .unwrap();
    assert!(status.success());
}

#[test]
fn drain_by_operator_stops_the_process() {
    let mut cluster = Cluster::start(Plan {
        engines: 1,
        ..Plan::default()
    })
    .unwrap();
    let entry = cluster.entries[0].operators.to_string();
    let output = harness::process::output("coriander-ctl", &["drain", "--entry", &entry]).unwrap();
    assert!(output.status.success());
    block_on(Timer::after(Duration::from_millis(50)));
    let name = cluster.entries[0].name.clone();
    let is_out = || (1..3).all(|entry| !names(&cluster, entry).contains(&name));
    cluster
        .until(OUT_LIMIT, "the leaving entry is out", is_out)
        .unwrap();
    let status = cluster.entries[0]
        .process
        .wait(Duration::from_secs(10))
        .unwrap();
    assert!(status.success());
}
