//! Other entries: membership, news, and notes on placed requests, as datagrams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
use futures_lite::future;
use membership::members::Output;
use membership::message::Event;
use membership::message::Rumour;
use wire::Frame;

use crate::Node;
use crate::datagrams;
use crate::follow;

/// The time between two ticks of the membership.
const TICK: Duration = Duration::from_millis(100);
/// The time between two clean-ups of what is forgotten.
const SWEEP: Duration = Duration::from_secs(2);
/// The time between two rosters, which make up for notes that were lost.
const ROSTER_INTERVAL: Duration = Duration::from_millis(1_000);
/// The longest datagram, in bytes.
const DATAGRAM_LIMIT: usize = 64 * 1024;

/// Talks to the other entries until the process ends.
pub async fn gossip(node: Rc<Node>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    let mut tick = clock::now();
    let mut sweep = clock::now();
    let mut roster = clock::now();
    loop {
        let received = async { Some(node.datagrams.recv_from(&mut buffer).await) };
        let due = async {
            clock::wait_until(tick).await;
            None
        };
        let output = match future::or(due, received).await {
            Some(Ok((length, from))) => receive(&node, from, &buffer[..length]),
            Some(Err(error)) => {
                log::debug!(target: "peers", error:% = error; "receive failed");
                Output::default()
            }
            None => {
                let now = clock::now();
                tick = now + TICK;
                if now >= sweep {
                    sweep = now + SWEEP;
                    clean(&node, now);
                }
                if now >= roster {
                    roster = now + ROSTER_INTERVAL;
                    datagrams::tell_roster(&node);
                }
                node.state.borrow_mut().members.tick(now, &mut rand::rng())
            }
        };
        act(&node, output);
    }
}

fn clean(node: &Node, now: Moment) {
    node.state.borrow_mut().board.expire(now);
    node.connections.borrow_mut().expire(now);
}

fn receive(node: &Node, from: SocketAddr, bytes: &[u8]) -> Output {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    match Frame::decode(bytes) {
        Ok(Frame::Message(message)) => return state.members.receive(now, from, message),
        Ok(Frame::Work(notes)) => {
            for note in &notes {
                state.board.apply(now, note);
            }
        }
        Ok(Frame::Roster(roster)) => state.board.reconcile(now, &roster),
        Ok(Frame::Listing(listing)) => {
            drop(state);
            follow::take_listing(node, listing);
        }
        Ok(Frame::Loads(_)) => {
            log::debug!(target: "peers", from:% = from; "load reports are not used here");
        }
        Err(error) => {
            log::debug!(target: "peers", from:% = from, error:% = error; "a datagram can't be read");
        }
    }
    Output::default()
}

fn act(node: &Rc<Node>, output: Output) {
    datagrams::send_all(node, output.sends);
    for event in output.events {
        match event {
            Event::Changed(incarnation) => changed(node, incarnation),
            Event::News(rumour) => news(node, rumour),
            Event::ConfigAhead { peer, next } => {
                // A hint that is already waiting is as good.
                let _ = node.config_hints.0.try_send((peer, next));
            }
        }
    }
}

fn changed(node: &Node, incarnation: Incarnation) {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    let alive = state.members.alive().count();
    node.metrics.entries_alive.set(alive as i64);
    match state.members.get(incarnation) {
        Some(member) => {
            log::info!(target: "peers", peer = member.name.as_str(), phase:? = member.phase, alive; "an entry changed");
            // One that has just started knows nothing of the work in progress.
            let roster = state.board.snapshot(node.incarnation);
            datagrams::send(node, member.peers, &Frame::Roster(roster).encode());
        }
        None => {
            log::info!(target: "peers", incarnation:% = incarnation, alive; "an entry is gone");
            state.board.remove_entry(now, incarnation);
        }
    }
}

/// Takes a piece of news and passes it on if it really is news.
fn news(node: &Node, rumour: Rumour) {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    let is_news = match &rumour {
        Rumour::Member { .. } => false,
        Rumour::Crash {
            fingerprint,
            server,
        } => state.quarantine.record_crash(now, *fingerprint, server),
        Rumour::ServerLeaving { server } => {
            let keys = state
                .servers
                .all()
                .filter(|it| it.server.incarnation() == *server);
            let keys: Vec<u64> = keys.map(|it| it.key()).collect();
            let mut is_news = false;
            for key in keys {
                is_news |= state.servers.exclude(now, key);
            }
            is_news
        }
    };
    if is_news {
        state.members.tell(rumour);
    }
}
