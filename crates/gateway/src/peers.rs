//! Datagrams between entries: membership, rumours, and changes of placed requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
use futures_lite::future;
use membership::members::Output;
use membership::message::Event;
use membership::message::Rumour;
use placement::Update;
use placement::workload::Change;
use wire::Frame;

use crate::Node;
use crate::cold;
use crate::crash;
use crate::datagrams;
use crate::evacuation;
use crate::follow;
use crate::metrics::Direction;
use crate::node::State;
use crate::on_time;
use crate::rejections;

/// The interval between two ticks of the membership.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between two removals of expired requests in the workload and expired connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);
/// The interval between two snapshots of this entry's requests, which repair lost updates.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(1_000);
/// The interval between two batches of observed costs.
const COSTS_INTERVAL: Duration = Duration::from_secs(2);
/// The interval between two log lines with the totals of datagrams.
const TOTALS_INTERVAL: Duration = Duration::from_secs(10);
/// The size limit of a datagram, in bytes.
const DATAGRAM_LIMIT: usize = 64 * 1024;

/// Exchanges datagrams with the other entries until the process ends.
pub async fn gossip(node: Rc<Node>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    let mut next_tick = clock::now();
    let mut next_sweep = clock::now();
    let mut next_snapshot = clock::now();
    let mut next_costs = clock::now();
    let mut next_totals = clock::now() + TOTALS_INTERVAL;
    loop {
        let received = async { Some(node.datagrams.recv_from(&mut buffer).await) };
        let due = async {
            clock::wait_until(next_tick).await;
            None
        };
        let output = match future::or(due, received).await {
            Some(Ok((length, from))) => receive(&node, from, &buffer[..length]),
            Some(Err(error)) => {
                log::debug!(target: "peers", error:% = error; "can't receive a datagram");
                Output::default()
            }
            None => {
                let now = clock::now();
                next_tick = now + TICK_INTERVAL;
                if now >= next_sweep {
                    next_sweep = now + SWEEP_INTERVAL;
                    expire(&node, now);
                }
                if now >= next_snapshot {
                    next_snapshot = now + SNAPSHOT_INTERVAL;
                    datagrams::tell_snapshot(&node, now);
                    crash::send_summary(&node);
                }
                if now >= next_costs {
                    next_costs = now + COSTS_INTERVAL;
                    datagrams::tell_costs(&node);
                }
                if now >= next_totals {
                    next_totals = now + TOTALS_INTERVAL;
                    log_totals(&node);
                }
                evacuation::expire(&node, now);
                datagrams::refresh_audience(&node, now);
                cold::observe(&node, now);
                on_time::observe(&node);
                node.state.borrow_mut().members.tick(now, &mut rand::rng())
            }
        };
        apply_output(&node, output);
    }
}

fn expire(node: &Node, now: Moment) {
    {
        let State {
            servers, workload, ..
        } = &mut *node.state.borrow_mut();
        workload.expire(now);
        let keys = servers.known_keys(now);
        workload.rates_mut().retain_servers(|it| keys.contains(&it));
    }
    node.connections.borrow_mut().expire(now);
}

/// Logs the totals of datagrams, for those who have no metrics of the time in question.
fn log_totals(node: &Node) {
    let sent = node.metrics.datagram_totals(Direction::Sent);
    let received = node.metrics.datagram_totals(Direction::Received);
    let calls = node.metrics.call_totals();
    log::info!(target: "peers", sent = sent.as_str(), received = received.as_str(), calls = calls.as_str(); "datagrams so far by kind, as count/bytes, and calls to the platform by list");
}

fn receive(node: &Node, from: SocketAddr, bytes: &[u8]) -> Output {
    let now = clock::now();
    let decoded = Frame::decode(bytes);
    let kind = decoded.as_ref().map_or("malformed", Frame::kind);
    node.metrics
        .record_datagram(Direction::Received, kind, bytes.len());
    let mut state = node.state.borrow_mut();
    match decoded {
        Ok(Frame::Message(message)) => return state.members.receive(now, from, message),
        Ok(Frame::Updates(updates)) => {
            for update in &updates {
                state.workload.apply(now, update);
                rejections::apply(&mut state, now, update);
            }
            drop(state);
            let is_end = |it: &Update| matches!(it.change, Change::Started | Change::Ended);
            if updates.iter().any(is_end) {
                node.notify_waiting();
            }
            record_heard(node, now, from);
        }
        Ok(Frame::Snapshot(snapshot)) => {
            state.workload.reconcile(now, &snapshot);
            drop(state);
            record_heard(node, now, from);
        }
        Ok(Frame::Costs(batch)) => {
            let count = state.costs.apply(&batch);
            node.metrics
                .record_costs(count, state.costs.estimator.len());
        }
        Ok(Frame::Delta(delta)) => {
            drop(state);
            follow::apply_delta(node, from, delta);
        }
        Ok(Frame::Quarantine(report)) => {
            drop(state);
            crash::apply(node, from, &report);
        }
        Ok(Frame::Loads(_)) => {
            log::debug!(target: "peers", from:% = from; "ignored a load report, which the gateway does not use");
        }
        Err(error) => {
            log::debug!(target: "peers", from:% = from, error:% = error; "can't decode a datagram");
        }
    }
    Output::default()
}

/// Records that an entry places work. One that is new is told of this entry's work.
fn record_heard(node: &Node, now: Moment, peer: SocketAddr) {
    let is_new = {
        let mut state = node.state.borrow_mut();
        let State {
            audience, members, ..
        } = &mut *state;
        audience.record_heard(now, peer, members) && audience.is_participant(now)
    };
    if is_new {
        datagrams::introduce(node, now, peer);
    }
}

fn apply_output(node: &Rc<Node>, output: Output) {
    datagrams::send_all(node, output.datagrams);
    for event in output.events {
        match event {
            Event::Changed(incarnation) => record_member_change(node, incarnation),
            Event::Rumour(rumour) => apply_rumour(node, rumour),
            Event::ConfigAhead { peer, next } => {
                // The channel holds one hint. If one is already there, this one is not needed.
                let _ = node.config_hints.0.try_send((peer, next));
            }
            Event::Evacuations { peer, set } => evacuation::apply_message(node, peer, &set),
        }
    }
}

fn record_member_change(node: &Node, incarnation: Incarnation) {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    let alive = state.members.alive().count();
    node.metrics.entries_alive.set(alive as i64);
    match state.members.get(incarnation) {
        Some(member) => {
            log::info!(target: "peers", peer = member.name.as_str(), phase:? = member.phase, alive; "an entry joined or changed its phase");
            let peer = member.peer_address;
            if let Some(summary) = state.quarantine.summary(now) {
                datagrams::send_frame(node, peer, &Frame::Quarantine(summary));
            }
            if state.audience.is_participant(now) && state.members.is_directed_to(incarnation) {
                drop(state);
                // An entry that has just started has no record of the work in progress.
                datagrams::introduce(node, now, peer);
            }
        }
        None => {
            log::info!(target: "peers", incarnation:% = incarnation, alive; "an entry left or died");
            state.workload.remove_entry(now, incarnation);
            state.costs.inbox.forget(incarnation);
        }
    }
}

/// Applies a rumour, and spreads it further if it changed anything.
fn apply_rumour(node: &Node, rumour: Rumour) {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    let is_changed = match &rumour {
        Rumour::Member { .. } => false,
        Rumour::ServerLeaving { server } => {
            let keys = state
                .servers
                .all()
                .filter(|it| it.server.incarnation() == *server);
            let keys: Vec<u64> = keys.map(|it| it.key()).collect();
            let mut is_changed = false;
            for key in keys {
                is_changed |= state.servers.exclude(now, key);
            }
            is_changed
        }
    };
    if is_changed {
        state.members.gossip(rumour);
    }
}
