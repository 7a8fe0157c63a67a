//! `coriander-ctl`: what operators do.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clap::Parser;
use clap::Subcommand;

mod commands;
mod publish;
mod state;

/// The exit code for a file that can't be used, or a change that lost a race.
const REFUSED: u8 = 2;

/// Checks, publishes and explains the configuration of corianderarch.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check a fleet file and print each complaint with its line. Exits 2 on any.
    Check {
        /// The fleet file, in JSON with comments.
        file: PathBuf,
    },
    /// Print the digest of a bearer key, as contracts hold it.
    Hash {
        /// The key.
        key: String,
    },
    /// Publish a fleet file. Exits 2 if another operator was first.
    Publish {
        /// The fleet file, in JSON with comments.
        file: PathBuf,
        /// The platform's address.
        #[arg(long)]
        platform: SocketAddr,
        /// Your name, for the record.
        #[arg(long, default_value = "operator")]
        author: String,
        /// The version that you mean to replace, as `show` prints it. Without it, the present one.
        #[arg(long)]
        expect: Option<u64>,
    },
    /// Print the configuration in force according to the log, or to one entry instance.
    Show {
        /// The platform's address.
        #[arg(long, required_unless_present = "entry")]
        platform: Option<SocketAddr>,
        /// The operators' address of an entry instance.
        #[arg(long, conflicts_with = "platform")]
        entry: Option<SocketAddr>,
    },
    /// Print each change as it comes into force.
    Watch {
        /// The platform's address.
        #[arg(long)]
        platform: SocketAddr,
    },
    /// Print what was decided about a request, and why.
    Explain {
        /// The identifier from the `Request-Id` header.
        request: String,
        /// The operators' address of the entry instance that took the request.
        #[arg(long)]
        entry: SocketAddr,
    },
    /// Tell what happened to a request, and why, from the logs of several processes.
    Story {
        /// The identifier of the request.
        request: String,
        /// The log files; standard input if none is given.
        logs: Vec<PathBuf>,
    },
    /// Begin a planned stop of an entry instance, which cuts off no request.
    Drain {
        /// The operators' address of the entry instance.
        #[arg(long)]
        entry: SocketAddr,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(arguments.command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Check { file } => match settings::fleet(&file) {
            Ok(fleet) => {
                println!(
                    "{}: good, {} contracts",
                    file.display(),
                    fleet.contracts.len()
                );
                Ok(ExitCode::SUCCESS)
            }
            Err(error) => {
                eprintln!("{error}");
                Ok(ExitCode::from(REFUSED))
            }
        },
        Command::Hash { key } => {
            println!("{}", domain::digest::sha256_hex(&key));
            Ok(ExitCode::SUCCESS)
        }
        Command::Publish {
            file,
            platform,
            author,
            expect,
        } => {
            let fleet = match settings::fleet(&file) {
                Ok(fleet) => fleet,
                Err(error) => {
                    eprintln!("{error}");
                    return Ok(ExitCode::from(REFUSED));
                }
            };
            async_io::block_on(publish::run(platform, &fleet, &author, expect))
        }
        Command::Show { platform, entry } => async_io::block_on(commands::show(platform, entry)),
        Command::Watch { platform } => async_io::block_on(commands::watch(platform)),
        Command::Explain { request, entry } => {
            async_io::block_on(commands::explain(entry, &request))
        }
        Command::Story { request, logs } => story(&request, &logs),
        Command::Drain { entry } => async_io::block_on(commands::drain(entry)),
    }
}

/// Prints the story of a request. Exits 2 if no log names it.
fn story(request: &str, logs: &[PathBuf]) -> anyhow::Result<ExitCode> {
    let mut text = String::new();
    if logs.is_empty() {
        text = std::io::read_to_string(std::io::stdin())?;
    }
    for path in logs {
        let log = std::fs::read_to_string(path)
            .with_context(|| format!("{} can't be read: name another file", path.display()))?;
        text.push_str(&log);
        text.push('\n');
    }
    let Some(story) = ctl::story::reconstruct(text.lines(), request) else {
        eprintln!("no line names {request}: add the logs of the instance that took it");
        return Ok(ExitCode::from(REFUSED));
    };
    for event in &story.events {
        println!("{event}");
    }
    println!("cause: {}", story.cause);
    Ok(ExitCode::SUCCESS)
}
