//! Follows what the platform says: the configuration of routes, the backend servers, the entries.
//!
//! The platform may be down, slow or turn this instance away. What was read last stays in force
//! meanwhile, and reading goes on with a growing, jittered pause.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use rand::RngExt;
use route::Table;

use crate::Node;
use crate::metrics::Call;
use crate::port::Changes;
use crate::port::Error;
use crate::port::List;
use crate::port::Platform;
use crate::port::Record;

/// How long the platform is asked to wait for a change of the configuration. A connection that goes
/// silent is noticed at its end, so it stays below the bound on configuration, 2 s to 3 s.
const ROUTES_WAIT: Duration = Duration::from_millis(2_500);
/// The pause between two readings of the list of servers: a third of the 2 s in which a leaving
/// server must get no more work. Waiting would end with each report of each server.
const SERVERS_PAUSE: Duration = Duration::from_millis(650);
/// The pause between two readings of the list of entries, which only heals what peers did not tell.
const ENTRIES_PAUSE: Duration = Duration::from_secs(10);
/// The pauses after a failed call.
const FIRST_RETRY: Duration = Duration::from_millis(100);
const LONGEST_RETRY: Duration = Duration::from_millis(800);

/// Follows the configuration of routes until the process ends.
pub async fn routes<P: Platform>(node: Rc<Node>, platform: Rc<P>) {
    follow(&node, &*platform, List::Routes, take_routes::<P>).await;
}

/// Follows the list of backend servers until the process ends.
pub async fn servers<P: Platform>(node: Rc<Node>, platform: Rc<P>) {
    follow(&node, &*platform, List::Servers, take_servers::<P>).await;
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
            Err(error) => retry.pause("entries", &error).await,
        }
    }
    loop {
        let newest = platform.newest(List::Entries).await;
        count(&node, List::Entries, &newest);
        match newest {
            Ok(newest) => {
                retry.succeeded("entries");
                let decoded = newest.records.iter().map(|it| platform.entry(it));
                let mut peers: Vec<_> = decoded.filter_map(Result::ok).collect();
                peers.extend(&node.settings().seeds);
                peers.sort();
                peers.dedup();
                node.state.borrow_mut().members.list(&peers);
                Timer::after(ENTRIES_PAUSE).await;
            }
            Err(error) => retry.pause("entries", &error).await,
        }
    }
}

/// Whether records are all that there is, or what changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    All,
    Changed,
}

async fn follow<P: Platform>(
    node: &Node,
    platform: &P,
    list: List,
    take: fn(&Node, &P, Scope, &[Record]),
) {
    let mut retry = Retry::default();
    let mut next = None;
    loop {
        let result = match next {
            None => platform.newest(list).await.map(|it| {
                (
                    Scope::All,
                    Changes {
                        records: it.records,
                        next: it.next,
                    },
                )
            }),
            Some(from) => {
                let changes = platform.changes(list, from, wait(list)).await;
                changes.map(|it| (Scope::Changed, it))
            }
        };
        count(node, list, &result);
        match result {
            Ok((scope, changes)) => {
                retry.succeeded(name(list));
                next = Some(changes.next);
                take(node, platform, scope, &changes.records);
                if list == List::Servers {
                    Timer::after(SERVERS_PAUSE).await;
                }
            }
            Err(Error::Gone) => next = None,
            Err(error) => retry.pause(name(list), &error).await,
        }
    }
}

fn wait(list: List) -> Duration {
    match list {
        List::Routes => ROUTES_WAIT,
        List::Servers | List::Entries => Duration::ZERO,
    }
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

fn take_routes<P: Platform>(node: &Node, platform: &P, _: Scope, records: &[Record]) {
    for record in records {
        match platform.table(record) {
            Some(Ok(table)) => adopt(node, table, record),
            Some(Err(error)) => {
                log::error!(target: "config", key = record.key.as_str(), error:% = error; "a configuration can't be read, the one before stays in force");
            }
            None => {}
        }
    }
}

/// Puts a configuration in force, unless a later one already is.
pub fn adopt(node: &Node, table: Table, record: &Record) {
    let mut state = node.state.borrow_mut();
    let before = state.table.as_ref().map_or(0, |it| it.version());
    if table.version() <= before {
        return;
    }
    let version = table.version();
    log::info!(target: "config", version, before; "configuration in force");
    node.metrics.config_version.set(version as i64);
    state.table_record = record.value.clone().map(Rc::new);
    state.table = Some(Rc::new(table));
    state.members.set_config_next(version);
    let phase = state.phase();
    state.members.enter(phase);
}

fn take_servers<P: Platform>(node: &Node, platform: &P, scope: Scope, records: &[Record]) {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    let servers = &mut state.servers;
    let mut listed = Vec::new();
    servers.note_reading(now);
    for record in records {
        if record.value.is_none() {
            log::info!(target: "server", server = record.key.as_str(); "a server went off the list");
            servers.remove(now, &record.key);
            continue;
        }
        match platform.server(record) {
            Ok(server) if scope == Scope::All => listed.push(server),
            Ok(server) => servers.add(now, server),
            Err(error) => {
                log::warn!(target: "server", server = record.key.as_str(), error:% = error; "an entry can't be read, it names no server");
                servers.remove(now, &record.key);
            }
        }
    }
    if scope == Scope::All {
        servers.replace(now, listed);
    }
    let usable = servers.all().filter(|it| !it.server.is_leaving);
    node.metrics.servers.set(usable.count() as i64);
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

    async fn pause(&mut self, part: &'static str, error: &Error) {
        if self.failures == 0 {
            log::warn!(target: "platform", list = part, error:% = error; "the platform can't be read, what is known stays in force");
        }
        let pause = (FIRST_RETRY * 2_u32.pow(self.failures.min(8))).min(LONGEST_RETRY);
        self.failures += 1;
        let jitter = 0.5 + rand::rng().random::<f64>();
        Timer::after(pause.mul_f64(jitter)).await;
    }
}
