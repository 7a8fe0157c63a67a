//! Claims: asks the authority of a key, and is that authority for some keys.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use claim::Book;
use claim::Nonce;
use claim::Outcome;
use claim::ShardId;
use claim::book::Parcel;
use domain::Key;
use domain::key::Authority;
use domain::key::Incarnation;
use membership::Member;
use membership::Members;
use membership::member::Phase;
use wire::call::Decision;

use crate::calls;
use crate::node::Node;

pub mod shards;
pub mod stream;

/// The time for a call to another authority.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The heirs that are asked for a book: new entries may have come before the one that has it.
const HEIRS: usize = 3;
/// The time for another entry to take a book over.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);
/// The attempts to tell an authority how a request ended.
const TELL_ATTEMPTS: u32 = 3;

/// Claims a key for this entry.
pub async fn claim(node: &Rc<Node>, key: Key, nonce: Nonce, customer: &str) -> Decision {
    let mut last = gone();
    for place in authorities(node, key) {
        last = match place {
            Place::Here => decide(node, key, nonce, customer).await,
            Place::Peer(peer) => ask(node, peer, key, nonce, customer).await,
        };
        if matches!(last, Decision::Verdict(_)) {
            break;
        }
    }
    last
}

async fn ask(
    node: &Rc<Node>,
    peer: SocketAddr,
    key: Key,
    nonce: Nonce,
    customer: &str,
) -> Decision {
    let ask = || {
        node.pool
            .claim(&node.executor, peer, key, nonce, customer, CALL_TIMEOUT)
    };
    match calls::retry_unanswered(ask).await {
        Ok(decision) => decision,
        // Any entry may append claims: the log decides, not the home.
        Err(calls::Error::Unreachable) if key.authority() == Authority::Log => {
            decide(node, key, nonce, customer).await
        }
        Err(error) => Decision::Unavailable(error.to_string()),
    }
}

/// Tells the authority that this entry did not run the request and never will.
pub async fn release(node: &Rc<Node>, key: Key, nonce: Nonce) {
    tell(node, key, nonce, None).await;
}

/// Tells the authority how a request ended, so that repeats learn it.
pub async fn settle(node: &Rc<Node>, key: Key, nonce: Nonce, outcome: Outcome) {
    tell(node, key, nonce, Some(outcome)).await;
}

/// Tells all places that may be the authority: for those that are not, it means nothing.
async fn tell(node: &Rc<Node>, key: Key, nonce: Nonce, outcome: Option<Outcome>) {
    for place in authorities(node, key) {
        let is_told = match place {
            Place::Here => false,
            Place::Peer(peer) => tell_peer(node, peer, key, nonce, outcome.as_ref()).await,
        };
        if !is_told {
            record_outcome(node, key, nonce, outcome.clone());
        }
    }
}

async fn tell_peer(
    node: &Node,
    peer: SocketAddr,
    key: Key,
    nonce: Nonce,
    outcome: Option<&Outcome>,
) -> bool {
    let (pool, executor) = (&node.pool, &node.executor);
    for _ in 0..TELL_ATTEMPTS {
        let told = match outcome {
            Some(outcome) => {
                pool.settle(executor, peer, key, nonce, outcome, CALL_TIMEOUT)
                    .await
            }
            None => pool.release(executor, peer, key, nonce, CALL_TIMEOUT).await,
        };
        if told.is_ok() {
            return true;
        }
    }
    false
}

/// Hands all books of tickets over, each to one other entry, before this one goes. From then on
/// this entry decides on none of them. A book whose hand-over fails is lost: its tickets are
/// answered with `maybe`.
pub async fn hand_over(node: &Rc<Node>) {
    let books: Vec<Book> = node
        .core
        .borrow_mut()
        .tickets
        .drain()
        .map(|(_, book)| book)
        .collect();
    for book in books.into_iter().filter(|it| !it.is_empty()) {
        let issuer = book.issuer();
        let heir = node
            .core
            .borrow()
            .members
            .heirs(issuer)
            .first()
            .map(|it| (*it).clone());
        let Some(heir) = heir else {
            log::warn!(target: "claims", "Nobody is left to take the tickets of {issuer}.");
            return;
        };
        let parcel = serde_json::to_vec(&book.close(clock::now())).unwrap_or_default();
        let send = || {
            node.pool
                .hand_over(&node.executor, heir.peers, &parcel, HAND_OVER_TIMEOUT)
        };
        match calls::retry_unanswered(send).await {
            Ok(()) => log::info!(target: "claims", "Tickets of {issuer} went to {}.", heir.name),
            Err(error) => log::warn!(target: "claims", "Tickets of {issuer} are lost: {error}."),
        }
    }
}

/// Takes the book of an entry that stops. An entry takes each book once in its life: a second copy
/// that came after the book went on to somebody else would decide beside it.
pub fn take_over(node: &Node, parcel: Parcel) {
    let mut core = node.core.borrow_mut();
    let issuer = parcel.issuer;
    if core.tickets_seen.insert(issuer) {
        core.tickets
            .insert(issuer, Book::open(clock::now(), parcel));
    }
}

/// Decides on a claim as its authority.
pub async fn decide(node: &Rc<Node>, key: Key, nonce: Nonce, customer: &str) -> Decision {
    match key.authority() {
        Authority::Issuer(issuer) => match node.core.borrow_mut().tickets.get_mut(&issuer) {
            Some(book) => Decision::Verdict(book.claim(clock::now(), key, nonce, customer)),
            None => gone(),
        },
        Authority::Log => stream::decide(node, key, nonce).await,
    }
}

/// Takes word of a claim as its authority: how the request ended, or that it was not run and never
/// will be. Without the book of a ticket the word means nothing here.
pub fn record_outcome(node: &Rc<Node>, key: Key, nonce: Nonce, outcome: Option<Outcome>) {
    match key.authority() {
        Authority::Issuer(issuer) => {
            let mut core = node.core.borrow_mut();
            let Some(book) = core.tickets.get_mut(&issuer) else {
                return;
            };
            match outcome {
                Some(outcome) => book.settle(key, nonce, outcome),
                None => book.release(key, nonce),
            }
        }
        Authority::Log => stream::record_outcome(node, key, nonce, outcome),
    }
}

/// Where the authority of a key is.
enum Place {
    /// This entry is it.
    Here,
    /// Another entry is it.
    Peer(SocketAddr),
}

/// Returns the places that may be the authority of a key, the likeliest first. Only one of them
/// decides.
fn authorities(node: &Node, key: Key) -> Vec<Place> {
    let core = node.core.borrow();
    let members = match key.authority() {
        Authority::Log => vec![core.members.home(ShardId::of(key).stream().as_bytes())],
        Authority::Issuer(issuer) => holders(&core.members, issuer),
    };
    let place = |member: &Member| match member.incarnation == node.incarnation {
        true => Place::Here,
        false => Place::Peer(member.peers),
    };
    members.into_iter().map(place).collect()
}

/// Returns the members that may have the book of an incarnation: itself and, once it stops, one of
/// its heirs.
fn holders(members: &Members, issuer: Incarnation) -> Vec<&Member> {
    let heirs = members.heirs(issuer).into_iter().take(HEIRS);
    match members.get(issuer) {
        Some(member) if member.phase != Phase::Leaving => vec![member],
        other => other.into_iter().chain(heirs).collect(),
    }
}

fn gone() -> Decision {
    Decision::Unavailable("the entry that issued the ticket does not answer".to_owned())
}
