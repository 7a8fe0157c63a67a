//! An accepted configuration comes into force everywhere and never reverts.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use async_io::block_on;
use domain::Fleet;
use harness::Cluster;
use harness::cluster::Plan;
use harness::customer::Prompt;
use platform::Instance;
use serde_json::json;

/// The target for a change to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(16);

fn plan() -> Plan {
    Plan {
        engines: 1,
        services: 0,
        ..Plan::default()
    }
}

fn short_retention() -> Plan {
    Plan {
        platform_options: vec!["--retention-ms=1500".to_owned()],
        settings: json!({
            "answer_lifetime_ms": 300, "list_lag_ms": 300, "log_level": "error",
            "log_retention_ms": 1500,
        }),
        ..plan()
    }
}

/// Returns the priority of a customer as an entry has it in force.
fn priority(cluster: &Cluster, entry: SocketAddr, customer: &str) -> Option<u64> {
    let page = cluster.page(entry, "/config").ok()?;
    let item = &page["entries"][format!("contract/{customer}")]["value"]["contract"];
    item["priority"].as_u64()
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

fn wait_in_force(cluster: &Cluster, customer: &str, expected: u64) {
    let is_in_force = || {
        let entries = cluster.entries.iter().map(|it| it.operators);
        entries
            .into_iter()
            .all(|it| priority(cluster, it, customer) == Some(expected))
    };
    cluster
        .until(
            IN_FORCE_LIMIT,
            "the change is in force on all entries",
            is_in_force,
        )
        .unwrap();
}

#[test]
fn publish_comes_into_force_on_all_entries() {
    let cluster = Cluster::start(plan()).unwrap();
    for priority in 1..5 {
        cluster
            .publish(&with_priority(cluster.fleet(), "forum", priority))
            .unwrap();
        wait_in_force(&cluster, "forum", priority.into());
    }
}

#[test]
fn publish_of_racing_operators_one_wins() {
    let cluster = Cluster::start(plan()).unwrap();
    let page = cluster
        .page(cluster.entries[0].operators, "/config")
        .unwrap();
    let version = page["next"].as_u64().unwrap();
    cluster
        .fault(cluster.platform.address, &json!({ "delay_ms": 150 }))
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
                let said = String::from_utf8_lossy(&output.stdout).into_owned();
                (priority, output.status.success(), said)
            })
        };
        let threads: Vec<_> = (1..5).map(start).collect();
        threads.into_iter().map(|it| it.join().unwrap()).collect()
    });
    let winners: Vec<_> = outcomes
        .iter()
        .filter(|(_, is_accepted, _)| *is_accepted)
        .collect();
    assert_eq!(winners.len(), 1, "{outcomes:?}");
    assert!(
        outcomes
            .iter()
            .all(|(_, ok, said)| *ok || said.starts_with("refused"))
    );
    cluster.fault(cluster.platform.address, &json!({})).unwrap();
    wait_in_force(&cluster, "forum", winners[0].0.into());
}

#[test]
fn publish_with_lost_answers_is_settled() {
    let cluster = Cluster::start(plan()).unwrap();
    for priority in 1..4 {
        cluster
            .fault(cluster.platform.address, &json!({ "lose_answers": 2 }))
            .unwrap();
        cluster
            .publish(&with_priority(cluster.fleet(), "forum", priority))
            .unwrap();
        wait_in_force(&cluster, "forum", priority.into());
    }
}

#[test]
fn entry_started_in_an_outage_takes_a_peers_state() {
    let mut cluster = Cluster::start(plan()).unwrap();
    cluster
        .publish(&with_priority(cluster.fleet(), "forum", 7))
        .unwrap();
    wait_in_force(&cluster, "forum", 7);
    let listed: Vec<Instance> = serde_json::from_value(
        cluster
            .page(cluster.platform.address, "/instances")
            .unwrap(),
    )
    .unwrap();
    assert!(!listed.is_empty());
    // The log is out, the list is not: it comes from elsewhere.
    cluster
        .fault(
            cluster.platform.address,
            &json!({ "log_outage_ms": 600_000 }),
        )
        .unwrap();
    let new = cluster.start_entry().unwrap();
    cluster.list().unwrap();
    let is_in_force = || priority(&cluster, cluster.entries[new].operators, "forum") == Some(7);
    cluster
        .until(
            Duration::from_secs(10),
            "the new entry has the state",
            is_in_force,
        )
        .unwrap();
    let prompt = Prompt::new(1_000, 10, 1);
    let received = block_on(
        cluster
            .customer("forum")
            .prompt(cluster.entry(new), &prompt),
    );
    assert!(received.unwrap().is_complete(&prompt));
}

#[test]
fn entry_without_any_state_is_not_ready() {
    let cluster = Cluster::start(Plan {
        entries: 0,
        ..plan()
    })
    .unwrap();
    cluster
        .fault(cluster.platform.address, &json!({ "outage_ms": 600_000 }))
        .unwrap();
    let mut cluster = cluster;
    let new = cluster.start_entry().unwrap();
    block_on(Timer::after(Duration::from_millis(500)));
    assert!(
        cluster
            .page(cluster.entries[new].operators, "/readyz")
            .is_err()
    );
    let prompt = Prompt::new(1_000, 10, 1);
    let received = block_on(
        cluster
            .customer("forum")
            .prompt(cluster.entry(new), &prompt),
    );
    assert!(received.unwrap().result.is_err());
}

#[test]
fn records_expired_nothing_is_lost_or_reverted() {
    let mut cluster = Cluster::start(short_retention()).unwrap();
    cluster
        .publish(&with_priority(cluster.fleet(), "forum", 3))
        .unwrap();
    wait_in_force(&cluster, "forum", 3);
    // Several retentions pass, and the records with them.
    block_on(Timer::after(Duration::from_millis(4_500)));
    let batch = cluster
        .page(cluster.platform.address, "/log/config")
        .unwrap();
    assert_eq!(
        batch["records"].as_array().map(Vec::len),
        Some(0),
        "records have expired"
    );
    wait_in_force(&cluster, "forum", 3);
    let new = cluster.start_entry().unwrap();
    let is_in_force = || priority(&cluster, cluster.entries[new].operators, "forum") == Some(3);
    cluster
        .until(
            Duration::from_secs(10),
            "the new entry has the state",
            is_in_force,
        )
        .unwrap();
    // A change after that still names the right version.
    cluster
        .publish(&with_priority(cluster.fleet(), "forum", 4))
        .unwrap();
    wait_in_force(&cluster, "forum", 4);
}

#[test]
fn entry_frozen_beyond_retention_does_not_revert() {
    let cluster = Cluster::start(short_retention()).unwrap();
    cluster.entries[2].process.signal("STOP").unwrap();
    cluster
        .publish(&with_priority(cluster.fleet(), "forum", 5))
        .unwrap();
    block_on(Timer::after(Duration::from_millis(3_000)));
    cluster.entries[2].process.signal("CONT").unwrap();
    wait_in_force(&cluster, "forum", 5);
}
