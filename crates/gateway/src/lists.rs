//! Reads the platform's lists, or the copies of them that other entries cache.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Node;
use crate::calls;
use crate::metrics::CallLabels;
use crate::metrics::CallOutcome;
use crate::port::Changes;
use crate::port::Error;
use crate::port::List;
use crate::port::Platform;
use crate::port::Snapshot;
use crate::position;

/// The number of peers from which a list is requested.
const MAX_PEERS_TRIED: usize = 3;

/// Where records were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
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
pub enum Scope {
    /// The newest record of each key.
    All,
    /// The records from a position on.
    Changed,
}

/// Reads the changes of a list from position `next` on, or the whole list if there is no position.
pub async fn read<P: Platform>(
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
    let position = node.state.borrow().records.store_position();
    let known_era = position.map_or(0, position::era);
    if list == List::Servers && position::era(snapshot.next) < known_era {
        let reason = "its list is older than the store's last return";
        return Err(Error::Malformed(reason.to_owned()));
    }
    Ok(snapshot)
}

/// Counts a call to the platform by its outcome.
pub fn count_call<T>(node: &Node, list: List, result: &Result<T, Error>) {
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

/// Fetches a list that the platform doesn't deliver from random peers, one after the other, until
/// one has an `acceptable` one.
pub async fn fetch_from_peers(
    node: &Node,
    list: List,
    acceptable: impl Fn(&Changes) -> bool,
) -> Option<(SocketAddr, Changes)> {
    let peers: Vec<SocketAddr> = {
        let state = node.state.borrow();
        let members = state.members.sample(MAX_PEERS_TRIED, &mut rand::rng());
        members.iter().map(|it| it.peer_address).collect()
    };
    for peer in peers {
        let changes = calls::fetch(node, peer, list).await.map(into_changes);
        if let Some(changes) = changes.filter(&acceptable) {
            return Some((peer, changes));
        }
    }
    None
}

/// Returns the records of a whole list as those to apply.
pub fn into_changes(snapshot: Snapshot) -> Changes {
    Changes {
        records: snapshot.records,
        next: snapshot.next,
    }
}
