//! Publishes a configuration. Handles lost responses and concurrent changes by other operators.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Result;
use anyhow::bail;
use async_io::Timer;
use config::Fold;
use config::Record;
use config::fold::Outcome;
use config::item;
use domain::Fleet;
use platform::Platform;

use crate::REFUSED;
use crate::state;

/// The maximum number of attempts to append the record.
const ATTEMPT_LIMIT: u32 = 20;
/// The pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Publishes a configuration and prints the outcome.
pub async fn run(
    address: SocketAddr,
    fleet: &Fleet,
    author: &str,
    expect: Option<u64>,
) -> Result<ExitCode> {
    let platform = Platform::new(address, web::Client::default());
    let mut fold = state::read(&platform).await?;
    if let Some(expected) = expect
        && expected != fold.next()
    {
        let found = fold.next();
        println!("refused: the version is {found}, not {expected}. Check it with `show`.");
        return Ok(ExitCode::from(REFUSED));
    }
    let record = Record::between(&fold, &item::split(fleet), rand::random(), author);
    if record.changes.is_empty() {
        println!("unchanged at version {}", fold.next());
        return Ok(ExitCode::SUCCESS);
    }
    append_until_decided(&platform, &mut fold, &record).await
}

/// Appends the record until the log contains it. The nonce makes duplicates harmless.
async fn append_until_decided(
    platform: &Platform,
    fold: &mut Fold,
    record: &Record,
) -> Result<ExitCode> {
    let data = serde_json::to_string(record)?;
    for _ in 0..ATTEMPT_LIMIT {
        let appended = platform.append(config::STREAM, data.clone()).await;
        if let Err(error) = &appended {
            eprintln!("append failed: {error}. Checking whether it took effect.");
        }
        let is_current = state::catch_up(platform, fold).await.is_ok();
        if let Some(verdict) = fold.verdict(record.nonce).filter(|_| is_current) {
            return Ok(match &verdict.outcome {
                Outcome::Accepted => {
                    let changes = record.changes.len();
                    println!(
                        "accepted: {changes} changes, version {}",
                        verdict.offset + 1
                    );
                    ExitCode::SUCCESS
                }
                Outcome::Lost {
                    name,
                    expected,
                    found,
                } => {
                    println!(
                        "refused: another operator changed `{name}` from version {expected} to \
                         {found}. Check it with `show` and publish again."
                    );
                    ExitCode::from(REFUSED)
                }
                Outcome::Malformed => bail!("the record is malformed in the log"),
            });
        }
        Timer::after(RETRY_PAUSE).await;
    }
    bail!("the log does not respond: the change may have taken effect. Check with `show` later")
}
