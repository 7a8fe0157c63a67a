//! `coriander-fakes`: runs one stand-in as a process.

use std::net::SocketAddr;

use clap::Parser;
use clap::Subcommand;
use fakes::engine;
use fakes::platform;
use fakes::service;

/// Stand-ins for what corianderarch meets: the platform, model engines and plain services.
///
/// Each prints `listening ADDRESS` once it serves, and takes faults with POST /faults.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    part: Part,
    /// Where to listen; port 0 lets the system choose.
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

#[derive(Debug, Subcommand)]
enum Part {
    /// The platform: an append-only log, a lagging list of instances, a weight store.
    Platform(platform::Options),
    /// A model engine.
    Engine(engine::Options),
    /// A plain service that counts how often each call ran.
    Service(service::Options),
}

fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    match arguments.part {
        Part::Platform(options) => platform::run(arguments.listen, options),
        Part::Engine(options) => engine::run(arguments.listen, options),
        Part::Service(options) => service::run(arguments.listen, options),
    }
}
