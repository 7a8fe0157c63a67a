//! The follower: folds the configuration as it is appended to the log.

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

/// The time for which a read waits for new records.
const READ_WAIT: Duration = Duration::from_secs(5);
/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The time for a peer to send its state.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Snapshots are written so many times while the log keeps a record.
const SNAPSHOTS_PER_RETENTION: u32 = 4;

/// Follows the configuration until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        let followed = follow(&node).await;
        let was_failing = node.is_log_failing.replace(followed.is_err());
        match followed {
            Ok(()) if was_failing => log::info!(target: "config", "The log answers again."),
            Ok(()) => {}
            Err(error) => {
                node.metrics.log_errors.inc();
                // An outage may last for hours, so only its start and its end are told.
                if !was_failing {
                    log::warn!(target: "config", "Reading failed: {error}. Retrying.");
                }
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

/// Takes word that a peer has read further. While the log is out, its state is taken over.
pub fn fetch_from_peer(node: &Rc<Node>, peer: SocketAddr, next: u64) {
    let core = node.core.borrow();
    let is_wanted = !core.is_configured || node.is_log_failing.get();
    if !is_wanted || core.fold.next() >= next || node.is_fetching_configuration.replace(true) {
        return;
    }
    let node = node.clone();
    let executor = node.executor.clone();
    let fetch = async move {
        if let Err(error) = fetch(&node, peer).await {
            log::warn!(target: "config", "No state from {peer}: {error}.");
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
    let is_news = node.core.borrow_mut().fold.merge(fold);
    if is_news {
        node.apply_configuration();
        log::info!(target: "config", "In force up to {} by {peer}.", node.core.borrow().fold.next());
    }
    Ok(())
}

/// Reads one stretch of the log and folds it.
async fn follow(node: &Node) -> Result<(), Error> {
    let next = node.core.borrow().fold.next();
    let is_configured = node.core.borrow().is_configured;
    let wait = if is_configured {
        READ_WAIT
    } else {
        Duration::ZERO
    };
    let batch = node.platform.read(config::STREAM, next, wait).await?;
    let is_gap = batch.first > next;
    if is_gap {
        log::info!(target: "config", "Records from {next} to {} have expired.", batch.first);
        return rebase(node, batch.first).await;
    }
    if read(node, &batch).is_err() || batch.head < next {
        log::error!(target: "config", "The log went back from {next} to {}.", batch.head);
        Timer::after(RETRY_PAUSE).await;
        return Ok(());
    }
    let is_in_step = node.core.borrow().fold.next() >= batch.head;
    if (is_in_step && !is_configured) || !batch.records.is_empty() {
        node.apply_configuration();
        log::info!(target: "config", "In force up to {}.", node.core.borrow().fold.next());
    }
    Ok(())
}

fn read(node: &Node, batch: &Batch) -> Result<(), Gap> {
    let mut core = node.core.borrow_mut();
    for record in &batch.records {
        core.fold.read(record.offset, record.data.as_bytes())?;
    }
    Ok(())
}

/// Takes the latest snapshot that leaves no gap to the oldest record that the log still keeps.
async fn rebase(node: &Node, first: u64) -> Result<(), Error> {
    let found = latest_snapshot(node).await?;
    let Some((fold, _)) = found.filter(|(fold, _)| fold.next() >= first) else {
        log::error!(target: "config", "No snapshot reaches record {first}. Waiting for one.");
        Timer::after(RETRY_PAUSE).await;
        return Ok(());
    };
    let is_news = node.core.borrow_mut().fold.merge(fold);
    if is_news {
        node.apply_configuration();
    }
    Ok(())
}

/// Returns the whole snapshot that has read furthest, and the platform's time of it in
/// milliseconds since the Unix epoch.
async fn latest_snapshot(node: &Node) -> Result<Option<(Fold, u64)>, Error> {
    let mut collector = snapshot::Collector::default();
    let mut best: Option<(Fold, u64)> = None;
    for record in node.platform.read_all(config::SNAPSHOT_STREAM).await? {
        let Some(fold) = collector.read(record.data.as_bytes()) else {
            continue;
        };
        if best
            .as_ref()
            .is_none_or(|(best, _)| fold.next() >= best.next())
        {
            best = Some((fold, record.at_ms));
        }
    }
    Ok(best)
}

/// Appends a snapshot whenever the last one has grown old, so that nothing is lost when records
/// expire. Two instances that do it at once only write it twice.
pub async fn keep_snapshots(node: Rc<Node>) {
    let retention = Duration::from_millis(node.settings.log_retention_ms);
    let interval = retention / SNAPSHOTS_PER_RETENTION;
    let mut last: Option<Moment> = None;
    loop {
        // A random part keeps instances that started together from writing together.
        Timer::after(interval.mul_f64(0.1 + 0.1 * rand::random::<f64>())).await;
        let is_due = last.is_none_or(|it| clock::now().since(it) >= interval);
        if !is_due || !node.core.borrow().is_configured {
            continue;
        }
        match write_snapshot(&node, interval).await {
            Ok(()) => last = Some(clock::now()),
            Err(error) => {
                node.metrics.log_errors.inc();
                log::warn!(target: "config", "Snapshot failed: {error}. Retrying.");
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
    let parts = snapshot::cut(&node.core.borrow().fold, rand::random());
    for part in &parts {
        let data = serde_json::to_string(part).unwrap_or_default();
        node.platform.append(config::SNAPSHOT_STREAM, data).await?;
        node.metrics.appends.inc();
    }
    log::info!(target: "config", "Wrote a snapshot in {} parts.", parts.len());
    Ok(())
}
