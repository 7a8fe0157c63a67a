//! Follows the platform's configuration of routes, and puts each new version in force.
//!
//! Entries that have a version announce it to others, which fetch it from them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use domain::Moment;
use futures_lite::future;
use route::Table;

use crate::Node;
use crate::backoff::Backoff;
use crate::calls;
use crate::cold;
use crate::datagrams;
use crate::duty;
use crate::evacuation;
use crate::homes;
use crate::lists;
use crate::lists::Scope;
use crate::lists::Source;
use crate::on_time;
use crate::port::Changes;
use crate::port::Error;
use crate::port::List;
use crate::port::Platform;
use crate::port::Record;
use crate::position;

/// The wait time of a long poll for a change of the configuration. The store may come back from an older
/// copy, or the connection fall silent, while a poll waits, and only its end shows that. With the timeout of a
/// call and the first retry, this is less than the 2 s within which a configuration must be in force.
const WAIT: Duration = Duration::from_millis(600);
/// The interval between two reads of the configuration by other entries, which repair what announcements
/// missed.
const REPAIR_INTERVAL: Duration = Duration::from_secs(30);
/// The time to wait for the platform's own answer after a peer has announced a change.
const HINT_DELAY: Duration = Duration::from_millis(200);

/// How far the list was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// It has to be read as a whole.
    Unread,
    /// The records before this position were read, but a call has failed since. The store may have come back
    /// from an older copy meanwhile, with other records there.
    Unconfirmed(u64),
    /// The last call read up to this position.
    Confirmed(u64),
}

impl Progress {
    /// Returns the position from which to read; `None` if the list has to be read as a whole.
    fn next(self) -> Option<u64> {
        match self {
            Self::Unread => None,
            Self::Unconfirmed(next) | Self::Confirmed(next) => Some(next),
        }
    }

    /// Returns how long the next call may wait for a change.
    fn wait(self) -> Duration {
        match self {
            Self::Confirmed(_) => WAIT,
            Self::Unread | Self::Unconfirmed(_) => Duration::ZERO,
        }
    }

    /// Returns the progress after a call without an answer.
    fn unconfirmed(self) -> Self {
        self.next().map_or(Self::Unread, Self::Unconfirmed)
    }
}

/// Follows the configuration of routes until the process ends.
pub async fn follow<P: Platform>(node: Rc<Node>, platform: Rc<P>) {
    let mut backoff = Backoff::default();
    let mut progress = Progress::Unread;
    let mut read_due = clock::now();
    let mut moves = node.moves.count();
    loop {
        let read = async {
            duty::wait(&node, read_due).await;
            let (next, wait) = (progress.next(), progress.wait());
            Ok(lists::read(&node, &*platform, List::Routes, next, wait).await)
        };
        let delay = if duty::is_reader(&node) {
            HINT_DELAY
        } else {
            Duration::ZERO
        };
        let hint = async { Err(later_configuration(&node, delay).await) };
        let event = node.moves.interrupt(moves, future::or(read, hint)).await;
        let Some(event) = event else {
            // The store at the new address may have other records before the position.
            progress = Progress::Unread;
            moves = node.moves.count();
            continue;
        };
        match event {
            Ok(Ok((scope, changes))) => {
                backoff.succeeded("routes");
                let from = progress.next().filter(|_| scope == Scope::Changed);
                let is_complete = evacuation::apply_read(&node, from, &changes);
                progress = match is_complete {
                    true => Progress::Confirmed(changes.next),
                    false => Progress::Unread,
                };
                read_due = clock::now() + REPAIR_INTERVAL;
                apply(&node, Source::Platform, &changes);
                record_read(&node);
            }
            Ok(Err(Error::Gone)) => {
                let (era, offset) = progress
                    .next()
                    .map(|it| (position::era(it), position::offset(it)))
                    .unwrap_or_default();
                log::info!(target: "config", era, offset; "the store has no changes from this position on; reading the whole configuration");
                progress = Progress::Unread;
            }
            Ok(Err(error)) => {
                if node.state.borrow().config_version() == 0 {
                    fetch_from_any_peer(&node).await;
                }
                progress = progress.unconfirmed();
                let retry_at = backoff.failed(&node, "routes", &error);
                let retry = follow_peers_until(&node, retry_at);
                node.moves.interrupt(moves, retry).await;
            }
            Err(peer) => {
                let before = node.state.borrow().config_version();
                fetch(&node, peer).await;
                // The read that this interrupted may have been without an answer.
                progress = progress.unconfirmed();
                if node.state.borrow().config_version() == before {
                    // The peer did not deliver it. Read from the platform at once.
                    read_due = clock::now();
                }
            }
        }
    }
}

/// Fetches the configurations that peers announce until `end`, while the platform does not answer.
async fn follow_peers_until(node: &Node, end: Moment) {
    let fetches = async {
        loop {
            let peer = later_configuration(node, Duration::ZERO).await;
            fetch(node, peer).await;
        }
    };
    future::or(clock::wait_until(end), fetches).await;
}

/// Fetches a configuration from random peers, since this entry has none.
async fn fetch_from_any_peer(node: &Node) {
    if let Some((peer, changes)) = lists::fetch_from_peers(node, List::Routes, |_| true).await {
        apply(node, Source::Peer(peer), &changes);
    }
}

async fn fetch(node: &Node, peer: SocketAddr) {
    log::info!(target: "config", peer:% = peer; "a peer has a later configuration");
    if let Some(snapshot) = calls::fetch(node, peer, List::Routes).await {
        apply(node, Source::Peer(peer), &lists::into_changes(snapshot));
    }
}

/// Completes once a peer has had a later configuration for `delay`, and returns that peer.
async fn later_configuration(node: &Node, delay: Duration) -> SocketAddr {
    loop {
        let Ok((peer, version)) = node.config_hints.1.recv().await else {
            return future::pending().await;
        };
        Timer::after(delay).await;
        if node.state.borrow().config_version() < version {
            return peer;
        }
    }
}

fn record_read(node: &Node) {
    let mut state = node.state.borrow_mut();
    state.records.record_routes_read(clock::now());
}

/// Applies what was read of the list. Only the latest of its configurations comes into force.
fn apply(node: &Node, source: Source, changes: &Changes) {
    let tables = changes.records.iter().filter_map(|record| {
        let decoded = node.decoder.table(record)?;
        let table = decoded.inspect_err(|error| {
            log::error!(target: "config", key = record.key.as_str(), error:% = error; "can't decode a configuration; the previous one stays in force");
        });
        Some((table.ok()?, record))
    });
    if let Some((table, record)) = tables.max_by_key(|it| it.0.version()) {
        adopt(node, source, table, record, changes.next);
    }
}

/// Puts a configuration in force, unless the same or a later one is in force.
fn adopt(node: &Node, source: Source, table: Table, record: &Record, next: u64) {
    let mut state = node.state.borrow_mut();
    let before = state.config_version();
    if table.version() <= before {
        if table.version() < before && source == Source::Platform {
            log::warn!(target: "config", version = table.version(), before, era = position::era(next), offset = position::offset(next); "the store has an older configuration; the later one stays in force");
        }
        return;
    }
    let version = table.version();
    log::info!(target: "config", version, before, source:% = source, era = position::era(next), offset = position::offset(next), age_ms = state.config_age_ms(clock::now()); "new configuration in force");
    node.metrics.config_version.set(version as i64);
    state.records.store_routes(record, next);
    state.table = Some(Rc::new(table));
    cold::adopt(&mut state, clock::now());
    homes::check(node, &state);
    on_time::adopt(&mut state);
    state.members.set_config_next(version);
    let phase = state.phase();
    state.members.set_phase(phase);
    drop(state);
    datagrams::announce_configuration(node);
}
