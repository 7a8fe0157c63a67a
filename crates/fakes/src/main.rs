//! `coriander-fakes`: runs one fake as a process.

use std::net::SocketAddr;

use clap::Parser;
use clap::Subcommand;
use fakes::engine;
use fakes::platform;
use fakes::service;

/// Fakes of the dependencies of corianderarch: the platform, model engines and plain services.
///
/// Each prints `listening ADDRESS` once it serves, and injects faults on POST /faults.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    fake: Fake,
    /// The address to listen on; port 0 chooses a free port.
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
}

#[derive(Debug, Subcommand)]
enum Fake {
    /// The platform: an append-only log, a delayed list of instances, a weight store.
    Platform(platform::Options),
    /// A model engine.
    Engine(engine::Options),
    /// A plain service that counts how often each call was executed.
    Service(service::Options),
}

fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    match arguments.fake {
        Fake::Platform(options) => platform::run(arguments.listen, options),
        Fake::Engine(options) => engine::run(arguments.listen, options),
        Fake::Service(options) => service::run(arguments.listen, options),
    }
}
