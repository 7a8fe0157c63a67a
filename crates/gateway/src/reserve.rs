//! Memory that is set aside at servers for prompts that one server can't hold.
//!
//! A reservation lives on a short lease that is renewed while the request goes on: if this process
//! dies or is cut off, the memory is free again soon, and an order that is carried out late holds
//! memory for one lease only. Orders never wait for memory, so no two requests can wait for each
//! other.

use std::rc::Rc;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use h1::Error;
use h1::Framing;
use h1::body::Decoder;
use placement::JobId;
use placement::Server;
use web::stream::within;

use crate::Node;
use crate::dial;
use crate::dial::Reuse;
use crate::port::Command;
use crate::port::Reservation;
use crate::target::Target;

/// The lease. Memory must be free 4 s after its request has ended, also if this process is gone.
const LEASE_TIME: Duration = Duration::from_millis(3_200);
/// The time between two renewals: one may be lost.
const RENEWAL: Duration = Duration::from_millis(1_300);
/// The time for an order. Servers answer within milliseconds; a late answer is worth nothing.
const ORDER_TIME: Duration = Duration::from_millis(300);
/// The longest answer to an order, in bytes.
const ANSWER_LIMIT: usize = 64 * 1024;
/// The status of an order that was carried out at once.
const DONE: u16 = 200;

/// Memory that is set aside. It is given back when this is dropped.
pub struct Lease {
    node: Rc<Node>,
    tickets: Vec<Ticket>,
    /// Ends with this.
    _renewal: Option<Task<()>>,
}

#[derive(Clone)]
struct Ticket {
    id: String,
    server: Rc<Server>,
    tokens: u32,
}

impl Drop for Lease {
    fn drop(&mut self) {
        let (node, tickets) = (self.node.clone(), std::mem::take(&mut self.tickets));
        let release = async move {
            for ticket in &tickets {
                let released = give(&node, &ticket.server, node.protocol.release(&ticket.id)).await;
                if let Err(error) = released {
                    log::info!(target: "reserve", ticket = ticket.id.as_str(), error:% = error; "not released, the lease will end it");
                }
            }
        };
        self.node.executor.spawn(release).detach();
    }
}

/// Sets memory aside at the servers of `target` that are to hold some, and enters the reservations
/// into it. Returns nothing if one of them has no room: then nothing stays set aside.
pub async fn acquire(node: &Rc<Node>, job: JobId, target: &mut Target) -> Option<Lease> {
    let mut lease = Lease {
        node: node.clone(),
        tickets: Vec::new(),
        _renewal: None,
    };
    for index in 0..target.helpers.len() {
        let tokens = target.parts[index + 1].tokens;
        if tokens == 0 {
            continue;
        }
        let ticket = Ticket {
            id: format!("{}-{}-{index}", job.entry, job.number),
            server: target.helpers[index].server.clone(),
            tokens,
        };
        target.helpers[index].reservation_id = Some(ticket.id.clone());
        // Also a reservation whose answer is lost is given back.
        lease.tickets.push(ticket.clone());
        match reserve(node, &ticket).await {
            Ok(DONE) => {}
            Ok(status) => {
                log::info!(target: "reserve", ticket = ticket.id.as_str(), server = ticket.server.id.as_str(), tokens, status; "no room");
                return None;
            }
            Err(error) => {
                log::info!(target: "reserve", ticket = ticket.id.as_str(), server = ticket.server.id.as_str(), error:% = error; "no answer");
                return None;
            }
        }
    }
    let renewal = renew(node.clone(), lease.tickets.clone());
    lease._renewal = Some(node.executor.spawn(renewal));
    Some(lease)
}

async fn renew(node: Rc<Node>, tickets: Vec<Ticket>) {
    loop {
        Timer::after(RENEWAL).await;
        for ticket in &tickets {
            match reserve(&node, ticket).await {
                Ok(DONE) => {}
                Ok(status) => {
                    log::info!(target: "reserve", ticket = ticket.id.as_str(), status; "not renewed");
                }
                Err(error) => {
                    log::info!(target: "reserve", ticket = ticket.id.as_str(), error:% = error; "not renewed");
                }
            }
        }
    }
}

async fn reserve(node: &Node, ticket: &Ticket) -> Result<u16, Error> {
    let order = node.protocol.reserve(&Reservation {
        id: &ticket.id,
        tokens: ticket.tokens,
        lease: LEASE_TIME,
    });
    give(node, &ticket.server, order).await
}

/// Gives an order to a server and returns the status of its answer.
async fn give(node: &Node, server: &Server, order: Command) -> Result<u16, Error> {
    let answered = within(ORDER_TIME, converse(node, server, order)).await;
    answered.unwrap_or(Err(Error::Io(std::io::ErrorKind::TimedOut.into())))
}

async fn converse(node: &Node, server: &Server, order: Command) -> Result<u16, Error> {
    let mut head = order.head;
    head.headers.push("Host", server.address.to_string());
    head.framing = Framing::Length(order.body.len() as u64);
    let mut bytes = head.encode();
    bytes.extend_from_slice(&order.body);
    let mut stream = dial::connect(node, server).await?;
    stream.writer().write(&bytes).await?;
    let response = stream.read_response(&head.method, ANSWER_LIMIT).await?;
    let mut decoder = Decoder::new(response.framing);
    stream.read_whole(&mut decoder, ANSWER_LIMIT).await?;
    dial::keep(node, server, stream, Reuse::of(&response));
    Ok(response.status)
}
