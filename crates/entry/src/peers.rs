//! Communication with peers: datagrams for membership and gossip, and RPC calls over TCP.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use async_io::Async;
use futures_lite::future;
use membership::members::Output;
use membership::message::Event;
use membership::message::Rumour;
use wire::Frame;

use crate::crash;
use crate::dispatch;
use crate::engines;
use crate::follow;
use crate::node::Node;

pub mod server;

/// The interval between two ticks of the membership protocol.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between two summaries of prompts that are refused.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum length of a datagram, in bytes.
const DATAGRAM_LIMIT: usize = 64 * 1024;
/// The number of attempts to find a port that is free for both TCP and UDP.
const BIND_ATTEMPTS: usize = 50;

/// The sockets for peers.
pub struct Sockets {
    /// The TCP listener for RPC calls.
    pub listener: Async<TcpListener>,
    /// The UDP socket for datagrams, on the same port.
    pub datagrams: Async<UdpSocket>,
    /// The address that both sockets are bound to.
    pub address: SocketAddr,
}

impl Sockets {
    /// Binds both sockets to one port.
    pub fn bind(address: SocketAddr) -> Result<Self> {
        let mut last_error = None;
        for _ in 0..BIND_ATTEMPTS {
            let (listener, bound_address) = web::server::bind(address)?;
            match Async::<UdpSocket>::bind(bound_address) {
                Ok(datagrams) => {
                    return Ok(Self {
                        listener,
                        datagrams,
                        address: bound_address,
                    });
                }
                Err(error) => last_error = Some(error),
            }
            if address.port() != 0 {
                break;
            }
        }
        let error = last_error.context("no attempt was made")?;
        Err(error).context("the UDP port is in use: choose another")
    }
}

/// Runs the membership protocol with the other entries until the process ends.
pub async fn gossip(node: Rc<Node>, socket: Rc<Async<UdpSocket>>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    let mut next_tick = clock::now();
    let mut next_summary = clock::now();
    loop {
        let received = async { Some(socket.recv_from(&mut buffer).await) };
        let due = async {
            clock::wait_until(next_tick).await;
            None
        };
        let output = match future::or(received, due).await {
            Some(Ok((length, from))) => receive(&node, from, &buffer[..length]),
            Some(Err(error)) => {
                log::debug!(target: "peers", "Receive failed: {error}.");
                Output::default()
            }
            None => {
                next_tick = clock::now() + TICK_INTERVAL;
                if clock::now() >= next_summary {
                    next_summary = clock::now() + SUMMARY_INTERVAL;
                    crash::send_summary(&node);
                }
                let mut core = node.core.borrow_mut();
                let phase = core.phase();
                core.members.set_phase(phase);
                let next = core.fold.next();
                core.members.set_config_next(next);
                core.members.tick(clock::now(), &mut rand::rng())
            }
        };
        apply_output(&node, &socket, output).await;
    }
}

fn receive(node: &Node, from: SocketAddr, bytes: &[u8]) -> Output {
    match Frame::decode(bytes) {
        Ok(Frame::Message(message)) => {
            node.core
                .borrow_mut()
                .members
                .receive(clock::now(), from, message)
        }
        Ok(Frame::Loads(loads)) => {
            engines::apply_reports(node, loads);
            Output::default()
        }
        Ok(Frame::Quarantine(report)) => {
            crash::apply(node, from, &report);
            Output::default()
        }
        Ok(Frame::Updates(_) | Frame::Snapshot(_) | Frame::Delta(_) | Frame::Costs(_)) => {
            log::debug!(target: "peers", "Datagram from {from}: routing updates are unused here.");
            Output::default()
        }
        Err(error) => {
            log::debug!(target: "peers", "Invalid datagram from {from}: {error}.");
            Output::default()
        }
    }
}

async fn apply_output(node: &Rc<Node>, socket: &Async<UdpSocket>, output: Output) {
    for datagram in output.datagrams {
        let bytes = Frame::Message(datagram.message).encode();
        node.metrics.control_bytes.inc_by(bytes.len() as u64);
        if let Err(error) = socket.send_to(&bytes, datagram.to).await {
            log::debug!(target: "peers", "Send to {} failed: {error}.", datagram.to);
        }
    }
    for event in output.events {
        match event {
            Event::Changed(incarnation) => record_member_change(node, incarnation),
            Event::Rumour(rumour) => apply_rumour(node, rumour),
            Event::ConfigAhead { peer, next } => follow::fetch_from_peer(node, peer, next),
            Event::Evacuations { .. } => {
                // Only the gateway follows evacuations.
            }
        }
    }
}

fn record_member_change(node: &Node, incarnation: domain::key::Incarnation) {
    let core = node.core.borrow();
    node.metrics
        .entries_alive
        .set(core.members.alive().count() as i64);
    match core.members.get(incarnation) {
        Some(member) => log::info!(
            target: "peers",
            "{} ({incarnation}) is {:?}.",
            member.name,
            member.phase
        ),
        None => log::info!(target: "peers", "{incarnation} was removed."),
    }
}

/// Applies a rumour and forwards it by gossip if it was not known before.
fn apply_rumour(node: &Node, rumour: Rumour) {
    let mut core = node.core.borrow_mut();
    match &rumour {
        Rumour::Member { .. } => {}
        Rumour::ServerLeaving { server } => {
            if core.mark_leaving(server) {
                core.members.gossip(rumour.clone());
                drop(core);
                dispatch::place_waiting(node);
            }
        }
    }
}
