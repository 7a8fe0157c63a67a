//! `coriander-ctl`: the command line tool for operators.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clap::Parser;
use clap::Subcommand;
use ctl::check::Files;
use ctl::check::Format;

mod cmd;
mod publish;
mod state;

/// The exit code for an invalid file, a publication that was refused, or a request that no log
/// contains.
const REFUSED: u8 = 2;

/// Checks and publishes the configuration of corianderarch, and explains its requests.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check a fleet file and print each problem with its line. Exits 2 if there is any.
    Check {
        /// The fleet file, in JSON with comments.
        file: PathBuf,
    },
    /// Print the digest of a bearer key, as contracts store it.
    Hash {
        /// The bearer key.
        key: String,
    },
    /// Publish a fleet file. Exits 2 if it is invalid or another operator's change came first.
    Publish {
        /// The fleet file, in JSON with comments.
        file: PathBuf,
        /// The platform's address.
        #[arg(long)]
        platform: SocketAddr,
        /// Your name, which is stored with the change.
        #[arg(long, default_value = "operator")]
        author: String,
        /// The version to replace, as printed by `show`; the current one by default.
        #[arg(long)]
        expect: Option<u64>,
    },
    /// Print the current configuration, from the log or from one entry instance.
    Show {
        /// The platform's address.
        #[arg(long, required_unless_present = "entry")]
        platform: Option<SocketAddr>,
        /// The operators' address of an entry instance.
        #[arg(long, conflicts_with = "platform")]
        entry: Option<SocketAddr>,
    },
    /// Print each change of the configuration when it takes effect.
    Watch {
        /// The platform's address.
        #[arg(long)]
        platform: SocketAddr,
    },
    /// Print the decisions that an entry instance made about a request, and their reasons.
    Explain {
        /// The request's ID from the `Request-Id` header.
        request: String,
        /// The operators' address of the entry instance that accepted the request.
        #[arg(long)]
        entry: SocketAddr,
    },
    /// Reconstruct what happened to a request, and why, from the logs of several processes.
    Story {
        /// The ID of the request.
        request: String,
        /// The log files; standard input by default.
        logs: Vec<PathBuf>,
    },
    /// Print which data centres are evacuated, since when, which instances act on it and how many requests
    /// still run there. Exits 2 if an instance does not answer.
    Evacuations {
        /// The addresses of the instances' metrics.
        #[arg(long, required = true, num_args = 1..)]
        metrics: Vec<SocketAddr>,
    },
    /// Work on the configuration of the users' platform.
    #[command(subcommand)]
    Config(Config),
    /// Start the graceful shutdown of an entry instance, which completes all running requests.
    Drain {
        /// The operators' address of the entry instance.
        #[arg(long)]
        entry: SocketAddr,
    },
}

#[derive(Debug, Subcommand)]
enum Config {
    /// Check a configuration before it is published. Exits 0 if it is good, 1 with warnings and 2 with
    /// errors or if a file can't be read.
    Check {
        /// The configuration in JSON; `-` for standard input.
        file: PathBuf,
        /// The version in force, to compare with; `-` for standard input.
        #[arg(long)]
        against: Option<PathBuf>,
        /// The names of all regions, to find home regions that do not exist.
        #[arg(long, value_delimiter = ',')]
        regions: Vec<String>,
        /// The names of the regions with servers, to find home regions without any.
        #[arg(long, value_delimiter = ',')]
        served: Vec<String>,
        /// Print the report as JSON.
        #[arg(long)]
        json: bool,
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
        Command::Show { platform, entry } => async_io::block_on(cmd::show(platform, entry)),
        Command::Watch { platform } => async_io::block_on(cmd::watch(platform)),
        Command::Explain { request, entry } => async_io::block_on(cmd::explain(entry, &request)),
        Command::Story { request, logs } => story(&request, &logs),
        Command::Evacuations { metrics } => async_io::block_on(cmd::evacuations(&metrics)),
        Command::Config(config) => Ok(check(&config)),
        Command::Drain { entry } => async_io::block_on(cmd::drain(entry)),
    }
}

/// Prints the report on a configuration. A file that can't be read counts as an error, since the exit code 1
/// would mean warnings.
fn check(config: &Config) -> ExitCode {
    let Config::Check {
        file,
        against,
        regions,
        served,
        json,
    } = config;
    let files = Files {
        file,
        against: against.as_deref(),
        regions,
        served,
    };
    let format = match json {
        true => Format::Json,
        false => Format::Text,
    };
    match ctl::check::run(files, format, std::io::stdin()) {
        Ok(outcome) => {
            print!("{}", outcome.text);
            ExitCode::from(outcome.code)
        }
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(REFUSED)
        }
    }
}

/// Prints the events and the cause of a request's end. Exits 2 if no log contains the request.
fn story(request: &str, logs: &[PathBuf]) -> anyhow::Result<ExitCode> {
    let mut text = String::new();
    if logs.is_empty() {
        text = std::io::read_to_string(std::io::stdin())?;
    }
    for path in logs {
        let log = std::fs::read_to_string(path)
            .with_context(|| format!("{} can't be read: check the path", path.display()))?;
        text.push_str(&log);
        text.push('\n');
    }
    let Some(story) = ctl::story::reconstruct(text.lines(), request) else {
        eprintln!(
            "no log line contains request {request}: add the logs of the instance that accepted it"
        );
        return Ok(ExitCode::from(REFUSED));
    };
    for event in &story.events {
        println!("{event}");
    }
    println!("cause: {}", story.cause);
    Ok(ExitCode::SUCCESS)
}
