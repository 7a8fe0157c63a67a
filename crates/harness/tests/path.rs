//! End-to-end tests: requests of callers that run on engines and plain services.

use std::time::Duration;

use async_io::block_on;
use harness::Cluster;
use harness::cluster::Options;
use harness::customer::Prompt;

#[test]
fn path_prompt_is_answered_completely() {
    let cluster = Cluster::start(Options::default()).unwrap();
    let customer = cluster.customer("forum");
    let entries = block_on(customer.entries(cluster.entry_address(0))).unwrap();
    assert_eq!(entries.entries.len(), 3);
    for (index, entry) in entries.entries.iter().enumerate() {
        let prompt = Prompt::new(1_000, 40, index as u64);
        let received = block_on(customer.prompt(entry.address, &prompt)).unwrap();
        assert!(received.is_complete(&prompt), "{:?}", received.result);
    }
}

#[test]
fn path_million_tokens_use_a_gang() {
    let cluster = Cluster::start(Options {
        entries: 1,
        ..Options::default()
    })
    .unwrap();
    let prompt = Prompt::new(1_000_000, 20, 1);
    let received = block_on(
        cluster
            .customer("forum")
            .prompt(cluster.entry_address(0), &prompt),
    )
    .unwrap();
    assert!(received.is_complete(&prompt), "{:?}", received.result);
    let is_released = || {
        cluster
            .engines
            .iter()
            .all(|it| cluster.get_json(it.address, "/load").unwrap()["memory_used"] == 0)
    };
    cluster
        .wait_until(
            Duration::from_secs(5),
            "the memory is released",
            is_released,
        )
        .unwrap();
}

#[test]
fn path_service_runs_once() {
    let cluster = Cluster::start(Options::default()).unwrap();
    let customer = cluster.customer("riders");
    let call = customer.service(cluster.entry_address(0), "bookings/seats", None);
    let (status, body) = block_on(call).unwrap();
    assert_eq!((status, body["done"].as_str()), (200, Some("/seats")));
    let runs = cluster
        .get_json(cluster.services[0].address, "/runs")
        .unwrap();
    assert_eq!(runs["without_key"], 1);
}
