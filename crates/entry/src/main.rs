//! `coriander-entry`: runs an entry instance.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

/// The exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;

/// Runs an entry instance of corianderarch.
///
/// Prints `listening callers=… peers=… operators=…` once it is bound. SIGTERM shuts it down
/// gracefully: running requests are completed.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The settings file, in JSON with comments. See examples/entry.jsonc.
    #[arg(long)]
    settings: PathBuf,
    /// Validate the settings and exit with 0 if they are valid, 2 if not.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match settings::entry(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: good", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = entry::logs::start(&settings) {
        eprintln!("failed to start logging: {error}");
        return ExitCode::FAILURE;
    }
    match entry::run::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(target: "run", "{error:#}.");
            ExitCode::FAILURE
        }
    }
}
