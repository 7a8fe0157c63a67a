//! What this entry tells the others in datagrams.

use std::net::SocketAddr;

use domain::Moment;
use membership::message::Rumour;
use membership::message::Send;
use placement::JobId;
use placement::Update;
use placement::workload::Change;
use wire::Frame;

use crate::Node;

/// Takes the addresses of all entries and greets those that are not known yet.
pub fn meet(node: &Node, peers: &[SocketAddr]) {
    let greetings = {
        let mut state = node.state.borrow_mut();
        state.members.list(peers, &mut rand::rng())
    };
    send_all(node, greetings);
}

/// Notes a change of a request that this entry has placed, and tells all entries.
pub fn note(node: &Node, now: Moment, job: JobId, change: Change) {
    let note = Update { job, change };
    node.state.borrow_mut().board.apply(now, &note);
    broadcast(node, &Frame::Work(vec![note]));
}

/// Tells all entries what this one has placed.
pub fn tell_roster(node: &Node) {
    let roster = node.state.borrow().board.snapshot(node.incarnation);
    broadcast(node, &Frame::Roster(roster));
}

/// Tells all entries what changed on the list of servers.
pub fn tell_listing(node: &Node) {
    let listing = node.state.borrow().knowledge.listing();
    if let Some(listing) = listing {
        broadcast(node, &Frame::Listing(listing));
    }
}

/// Makes the phase known at once, before a planned stop goes on.
pub fn announce(node: &Node) {
    let sends = {
        let mut state = node.state.borrow_mut();
        let phase = state.phase();
        state.members.enter(phase);
        let member = state.members.me().clone();
        state.members.broadcast(Rumour::Member {
            member,
            state: membership::member::State::Alive,
        })
    };
    send_all(node, sends);
}

/// Sends messages of the membership.
pub fn send_all(node: &Node, sends: Vec<Send>) {
    for it in sends {
        send(node, it.to, &Frame::Message(it.message).encode());
    }
}

/// Sends a frame to all other entries. It is encoded once.
fn broadcast(node: &Node, frame: &Frame) {
    let bytes = frame.encode();
    let state = node.state.borrow();
    for member in state.members.alive().skip(1) {
        send(node, member.peers, &bytes);
    }
}

/// Sends one datagram. A lost one is made up for by later ones.
pub fn send(node: &Node, to: SocketAddr, bytes: &[u8]) {
    node.metrics.control_bytes.inc_by(bytes.len() as u64);
    if let Err(error) = node.datagrams.get_ref().send_to(bytes, to) {
        log::debug!(target: "peers", to:% = to, error:% = error; "send failed");
    }
}
