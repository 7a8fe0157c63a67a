//! The commands that follow the configuration log or call an entry instance.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use std::time::SystemTime;

use anyhow::Context;
use anyhow::Result;
use config::Fold;
use config::fold::Outcome;
use config::item;
use platform::Platform;
use web::Client;
use web::client::Call;

use crate::REFUSED;
use crate::state;

/// The timeout of a call to an entry instance.
const TIMEOUT: Duration = Duration::from_secs(5);
/// How long a read of the log waits for new records.
const READ_WAIT: Duration = Duration::from_secs(10);

/// Prints the configuration and its version, as read from the log or from an entry instance.
pub async fn show(platform: Option<SocketAddr>, entry: Option<SocketAddr>) -> Result<ExitCode> {
    let fold: Fold = match (platform, entry) {
        (Some(address), _) => state::read(&Platform::new(address, Client::default())).await?,
        (None, Some(entry)) => Client::default()
            .fetch(&Call::get(entry, "/config"), TIMEOUT)
            .await
            .context("the entry instance does not respond: check its operators' address")?,
        (None, None) => anyhow::bail!("specify --platform or --entry"),
    };
    let fleet = item::join(fold.items().map(|(_, item)| item));
    println!("// version {}", fold.next());
    println!("{}", serde_json::to_string_pretty(&fleet)?);
    Ok(ExitCode::SUCCESS)
}

/// Prints each change of the configuration, also the refused ones, until the process is stopped.
pub async fn watch(address: SocketAddr) -> Result<ExitCode> {
    let platform = Platform::new(address, Client::default());
    let mut fold = state::read(&platform).await?;
    println!("at version {}", fold.next());
    loop {
        let _ = platform.read(config::STREAM, fold.next(), READ_WAIT).await;
        let first_new = fold.next();
        state::catch_up(&platform, &mut fold).await?;
        for verdict in fold.verdicts().iter().filter(|it| it.offset >= first_new) {
            let outcome = match &verdict.outcome {
                Outcome::Accepted => "in effect".to_owned(),
                Outcome::Lost { name, .. } => format!("refused: `{name}` had changed"),
                Outcome::Malformed => "refused: malformed".to_owned(),
            };
            println!(
                "version {} by {}: {outcome}",
                verdict.offset + 1,
                verdict.author
            );
        }
    }
}

/// Prints the decisions that an entry instance made about a request.
pub async fn explain(entry: SocketAddr, request: &str) -> Result<ExitCode> {
    let call = Call::get(entry, format!("/explain/{request}"));
    let trace: serde_json::Value = Client::default().fetch(&call, TIMEOUT).await.context(
        "no trace found: ask the instance that accepted the request, soon after the request",
    )?;
    println!("{}", serde_json::to_string_pretty(&trace)?);
    Ok(ExitCode::SUCCESS)
}

/// Starts the graceful shutdown of an entry instance.
pub async fn drain(entry: SocketAddr) -> Result<ExitCode> {
    let call = Call::post(entry, "/drain", Vec::new());
    let _: serde_json::Value = Client::default()
        .fetch(&call, TIMEOUT)
        .await
        .context("the entry instance does not respond: check its operators' address")?;
    println!("draining");
    Ok(ExitCode::SUCCESS)
}

/// Prints the evacuations of data centres according to the metrics of several instances.
pub async fn evacuations(addresses: &[SocketAddr]) -> Result<ExitCode> {
    let client = Client::default();
    let mut pages = Vec::new();
    for address in addresses {
        match page(&client, *address).await {
            Ok(page) => pages.push((address.to_string(), page)),
            Err(error) => eprintln!("{error:#}"),
        }
    }
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    print!("{}", ctl::evacuations::table(&pages, now.as_secs()));
    if pages.len() < addresses.len() {
        return Ok(ExitCode::from(REFUSED));
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the text of an instance's metrics.
async fn page(client: &Client, address: SocketAddr) -> Result<String> {
    let call = Call::get(address, "/metrics");
    let answer = client.send(&call, TIMEOUT).await;
    let mut answer =
        answer.context("an instance does not answer: check the address of its metrics")?;
    let bytes = answer.bytes().await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
