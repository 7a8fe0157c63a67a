//! `cargo xtask`: the project's automation.

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

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
}

fn main() -> ExitCode {
    let result = match Arguments::parse().task {
        Task::Test => test::run(),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}
