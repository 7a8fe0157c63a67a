//! Benchmarks. They print their results and have no pass criteria.
//!
//! `cargo xtask bench NAME` builds the workspace in release mode and runs one benchmark. Compare
//! times only as ratios within one run.

use clap::Parser;
use clap::Subcommand;

mod capacity;
mod claims;
mod entry;
mod propagation;
mod routing;

/// Benchmarks of the whole system and of its parts.
#[derive(Debug, Parser)]
struct Arguments {
    #[command(subcommand)]
    measurement: Measurement,
}

#[derive(Debug, Subcommand)]
enum Measurement {
    /// Measure the time to first token and the slowdown of short prompts for each routing policy.
    Routing,
    /// Measure how an overload by one firm affects another firm.
    Firms,
    /// Measure the overhead, the throughput and the memory of one entry.
    Entry,
    /// Measure the cost of claims and tickets, with the log available and during an outage.
    Claims,
    /// Measure the time from publishing a change until it is in effect on all entries.
    #[command(name = "force")]
    Propagation,
    /// Print the tables of docs/CAPACITY.md, extrapolated from measured slopes.
    Capacity,
}

fn main() -> anyhow::Result<()> {
    match Arguments::parse().measurement {
        Measurement::Routing => routing::run(),
        Measurement::Firms => routing::firms(),
        Measurement::Entry => entry::run(),
        Measurement::Claims => claims::run(),
        Measurement::Propagation => propagation::run(),
        Measurement::Capacity => capacity::run(),
    }
}
