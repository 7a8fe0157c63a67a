//! The configuration as the log has it.

use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use config::Fold;
use config::snapshot;
use platform::Platform;

/// Folds the log from its start, or from the latest snapshot if the start has expired.
pub async fn read(platform: &Platform) -> Result<Fold> {
    let mut fold = Fold::default();
    catch_up(platform, &mut fold).await?;
    Ok(fold)
}

/// Reads on to the end of the log.
pub async fn catch_up(platform: &Platform, fold: &mut Fold) -> Result<()> {
    loop {
        let batch = platform
            .read(config::STREAM, fold.next(), Duration::ZERO)
            .await
            .context("the log can't be read: come back when it is up")?;
        if batch.first > fold.next() {
            rebase(platform, fold, batch.first).await?;
            continue;
        }
        for record in &batch.records {
            fold.read(record.offset, record.data.as_bytes())?;
        }
        if fold.next() >= batch.head {
            return Ok(());
        }
    }
}

async fn rebase(platform: &Platform, fold: &mut Fold, first: u64) -> Result<()> {
    let mut collector = snapshot::Collector::default();
    for record in platform.read_all(config::SNAPSHOT_STREAM).await? {
        if let Some(found) = collector.read(record.data.as_bytes()) {
            fold.merge(found);
        }
    }

    if fold.next() < first {
        bail!("no snapshot reaches record {first}: use `show --entry` on a running instance");
    }
    Ok(())
}
