//! Reserves memory at servers for prompts that don't fit on one server.
//!
//! A reservation has a short lease that is renewed while the request runs. If this process crashes
//! or loses its connections, the memory is soon free again, and a command that is carried out late
//! holds memory for one lease only. Commands never wait for memory, so requests can't deadlock.

use std::rc::Rc;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use h1::Error;
use h1::Framing;
use placement::JobId;
use placement::Server;
use placement::reach;
use web::stream::within;

use crate::Node;
use crate::checkup;
use crate::command;
use crate::evacuation;
use crate::exchange::Exchange;
use crate::homes;
use crate::port::Command;
use crate::port::Reservation;
use crate::reachability;
use crate::target::Target;

/// The duration of a lease. Memory must be free 4 s after its request has ended, even if this
/// process has crashed.
const LEASE_TIME: Duration = Duration::from_millis(3_200);
/// The interval between renewals. One renewal may be lost without ending the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_300);
/// The interval after a renewal that was not answered. A helper that was silent for about a second is asked again
/// before its lease ends.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// The timeout of a command. Servers respond within milliseconds, and a late response is useless.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(300);
/// The status of a command that was carried out at once.
const DONE: u16 = 200;

/// Memory reserved at servers. Dropping the lease releases the memory.
pub struct Lease {
    node: Rc<Node>,
    reservations: Vec<HelperReservation>,
    /// The tasks that renew the reservations, each its own, so that a helper which is silent delays no other one's
    /// renewal. Dropping them cancels the renewals.
    renewals: Vec<Task<()>>,
}

/// Why no memory was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// A server has no memory left, or did not answer.
    NoRoom,
    /// The data centre of a server was evacuated, or is no longer in a home region, after it was chosen.
    Withdrawn,
}

/// A reservation at one helper.
#[derive(Clone)]
struct HelperReservation {
    id: String,
    server: Rc<Server>,
    tokens: u32,
}

impl Drop for Lease {
    fn drop(&mut self) {
        let (node, reservations) = (self.node.clone(), std::mem::take(&mut self.reservations));
        let release = async move {
            for reservation in &reservations {
                let released = send(
                    &node,
                    &reservation.server,
                    node.protocol.release(&reservation.id),
                )
                .await;
                if let Err(error) = released {
                    log::info!(target: "reserve", ticket = reservation.id.as_str(), error:% = error; "release failed; the memory is freed when the lease expires");
                }
            }
        };
        self.node.executor.spawn(release).detach();
    }
}

/// Reserves memory at the helpers of `target` that hold tokens, and stores the reservation ids in
/// `target`. If one of them fails, the other reservations are released.
pub async fn acquire(
    node: &Rc<Node>,
    exchange: &Exchange,
    job: JobId,
    target: &mut Target,
) -> Result<Lease, Failure> {
    let mut lease = Lease {
        node: node.clone(),
        reservations: Vec::new(),
        renewals: Vec::new(),
    };
    for index in 0..target.helpers.len() {
        let tokens = target.parts[index + 1].tokens;
        if tokens == 0 {
            continue;
        }
        if !evacuation::permits(&node.state.borrow(), target) {
            node.metrics.evacuation_withdrawals.inc();
            return Err(Failure::Withdrawn);
        }
        if !homes::permits(node, &node.state.borrow(), exchange, target) {
            return Err(Failure::Withdrawn);
        }
        let reservation = HelperReservation {
            id: format!("{}-{}-{index}", job.entry, job.number),
            server: target.helpers[index].server.clone(),
            tokens,
        };
        target.helpers[index].reservation_id = Some(reservation.id.clone());
        // Added before the call, so that a reservation whose response is lost is released too.
        lease.reservations.push(reservation.clone());
        match reserve(node, &reservation).await {
            Ok(DONE) => {
                let renewal = renew(node.clone(), reservation);
                lease.renewals.push(node.executor.spawn(renewal));
            }
            Ok(status) => {
                log::info!(target: "reserve", ticket = reservation.id.as_str(), server = reservation.server.id.as_str(), tokens, status; "the server has no memory for the reservation");
                return Err(Failure::NoRoom);
            }
            Err(error) => {
                log::info!(target: "reserve", ticket = reservation.id.as_str(), server = reservation.server.id.as_str(), error:% = error; "the server did not answer the reservation");
                checkup::start(node, reservation.server);
                return Err(Failure::NoRoom);
            }
        }
    }
    Ok(lease)
}

async fn renew(node: Rc<Node>, reservation: HelperReservation) {
    let mut interval = RENEWAL_INTERVAL;
    loop {
        Timer::after(interval).await;
        interval = RENEWAL_INTERVAL;
        if is_lost(&node, &reservation) {
            continue;
        }
        match reserve(&node, &reservation).await {
            Ok(DONE) => {}
            Ok(status) => {
                log::info!(target: "reserve", ticket = reservation.id.as_str(), status; "reservation not renewed");
            }
            Err(error) => {
                log::info!(target: "reserve", ticket = reservation.id.as_str(), error:% = error; "reservation not renewed");
                interval = RETRY_INTERVAL;
            }
        }
    }
}

/// Returns whether the server has started again, and so has lost the reservation. The process that runs
/// there now must not reserve memory for it.
fn is_lost(node: &Node, reservation: &HelperReservation) -> bool {
    let state = node.state.borrow();
    state.servers.is_replaced(&reservation.server)
}

async fn reserve(node: &Node, reservation: &HelperReservation) -> Result<u16, Error> {
    let command = node.protocol.reserve(&Reservation {
        id: &reservation.id,
        tokens: reservation.tokens,
        lease: LEASE_TIME,
    });
    send(node, &reservation.server, command).await
}

/// Sends a command to a server and returns the status of its response.
async fn send(node: &Node, server: &Server, command: Command) -> Result<u16, Error> {
    let result = within(COMMAND_TIMEOUT, send_and_receive(node, server, command)).await;
    result.unwrap_or_else(|| {
        reachability::record_failure(node, server.key(), reach::Failure::Unanswered);
        Err(Error::Io(std::io::ErrorKind::TimedOut.into()))
    })
}

async fn send_and_receive(node: &Node, server: &Server, command: Command) -> Result<u16, Error> {
    let mut head = command.head;
    head.framing = Framing::Length(command.body.len() as u64);
    let response = command::send(node, server, head, &command.body).await?;
    reachability::record_answer(node);
    Ok(response.status)
}
