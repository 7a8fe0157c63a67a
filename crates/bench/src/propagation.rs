//! Measures the time from publishing a configuration change until it is in effect on all entries.

use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use harness::Cluster;
use harness::cluster::Options;
use load::report::Percentiles;

/// The number of entries that a change must reach.
const ENTRIES: usize = 6;
/// The number of changes to publish.
const CHANGES: u8 = 100;
/// The time within which one change must be in effect.
const EFFECT_LIMIT: Duration = Duration::from_secs(16);

/// Publishes changes one by one, waits for each to be in effect and prints the times.
pub fn run() -> Result<()> {
    let cluster = Cluster::start(Options {
        entries: ENTRIES,
        engines: 1,
        services: 0,
        ..Options::default()
    })?;
    let mut times = Vec::new();
    for change in 1..=CHANGES {
        let mut fleet = cluster.fleet();
        fleet.contracts[0].priority = change % 9 + 1;
        let start = Instant::now();
        cluster.publish(&fleet)?;
        let published = cluster.get_json(cluster.platform.address, "/log/config?from=1000000")?;
        let head = published["head"].clone();
        cluster.wait_until(EFFECT_LIMIT, "the change is in effect", || {
            cluster.entries.iter().all(|it| {
                cluster
                    .get_json(it.operator_address, "/status")
                    .is_ok_and(|it| it["config_next"] == head)
            })
        })?;
        times.push(start.elapsed());
    }
    let times = Percentiles::new(times);
    println!(
        "from publishing until in effect on {ENTRIES} entries, including the run of the tool: \
         p50 {:.0} p95 {:.0} p99 {:.0} ms",
        times.p50_ms, times.p95_ms, times.p99_ms
    );
    Ok(())
}
