//! `cargo xtask`: the development tasks of the project.

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

mod run;
mod test;

/// The development tasks of the project.
#[derive(Debug, Parser)]
struct Arguments {
    #[command(subcommand)]
    task: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Run all checks: format, lints, tests and models.
    Test,
    /// Build the workspace in release mode and run a benchmark.
    Bench {
        /// The name of the benchmark. `cargo run -p bench -- --help` lists them.
        name: String,
    },
    /// Measure again and print the tables of docs/CAPACITY.md.
    Capacity,
    /// Start a cluster, send requests and check every guarantee.
    Demo,
    /// Regenerate the code of the wire format.
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
