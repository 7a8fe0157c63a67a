//! What claims through the log and tickets cost, and what they refuse during an outage.

use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use async_io::block_on;
use harness::Cluster;
use harness::cluster::Plan;
use harness::customer;
use load::report::Percentiles;
use serde_json::json;

/// Bookings for each way.
const BOOKINGS: usize = 300;

/// The way in which a booking is kept from running twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Unmarked,
    Minted,
    Ticket,
}

/// Measures each way with the log up, and those that need care with the log out.
pub fn run() -> Result<()> {
    let cluster = Cluster::start(Plan {
        engines: 1,
        ..Plan::default()
    })?;
    println!("way        log   done    p50 ms   p95 ms   p99 ms   appends per booking");
    for way in [Way::Unmarked, Way::Minted, Way::Ticket] {
        measure(&cluster, way, "up")?;
    }
    cluster.fault(cluster.platform.address, &json!({ "outage_ms": 3_600_000 }))?;
    for way in [Way::Minted, Way::Ticket] {
        measure(&cluster, way, "out")?;
    }
    Ok(())
}

fn measure(cluster: &Cluster, way: Way, log: &str) -> Result<()> {
    let customer = cluster.customer("riders");
    let bookings = if (way, log) == (Way::Minted, "out") {
        20
    } else {
        BOOKINGS
    };
    let appends = appends(cluster)?;
    let mut times = Vec::new();
    let mut done = 0;
    for index in 0..bookings {
        // Keys are taken where tickets come from and used elsewhere, as by a caller who moves.
        let key = match way {
            Way::Unmarked => None,
            Way::Minted => Some(customer::generate_key()),
            Way::Ticket => {
                let from = cluster.entry(index % 3);
                block_on(customer.tickets(from, 1))?.first().copied()
            }
        };
        let key = key.map(|it| it.to_string());
        let entry = cluster.entry((index + 1) % 3);
        let start = Instant::now();
        let (status, _) = block_on(customer.service(entry, "bookings/x", key.as_deref()))?;
        times.push(start.elapsed());
        done += usize::from(status == 200);
    }
    block_on(async_io::Timer::after(Duration::from_millis(1_500)));
    let appends = self::appends(cluster)? - appends;
    let times = Percentiles::new(times);
    println!(
        "{:<10} {log:<4} {done:>4}/{bookings} {:>8.2} {:>8.2} {:>8.2}   {:.2}",
        format!("{way:?}"),
        times.p50_ms,
        times.p95_ms,
        times.p99_ms,
        appends as f64 / bookings as f64
    );
    Ok(())
}

/// Returns the appends of all entries so far.
fn appends(cluster: &Cluster) -> Result<u64> {
    let mut total = 0;
    for entry in &cluster.entries {
        total += cluster.page(entry.operators, "/status")?["appends"]
            .as_u64()
            .unwrap_or(0);
    }
    Ok(total)
}
