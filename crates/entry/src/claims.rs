//! Claims of idempotency keys: finds and calls the authority of a key, and acts as the authority of
//! some keys.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use claim::Nonce;
use claim::Outcome;
use claim::ShardId;
use claim::Tickets;
use claim::tickets::Handover;
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

/// The timeout of a call to the authority of a key.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The number of successors that are asked for the tickets of a stopped entry. Entries that joined
/// since may precede the one that has them.
const SUCCESSOR_LIMIT: usize = 3;
/// The timeout for handing tickets over to another entry.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of attempts to report an outcome to an authority.
const REPORT_ATTEMPTS: u32 = 3;

/// Claims a key at its authority on behalf of a request.
pub async fn claim(node: &Rc<Node>, key: Key, nonce: Nonce, customer: &str) -> Decision {
    let mut last = issuer_unavailable();
    for candidate in authorities(node, key) {
        last = match candidate {
            Candidate::Local => decide(node, key, nonce, customer).await,
            Candidate::Peer(peer) => claim_at_peer(node, peer, key, nonce, customer).await,
        };
        if matches!(last, Decision::Verdict(_)) {
            break;
        }
    }
    last
}

async fn claim_at_peer(
    node: &Rc<Node>,
    peer: SocketAddr,
    key: Key,
    nonce: Nonce,
    customer: &str,
) -> Decision {
    let call = || {
        node.pool
            .claim(&node.executor, peer, key, nonce, customer, CALL_TIMEOUT)
    };
    match calls::retry_unanswered(call).await {
        Ok(decision) => decision,
        // Any entry may append claims, because the log decides and not the home.
        Err(calls::Error::Unreachable) if key.authority() == Authority::Log => {
            decide(node, key, nonce, customer).await
        }
        Err(error) => Decision::Unavailable(error.to_string()),
    }
}

/// Reports to the authority that this entry did not run the request and never will.
pub async fn release(node: &Rc<Node>, key: Key, nonce: Nonce) {
    report(node, key, nonce, None).await;
}

/// Reports the outcome of a request to the authority, which returns it to retries.
pub async fn settle(node: &Rc<Node>, key: Key, nonce: Nonce, outcome: Outcome) {
    report(node, key, nonce, Some(outcome)).await;
}

/// Reports an outcome, or a release without one, to all candidates for the authority. Those that
/// are not the authority ignore it.
async fn report(node: &Rc<Node>, key: Key, nonce: Nonce, outcome: Option<Outcome>) {
    for candidate in authorities(node, key) {
        let is_reported = match candidate {
            Candidate::Local => false,
            Candidate::Peer(peer) => report_to_peer(node, peer, key, nonce, outcome.as_ref()).await,
        };
        if !is_reported {
            record_outcome(node, key, nonce, outcome.clone());
        }
    }
}

async fn report_to_peer(
    node: &Node,
    peer: SocketAddr,
    key: Key,
    nonce: Nonce,
    outcome: Option<&Outcome>,
) -> bool {
    let (pool, executor) = (&node.pool, &node.executor);
    for _ in 0..REPORT_ATTEMPTS {
        let result = match outcome {
            Some(outcome) => {
                pool.settle(executor, peer, key, nonce, outcome, CALL_TIMEOUT)
                    .await
            }
            None => pool.release(executor, peer, key, nonce, CALL_TIMEOUT).await,
        };
        if result.is_ok() {
            return true;
        }
    }
    false
}

/// Hands the tickets of each issuer over to one other entry before this one stops. From then on
/// this entry is the authority for none of them. Tickets whose handover fails are lost: requests
/// with them are answered with `maybe`.
pub async fn hand_over(node: &Rc<Node>) {
    let all_tickets: Vec<Tickets> = node
        .core
        .borrow_mut()
        .tickets
        .drain()
        .map(|(_, tickets)| tickets)
        .collect();
    for tickets in all_tickets.into_iter().filter(|it| !it.is_empty()) {
        let issuer = tickets.issuer();
        let successor = node
            .core
            .borrow()
            .members
            .successors(issuer)
            .first()
            .map(|it| (*it).clone());
        let Some(successor) = successor else {
            log::warn!(target: "claims", "No entry is left to take over the tickets of {issuer}.");
            return;
        };
        let bytes = serde_json::to_vec(&tickets.into_handover(clock::now())).unwrap_or_default();
        let send = || {
            node.pool.hand_over(
                &node.executor,
                successor.peer_address,
                &bytes,
                HAND_OVER_TIMEOUT,
            )
        };
        match calls::retry_unanswered(send).await {
            Ok(()) => log::info!(
                target: "claims",
                "Handed the tickets of {issuer} over to {}.",
                successor.name
            ),
            Err(error) => log::warn!(target: "claims", "Tickets of {issuer} are lost: {error}."),
        }
    }
}

/// Takes over the tickets of an issuer from an entry that stops. This happens at most once for each
/// issuer: after the tickets were handed on, a late duplicate would make this entry a second
/// authority for them.
pub fn take_over(node: &Node, handover: Handover) {
    let mut core = node.core.borrow_mut();
    let issuer = handover.issuer;
    if core.tickets_seen.insert(issuer) {
        core.tickets
            .insert(issuer, Tickets::from_handover(clock::now(), handover));
    }
}

/// Decides a claim as the authority of its key.
pub async fn decide(node: &Rc<Node>, key: Key, nonce: Nonce, customer: &str) -> Decision {
    match key.authority() {
        Authority::Issuer(issuer) => match node.core.borrow_mut().tickets.get_mut(&issuer) {
            Some(tickets) => Decision::Verdict(tickets.claim(clock::now(), key, nonce, customer)),
            None => issuer_unavailable(),
        },
        Authority::Log => stream::decide(node, key, nonce).await,
    }
}

/// Records the outcome of a claim as the authority of its key, or releases it without an outcome if
/// the request was not run and never will be. Does nothing if this entry doesn't have the ticket.
pub fn record_outcome(node: &Rc<Node>, key: Key, nonce: Nonce, outcome: Option<Outcome>) {
    match key.authority() {
        Authority::Issuer(issuer) => {
            let mut core = node.core.borrow_mut();
            let Some(tickets) = core.tickets.get_mut(&issuer) else {
                return;
            };
            match outcome {
                Some(outcome) => tickets.settle(key, nonce, outcome),
                None => tickets.release(key, nonce),
            }
        }
        Authority::Log => stream::record_outcome(node, key, nonce, outcome),
    }
}

/// A candidate for the authority of a key.
enum Candidate {
    /// This entry itself.
    Local,
    /// A peer, at this address.
    Peer(SocketAddr),
}

/// Returns the candidates for the authority of a key, the likeliest first. At most one of them is
/// the authority.
fn authorities(node: &Node, key: Key) -> Vec<Candidate> {
    let core = node.core.borrow();
    let members = match key.authority() {
        Authority::Log => vec![core.members.home(ShardId::of(key).stream().as_bytes())],
        Authority::Issuer(issuer) => ticket_holders(&core.members, issuer),
    };
    let candidate = |member: &Member| match member.incarnation == node.incarnation {
        true => Candidate::Local,
        false => Candidate::Peer(member.peer_address),
    };
    members.into_iter().map(candidate).collect()
}

/// Returns the members that may have the tickets of an issuer: the issuer itself and, once it
/// stops, its first successors.
fn ticket_holders(members: &Members, issuer: Incarnation) -> Vec<&Member> {
    let successors = members.successors(issuer).into_iter().take(SUCCESSOR_LIMIT);
    match members.get(issuer) {
        Some(member) if member.phase != Phase::Leaving => vec![member],
        other => other.into_iter().chain(successors).collect(),
    }
}

fn issuer_unavailable() -> Decision {
    Decision::Unavailable("the entry that issued the ticket does not answer".to_owned())
}
