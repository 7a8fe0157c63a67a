//! Measures the cost of claims through the log and of tickets, and the refusals during an outage of
//! the log.

use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use async_io::block_on;
use harness::Cluster;
use harness::cluster::Options;
use harness::customer;
use load::report::Percentiles;
use serde_json::json;

/// The number of bookings for each kind of key.
const BOOKINGS: usize = 300;

/// The kind of idempotency key that a booking carries. The output shows the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyKind {
    /// No key.
    Unmarked,
    /// A key that the caller generates.
    Minted,
    /// A key that an entry issues.
    Ticket,
}

/// Measures each kind of key with the log available, and those that ensure at most one run also
/// during an outage of the log.
pub fn run() -> Result<()> {
    let cluster = Cluster::start(Options {
        engines: 1,
        ..Options::default()
    })?;
    println!("key        log   done    p50 ms   p95 ms   p99 ms   appends per booking");
    for kind in [KeyKind::Unmarked, KeyKind::Minted, KeyKind::Ticket] {
        measure(&cluster, kind, "up")?;
    }
    cluster.set_faults(cluster.platform.address, &json!({ "outage_ms": 3_600_000 }))?;
    for kind in [KeyKind::Minted, KeyKind::Ticket] {
        measure(&cluster, kind, "down")?;
    }
    Ok(())
}

fn measure(cluster: &Cluster, kind: KeyKind, log: &str) -> Result<()> {
    let customer = cluster.customer("riders");
    let bookings = if (kind, log) == (KeyKind::Minted, "down") {
        20
    } else {
        BOOKINGS
    };
    let appends_before = appends(cluster)?;
    let mut times = Vec::new();
    let mut done = 0;
    for index in 0..bookings {
        // A ticket is issued by one entry and used at another, as if the caller switched entries.
        let key = match kind {
            KeyKind::Unmarked => None,
            KeyKind::Minted => Some(customer::generate_key()),
            KeyKind::Ticket => {
                let issuer = cluster.entry_address(index % 3);
                block_on(customer.tickets(issuer, 1))?.first().copied()
            }
        };
        let key = key.map(|it| it.to_string());
        let entry = cluster.entry_address((index + 1) % 3);
        let start = Instant::now();
        let (status, _) = block_on(customer.service(entry, "bookings/x", key.as_deref()))?;
        times.push(start.elapsed());
        done += usize::from(status == 200);
    }
    block_on(async_io::Timer::after(Duration::from_millis(1_500)));
    let appends = self::appends(cluster)? - appends_before;
    let times = Percentiles::new(times);
    println!(
        "{:<10} {log:<4} {done:>4}/{bookings} {:>8.2} {:>8.2} {:>8.2}   {:.2}",
        format!("{kind:?}"),
        times.p50_ms,
        times.p95_ms,
        times.p99_ms,
        appends as f64 / bookings as f64
    );
    Ok(())
}

/// Returns the number of appends to the log that all entries have made so far.
fn appends(cluster: &Cluster) -> Result<u64> {
    let mut total = 0;
    for entry in &cluster.entries {
        total += cluster.get_json(entry.operator_address, "/status")?["appends"]
            .as_u64()
            .unwrap_or(0);
    }
    Ok(total)
}
