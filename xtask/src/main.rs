//! `cargo xtask`: the project's automation.

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

mod run;
mod test;

/// The project's automation.
#[derive(Debug, Parser)]
struct Arguments {
    #[command(subcommand)]
    task: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Check everything: format, lints, tidiness, all tests, all models.
    Test,
    /// Build everything optimised and run a measurement.
    Bench {
        /// Which one; see `cargo run -p bench -- --help`.
        name: String,
    },
    /// Print the tables of docs/CAPACITY.md from fresh measurements.
    Capacity,
    /// Start a cluster, send prompts and check every promise.
    Demo,
    /// Generate the code of the wire format again.
    Schema,
}

fn main() -> ExitCode {
    let result = match Arguments::parse().task {
        Task::Test => test::run(),
        Task::Bench { name } => run::bench(&name),
        Task::Capacity => run::bench("capacity"),
        Task::Demo => run::demo(),
        Task::Schema => run::schema(),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
