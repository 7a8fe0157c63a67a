//! Reads the current configuration from the log.

use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use config::Fold;
use config::snapshot;
use platform::Platform;

/// Reads the log from its start, or from the latest snapshot if the first records have expired.
pub async fn read(platform: &Platform) -> Result<Fold> {
    let mut fold = Fold::default();
    catch_up(platform, &mut fold).await?;
    Ok(fold)
}

/// Applies all new records up to the end of the log.
pub async fn catch_up(platform: &Platform, fold: &mut Fold) -> Result<()> {
    loop {
        let batch = platform
            .read(config::STREAM, fold.next(), Duration::ZERO)
            .await
            .context("the log can't be read: try again when the platform is available")?;
        if batch.first > fold.next() {
            merge_snapshot(platform, fold, batch.first).await?;
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

async fn merge_snapshot(platform: &Platform, fold: &mut Fold, first: u64) -> Result<()> {
    let mut collector = snapshot::Collector::default();
    for record in platform.read_all(config::SNAPSHOT_STREAM).await? {
        if let Some(found) = collector.read(record.data.as_bytes()) {
            fold.merge(found);
        }
    }

    if fold.next() < first {
        bail!("no snapshot extends to record {first}: use `show --entry` on a running instance");
    }
    Ok(())
}
