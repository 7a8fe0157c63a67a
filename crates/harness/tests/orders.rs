//! Engines run the model versions of the configuration, even after a stale order.

use std::time::Duration;

use async_io::block_on;
use domain::Fleet;
use harness::Cluster;
use harness::cluster::Options;
use serde_json::Value;
use serde_json::json;
use web::client::Call;

/// The time within which all engines must run a new version.
const VERSION_LIMIT: Duration = Duration::from_secs(10);

fn with_version(mut fleet: Fleet, version: u64) -> Fleet {
    fleet.models[0].version = version;
    fleet
}

fn wait_for_version(cluster: &Cluster, version: u64) {
    let has_version = |orders: Value| orders["versions"]["assistant"] == version;
    let is_done = || {
        let mut answers = cluster
            .engines
            .iter()
            .map(|it| cluster.get_json(it.address, "/orders"));
        answers.all(|it| it.is_ok_and(has_version))
    };
    cluster
        .wait_until(VERSION_LIMIT, "all engines run the version", is_done)
        .unwrap();
}

/// Sends an order with an outdated fencing number, as an entry does that was paused and resumes.
/// Returns whether the engine accepted it.
fn send_stale_order(cluster: &Cluster, engine: usize) -> bool {
    let order = json!({ "fencing": 1, "model": "assistant", "version": 1 });
    let call = Call::json(cluster.engines[engine].address, "/orders", &order);
    block_on(cluster.client.send_unpooled(&call, VERSION_LIMIT))
        .unwrap()
        .is_success()
}

/// Sends a stale order to an engine. Checks whether the engine accepts it, and that all engines run
/// the latest version in the end.
fn check_stale_order(engine_options: &[&str], is_accepted: bool) {
    let mut options = Options {
        services: 0,
        ..Options::default()
    };
    options
        .engine_options
        .extend(engine_options.iter().map(|it| (*it).to_owned()));
    let cluster = Cluster::start(options).unwrap();
    cluster.publish(&with_version(cluster.fleet(), 2)).unwrap();
    wait_for_version(&cluster, 2);
    assert_eq!(send_stale_order(&cluster, 1), is_accepted);
    wait_for_version(&cluster, 2);
}

#[test]
fn orders_checked_fencing_refuses_a_stale_order() {
    check_stale_order(&["--checks-fencing"], false);
}

#[test]
fn orders_unchecked_fencing_is_reconciled() {
    check_stale_order(&[], true);
}

#[test]
fn orders_resumed_entry_keeps_the_latest_version() {
    let cluster = Cluster::start(Options {
        services: 0,
        ..Options::default()
    })
    .unwrap();
    cluster.publish(&with_version(cluster.fleet(), 2)).unwrap();
    wait_for_version(&cluster, 2);
    cluster.entries[0].process.signal("STOP").unwrap();
    cluster.publish(&with_version(cluster.fleet(), 3)).unwrap();
    wait_for_version(&cluster, 3);
    cluster.entries[0].process.signal("CONT").unwrap();
    block_on(async_io::Timer::after(Duration::from_millis(2_500)));
    wait_for_version(&cluster, 3);
}
