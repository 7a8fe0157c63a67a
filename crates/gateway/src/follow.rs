//! Follows what the platform says: the configuration of routes, the backend servers, the entries.
//!
//! The platform may be down, slow or turn this instance away. What was read last stays in force
//! meanwhile, and reading goes on with a growing, jittered pause.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use membership::member::Phase;
use rand::RngExt;
use route::Table;
use wire::Listing;

use crate::Node;
use crate::calls;
use crate::datagrams;
use crate::metrics::Call;
use crate::port::Changes;
use crate::port::Error;
use crate::port::List;
use crate::port::Newest;
use crate::port::Platform;
use crate::port::Record;

/// How long the platform is asked to wait for a change of the configuration. A connection that goes
/// silent meanwhile does no harm: entries whose connections work tell of the change.
const ROUTES_WAIT: Duration = Duration::from_secs(9);
/// The same for an entry that has no peers to tell it: below the bound on configuration, 2 s to 3 s.
const ROUTES_WAIT_ALONE: Duration = Duration::from_millis(1_500);
/// The pause between two readings of the list of entries, which only heals what peers did not tell.
const ENTRIES_PAUSE: Duration = Duration::from_secs(20);
/// The time that the platform has to tell a change itself, once a peer knows of it.
const HINT_PAUSE: Duration = Duration::from_millis(200);
/// Peers that are asked for what they know.
const PEERS_ASKED: usize = 3;
/// The pauses after a failed call.
const FIRST_RETRY: Duration = Duration::from_millis(100);
const LONGEST_RETRY: Duration = Duration::from_millis(800);
/// The longest such pause while nothing can be served for want of the answer.
const LONGEST_RETRY_UNSERVED: Duration = Duration::from_millis(160);

/// Follows the configuration of routes until the process ends.
pub async fn routes<P: Platform>(node: Rc<Node>, platform: Rc<P>) {
    let mut retry = Retry::default();
    let mut next = None;
    let mut wait = Duration::ZERO;
    loop {
        let read = async { Ok(read(&node, &*platform, List::Routes, next, wait).await) };
        let hint = async { Err(hinted(&node).await) };
        match future::or(read, hint).await {
            Ok(Ok((_, changes))) => {
                retry.succeeded("routes");
                next = Some(changes.next);
                take_routes(&node, &changes);
                wait = routes_wait(&node);
            }
            Ok(Err(Error::Gone)) => next = None,
            Ok(Err(error)) => {
                ask_peers(&node, List::Routes).await;
                retry.pause(&node, "routes", &error).await;
            }
            Err(peer) => {
                log::info!(target: "config", peer:% = peer; "a peer knows a later configuration");
                let known = version(&node);
                if let Some(newest) = calls::ask(&node, peer, List::Routes).await {
                    take_routes(&node, &as_changes(newest));
                }
                if version(&node) == known {
                    // The peer could not tell it after all; the platform may.
                    wait = Duration::ZERO;
                }
            }
        }
    }
}

/// Completes once a peer has known a later configuration for a while, and returns that peer.
async fn hinted(node: &Node) -> SocketAddr {
    loop {
        let Ok((peer, later)) = node.config_hints.1.recv().await else {
            return future::pending().await;
        };
        Timer::after(HINT_PAUSE).await;
        if version(node) < later {
            return peer;
        }
    }
}

fn version(node: &Node) -> u64 {
    let state = node.state.borrow();
    state.table.as_ref().map_or(0, |it| it.version())
}

fn routes_wait(node: &Node) -> Duration {
    if node.state.borrow().members.trusted().count() > 1 {
        ROUTES_WAIT
    } else {
        ROUTES_WAIT_ALONE
    }
}

/// Follows the list of backend servers until the process ends.
pub async fn servers<P: Platform>(node: Rc<Node>, platform: Rc<P>) {
    let mut retry = Retry::default();
    loop {
        let due = {
            let state = node.state.borrow();
            state.knowledge.due(state.members.rank())
        };
        if clock::now() < due {
            // What peers tell meanwhile moves the time on.
            clock::wait_until(due).await;
            continue;
        }
        let next = node.state.borrow().knowledge.servers_next();
        match read(&node, &*platform, List::Servers, next, Duration::ZERO).await {
            Ok((scope, changes)) => {
                retry.succeeded("servers");
                let from = next.filter(|_| scope == Scope::Changed);
                take_servers(&node, scope, from, &changes);
                datagrams::tell_listing(&node);
            }
            Err(Error::Gone) => node.state.borrow_mut().knowledge.lose_position(),
            Err(error) => {
                if next.is_none() {
                    ask_peers(&node, List::Servers).await;
                }
                retry.pause(&node, "servers", &error).await;
            }
        }
    }
}

/// Takes what another entry tells of the list of servers.
pub fn take_listing(node: &Node, listing: Listing) {
    if !node.state.borrow().knowledge.is_continued_by(&listing) {
        return;
    }
    let changes = Changes {
        records: listing.records,
        next: listing.to,
    };
    take_servers(node, Scope::Changed, Some(listing.from), &changes);
}

/// Asks peers, one after the other, for what they know of a list that the platform doesn't give.
async fn ask_peers(node: &Node, list: List) {
    let peers: Vec<SocketAddr> = {
        let state = node.state.borrow();
        let others = state.members.alive().skip(1);
        others
            .filter(|it| it.phase != Phase::Starting)
            .take(PEERS_ASKED)
            .map(|it| it.peers)
            .collect()
    };
    for peer in peers {
        let Some(newest) = calls::ask(node, peer, list).await else {
            continue;
        };
        let changes = as_changes(newest);
        match list {
            List::Routes => take_routes(node, &changes),
            List::Servers | List::Entries => take_servers(node, Scope::All, None, &changes),
        }
        return;
    }
}

fn as_changes(newest: Newest) -> Changes {
    Changes {
        records: newest.records,
        next: newest.next,
    }
}

/// Enters this instance into the list of entries and reads it from time to time.
pub async fn entries<P: Platform>(node: Rc<Node>, platform: Rc<P>) {
    let mut retry = Retry::default();
    loop {
        let settings = node.settings();
        let announced = platform.announce(&settings.name, settings.peers).await;
        count(&node, List::Entries, &announced);
        match announced {
            Ok(()) => break,
            Err(error) => retry.pause(&node, "entries", &error).await,
        }
    }
    loop {
        let newest = platform.newest(List::Entries).await;
        count(&node, List::Entries, &newest);
        match newest {
            Ok(newest) => {
                retry.succeeded("entries");
                let decoded = newest.records.iter().map(|it| node.decoder.entry(it));
                let mut peers: Vec<_> = decoded.filter_map(Result::ok).collect();
                peers.extend(&node.settings().seeds);
                peers.sort();
                peers.dedup();
                datagrams::meet(&node, &peers);
                Timer::after(ENTRIES_PAUSE).await;
            }
            Err(error) => retry.pause(&node, "entries", &error).await,
        }
    }
}

/// Whether records are all that there is, or what changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    All,
    Changed,
}

/// Reads a list from position `next` on, or all of it.
async fn read<P: Platform>(
    node: &Node,
    platform: &P,
    list: List,
    next: Option<u64>,
    wait: Duration,
) -> Result<(Scope, Changes), Error> {
    let result = match next {
        None => {
            let newest = platform.newest(list).await;
            newest.map(|it| (Scope::All, as_changes(it)))
        }
        Some(from) => {
            let changes = platform.changes(list, from, wait).await;
            changes.map(|it| (Scope::Changed, it))
        }
    };
    count(node, list, &result);
    result
}

fn name(list: List) -> &'static str {
    match list {
        List::Routes => "routes",
        List::Servers => "servers",
        List::Entries => "entries",
    }
}

fn count<T>(node: &Node, list: List, result: &Result<T, Error>) {
    let outcome = match result {
        Ok(_) | Err(Error::Gone) => "done",
        Err(Error::Refused(_)) => "refused",
        Err(Error::Unanswered(_) | Error::Malformed(_)) => "unanswered",
    };
    let call = Call {
        list: name(list),
        outcome,
    };
    node.metrics.platform_calls.get_or_create(&call).inc();
}

fn take_routes(node: &Node, changes: &Changes) {
    for record in &changes.records {
        match node.decoder.table(record) {
            Some(Ok(table)) => adopt(node, table, record, changes.next),
            Some(Err(error)) => {
                log::error!(target: "config", key = record.key.as_str(), error:% = error; "a configuration can't be read, the one before stays in force");
            }
            None => {}
        }
    }
}

/// Puts a configuration in force, unless a later one already is.
fn adopt(node: &Node, table: Table, record: &Record, next: u64) {
    let mut state = node.state.borrow_mut();
    let before = state.table.as_ref().map_or(0, |it| it.version());
    if table.version() <= before {
        return;
    }
    let version = table.version();
    log::info!(target: "config", version, before; "configuration in force");
    node.metrics.config_version.set(version as i64);
    state.knowledge.note_routes(record, next);
    state.table = Some(Rc::new(table));
    state.members.set_config_next(version);
    let phase = state.phase();
    state.members.enter(phase);
}

/// Takes records of servers: all of them, or those from position `from` on.
fn take_servers(node: &Node, scope: Scope, from: Option<u64>, changes: &Changes) {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    state.servers.record_read(now);
    let mut news = Vec::new();
    let mut listed = Vec::new();
    for record in &changes.records {
        let decoded = record.value.is_some().then(|| node.decoder.server(record));
        let is_news = match decoded {
            Some(Ok(server)) if scope == Scope::All => {
                listed.push(server);
                true
            }
            Some(Ok(server)) => state.servers.add(now, server),
            Some(Err(error)) => {
                log::warn!(target: "server", server = record.key.as_str(), error:% = error; "an entry can't be read, it names no server");
                state.servers.remove(now, &record.key);
                true
            }
            None => {
                // Changes are told more than once, in case they were lost.
                if state.servers.remove(now, &record.key) {
                    log::info!(target: "server", server = record.key.as_str(); "a server went off the list");
                }
                true
            }
        };
        if is_news {
            news.push(record.clone());
        }
    }
    if scope == Scope::All {
        state.servers.replace(now, listed);
        state.knowledge.clear_servers();
    }
    let from = from.unwrap_or(changes.next);
    state.knowledge.note_servers(now, from, changes.next, news);
    let usable = state.servers.all().filter(|it| !it.server.is_leaving);
    node.metrics.servers.set(usable.count() as i64);
    let phase = state.phase();
    state.members.enter(phase);
}

/// Pauses between calls that fail.
#[derive(Debug, Default)]
struct Retry {
    failures: u32,
}

impl Retry {
    fn succeeded(&mut self, part: &'static str) {
        if self.failures > 0 {
            log::info!(target: "platform", list = part, failures = self.failures; "the platform answers again");
        }
        self.failures = 0;
    }

    async fn pause(&mut self, node: &Node, part: &'static str, error: &Error) {
        if self.failures == 0 {
            log::warn!(target: "platform", list = part, error:% = error; "the platform can't be read, what is known stays in force");
        }
        let longest = if node.state.borrow().can_serve() {
            LONGEST_RETRY
        } else {
            LONGEST_RETRY_UNSERVED
        };
        let pause = (FIRST_RETRY * 2_u32.pow(self.failures.min(8))).min(longest);
        self.failures += 1;
        let jitter = 0.5 + rand::rng().random::<f64>();
        Timer::after(pause.mul_f64(jitter)).await;
    }
}
