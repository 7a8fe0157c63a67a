//! The time from publishing a change to its being in force on every entry.

use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use harness::Cluster;
use harness::cluster::Plan;
use load::report::Percentiles;

/// Entries that a change has to reach.
const ENTRIES: usize = 6;
/// Changes that are published.
const CHANGES: u8 = 100;
/// The time that one change may take.
const LIMIT: Duration = Duration::from_secs(16);

/// Publishes changes and waits for each on all entries.
pub fn run() -> Result<()> {
    let cluster = Cluster::start(Plan {
        entries: ENTRIES,
        engines: 1,
        services: 0,
        ..Plan::default()
    })?;
    let mut times = Vec::new();
    for change in 1..=CHANGES {
        let mut fleet = cluster.fleet();
        fleet.contracts[0].priority = change % 9 + 1;
        let start = Instant::now();
        cluster.publish(&fleet)?;
        let published = cluster.page(cluster.platform.address, "/log/config?from=1000000")?;
        let head = published["head"].clone();
        cluster.until(LIMIT, "the change is in force", || {
            cluster.entries.iter().all(|it| {
                cluster
                    .page(it.operators, "/status")
                    .is_ok_and(|it| it["config_next"] == head)
            })
        })?;
        times.push(start.elapsed());
    }
    let times = Percentiles::new(times);
    println!(
        "publish to in force on {ENTRIES} entries, the tool's run included: p50 {:.0} p95 {:.0} \
         p99 {:.0} ms",
        times.p50_ms, times.p95_ms, times.p99_ms
    );
    Ok(())
}
