//! Publishing a configuration, also when answers are lost and operators race.

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

/// The attempts to append before giving up.
const ATTEMPTS: u32 = 20;
/// The pause after a failed attempt.
const PAUSE: Duration = Duration::from_millis(300);

/// Publishes a configuration and says what became of it.
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
        println!("refused: the version is {found}, not {expected}. Look at `show` again.");
        return Ok(ExitCode::from(REFUSED));
    }
    let record = Record::between(&fold, &item::split(fleet), rand::random(), author);
    if record.changes.is_empty() {
        println!("unchanged at version {}", fold.next());
        return Ok(ExitCode::SUCCESS);
    }
    settle(&platform, &mut fold, &record).await
}

/// Appends the record until the log shows it. The nonce makes a second copy harmless.
async fn settle(platform: &Platform, fold: &mut Fold, record: &Record) -> Result<ExitCode> {
    let data = serde_json::to_string(record)?;
    for _ in 0..ATTEMPTS {
        let appended = platform.append(config::STREAM, data.clone()).await;
        if let Err(error) = &appended {
            eprintln!("append: {error}. Looking whether it took effect.");
        }
        let is_read = state::catch_up(platform, fold).await.is_ok();
        if let Some(verdict) = fold.verdict(record.nonce).filter(|_| is_read) {
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
                         {found}. Look at `show` and publish again."
                    );
                    ExitCode::from(REFUSED)
                }
                Outcome::Malformed => bail!("the log holds the record in another form"),
            });
        }
        Timer::after(PAUSE).await;
    }
    bail!("the log does not answer: it is open whether this took effect. Look at `show` later")
}
