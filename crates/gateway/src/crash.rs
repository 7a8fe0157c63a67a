//! Detects servers that crash while they have a request, and the requests that crash them.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use h1::Error;
use h1::Framing;
use h1::Stream;
use placement::Server;
use placement::reach::Failure;
use routing::quarantine::Fingerprint;
use routing::quarantine::Progress;
use routing::quarantine::Report;
use web::stream::within;
use wire::Frame;

use crate::Node;
use crate::datagrams;
use crate::dial;
use crate::exchange::Exchange;
use crate::reachability;

/// The delay before the first check of whether a server whose connection broke accepts connections
/// again. A server that crashed takes longer to restart.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(50);
/// The interval between two checks of a server that does not respond.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A server that crashes under a request does so at the beginning of the answer. If it has sent more
/// events than this, the request is not a suspect.
const BEGINNING_EVENTS: u64 = 2;
/// The number of entries that get a summary of the suspects at a time.
const SUMMARY_PEERS: usize = 3;
/// The longest wait for the check of whether a server has crashed, before a retry. A crashed server
/// refuses connections at the first try.
const CRASH_CHECK_WAIT: Duration = Duration::from_millis(100);

/// A check of whether a server crashed during an attempt.
pub struct Check {
    fingerprint: Fingerprint,
    /// How far the server had come; absent if too far for the request to be a suspect.
    progress: Option<Progress>,
    server: Rc<Server>,
}

impl Check {
    /// Returns the check for the current or the last attempt of a request.
    pub fn of(exchange: &Exchange, server: &Rc<Server>) -> Self {
        let is_stream = exchange.route.kind.is_stream();
        let ending = &exchange.ending;
        let progress = match ending.framing {
            None if is_stream => Some(Progress::Waiting),
            _ if ending.event_count <= BEGINNING_EVENTS => Some(Progress::Begun),
            _ => None,
        };
        Self {
            fingerprint: exchange.fingerprint.clone(),
            progress,
            server: server.clone(),
        }
    }

    /// Returns whether the request is a likely cause if the server has crashed.
    pub fn is_prime_suspect(&self) -> bool {
        self.progress == Some(Progress::Begun)
    }

    /// Starts the check after an answer broke off. If the server has crashed, the request becomes a
    /// suspect. The channel is closed when the outcome is known.
    pub fn start(self, node: &Rc<Node>) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let task_node = node.clone();
        let check = async move {
            let listener = probe(self.server.address).await;
            if listener != Listener::Open {
                self.record_crash(&task_node, listener);
            }
            sender.close();
        };
        node.executor.spawn(check).detach();
        receiver
    }

    /// Runs the check after an answer that ended with the connection. If the server has not crashed,
    /// the request ran to its end.
    async fn run_after_end(self, node: Rc<Node>) {
        let listener = probe(self.server.address).await;
        if listener == Listener::Open {
            record_success(&node, &self.fingerprint);
        } else {
            self.record_crash(&node, listener);
        }
    }

    fn record_crash(&self, node: &Node, listener: Listener) {
        if node.isolation.is_set() {
            // This entry reaches no server, which says nothing of this one.
            return;
        }
        let now = clock::now();
        reachability::record_failure(node, self.server.key(), Failure::Unconnected);
        node.mark_unreachable(now, self.server.key());
        let Some(progress) = self.progress else {
            return;
        };
        // A server that does not respond may have lost its connection rather than its process.
        let progress = match listener {
            Listener::Refusing => progress,
            Listener::Open | Listener::Silent => Progress::Waiting,
        };
        let incarnation = self.server.incarnation();
        let report = {
            let quarantine = &mut node.state.borrow_mut().quarantine;
            let report = quarantine.record_crash(now, &self.fingerprint, &incarnation, progress);
            log::warn!(
                target: "quarantine",
                fingerprint = self.fingerprint.request,
                shared_parts = self.fingerprint.part_names(),
                progress:? = progress,
                crashes = quarantine.crash_count(&self.fingerprint),
                suspects = quarantine.len(),
                server = self.server.id.as_str();
                "a server crashed while running a request"
            );
            report
        };
        broadcast(node, report);
    }
}

impl Exchange {
    /// Returns whether the request may be retried after a server's answer broke off.
    pub async fn take_retry_after_break(&self, node: &Rc<Node>, server: &Rc<Server>) -> bool {
        let check = Check::of(self, server);
        let is_prime_suspect = check.is_prime_suspect();
        let checked = check.start(node);
        if !self.route.kind.is_retryable() {
            return false;
        }
        if is_prime_suspect {
            // If the request itself has crashed the server, it would crash the next one.
            within(CRASH_CHECK_WAIT, checked.recv()).await;
        }
        self.take_retry(node)
    }
}

/// What listens at the address of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listener {
    /// A process accepts connections.
    Open,
    /// Connections are refused.
    Refusing,
    /// Nothing responds.
    Silent,
}

async fn probe(address: SocketAddr) -> Listener {
    let deadline = clock::now() + dial::HEALTHY_SILENCE;
    Timer::after(FIRST_CHECK_DELAY).await;
    loop {
        let connect = Stream::connect(address, dial::ACK_TIMEOUT);
        match within(dial::CONNECT_TIMEOUT, connect).await {
            Some(Ok(_)) => return Listener::Open,
            Some(Err(Error::Io(error))) if error.kind() == ErrorKind::ConnectionRefused => {
                return Listener::Refusing;
            }
            _ if clock::now() >= deadline => return Listener::Silent,
            _ => Timer::after(CHECK_INTERVAL).await,
        };
    }
}

/// Records that a server answered a request to its end.
pub fn record_end(node: &Rc<Node>, exchange: &Exchange, server: &Rc<Server>) {
    let fingerprint = &exchange.fingerprint;
    if exchange.ending.framing != Some(Framing::UntilClose) {
        return record_success(node, fingerprint);
    }
    let state = node.state.borrow();
    if state.quarantine.is_undecided(clock::now(), fingerprint) {
        // The connection also ends if the server crashes.
        let check = Check::of(exchange, server);
        node.executor
            .spawn(check.run_after_end(node.clone()))
            .detach();
    }
}

fn record_success(node: &Node, fingerprint: &Fingerprint) {
    let report = {
        let mut state = node.state.borrow_mut();
        state.quarantine.record_success(clock::now(), fingerprint)
    };
    broadcast(node, report);
}

/// Applies what another entry knows of requests that crash servers.
pub fn apply(node: &Node, from: SocketAddr, report: &Report) {
    let reply = {
        let mut state = node.state.borrow_mut();
        state.quarantine.apply(clock::now(), report)
    };
    if let Some(reply) = reply {
        datagrams::send_frame(node, from, &Frame::Quarantine(reply));
    }
}

/// Sends the suspects that are refused to some random entries, which may have missed reports.
pub fn send_summary(node: &Node) {
    let state = node.state.borrow();
    let Some(summary) = state.quarantine.summary(clock::now()) else {
        return;
    };
    let peers = state.members.sample(SUMMARY_PEERS, &mut rand::rng());
    let addresses = peers.iter().map(|it| it.peer_address);
    datagrams::send_each(node, addresses, &Frame::Quarantine(summary));
}

fn broadcast(node: &Node, report: Option<Report>) {
    if let Some(report) = report {
        datagrams::broadcast(node, &Frame::Quarantine(report));
    }
}
