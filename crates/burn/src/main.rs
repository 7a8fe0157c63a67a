//! `coriander-burn`: the report on burn rates.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use burn::Report;
use burn::ledger::Summary;
use burn::picture;
use burn::report::Severity;
use clap::Parser;
use web::Client;
use web::client::Call;

/// The timeout of the call to one entry.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The exit code if any burn rate requires immediate action.
const ALERT: u8 = 3;

/// Reports how fast each customer's error budget is used up, over 5 minutes and 1 hour.
///
/// Exits 3 if any burn rate requires immediate action.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The operators' addresses of all entry instances, separated by commas.
    #[arg(long, required = true, value_delimiter = ',')]
    entries: Vec<SocketAddr>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Write a bar chart (SVG) to this file.
    #[arg(long)]
    svg: Option<PathBuf>,
}

fn main() -> Result<ExitCode> {
    let arguments = Arguments::parse();
    let summaries = async_io::block_on(collect(&arguments.entries));
    let report = Report::new(summaries);
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", report.table());
    }
    if let Some(path) = &arguments.svg {
        std::fs::write(path, picture::draw(&report))
            .with_context(|| format!("{} can't be written: check the path", path.display()))?;
    }
    let is_alert = report.rows.iter().any(|it| it.severity == Severity::Alert);
    Ok(if is_alert {
        ExitCode::from(ALERT)
    } else {
        ExitCode::SUCCESS
    })
}

/// Reads the ledgers of all entries. Skips an entry that doesn't respond, and prints a warning.
async fn collect(entries: &[SocketAddr]) -> Vec<Summary> {
    let client = Client::default();
    let mut summaries = Vec::new();
    for entry in entries {
        match client
            .fetch::<Vec<Summary>>(&Call::get(*entry, "/burn"), TIMEOUT)
            .await
        {
            Ok(more) => summaries.extend(more),
            Err(error) => eprintln!("{entry} is skipped: {error}"),
        }
    }
    summaries
}
