//! Sends datagrams to other entries.

use std::net::SocketAddr;

use membership::message::Datagram;
use membership::message::Rumour;
use wire::Frame;

use crate::node::Node;

/// Sends an urgent rumour to all peers at once. Gossip delivers it later to those that miss it.
pub fn broadcast(node: &Node, rumour: Rumour) {
    let messages = {
        let mut core = node.core.borrow_mut();
        core.members.gossip(rumour.clone());
        core.members.broadcast(rumour)
    };
    send_all(node, messages);
}

/// Sends messages of the membership protocol.
pub fn send_all(node: &Node, messages: Vec<Datagram>) {
    for message in messages {
        send(node, message.to, &Frame::Message(message.message));
    }
}

/// Sends one datagram. Loss is tolerated, because later datagrams carry the information again.
pub fn send(node: &Node, to: SocketAddr, frame: &Frame) {
    let Some(socket) = node.datagrams.get() else {
        return;
    };
    let bytes = frame.encode();
    node.metrics.control_bytes.inc_by(bytes.len() as u64);
    if let Err(error) = socket.get_ref().send_to(&bytes, to) {
        log::debug!(target: "peers", "Send to {to} failed: {error}.");
    }
}

/// Broadcasts the lifecycle phase of this entry at once, before a graceful shutdown continues.
pub fn announce_phase(node: &Node) {
    let member = {
        let mut core = node.core.borrow_mut();
        let phase = core.phase();
        core.members.set_phase(phase);
        core.members.local().clone()
    };

    broadcast(
        node,
        Rumour::Member {
            member,
            state: membership::member::State::Alive,
        },
    );
}
