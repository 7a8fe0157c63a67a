//! Sends datagrams to the other entries.

use std::net::SocketAddr;

use domain::Moment;
use membership::message::Datagram;
use membership::message::Rumour;
use placement::JobId;
use placement::Update;
use placement::workload::Change;
use wire::Frame;

use crate::Node;

/// Adds the peer addresses of entries to the membership and contacts those that are new.
pub fn join(node: &Node, peers: &[SocketAddr]) {
    let messages = {
        let mut state = node.state.borrow_mut();
        state.members.set_listed(peers, &mut rand::rng())
    };
    send_all(node, messages);
}

/// Applies a change of a request that this entry placed, and broadcasts it to all entries.
pub fn broadcast_change(node: &Node, now: Moment, job: JobId, change: Change) {
    let update = Update { job, change };
    node.state.borrow_mut().workload.apply(now, &update);
    broadcast(node, &Frame::Updates(vec![update]));
}

/// Broadcasts a snapshot of all requests that this entry has placed.
pub fn broadcast_snapshot(node: &Node) {
    let snapshot = node.state.borrow().workload.snapshot(node.incarnation);
    broadcast(node, &Frame::Snapshot(snapshot));
}

/// Broadcasts the recent changes of the list of servers.
pub fn broadcast_delta(node: &Node) {
    let delta = node.state.borrow().records.delta();
    if let Some(delta) = delta {
        broadcast(node, &Frame::Delta(delta));
    }
}

/// Broadcasts this entry's phase at once, before a planned stop continues.
pub fn announce_phase(node: &Node) {
    let messages = {
        let mut state = node.state.borrow_mut();
        let phase = state.phase();
        state.members.set_phase(phase);
        let member = state.members.local().clone();
        state.members.broadcast(Rumour::Member {
            member,
            state: membership::member::State::Alive,
        })
    };
    send_all(node, messages);
}

/// Sends membership messages.
pub fn send_all(node: &Node, messages: Vec<Datagram>) {
    for it in messages {
        send(node, it.to, &Frame::Message(it.message).encode());
    }
}

/// Sends a frame to all other entries. It is encoded once.
pub fn broadcast(node: &Node, frame: &Frame) {
    let bytes = frame.encode();
    let state = node.state.borrow();
    for member in state.members.alive().skip(1) {
        send(node, member.peer_address, &bytes);
    }
}

/// Sends one datagram. Later ones make up for a lost one.
pub fn send(node: &Node, to: SocketAddr, bytes: &[u8]) {
    node.metrics.control_bytes.inc_by(bytes.len() as u64);
    if let Err(error) = node.datagrams.get_ref().send_to(bytes, to) {
        log::debug!(target: "peers", to:% = to, error:% = error; "can't send a datagram");
    }
}
