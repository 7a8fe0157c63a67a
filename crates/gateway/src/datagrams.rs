//! Sends datagrams to the other entries.

use std::net::SocketAddr;

use domain::Moment;
use membership::message::Datagram;
use placement::JobId;
use placement::Update;
use placement::workload::Change;
use wire::Frame;

use crate::Node;
use crate::metrics::Direction;
use crate::node::State;

/// The number of entries to which a new configuration is announced at once.
const ANNOUNCEMENT_COUNT: usize = 3;

/// Adds the peer addresses of entries to the membership and contacts those that are new.
pub fn join(node: &Node, peers: &[SocketAddr]) {
    let messages = {
        let mut state = node.state.borrow_mut();
        state.members.set_listed(peers, &mut rand::rng())
    };
    send_all(node, messages);
}

/// Applies a change of a request that this entry placed, and tells the entries that place work.
pub fn tell_change(node: &Node, now: Moment, job: JobId, change: Change) {
    let update = Update { job, change };
    {
        let mut state = node.state.borrow_mut();
        state.workload.apply(now, &update);
        state.audience.record_told(now);
    }
    if matches!(update.change, Change::Started | Change::Ended) {
        node.notify_waiting();
    }
    tell(node, &Frame::Updates(vec![update]));
}

/// Tells the entries that place work of all requests that this entry has placed.
pub fn tell_snapshot(node: &Node, now: Moment) {
    let snapshot = {
        let state = node.state.borrow();
        if !state.audience.is_participant(now) {
            return;
        }
        state.workload.snapshot(node.incarnation)
    };
    tell(node, &Frame::Snapshot(snapshot));
}

/// Tells the entries that place work what this entry's requests have cost since the last time.
pub fn tell_costs(node: &Node) {
    let batch = node.state.borrow_mut().costs.outbox.take_batch();
    if let Some(batch) = batch {
        tell(node, &Frame::Costs(batch));
    }
}

/// Adopts the current subset of the entries that callers are directed to, and tells those that are new
/// in it of this entry's work.
pub fn refresh_audience(node: &Node, now: Moment) {
    let added = {
        let mut state = node.state.borrow_mut();
        let State {
            audience, members, ..
        } = &mut *state;
        let added = audience.refresh(now, members);
        if !audience.is_participant(now) {
            return;
        }
        added
    };
    for peer in added {
        introduce(node, now, peer);
    }
}

/// Tells one entry what it needs to place work: the requests that this entry has placed, the limits that
/// servers named, and what the latest requests have cost.
pub fn introduce(node: &Node, now: Moment, peer: SocketAddr) {
    let (snapshot, limits, costs) = {
        let state = node.state.borrow();
        let limits = state.workload.rates().in_force(now);
        let limits = limits.map(|(server, per_s)| Update {
            job: node.next_job(),
            change: Change::Limited {
                server,
                per_s: per_s as f32,
            },
        });
        let limits: Vec<Update> = limits.collect();
        let snapshot = state.workload.snapshot(node.incarnation);
        (snapshot, limits, state.costs.outbox.recent())
    };
    send_frame(node, peer, &Frame::Snapshot(snapshot));
    if !limits.is_empty() {
        send_frame(node, peer, &Frame::Updates(limits));
    }
    if let Some(costs) = costs {
        send_frame(node, peer, &Frame::Costs(costs));
    }
}

/// Broadcasts the recent changes of the list of servers.
pub fn broadcast_delta(node: &Node) {
    let delta = node.state.borrow().records.delta();
    if let Some(delta) = delta {
        broadcast(node, &Frame::Delta(delta));
    }
}

/// Broadcasts this entry's phase at once.
pub fn announce_phase(node: &Node) {
    let messages = {
        let mut state = node.state.borrow_mut();
        let phase = state.phase();
        state.members.announce_phase(clock::now(), phase)
    };
    send_all(node, messages);
}

/// Sends the evacuated data centres to all entries at once.
pub fn broadcast_evacuations(node: &Node) {
    let messages = node.state.borrow().members.evacuation_updates(None);
    send_all(node, messages);
}

/// Forwards the evacuated data centres to some random entries, in case the entry that sent them died before it
/// reached all.
pub fn forward_evacuations(node: &Node) {
    let messages = {
        let state = node.state.borrow();
        let members = state.members.sample(ANNOUNCEMENT_COUNT, &mut rand::rng());
        let addresses = members.iter().map(|it| it.peer_address).collect();
        state.members.evacuation_updates(Some(addresses))
    };
    send_all(node, messages);
}

/// Announces the configuration in force to some random entries, which fetch it and announce it in turn.
/// Probes announce it to those that this does not reach.
pub fn announce_configuration(node: &Node) {
    let messages = {
        let mut state = node.state.borrow_mut();
        state
            .members
            .announcements(ANNOUNCEMENT_COUNT, &mut rand::rng())
    };
    send_all(node, messages);
}

/// Sends membership messages.
pub fn send_all(node: &Node, messages: Vec<Datagram>) {
    for it in messages {
        send_frame(node, it.to, &Frame::Message(it.message));
    }
}

/// Sends a frame to all other entries.
pub fn broadcast(node: &Node, frame: &Frame) {
    let state = node.state.borrow();
    let others = state.members.alive().skip(1);
    send_each(node, others.map(|it| it.peer_address), frame);
}

/// Sends a frame to the entries that place work.
fn tell(node: &Node, frame: &Frame) {
    let state = node.state.borrow();
    send_each(node, state.audience.addresses(), frame);
}

/// Sends a frame to one entry. Later ones make up for a lost one.
pub fn send_frame(node: &Node, to: SocketAddr, frame: &Frame) {
    send_each(node, std::iter::once(to), frame);
}

/// Sends a frame to some entries. It is encoded once.
pub fn send_each(node: &Node, to: impl Iterator<Item = SocketAddr>, frame: &Frame) {
    let bytes = frame.encode();
    for address in to {
        send(node, address, frame.kind(), &bytes);
    }
}

fn send(node: &Node, to: SocketAddr, kind: &'static str, bytes: &[u8]) {
    node.metrics
        .record_datagram(Direction::Sent, kind, bytes.len());
    if let Err(error) = node.datagrams.get_ref().send_to(bytes, to) {
        log::debug!(target: "peers", to:% = to, error:% = error; "can't send a datagram");
    }
}
