//! `coriander-burn`: the report on service-level burn.

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

/// The time for one entry to answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The exit code when some customer's burn calls for somebody at once.
const ALERT: u8 = 3;

/// Reports how fast each customer's error budget is used up, over 5 minutes and 1 hour.
///
/// Exits 3 if some burn calls for somebody at once.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The operators' addresses of all entry instances, with commas between them.
    #[arg(long, required = true, value_delimiter = ',')]
    entries: Vec<SocketAddr>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Draw a picture (SVG) into this file.
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
            .with_context(|| format!("{} can't be written", path.display()))?;
    }
    let is_alert = report.rows.iter().any(|it| it.severity == Severity::Alert);
    Ok(if is_alert {
        ExitCode::from(ALERT)
    } else {
        ExitCode::SUCCESS
    })
}

/// Reads the ledgers of all entries. One that does not answer is named and left out.
async fn collect(entries: &[SocketAddr]) -> Vec<Summary> {
    let client = Client::default();
    let mut summaries = Vec::new();
    for entry in entries {
        match client
            .fetch::<Vec<Summary>>(&Call::get(*entry, "/burn"), TIMEOUT)
            .await
        {
            Ok(more) => summaries.extend(more),
            Err(error) => eprintln!("{entry} is left out: {error}"),
        }
    }
    summaries
}
