//! Measurements. Each prints what it found; none passes or fails.
//!
//! `cargo xtask bench NAME` builds everything optimised and runs one of them. Times are compared as
//! ratios within one run.

use clap::Parser;
use clap::Subcommand;

mod capacity;
mod claims;
mod entry;
mod force;
mod routing;

/// Measurements of the whole system and of its parts.
#[derive(Debug, Parser)]
struct Arguments {
    #[command(subcommand)]
    measurement: Measurement,
}

#[derive(Debug, Subcommand)]
enum Measurement {
    /// Time to first token and slowdown by routing policy.
    Routing,
    /// What one firm's overload does to another.
    Firms,
    /// What an entry adds to an engine's time, what it sustains, and its memory.
    Entry,
    /// What claims and tickets cost, with the log up and out.
    Claims,
    /// The time from publishing to being in force.
    Force,
    /// The tables of docs/CAPACITY.md, from slopes.
    Capacity,
}

fn main() -> anyhow::Result<()> {
    match Arguments::parse().measurement {
        Measurement::Routing => routing::run(),
        Measurement::Firms => routing::firms(),
        Measurement::Entry => entry::run(),
        Measurement::Claims => claims::run(),
        Measurement::Force => force::run(),
        Measurement::Capacity => capacity::run(),
    }
}
