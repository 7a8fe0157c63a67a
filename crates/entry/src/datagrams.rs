//! What this entry tells the others in datagrams.

use std::net::SocketAddr;

use membership::message::Rumour;
use membership::message::Send;
use wire::Frame;

use crate::node::Node;

/// Brings urgent news to all peers at once, and to those that miss it later.
pub fn broadcast(node: &Node, rumour: Rumour) {
    let sends = {
        let mut core = node.core.borrow_mut();
        core.members.tell(rumour.clone());
        core.members.broadcast(rumour)
    };
    send_all(node, sends);
}

/// Sends messages of the membership.
pub fn send_all(node: &Node, messages: Vec<Send>) {
    for message in messages {
        send(node, message.to, &Frame::Message(message.message));
    }
}

/// Sends one datagram. A lost one is made up for by later ones.
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

/// Makes the phase known at once, before a planned stop goes on.
pub fn announce_phase(node: &Node) {
    let member = {
        let mut core = node.core.borrow_mut();
        let phase = core.phase();
        core.members.enter(phase);
        core.members.me().clone()
    };

    broadcast(
        node,
        Rumour::Member {
            member,
            state: membership::member::State::Alive,
        },
    );
}
