//! What this entry tells the others in datagrams.

use std::net::SocketAddr;

use membership::message::Datagram;
use membership::message::Rumour;
use wire::Frame;

use crate::node::Node;

/// Brings urgent news to all peers at once, and to those that miss it later.
pub fn tell(node: &Node, rumour: Rumour) {
    let sends = {
        let mut core = node.core.borrow_mut();
        core.members.gossip(rumour.clone());
        core.members.broadcast(rumour)
    };
    push_all(node, sends);
}

/// Sends messages of the membership.
pub fn push_all(node: &Node, sends: Vec<Datagram>) {
    for send in sends {
        push(node, send.to, &Frame::Message(send.message));
    }
}

/// Sends one datagram. A lost one is made up for by later ones.
pub fn push(node: &Node, to: SocketAddr, frame: &Frame) {
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
pub fn announce(node: &Node) {
    let member = {
        let mut core = node.core.borrow_mut();
        let phase = core.phase();
        core.members.set_phase(phase);
        core.members.local().clone()
    };

    tell(
        node,
        Rumour::Member {
            member,
            state: membership::member::State::Alive,
        },
    );
}
