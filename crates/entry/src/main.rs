//! `coriander-entry`: runs an entry instance.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

/// The exit code for settings that can't be used.
const BAD_SETTINGS: u8 = 2;

/// Runs an entry instance of corianderarch.
///
/// Prints `listening callers=… peers=… operators=…` once it is bound. SIGTERM stops it without
/// cutting off a request.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The settings, in JSON with comments. See examples/entry.jsonc.
    #[arg(long)]
    settings: PathBuf,
    /// Check the settings and exit: 0 if they are good, 2 if not.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let settings = match settings::entry(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if arguments.check {
        println!("{}: good", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = entry::logs::start(&settings) {
        eprintln!("logging can't be started: {error}");
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
