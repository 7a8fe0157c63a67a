//! Follows the configuration stream of the log and applies each new record.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use config::Fold;
use config::fold::Gap;
use config::snapshot;
use domain::Moment;
use platform::Batch;
use platform::Error;

use crate::calls;
use crate::node::Node;

/// How long a long-poll read waits for new records.
const READ_WAIT: Duration = Duration::from_secs(5);
/// The delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The timeout of a fetch of the configuration from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of snapshots that are written within the retention time of the log.
const SNAPSHOTS_PER_RETENTION: u32 = 4;

/// Follows the configuration stream until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        let result = follow(&node).await;
        let was_failing = node.is_log_failing.replace(result.is_err());
        match result {
            Ok(()) if was_failing => log::info!(target: "config", "The log is available again."),
            Ok(()) => {}
            Err(error) => {
                node.metrics.log_errors.inc();
                // An outage may last for hours, so only its start and its end are logged.
                if !was_failing {
                    log::warn!(target: "config", "Reading the log failed: {error}. Retrying.");
                }
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Fetches the configuration from a peer that has read further, if the log is unavailable or this
/// entry has no configuration yet.
pub fn fetch_from_peer(node: &Rc<Node>, peer: SocketAddr, next: u64) {
    let core = node.core.borrow();
    let is_needed = !core.is_configured || node.is_log_failing.get();
    if !is_needed || core.fold.next() >= next || node.is_fetching_configuration.replace(true) {
        return;
    }
    let node = node.clone();
    let executor = node.executor.clone();
    let fetch = async move {
        if let Err(error) = fetch(&node, peer).await {
            log::warn!(target: "config", "Fetching the configuration from {peer} failed: {error}.");
        }
        node.is_fetching_configuration.set(false);
    };
    executor.spawn(fetch).detach();
}

async fn fetch(node: &Node, peer: SocketAddr) -> Result<(), calls::Error> {
    let next = node.core.borrow().fold.next();
    let fold = node
        .pool
        .configuration(&node.executor, peer, next, FETCH_TIMEOUT)
        .await?;
    let Ok(fold) = serde_json::from_slice::<Fold>(&fold) else {
        return Ok(());
    };
    let is_changed = node.core.borrow_mut().fold.merge(fold);
    if is_changed {
        node.apply_configuration();
        log::info!(
            target: "config",
            "Applied the configuration records before offset {} from {peer}.",
            node.core.borrow().fold.next()
        );
    }
    Ok(())
}

/// Reads one batch of the log and applies it.
async fn follow(node: &Node) -> Result<(), Error> {
    let next = node.core.borrow().fold.next();
    let is_configured = node.core.borrow().is_configured;
    // After a failed read, the answer shows that the log is available again, so it must not wait for records.
    let is_confirmed = is_configured && !node.is_log_failing.get();
    let wait = if is_confirmed {
        READ_WAIT
    } else {
        Duration::ZERO
    };
    let batch = node.platform.read(config::STREAM, next, wait).await?;
    let is_gap = batch.first > next;
    if is_gap {
        log::info!(target: "config", "Records from {next} to {} have expired.", batch.first);
        return load_snapshot(node, batch.first).await;
    }
    if apply_records(node, &batch).is_err() || batch.head < next {
        log::error!(target: "config", "The log went back from {next} to {}.", batch.head);
        Timer::after(RETRY_DELAY).await;
        return Ok(());
    }
    let is_up_to_date = node.core.borrow().fold.next() >= batch.head;
    if (is_up_to_date && !is_configured) || !batch.records.is_empty() {
        node.apply_configuration();
        log::info!(
            target: "config",
            "Applied the configuration records before offset {}.",
            node.core.borrow().fold.next()
        );
    }
    Ok(())
}

fn apply_records(node: &Node, batch: &Batch) -> Result<(), Gap> {
    let mut core = node.core.borrow_mut();
    for record in &batch.records {
        core.fold.read(record.offset, record.data.as_bytes())?;
    }
    Ok(())
}

/// Applies the latest snapshot, provided that it leaves no gap to the oldest record in the log.
async fn load_snapshot(node: &Node, first: u64) -> Result<(), Error> {
    let snapshot = latest_snapshot(node).await?;
    let Some((fold, _)) = snapshot.filter(|(fold, _)| fold.next() >= first) else {
        log::error!(target: "config", "No snapshot reaches record {first}. Waiting for one.");
        Timer::after(RETRY_DELAY).await;
        return Ok(());
    };
    let is_changed = node.core.borrow_mut().fold.merge(fold);
    if is_changed {
        node.apply_configuration();
    }
    Ok(())
}

/// Returns the complete snapshot with the highest offset, and the time at which the platform stored
/// it, in milliseconds since the Unix epoch.
async fn latest_snapshot(node: &Node) -> Result<Option<(Fold, u64)>, Error> {
    let mut collector = snapshot::Collector::default();
    let mut latest: Option<(Fold, u64)> = None;
    for record in node.platform.read_all(config::SNAPSHOT_STREAM).await? {
        let Some(fold) = collector.read(record.data.as_bytes()) else {
            continue;
        };
        if latest
            .as_ref()
            .is_none_or(|(latest, _)| fold.next() >= latest.next())
        {
            latest = Some((fold, record.at_ms));
        }
    }
    Ok(latest)
}

/// Appends a snapshot at regular intervals, so that no configuration is lost when records expire.
/// If two instances do so at once, the duplicate is harmless.
pub async fn write_snapshots(node: Rc<Node>) {
    let retention = Duration::from_millis(node.settings.log_retention_ms);
    let interval = retention / SNAPSHOTS_PER_RETENTION;
    let mut last: Option<Moment> = None;
    loop {
        // The jitter prevents instances that started together from writing at the same time.
        Timer::after(interval.mul_f64(0.1 + 0.1 * rand::random::<f64>())).await;
        let is_due = last.is_none_or(|it| clock::now().since(it) >= interval);
        if !is_due || !node.core.borrow().is_configured {
            continue;
        }
        match write_snapshot(&node, interval).await {
            Ok(()) => last = Some(clock::now()),
            Err(error) => {
                node.metrics.log_errors.inc();
                log::warn!(target: "config", "Writing a snapshot failed: {error}. Retrying.");
            }
        }
    }
}

async fn write_snapshot(node: &Node, interval: Duration) -> Result<(), Error> {
    let newest = latest_snapshot(node).await?;
    let now_ms = clock::since_epoch().as_millis() as u64;
    let is_fresh = newest
        .is_some_and(|(_, at_ms)| now_ms.saturating_sub(at_ms) < interval.as_millis() as u64 / 2);
    if is_fresh {
        return Ok(());
    }
    let parts = snapshot::split(&node.core.borrow().fold, rand::random());
    for part in &parts {
        let data = serde_json::to_string(part).unwrap_or_default();
        node.platform.append(config::SNAPSHOT_STREAM, data).await?;
        node.metrics.appends.inc();
    }
    log::info!(target: "config", "Wrote a snapshot in {} parts.", parts.len());
    Ok(())
}
