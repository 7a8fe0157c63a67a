//! An accepted configuration takes effect on all entries and never reverts.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use async_io::block_on;
use domain::Fleet;
use harness::Cluster;
use harness::cluster::Options;
use harness::customer::Prompt;
use platform::Instance;
use serde_json::json;

/// The time within which a change must be in effect on all entries.
const EFFECT_LIMIT: Duration = Duration::from_secs(16);

fn options() -> Options {
    Options {
        engines: 1,
        services: 0,
        ..Options::default()
    }
}

fn short_retention_options() -> Options {
    Options {
        platform_options: vec!["--retention-ms=1500".to_owned()],
        settings: json!({
            "answer_lifetime_ms": 300, "list_lag_ms": 300, "log_level": "error",
            "log_retention_ms": 1500,
        }),
        ..options()
    }
}

/// Returns the priority of a customer in the configuration that is in effect on an entry.
fn priority(cluster: &Cluster, entry: SocketAddr, customer: &str) -> Option<u64> {
    let config = cluster.get_json(entry, "/config").ok()?;
    let contract = &config["entries"][format!("contract/{customer}")]["value"]["contract"];
    contract["priority"].as_u64()
}

fn with_priority(mut fleet: Fleet, customer: &str, priority: u8) -> Fleet {
    for contract in fleet
        .contracts
        .iter_mut()
        .filter(|it| it.customer == customer)
    {
        contract.priority = priority;
    }
    fleet
}

fn wait_for_priority(cluster: &Cluster, customer: &str, expected: u64) {
    let is_in_effect = || {
        let entries = cluster.entries.iter().map(|it| it.operator_address);
        entries
            .into_iter()
            .all(|it| priority(cluster, it, customer) == Some(expected))
    };
    cluster
        .wait_until(
            EFFECT_LIMIT,
            "the change is in effect on all entries",
            is_in_effect,
        )
        .unwrap();
}

#[test]
fn publish_takes_effect_on_all_entries() {
    let cluster = Cluster::start(options()).unwrap();
    for priority in 1..5 {
        cluster
            .publish(&with_priority(cluster.fleet(), "forum", priority))
            .unwrap();
        wait_for_priority(&cluster, "forum", priority.into());
    }
}

#[test]
fn publish_by_concurrent_operators_one_succeeds() {
    let cluster = Cluster::start(options()).unwrap();
    let config = cluster
        .get_json(cluster.entries[0].operator_address, "/config")
        .unwrap();
    let version = config["next"].as_u64().unwrap();
    cluster
        .set_faults(cluster.platform.address, &json!({ "delay_ms": 150 }))
        .unwrap();
    let outcomes: Vec<(u8, bool, String)> = std::thread::scope(|scope| {
        let start = |priority: u8| {
            let fleet = with_priority(cluster.fleet(), "forum", priority);
            let (platform, folder) = (cluster.platform.address, cluster.folder().to_owned());
            scope.spawn(move || {
                let author = format!("operator-{priority}");
                let output =
                    harness::cluster::publish(&folder, platform, &fleet, &author, Some(version));
                let output = output.unwrap();
                let answer = String::from_utf8_lossy(&output.stdout).into_owned();
                (priority, output.status.success(), answer)
            })
        };
        let threads: Vec<_> = (1..5).map(start).collect();
        threads.into_iter().map(|it| it.join().unwrap()).collect()
    });
    let accepted: Vec<_> = outcomes
        .iter()
        .filter(|(_, is_accepted, _)| *is_accepted)
        .collect();
    assert_eq!(accepted.len(), 1, "{outcomes:?}");
    assert!(
        outcomes
            .iter()
            .all(|(_, is_accepted, answer)| *is_accepted || answer.starts_with("refused"))
    );
    cluster
        .set_faults(cluster.platform.address, &json!({}))
        .unwrap();
    wait_for_priority(&cluster, "forum", accepted[0].0.into());
}

#[test]
fn publish_with_lost_answers_takes_effect() {
    let cluster = Cluster::start(options()).unwrap();
    for priority in 1..4 {
        cluster
            .set_faults(cluster.platform.address, &json!({ "lose_answers": 2 }))
            .unwrap();
        cluster
            .publish(&with_priority(cluster.fleet(), "forum", priority))
            .unwrap();
        wait_for_priority(&cluster, "forum", priority.into());
    }
}

#[test]
fn entry_started_in_a_log_outage_copies_a_peers_state() {
    let mut cluster = Cluster::start(options()).unwrap();
    cluster
        .publish(&with_priority(cluster.fleet(), "forum", 7))
        .unwrap();
    wait_for_priority(&cluster, "forum", 7);
    let listed: Vec<Instance> = serde_json::from_value(
        cluster
            .get_json(cluster.platform.address, "/instances")
            .unwrap(),
    )
    .unwrap();
    assert!(!listed.is_empty());
    // The log fails, but the instance list still works, since the platform serves it separately.
    cluster
        .set_faults(
            cluster.platform.address,
            &json!({ "log_outage_ms": 600_000 }),
        )
        .unwrap();
    let new = cluster.start_entry().unwrap();
    cluster.update_instances().unwrap();
    let is_done = || priority(&cluster, cluster.entries[new].operator_address, "forum") == Some(7);
    cluster
        .wait_until(
            Duration::from_secs(10),
            "the new entry has the configuration",
            is_done,
        )
        .unwrap();
    let prompt = Prompt::new(1_000, 10, 1);
    let received = block_on(
        cluster
            .customer("forum")
            .prompt(cluster.entry_address(new), &prompt),
    );
    assert!(received.unwrap().is_complete(&prompt));
}

#[test]
fn entry_without_configuration_is_not_ready() {
    let cluster = Cluster::start(Options {
        entries: 0,
        ..options()
    })
    .unwrap();
    cluster
        .set_faults(cluster.platform.address, &json!({ "outage_ms": 600_000 }))
        .unwrap();
    let mut cluster = cluster;
    let new = cluster.start_entry().unwrap();
    block_on(Timer::after(Duration::from_millis(500)));
    assert!(
        cluster
            .get_json(cluster.entries[new].operator_address, "/readyz")
            .is_err()
    );
    let prompt = Prompt::new(1_000, 10, 1);
    let received = block_on(
        cluster
            .customer("forum")
            .prompt(cluster.entry_address(new), &prompt),
    );
    assert!(received.unwrap().result.is_err());
}

#[test]
fn records_expired_configuration_is_kept() {
    let mut cluster = Cluster::start(short_retention_options()).unwrap();
    cluster
        .publish(&with_priority(cluster.fleet(), "forum", 3))
        .unwrap();
    wait_for_priority(&cluster, "forum", 3);
    // This is several times the retention, so that all records expire.
    block_on(Timer::after(Duration::from_millis(4_500)));
    let batch = cluster
        .get_json(cluster.platform.address, "/log/config")
        .unwrap();
    assert_eq!(
        batch["records"].as_array().map(Vec::len),
        Some(0),
        "records have expired"
    );
    wait_for_priority(&cluster, "forum", 3);
    let new = cluster.start_entry().unwrap();
    let is_done = || priority(&cluster, cluster.entries[new].operator_address, "forum") == Some(3);
    cluster
        .wait_until(
            Duration::from_secs(10),
            "the new entry has the configuration",
            is_done,
        )
        .unwrap();
    // A later change must still be based on the right version.
    cluster
        .publish(&with_priority(cluster.fleet(), "forum", 4))
        .unwrap();
    wait_for_priority(&cluster, "forum", 4);
}

#[test]
fn entry_frozen_beyond_retention_does_not_revert() {
    let cluster = Cluster::start(short_retention_options()).unwrap();
    cluster.entries[2].process.signal("STOP").unwrap();
    cluster
        .publish(&with_priority(cluster.fleet(), "forum", 5))
        .unwrap();
    block_on(Timer::after(Duration::from_millis(3_000)));
    cluster.entries[2].process.signal("CONT").unwrap();
    wait_for_priority(&cluster, "forum", 5);
}
