//! Peers: datagrams of membership and news, and calls over TCP.

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

use crate::dispatch;
use crate::engines;
use crate::follow;
use crate::node::Node;

pub mod server;

/// The time between two ticks of the membership.
const TICK: Duration = Duration::from_millis(50);
/// The longest datagram, in bytes.
const DATAGRAM_LIMIT: usize = 64 * 1024;
/// The attempts to find a port that is free for both TCP and UDP.
const BIND_ATTEMPTS: usize = 50;

/// The sockets on which peers connect.
pub struct Sockets {
    /// For calls.
    pub listener: Async<TcpListener>,
    /// For datagrams, on the same port.
    pub datagrams: Async<UdpSocket>,
    /// Their address.
    pub address: SocketAddr,
}

impl Sockets {
    /// Binds both sockets to one port.
    pub fn bind(address: SocketAddr) -> Result<Self> {
        let mut last = None;
        for _ in 0..BIND_ATTEMPTS {
            let (listener, bound) = web::server::bind(address)?;
            match Async::<UdpSocket>::bind(bound) {
                Ok(datagrams) => {
                    return Ok(Self {
                        listener,
                        datagrams,
                        address: bound,
                    });
                }
                Err(error) => last = Some(error),
            }
            if address.port() != 0 {
                break;
            }
        }
        let error = last.context("no attempt was made")?;
        Err(error).context("the port is taken for datagrams: choose another")
    }
}

/// Talks to the other entries until the process ends.
pub async fn gossip(node: Rc<Node>, socket: Rc<Async<UdpSocket>>) {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    let mut tick = clock::now();
    loop {
        let received = async { Some(socket.recv_from(&mut buffer).await) };
        let due = async {
            clock::wait_until(tick).await;
            None
        };
        let output = match future::or(received, due).await {
            Some(Ok((length, from))) => receive(&node, from, &buffer[..length]),
            Some(Err(error)) => {
                log::debug!(target: "peers", "Receive failed: {error}.");
                Output::default()
            }
            None => {
                tick = clock::now() + TICK;
                let mut core = node.core.borrow_mut();
                let phase = core.phase();
                core.members.enter(phase);
                let next = core.fold.next();
                core.members.set_config_next(next);
                core.members.tick(clock::now(), &mut rand::rng())
            }
        };
        act(&node, &socket, output).await;
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
        Ok(Frame::Work(_) | Frame::Roster(_) | Frame::Listing(_)) => {
            log::debug!(target: "peers", "Datagram from {from}: notes on routes are not used here.");
            Output::default()
        }
        Err(error) => {
            log::debug!(target: "peers", "Datagram from {from}: {error}.");
            Output::default()
        }
    }
}

async fn act(node: &Rc<Node>, socket: &Async<UdpSocket>, output: Output) {
    for send in output.sends {
        let bytes = Frame::Message(send.message).encode();
        node.metrics.control_bytes.inc_by(bytes.len() as u64);
        if let Err(error) = socket.send_to(&bytes, send.to).await {
            log::debug!(target: "peers", "Send to {} failed: {error}.", send.to);
        }
    }
    for event in output.events {
        match event {
            Event::Changed(incarnation) => changed(node, incarnation),
            Event::News(rumour) => news(node, rumour),
            Event::ConfigAhead { peer, next } => follow::fetch_from_peer(node, peer, next),
        }
    }
}

fn changed(node: &Node, incarnation: domain::key::Incarnation) {
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
        None => log::info!(target: "peers", "{incarnation} is gone."),
    }
}

/// Takes a piece of news and passes it on if it really is news.
fn news(node: &Node, rumour: Rumour) {
    let mut core = node.core.borrow_mut();
    match &rumour {
        Rumour::Member { .. } => {}
        Rumour::Crash {
            fingerprint,
            server,
        } => {
            if core
                .quarantine
                .record_crash(clock::now(), *fingerprint, server)
            {
                core.members.tell(rumour.clone());
            }
        }
        Rumour::ServerLeaving { server } => {
            if core.mark_leaving(server) {
                core.members.tell(rumour.clone());
                drop(core);
                dispatch::place_waiting(node);
            }
        }
    }
}
