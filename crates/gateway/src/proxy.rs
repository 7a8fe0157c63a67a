//! Has requests served by other entries while this one reaches no backend server, or none of their service.
//!
//! A request is sent to another entry's relay address as the caller sent it, with the time that remains.
//! The other entry admits, places and retries it, but never relays it again. Its answer is passed on like a
//! server's: a stream event by event, so that it can be resumed after the last one.

use std::cell::Cell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use domain::Homes;
use domain::Moment;
use domain::key::Incarnation;
use futures_lite::future;
use h1::Error;
use membership::Member;

use crate::Node;
use crate::attempt;
use crate::dial;
use crate::exchange::Ending;
use crate::exchange::Exchange;
use crate::exchange::Requester;
use crate::reception::Completion;
use crate::reception::Reception;
use crate::refusal::Refusal;
use crate::relay::Answer;
use crate::relay::State;
use crate::source::Source;

/// The number of other entries to which a request that none has run is sent before it is refused. A
/// caller that retries is directed to other entries by then.
const PEER_LIMIT: usize = 3;
/// The number of other entries that lately could not serve a service either, from which on no further one is
/// asked: the service is most likely down for all.
const FRUITLESS_LIMIT: usize = 6;
/// The status by which an entry says that it has not run a request.
const UNAVAILABLE: u16 = 503;
/// The silence after which an entry that others suspect to have stopped is given up.
const SUSPECT_SILENCE: Duration = Duration::from_millis(300);
/// The interval between two checks for entries that have stopped.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How the relaying of a request ended.
#[derive(Debug)]
pub enum Outcome {
    /// The caller received an answer, or left.
    Ended(&'static str),
    /// No other entry answered.
    Refused(Refusal),
    /// This entry reaches servers again, so that it can place the request itself.
    Reconnected,
}

/// Has a request served by one other entry after the other, until one answers or no further attempt is
/// allowed.
pub async fn run(node: &Rc<Node>, exchange: &mut Exchange, answer: &mut Answer) -> Outcome {
    if exchange.requester == Requester::Peer {
        return Outcome::Refused(Refusal::Isolated);
    }
    if exchange.sent_at.is_some() && !exchange.route.kind.is_retryable() {
        return Outcome::Refused(Refusal::NotRun);
    }
    let checked = exchange.check_stop(clock::now(), &node.state.borrow(), Duration::ZERO);
    if let Err(refusal) = checked {
        return Outcome::Refused(refusal);
    }
    let mut tried: Vec<Incarnation> = Vec::new();
    while node.isolation.is_set() {
        let peer = {
            let state = node.state.borrow();
            let homes = exchange.homes(&state);
            let peer = state.members.delegate(&tried, &homes, &mut rand::rng());
            peer.filter(|_| tried.len() < PEER_LIMIT).cloned()
        };
        let Some(peer) = peer else {
            return Outcome::Refused(Refusal::NoServer);
        };
        tried.push(peer.incarnation);
        match relay_to(node, exchange, answer, &peer, &tried).await {
            Relayed::Ended(outcome) => return Outcome::Ended(outcome),
            Relayed::Failed => return Outcome::Refused(Refusal::Failed),
            Relayed::NotServed | Relayed::Broken => {}
        }
    }
    Outcome::Reconnected
}

/// Has a request whose service has servers, but none that this entry reaches, served by another entry. Returns
/// `None` if none can, so that the request is refused or waits here.
pub async fn detour(
    node: &Rc<Node>,
    exchange: &mut Exchange,
    answer: &mut Answer,
) -> Option<Result<&'static str, Refusal>> {
    if exchange.requester == Requester::Peer
        || (exchange.sent_at.is_some() && !exchange.route.kind.is_retryable())
    {
        return None;
    }
    let mut tried: Vec<Incarnation> = Vec::new();
    loop {
        let peer = {
            let state = node.state.borrow();
            state
                .servers
                .usable(clock::now(), exchange.scope(&state))
                .next()?;
            let service = &exchange.service.name;
            let fruitless = state.detours.fruitless(clock::now(), service);
            if fruitless.len() >= FRUITLESS_LIMIT || tried.len() >= FRUITLESS_LIMIT {
                return None;
            }
            let excluded = [fruitless, tried.clone()].concat();
            let homes = exchange.homes(&state);
            let peer = state.members.delegate(&excluded, &homes, &mut rand::rng());
            peer?.clone()
        };
        tried.push(peer.incarnation);
        match relay_to(node, exchange, answer, &peer, &tried).await {
            Relayed::Ended(outcome) => return Some(Ok(outcome)),
            Relayed::Failed => return Some(Err(Refusal::Failed)),
            Relayed::NotServed => {
                let service = &exchange.service.name;
                let detours = &mut node.state.borrow_mut().detours;
                detours.record_fruitless(clock::now(), service, peer.incarnation);
            }
            Relayed::Broken => {}
        }
    }
}

/// What came of relaying a request to one other entry.
enum Relayed {
    /// The caller received an answer, or left.
    Ended(&'static str),
    /// The other entry did not serve the request, nor send it to a server.
    NotServed,
    /// The answer is missing or incomplete, and another entry may be tried.
    Broken,
    /// No further attempt is allowed, and the request may have run.
    Failed,
}

/// Relays a request to another entry and decides by the outcome whether a further one may be tried.
async fn relay_to(
    node: &Rc<Node>,
    exchange: &mut Exchange,
    answer: &mut Answer,
    peer: &Member,
    tried: &[Incarnation],
) -> Relayed {
    let sent_before = exchange.sent_at;
    let outcome = attempt_at(node, exchange, answer, peer, tried).await;
    record(node, exchange, peer, outcome.name());
    match outcome {
        attempt::Outcome::Delivered => Relayed::Ended("delivered"),
        attempt::Outcome::CallerLeft => Relayed::Ended("caller_left"),
        attempt::Outcome::Answered(response, body) => {
            if exchange.may_have_run && response.status == UNAVAILABLE {
                // The peer has not run the request, but a server may have before.
                return Relayed::Failed;
            }
            let passed_on = answer.send_whole(response, &body.bytes).await;
            Relayed::Ended(passed_on.map_or("caller_left", |()| "answered"))
        }
        attempt::Outcome::Broken => {
            exchange.may_have_run = true;
            match exchange.route.kind.is_retryable() && exchange.take_retry(node) {
                true => Relayed::Broken,
                false => Relayed::Failed,
            }
        }
        attempt::Outcome::NotRun | attempt::Outcome::OtherServer => {
            // The peer reaches no server either, so the attempt does not count.
            exchange.attempts = exchange.attempts.saturating_sub(1);
            exchange.sent_at = sent_before;
            Relayed::NotServed
        }
        attempt::Outcome::Unreached | attempt::Outcome::Withdrawn | attempt::Outcome::NoRoom => {
            Relayed::NotServed
        }
    }
}

/// Sends a request to another entry and passes its answer on.
async fn attempt_at(
    node: &Rc<Node>,
    exchange: &mut Exchange,
    answer: &mut Answer,
    peer: &Member,
    tried: &[Incarnation],
) -> attempt::Outcome {
    let Some(address) = peer.relay_address else {
        return attempt::Outcome::Unreached;
    };
    let connection = match dial::connect_to_peer(node, address).await {
        Ok(connection) => connection,
        Err(error) => {
            log::info!(target: "relay", peer = peer.name.as_str(), error:% = error; "can't connect to the other instance");
            return attempt::Outcome::Unreached;
        }
    };
    let sent_at = clock::now();
    exchange.attempts += 1;
    exchange.sent_at = Some(sent_at);
    exchange.server.clone_from(&peer.name);
    exchange.ending = Ending::default();
    let time_left = sent_at.until(exchange.deadline());
    let head = node
        .protocol
        .relay(&exchange.request, time_left, exchange.last_event);
    let progress = Cell::new(sent_at);
    let is_retryable = exchange.route.kind.is_retryable();
    let homes = exchange.homes(&node.state.borrow());
    let source = Source::Peer(&progress);
    let mut reception = Reception::send(node, exchange, connection, head);
    let response = loop {
        let received = reception.receive(node, exchange, answer, source);
        let received = async { Some(received.await) };
        let stopped = async {
            if !is_retryable {
                // Silence does not prove that the request did not run.
                return future::pending().await;
            }
            loop {
                wait_until_stopped(node, peer.incarnation, &progress).await;
                if is_replaceable(node, peer.incarnation, tried, &homes) {
                    return None;
                }
            }
        };
        match future::or(received, stopped).await {
            Some(response) => break response,
            None if may_give_up(node, exchange, answer, peer.incarnation) => {
                break Err(Error::Io(ErrorKind::TimedOut.into()));
            }
            None => {}
        }
    };
    match response {
        Ok(Completion { outcome, reuse }) => {
            dial::keep(
                node,
                dial::peer_key(address),
                reception.into_connection(),
                reuse,
            );
            outcome
        }
        Err(error) => {
            log::info!(
                target: "broken",
                request = exchange.metadata.id.as_deref().unwrap_or("-"),
                peer = peer.name.as_str(),
                events = exchange.ending.event_count,
                error:% = error;
                "the other instance's response ended early"
            );
            attempt::Outcome::Broken
        }
    }
}

/// Returns whether a request can do without a silent entry: another one may serve it, or the caller, which was sent
/// nothing, can repeat it.
fn may_give_up(node: &Node, exchange: &Exchange, answer: &Answer, peer: Incarnation) -> bool {
    let is_dead = !node.state.borrow().members.is_alive(peer);
    let is_repeatable = is_dead && answer.state() == State::NotBegun;
    is_repeatable || exchange.may_retry(node)
}

/// Returns whether the entry that relayed a request should have another one serve it at once: this one reaches no
/// server any more, so waiting for a silent one is of no use.
pub fn should_return(node: &Node, exchange: &Exchange) -> bool {
    exchange.requester == Requester::Peer
        && exchange.route.kind.is_retryable()
        && node.isolation.is_set()
}

/// Returns the refusal as it is told to the requester. Another entry is told that it may try a further one.
pub fn refusal_for(requester: Requester, refusal: Refusal) -> Refusal {
    match (requester, refusal) {
        (Requester::Peer, Refusal::NoServer | Refusal::Stopping) => Refusal::Isolated,
        _ => refusal,
    }
}

/// Returns whether a suspected entry can be given up: it is dead, or an unsuspected one can take its place. An
/// entry that serves all requests of many others may only be slow.
fn is_replaceable(node: &Node, peer: Incarnation, tried: &[Incarnation], homes: &Homes) -> bool {
    let members = &node.state.borrow().members;
    let other = members.delegate(tried, homes, &mut rand::rng());
    !members.is_alive(peer) || other.is_some_and(|it| members.is_unsuspected(it.incarnation))
}

/// Completes once another entry is suspected to have stopped and has been silent.
async fn wait_until_stopped(node: &Node, peer: Incarnation, progress: &Cell<Moment>) {
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let is_quiet = clock::now().since(progress.get()) >= SUSPECT_SILENCE;
        if is_quiet && !node.state.borrow().members.is_unsuspected(peer) {
            return;
        }
    }
}

fn record(node: &Node, exchange: &Exchange, peer: &Member, outcome: &'static str) {
    node.metrics.record_relayed(outcome);
    log::info!(
        target: "relay",
        request = exchange.metadata.id.as_deref().unwrap_or("-"),
        route = exchange.route.name.as_str(),
        peer = peer.name.as_str(),
        attempt = exchange.attempts,
        last_event = exchange.last_event.unwrap_or_default(),
        elapsed_ms = clock::now().since(exchange.arrived).as_millis() as u64,
        outcome;
        "request relayed to another instance"
    );
}
