//! Follows the platform's lists: the configuration of routes, the backend servers, the entries.
//!
//! The platform may be down or slow, or refuse this instance's calls. The data that was read last
//! then stays in force, and reads are retried with exponential backoff and jitter.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use domain::Moment;
use futures_lite::future;
use route::Table;
use wire::Delta;

use crate::Node;
use crate::backoff::Backoff;
use crate::calls;
use crate::cold;
use crate::datagrams;
use crate::duty;
use crate::evacuation;
use crate::homes;
use crate::metrics::CallLabels;
use crate::metrics::CallOutcome;
use crate::metrics::DeltaLabels;
use crate::on_time;
use crate::port::Changes;
use crate::port::Error;
use crate::port::List;
use crate::port::Platform;
use crate::port::Record;
use crate::port::Snapshot;
use crate::position;
use crate::records;

/// The wait time of a long poll for a change of the configuration. A connection that stalls
/// meanwhile does no harm, since entries whose connections work announce the change.
const ROUTES_WAIT: Duration = Duration::from_secs(9);
/// The same for an entry without peers that could announce a change. It is below the time within
/// which a configuration must be in force, 2 s to 3 s.
const ROUTES_WAIT_ALONE: Duration = Duration::from_millis(1_500);
/// The interval between two reads of the configuration by other entries, which repair what announcements
/// missed.
const ROUTES_REPAIR_INTERVAL: Duration = Duration::from_secs(30);
/// The interval between two reads of the list of entries, which only repair what gossip missed.
const ENTRIES_INTERVAL: Duration = Duration::from_secs(20);
/// The same for entries that are not readers.
const ENTRIES_REPAIR_INTERVAL: Duration = Duration::from_secs(60);
/// The time to wait for the platform's own answer after a peer has announced a change.
const HINT_DELAY: Duration = Duration::from_millis(200);
/// The number of peers from which a list is requested.
const MAX_PEERS_TRIED: usize = 3;

/// Follows the configuration of routes until the process ends.
pub async fn routes<P: Platform>(node: Rc<Node>, platform: Rc<P>) {
    let mut backoff = Backoff::default();
    let mut next = None;
    let mut wait = Duration::ZERO;
    let mut read_due = clock::now();
    loop {
        let read = async {
            duty::wait(&node, read_due).await;
            Ok(read_list(&node, &*platform, List::Routes, next, wait).await)
        };
        let delay = if duty::is_reader(&node) {
            HINT_DELAY
        } else {
            Duration::ZERO
        };
        let hint = async { Err(later_configuration(&node, delay).await) };
        match future::or(read, hint).await {
            Ok(Ok((scope, changes))) => {
                backoff.succeeded("routes");
                let from = next.filter(|_| scope == Scope::Changed);
                let is_complete = evacuation::apply_read(&node, from, &changes);
                next = is_complete.then_some(changes.next);
                read_due = clock::now() + ROUTES_REPAIR_INTERVAL;
                apply_routes(&node, &changes);
                wait = routes_wait_time(&node);
            }
            Ok(Err(Error::Gone)) => next = None,
            Ok(Err(error)) => {
                if config_version(&node) == 0 {
                    fetch_from_peers(&node, List::Routes).await;
                }
                let retry_at = backoff.failed(&node, "routes", &error);
                follow_peers_until(&node, retry_at).await;
            }
            Err(peer) => {
                let before = config_version(&node);
                fetch_configuration(&node, peer).await;
                if config_version(&node) == before {
                    // The peer did not deliver it. Read from the platform at once.
                    wait = Duration::ZERO;
                    read_due = clock::now();
                }
            }
        }
    }
}

/// Fetches the configurations that peers announce until `end`, while the platform does not answer.
async fn follow_peers_until(node: &Node, end: Moment) {
    loop {
        let ended = async {
            clock::wait_until(end).await;
            None
        };
        let announced = async { Some(later_configuration(node, Duration::ZERO).await) };
        match future::or(ended, announced).await {
            Some(peer) => fetch_configuration(node, peer).await,
            None => return,
        }
    }
}

async fn fetch_configuration(node: &Node, peer: SocketAddr) {
    log::info!(target: "config", peer:% = peer; "a peer has a later configuration");
    if let Some(snapshot) = calls::fetch(node, peer, List::Routes).await {
        apply_routes(node, &into_changes(snapshot));
    }
}

/// Completes once a peer has had a later configuration for `delay`, and returns that peer.
async fn later_configuration(node: &Node, delay: Duration) -> SocketAddr {
    loop {
        let Ok((peer, version)) = node.config_hints.1.recv().await else {
            return future::pending().await;
        };
        Timer::after(delay).await;
        if config_version(node) < version {
            return peer;
        }
    }
}

fn config_version(node: &Node) -> u64 {
    let state = node.state.borrow();
    state.table.as_ref().map_or(0, |it| it.version())
}

fn routes_wait_time(node: &Node) -> Duration {
    if node.state.borrow().members.alive().count() > 1 {
        ROUTES_WAIT
    } else {
        ROUTES_WAIT_ALONE
    }
}

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
        match read_list(&node, &*platform, List::Servers, next, Duration::ZERO).await {
            Ok((scope, changes)) => {
                backoff.succeeded("servers");
                let from = next.filter(|_| scope == Scope::Changed);
                apply_servers(&node, Source::Platform, scope, from, &changes);
                if !is_behind && records::is_broadcaster(rank) {
                    datagrams::broadcast_delta(&node);
                }
            }
            Err(Error::Gone) => node.state.borrow_mut().records.lose_position(),
            Err(error) => {
                if next.is_none() || is_behind {
                    fetch_from_peers(&node, List::Servers).await;
                }
                backoff.wait(&node, "servers", &error).await;
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
        &changes,
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

/// Fetches a list that the platform doesn't deliver from random peers, one after the other, until
/// one answers.
async fn fetch_from_peers(node: &Node, list: List) {
    let peers: Vec<SocketAddr> = {
        let state = node.state.borrow();
        let members = state.members.sample(MAX_PEERS_TRIED, &mut rand::rng());
        members.iter().map(|it| it.peer_address).collect()
    };
    for peer in peers {
        let Some(snapshot) = calls::fetch(node, peer, list).await else {
            continue;
        };
        let changes = into_changes(snapshot);
        match list {
            List::Routes => apply_routes(node, &changes),
            List::Servers | List::Entries => {
                let position = node.state.borrow().records.servers_position();
                if position.is_some_and(|it| changes.next <= it) {
                    continue;
                }
                apply_servers(node, Source::Peer(peer), Scope::All, None, &changes);
            }
        }
        return;
    }
}

fn into_changes(snapshot: Snapshot) -> Changes {
    Changes {
        records: snapshot.records,
        next: snapshot.next,
    }
}

/// Adds this instance to the list of entries, then reads the list periodically.
pub async fn entries<P: Platform>(node: Rc<Node>, platform: Rc<P>) {
    let mut backoff = Backoff::default();
    announce(&node, &*platform, &mut backoff).await;
    loop {
        let snapshot = platform.snapshot(List::Entries).await;
        count_call(&node, List::Entries, &snapshot);
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
        count_call(node, List::Entries, &announced);
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

/// Where records were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Platform,
    /// Another entry, by its address for peers.
    Peer(SocketAddr),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Source::Platform => f.write_str("platform"),
            Source::Peer(address) => address.fmt(f),
        }
    }
}

/// Whether records are a whole list or only changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    All,
    Changed,
}

/// Reads the changes of a list from position `next` on, or the whole list if there is no position.
async fn read_list<P: Platform>(
    node: &Node,
    platform: &P,
    list: List,
    next: Option<u64>,
    wait: Duration,
) -> Result<(Scope, Changes), Error> {
    let result = match next {
        None => {
            let snapshot = platform.snapshot(list).await;
            let snapshot = snapshot.and_then(|it| check_era(node, list, it));
            snapshot.map(|it| (Scope::All, into_changes(it)))
        }
        Some(from) => {
            let changes = platform.changes(list, from, wait).await;
            changes.map(|it| (Scope::Changed, it))
        }
    };
    count_call(node, list, &result);
    result
}

/// Rejects a list of servers that was read before the store's last known return.
fn check_era(node: &Node, list: List, snapshot: Snapshot) -> Result<Snapshot, Error> {
    let position = node.state.borrow().records.servers_position();
    let known_era = position.map_or(0, position::era);
    if list == List::Servers && position::era(snapshot.next) < known_era {
        let reason = "its list is older than the store's last return";
        return Err(Error::Malformed(reason.to_owned()));
    }
    Ok(snapshot)
}

fn count_call<T>(node: &Node, list: List, result: &Result<T, Error>) {
    let outcome = match result {
        Ok(_) | Err(Error::Gone) => CallOutcome::Done,
        Err(Error::Refused(_)) => CallOutcome::Refused,
        Err(Error::Unanswered(_) | Error::Malformed(_)) => CallOutcome::Unanswered,
    };
    let call = CallLabels {
        list: list.name(),
        outcome: outcome.name(),
    };
    node.metrics.platform_calls.get_or_create(&call).inc();
}

fn apply_routes(node: &Node, changes: &Changes) {
    for record in &changes.records {
        match node.decoder.table(record) {
            Some(Ok(table)) => adopt_table(node, table, record, changes.next),
            Some(Err(error)) => {
                log::error!(target: "config", key = record.key.as_str(), error:% = error; "can't decode a configuration; the previous one stays in force");
            }
            None => {}
        }
    }
}

/// Puts a configuration in force, unless the same or a later one is in force.
fn adopt_table(node: &Node, table: Table, record: &Record, next: u64) {
    let mut state = node.state.borrow_mut();
    let before = state.table.as_ref().map_or(0, |it| it.version());
    if table.version() <= before {
        return;
    }
    let version = table.version();
    log::info!(target: "config", version, before; "new configuration in force");
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

/// Applies records of servers: the whole list, or the changes from position `from` on.
fn apply_servers(node: &Node, source: Source, scope: Scope, from: Option<u64>, changes: &Changes) {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    state.servers.record_read(now);
    if state.records.is_before_return(changes.next) {
        let era = position::era(changes.next);
        log::warn!(target: "platform", era, source:% = source; "the store came back from an older copy; what it lost is read and written again");
        node.metrics.store_returns.inc();
        state.servers.record_return(now);
        // The channel holds one signal. If one is already there, this one is not needed.
        let _ = node.returns.0.try_send(());
    }
    let mut changed = Vec::new();
    let mut all_servers = Vec::new();
    for record in &changes.records {
        if state.records.contains(record) {
            continue;
        }
        let decoded = record.value.is_some().then(|| node.decoder.server(record));
        let table = state.table.as_deref();
        let has_new_fault = state.faults.check(table, &record.key, decoded.as_ref());
        let is_changed = match decoded {
            Some(Ok(server)) if scope == Scope::All => {
                all_servers.push(server);
                true
            }
            Some(Ok(server)) => {
                let is_leaving = server.is_leaving;
                let is_changed = state.servers.add(now, server);
                if is_changed && is_leaving {
                    log::info!(target: "server", server = record.key.as_str(), source:% = source; "a server is listed as leaving");
                }
                is_changed
            }
            Some(Err(_)) => {
                let is_removed = state.servers.remove(now, &record.key);
                is_removed || has_new_fault || scope == Scope::All
            }
            None => {
                if state.servers.remove(now, &record.key) {
                    log::info!(target: "server", server = record.key.as_str(); "a server was removed from the list");
                }
                true
            }
        };
        if is_changed {
            changed.push(record.clone());
        }
    }
    let from = from.unwrap_or(changes.next);
    if !changed.is_empty() {
        log::info!(target: "server", source:% = source, scope:? = scope, from, to = changes.next, records = changes.records.len(), changed = changed.len(); "the list of servers has changed");
    }
    let records = &mut state.records;
    match scope {
        Scope::All => {
            state.servers.replace(now, all_servers);
            records.replace_servers(now, changes.next, changed);
        }
        Scope::Changed => records.store_servers(now, from, changes.next, changed),
    }
    on_time::adopt(state);
    let usable = state.servers.all().filter(|it| !it.server.is_leaving);
    node.metrics.servers.set(usable.count() as i64);
    let phase = state.phase();
    state.members.set_phase(phase);
}
