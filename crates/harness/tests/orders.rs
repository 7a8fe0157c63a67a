//! Engines run the versions that the configuration wants, also after an order from the past.

use std::time::Duration;

use async_io::block_on;
use domain::Fleet;
use harness::Cluster;
use harness::cluster::Plan;
use serde_json::Value;
use serde_json::json;
use web::client::Call;

/// The time in which engines have to follow.
const LIMIT: Duration = Duration::from_secs(10);

fn with_version(mut fleet: Fleet, version: u64) -> Fleet {
    fleet.models[0].version = version;
    fleet
}

fn wait_for_version(cluster: &Cluster, version: u64) {
    let runs = |page: Value| page["versions"]["assistant"] == version;
    let follow = || {
        let mut pages = cluster
            .engines
            .iter()
            .map(|it| cluster.page(it.address, "/orders"));
        pages.all(|it| it.is_ok_and(runs))
    };
    cluster.until(LIMIT, "all engines follow", follow).unwrap();
}

/// Sends an order as a paused holder does when it wakes. Returns whether the engine took it.
fn send_old_order(cluster: &Cluster, engine: usize) -> bool {
    let order = json!({ "fencing": 1, "model": "assistant", "version": 1 });
    let call = Call::json(cluster.engines[engine].address, "/orders", &order);
    block_on(cluster.client.send_unpooled(&call, LIMIT))
        .unwrap()
        .is_success()
}

/// Sends an old order to engines that check fencing numbers or not; all end up with the latest.
fn check_old_order(engine_options: &[&str], is_taken: bool) {
    let mut plan = Plan {
        services: 0,
        ..Plan::default()
    };
    plan.engine_options
        .extend(engine_options.iter().map(|it| (*it).to_owned()));
    let cluster = Cluster::start(plan).unwrap();
    cluster.publish(&with_version(cluster.fleet(), 2)).unwrap();
    wait_for_version(&cluster, 2);
    assert_eq!(send_old_order(&cluster, 1), is_taken);
    wait_for_version(&cluster, 2);
}

#[test]
fn orders_checked_fencing_refuses_the_past() {
    check_old_order(&["--checks-fencing"], false);
}

#[test]
fn orders_ignored_fencing_is_reconciled() {
    check_old_order(&[], true);
}

#[test]
fn orders_thawed_entry_leaves_the_latest_in_force() {
    let cluster = Cluster::start(Plan {
        services: 0,
        ..Plan::default()
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
