//! One attempt to have a request answered by a backend server.

use std::rc::Rc;

use domain::Moment;
use futures_lite::future;
use h1::Error;
use h1::Framing;
use membership::message::Rumour;
use placement::JobId;
use placement::Server;
use placement::reach::Failure;

use crate::Node;
use crate::cold;
use crate::crash;
use crate::dial;
use crate::dial::Reuse;
use crate::evacuation;
use crate::exchange::Ending;
use crate::exchange::Exchange;
use crate::homes;
use crate::observe;
pub use crate::outcome::Outcome;
use crate::port::Forwarding;
use crate::reachability;
use crate::reception::Completion;
use crate::reception::Reception;
use crate::registration::Registration;
use crate::relay::Answer;
use crate::reserve;
use crate::reserve::Lease;
use crate::source::Source;
use crate::target::Target;
use crate::watchdog::Watchdog;

/// An attempt whose request was sent to a server.
pub struct Attempt<'a> {
    node: &'a Rc<Node>,
    target: Target,
    registration: Registration<'a>,
    reception: Reception,
    sent_at: Moment,
    /// Whether the connection can be reused.
    reuse: Option<Reuse>,
    /// Whether the server has fallen silent before.
    pub was_silent: bool,
    _lease: Option<Lease>,
    _in_progress: reachability::Attempt<'a>,
}

/// How the preparation of an attempt ended.
pub enum Start<'a> {
    /// The request was sent.
    Sent(Box<Attempt<'a>>),
    /// Nothing was sent.
    Ended(Outcome, Box<Target>),
}

impl<'a> Attempt<'a> {
    /// Sends a request to a server.
    pub async fn start(
        node: &'a Rc<Node>,
        exchange: &mut Exchange,
        mut target: Target,
    ) -> Start<'a> {
        let now = clock::now();
        let registration = Registration::new(node, now, exchange, &target);
        let in_progress = reachability::Attempt::begin(node);
        let lease = if target.parts.iter().skip(1).any(|it| it.tokens > 0) {
            match reserve::acquire(node, exchange, registration.job, &mut target).await {
                Ok(lease) => Some(lease),
                Err(reserve::Failure::NoRoom) => {
                    return Start::Ended(Outcome::NoRoom, Box::new(target));
                }
                Err(reserve::Failure::Withdrawn) => {
                    return Start::Ended(Outcome::Withdrawn, Box::new(target));
                }
            }
        } else {
            None
        };
        let connected = if exchange.metadata.id.is_some() {
            // A server may repeat its refusal of this request, with the same id, where it refused it.
            dial::connect(node, &target.server, &exchange.connections).await
        } else {
            // Without an id, the response can't be told from an extra one to an earlier request.
            dial::connect_anew(node, &target.server).await
        };
        let connection = match connected {
            Ok(connection) => connection,
            Err(error) => {
                log::info!(target: "server", server = target.server.id.as_str(), error:% = error; "can't connect to the server");
                if !node.isolation.is_set() {
                    node.mark_unreachable(clock::now(), target.server.key());
                }
                return Start::Ended(Outcome::Unreached, Box::new(target));
            }
        };
        let sent_at = clock::now();
        if !dispatch(node, exchange, &target, registration.job, sent_at) {
            return Start::Ended(Outcome::Withdrawn, Box::new(target));
        }
        exchange.attempts += 1;
        exchange.connections.push(connection.number);
        let head = node.protocol.forward(
            &exchange.request,
            &Forwarding {
                server: &target.server,
                time_left: sent_at.until(exchange.deadline()),
                organisation: exchange.organisation.as_ref().map(|it| it.name.as_str()),
                last_event: exchange.last_event,
                helpers: &target.helpers,
                priority: target.priority(exchange.level),
            },
        );
        if target.parts.len() == 1 {
            // With several engines, it is unknown which of them the first event waits for.
            registration.sent(sent_at, exchange.service.engine.as_ref());
        }
        Start::Sent(Box::new(Self {
            node,
            reception: Reception::send(node, exchange, connection, head),
            registration,
            target,
            sent_at,
            reuse: None,
            was_silent: false,
            _lease: lease,
            _in_progress: in_progress,
        }))
    }

    /// Returns what the request was sent to.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Relays the answer to the caller until it ends. Returns `None` if the server is silent for so long that
    /// another one should be tried. The answer can be followed again once the server [goes on](Self::heard).
    pub async fn follow(
        &mut self,
        exchange: &mut Exchange,
        answer: &mut Answer,
    ) -> Option<Outcome> {
        let node = self.node;
        exchange.server.clone_from(&self.target.server.id);
        exchange.sent_at = Some(self.sent_at);
        exchange.ending = Ending::default();
        let watchdog = Watchdog::of(exchange, &self.target, self.sent_at);
        let source = Source::Server(&self.target.server, &self.registration);
        let received = self.reception.receive(node, exchange, answer, source);
        let received = async { Received::Response(received.await) };
        let silent = async { Received::Nothing(watchdog.expired(node, &self.registration).await) };
        match future::or(received, silent).await {
            Received::Response(Ok(completion)) => Some(self.complete(exchange, completion)),
            Received::Response(Err(error)) => {
                self.record_failure(&error);
                self.log_failure(exchange, &error, "the server's response ended early");
                Some(Outcome::Broken)
            }
            Received::Nothing(error) => {
                self.record_failure(&error);
                self.log_failure(
                    exchange,
                    &error,
                    "the server is silent; another one is tried while its connection stays open",
                );
                self.was_silent = true;
                node.metrics.record_silence("begun");
                None
            }
        }
    }

    /// Completes once the server goes on, with a whole answer or an event. Fails if its connection ends or fails
    /// before.
    pub async fn heard(&mut self) -> Result<(), Error> {
        let source = Source::Server(&self.target.server, &self.registration);
        self.reception.answered(self.node, source).await?;
        self.registration.progress.set(clock::now());
        Ok(())
    }

    /// Ends the attempt. Its connection is kept if it can carry another request.
    pub fn end(self) -> Target {
        let key = self.target.server.key();
        dial::keep(self.node, key, self.reception.into_connection(), self.reuse);
        self.target
    }

    /// Logs that the server goes on after a silence.
    pub fn log_heard(&self) {
        self.node.metrics.record_silence("ended");
        log::info!(
            target: "server",
            server = self.target.server.id.as_str(),
            after_ms = clock::now().since(self.sent_at).as_millis() as u64;
            "the silent server goes on; its answer is followed again"
        );
    }

    /// Logs that the connection of a silent server has failed.
    pub fn log_lost(&self, error: &Error) {
        self.node.metrics.record_silence("lost");
        log::info!(target: "server", server = self.target.server.id.as_str(), error:% = error; "the connection of the silent server has failed");
    }

    fn complete(&mut self, exchange: &mut Exchange, completion: Completion) -> Outcome {
        let Completion { outcome, reuse } = completion;
        let (node, target) = (self.node, &self.target);
        record_health(node, exchange, target, self.sent_at, &outcome);
        if has_run(exchange, &outcome) {
            crash::record_end(node, exchange, &target.server);
            observe::record(node, exchange, target, self.sent_at);
        }
        if matches!(outcome, Outcome::OtherServer) {
            mark_replaced(node, &target.server);
        } else {
            self.reuse = reuse;
        }
        outcome
    }

    /// Records that the server's answer broke off, or that it is silent.
    fn record_failure(&self, error: &Error) {
        let key = self.target.server.key();
        if matches!(error, Error::Io(_)) {
            reachability::record_failure(self.node, key, Failure::Unanswered);
        }
        let mut state = self.node.state.borrow_mut();
        if let Some(server_state) = state.servers.get_mut(key) {
            server_state.health.on_failure(clock::now());
        }
    }

    fn log_failure(&self, exchange: &Exchange, error: &Error, text: &str) {
        log::info!(
            target: "broken",
            request = exchange.metadata.id.as_deref().unwrap_or("-"),
            server = self.target.server.id.as_str(),
            fingerprint = exchange.fingerprint.request,
            shared_parts = exchange.fingerprint.part_names(),
            framing = exchange.ending.framing.map_or("-", Framing::name),
            events = exchange.ending.event_count,
            error:% = error;
            "{text}"
        );
    }
}

/// What came of waiting for a response.
enum Received {
    /// It ended, or the connection failed.
    Response(Result<Completion, Error>),
    /// The server was silent for too long.
    Nothing(Error),
}

/// Returns whether the server ran the request to its end.
fn has_run(exchange: &Exchange, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Delivered => exchange.ending.event_count > 0,
        Outcome::Answered(response, body) => {
            let is_empty_stream = exchange.route.kind.is_stream() && body.bytes.is_empty();
            response.is_success() && !is_empty_stream
        }
        _ => false,
    }
}

/// Records that a request is about to be sent to a server. Returns false if that is no longer allowed.
fn dispatch(node: &Node, exchange: &Exchange, target: &Target, job: JobId, now: Moment) -> bool {
    let mut state = node.state.borrow_mut();
    if state.quarantine.is_refused(now, &exchange.fingerprint) {
        return false;
    }
    if !evacuation::permits(&state, target) {
        node.metrics.evacuation_withdrawals.inc();
        return false;
    }
    if !homes::permits(node, &state, exchange, target) {
        return false;
    }
    let helpers = target.helpers.iter().map(|it| &it.server);
    let mut servers = std::iter::once(&target.server).chain(helpers);
    if servers.any(|it| state.servers.is_replaced(it)) {
        return false;
    }
    let server_state = state.servers.get(target.server.key());
    if server_state.is_some_and(|it| !it.is_usable(now)) {
        return false;
    }
    if !cold::permit(node, &mut state, target, job, now) {
        return false;
    }
    if let Some(server_state) = state.servers.get_mut(target.server.key()) {
        server_state.health.on_dispatch(now);
    }
    true
}

/// Records that another server listens at this server's address, and gossips it to other entries.
fn mark_replaced(node: &Node, server: &Server) {
    let now = clock::now();
    node.connections.borrow_mut().close(server.key());
    let mut state = node.state.borrow_mut();
    if state.servers.exclude(now, server.key()) {
        log::info!(target: "server", server = server.id.as_str(); "another server answers at this server's address");
        let server = server.incarnation();
        state.members.gossip(Rumour::ServerLeaving { server });
    }
}

/// Updates the health and the latency of a server after a response.
fn record_health(
    node: &Node,
    exchange: &Exchange,
    target: &Target,
    sent_at: Moment,
    outcome: &Outcome,
) {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    let Some(server) = state.servers.get_mut(target.server.key()) else {
        return;
    };
    match outcome {
        Outcome::Answered(response, _) if response.status >= 500 => server.health.on_failure(now),
        Outcome::NotRun => server.health.on_failure(now),
        _ => server.health.on_success(),
    }
    if !exchange.route.kind.is_stream() {
        server.record_latency(now, now.since(sent_at));
    }
}
