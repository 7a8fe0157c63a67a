//! Follows the platform's lists of backend servers and of entries.
//!
//! The platform may be down or slow, or refuse this instance's calls. The data that was read last
//! then stays in force, and reads are retried with exponential backoff and jitter.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use domain::Moment;
use futures_lite::future;
use placement::Servers;
use wire::Delta;

use crate::Node;
use crate::backoff::Backoff;
use crate::datagrams;
use crate::duty;
use crate::lists;
use crate::lists::Scope;
use crate::lists::Source;
use crate::metrics::DeltaLabels;
use crate::node::State;
use crate::on_time;
use crate::port::Changes;
use crate::port::Error;
use crate::port::List;
use crate::port::Platform;
use crate::port::Record;
use crate::position;
use crate::records;
use crate::records::Update;

/// The interval between two reads of the list of entries, which only repair what gossip missed.
const ENTRIES_INTERVAL: Duration = Duration::from_secs(20);
/// The same for entries that are not readers.
const ENTRIES_REPAIR_INTERVAL: Duration = Duration::from_secs(60);

/// Follows the list of backend servers until the process ends.
pub async fn servers<P: Platform>(node: Rc<Node>, platform: Rc<P>) {
    let mut backoff = Backoff::default();
    loop {
        let (due, rank) = {
            let state = node.state.borrow();
            let rank = state.members.rank();
            (state.records.next_read(rank), rank)
        };
        if clock::now() < due {
            // Deltas from peers may postpone the next read meanwhile, or require it at once.
            let gap = async {
                if node.gaps.1.recv().await.is_err() {
                    future::pending().await
                }
            };
            future::or(clock::wait_until(due), gap).await;
            continue;
        }
        let (next, is_behind) = {
            let state = node.state.borrow();
            (state.records.read_position(), state.records.is_behind())
        };
        if !is_behind {
            duty::record_unserved(&node);
        }
        let moves = node.moves.count();
        let read = lists::read(&node, &*platform, List::Servers, next, Duration::ZERO);
        let Some(read) = node.moves.interrupt(moves, read).await else {
            continue;
        };
        match read {
            Ok((scope, changes)) => {
                backoff.succeeded("servers");
                let from = next.filter(|_| scope == Scope::Changed);
                apply_servers(&node, Source::Platform, scope, from, changes);
                if !is_behind && records::is_broadcaster(rank) {
                    datagrams::broadcast_delta(&node);
                }
            }
            Err(Error::Gone) => node.state.borrow_mut().records.lose_position(),
            Err(error) => {
                let retry = async {
                    if next.is_none() || is_behind {
                        fetch_from_peers(&node).await;
                    }
                    backoff.wait(&node, "servers", &error).await;
                };
                node.moves.interrupt(moves, retry).await;
            }
        }
    }
}

/// Applies changes of the list of servers that the entry at `peer` has broadcast.
pub fn apply_delta(node: &Node, peer: SocketAddr, delta: Delta) {
    let is_continued = node.state.borrow().records.is_continued_by(&delta);
    count_delta(node, is_continued);
    if !is_continued {
        record_ignored(node, peer, &delta);
        return;
    }
    let changes = Changes {
        records: delta.records,
        next: delta.to,
    };
    apply_servers(
        node,
        Source::Peer(peer),
        Scope::Changed,
        Some(delta.from),
        changes,
    );
}

fn count_delta(node: &Node, is_continued: bool) {
    let outcome = if is_continued { "applied" } else { "ignored" };
    let delta = DeltaLabels { outcome };
    node.metrics.deltas.get_or_create(&delta).inc();
}

/// Records a delta that could not be applied. If changes before it are missing, the list is read at
/// once.
fn record_ignored(node: &Node, peer: SocketAddr, delta: &Delta) {
    let mut state = node.state.borrow_mut();
    if !state.records.record_ignored(delta) {
        return;
    }
    let position = state.records.servers_position();
    log::info!(target: "server", peer:% = peer, position, from = delta.from, to = delta.to; "changes of the list were ignored, because earlier ones are missing");
    // The channel holds one signal. If one is already there, this one is not needed.
    let _ = node.gaps.0.try_send(());
}

/// Fetches the list from peers that may have a later one.
async fn fetch_from_peers(node: &Node) {
    let position = node.state.borrow().records.servers_position();
    let is_later = |it: &Changes| position.is_none_or(|position| it.next > position);
    if let Some((peer, changes)) = lists::fetch_from_peers(node, List::Servers, is_later).await {
        apply_servers(node, Source::Peer(peer), Scope::All, None, changes);
    }
}

/// Adds this instance to the list of entries, then reads the list periodically.
pub async fn entries<P: Platform>(node: Rc<Node>, platform: Rc<P>) {
    let mut backoff = Backoff::default();
    announce(&node, &*platform, &mut backoff).await;
    loop {
        let snapshot = platform.snapshot(List::Entries).await;
        lists::count_call(&node, List::Entries, &snapshot);
        match snapshot {
            Ok(snapshot) => {
                backoff.succeeded("entries");
                let decoded = snapshot.records.iter().map(|it| node.decoder.entry(it));
                let mut peers: Vec<_> = decoded.filter_map(Result::ok).collect();
                peers.extend(&node.settings().seeds);
                peers.sort();
                peers.dedup();
                datagrams::join(&node, &peers);
                let name = &node.settings().name;
                let is_listed = snapshot.records.iter().any(|it| it.key == *name);
                let interval = if duty::is_reader(&node) {
                    ENTRIES_INTERVAL
                } else {
                    ENTRIES_REPAIR_INTERVAL
                };
                if store_returned_within(&node, interval).await || !is_listed {
                    announce(&node, &*platform, &mut backoff).await;
                }
            }
            Err(error) => backoff.wait(&node, "entries", &error).await,
        }
    }
}

/// Adds this instance to the list of entries, however often that takes.
async fn announce<P: Platform>(node: &Node, platform: &P, backoff: &mut Backoff) {
    loop {
        let settings = node.settings();
        let announced = platform
            .announce(&settings.name, settings.peer_address)
            .await;
        lists::count_call(node, List::Entries, &announced);
        match announced {
            Ok(()) => return,
            Err(error) => backoff.wait(node, "entries", &error).await,
        }
    }
}

/// Waits for `limit`, or until the store has come back from an older copy. Returns whether it has.
async fn store_returned_within(node: &Node, limit: Duration) -> bool {
    let returned = async { node.returns.1.recv().await.is_ok() };
    let ended = async {
        Timer::after(limit).await;
        false
    };
    future::or(returned, ended).await
}

/// Applies records of servers: the whole list, or the changes from position `from` on.
fn apply_servers(node: &Node, source: Source, scope: Scope, from: Option<u64>, changes: Changes) {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    state.servers.record_read(now);
    if has_store_lost_records(node, state, source, changes.next) {
        state.servers.record_return(now);
        // The channel holds one signal. If one is already there, this one is not needed.
        let _ = node.returns.0.try_send(());
    }
    let mut updates = Vec::new();
    for record in changes.records {
        if !state.records.contains(&record) {
            updates.push(read_record(node, state, record));
        }
    }
    let (from, to) = (from.unwrap_or(changes.next), changes.next);
    let records = updates.len();
    let changed = match scope {
        Scope::All => {
            let servers = updates.iter().filter_map(|it| it.server.clone());
            state.servers.replace(now, servers.collect());
            state.records.replace_servers(now, to, &updates);
            if source == Source::Platform {
                state.records.record_store_read();
            }
            records
        }
        Scope::Changed => {
            // Other entries may not know the later reports by which some are outdated.
            updates.retain(|it| apply_update(&mut state.servers, now, it));
            let changes = state.records.store_servers(now, from, to, updates);
            log_leaving(source, &changes);
            changes.len()
        }
    };
    if changed > 0 {
        log::info!(target: "server", source:% = source, scope:? = scope, from, to, records, changed; "the list of servers has changed");
    }
    on_time::adopt(state);
    let usable = state.servers.all().filter(|it| !it.server.is_leaving);
    node.metrics.servers.set(usable.count() as i64);
    let phase = state.phase();
    state.members.set_phase(phase);
}

/// Returns whether a list that is complete up to `next` shows that the store came back from an older copy, or moved and
/// has fewer records at its new address.
fn has_store_lost_records(node: &Node, state: &State, source: Source, next: u64) -> bool {
    let (era, offset) = (position::era(next), position::offset(next));
    if state.records.is_before_return(next) {
        log::warn!(target: "platform", era, source:% = source; "the store came back from an older copy; what it lost is read and written again");
        node.metrics.store_returns.inc();
        return true;
    }
    let is_before_move = source == Source::Platform && state.records.is_before_move(next);
    if is_before_move {
        log::warn!(target: "platform", era, offset; "the store at the new address has fewer records than the earlier one; what it lacks is kept for now and written again");
    }
    is_before_move
}

/// Decodes a record of the list of servers, and reports its fault if it has one.
fn read_record(node: &Node, state: &mut State, record: Record) -> Update {
    let decoded = record.value.is_some().then(|| node.decoder.server(&record));
    let table = state.table.as_deref();
    let is_new_fault = state.faults.check(table, &record.key, decoded.as_ref());
    let server = decoded.and_then(Result::ok);
    Update {
        is_new_fault: is_new_fault && server.is_none(),
        record,
        server,
    }
}

/// Applies a record of the list of servers. Returns false if a later one of the same server was applied before.
fn apply_update(servers: &mut Servers, now: Moment, update: &Update) -> bool {
    if let Some(server) = &update.server {
        return servers.add(now, server.clone());
    }
    let Record { key, value, .. } = &update.record;
    if servers.remove(now, key) && value.is_none() {
        log::info!(target: "server", server = key.as_str(); "a server was removed from the list");
    }
    true
}

fn log_leaving(source: Source, changes: &[Update]) {
    let servers = changes.iter().filter_map(|it| it.server.as_ref());
    for server in servers.filter(|it| it.is_leaving) {
        log::info!(target: "server", server = server.id.as_str(), source:% = source; "a server is listed as leaving");
    }
}
