//! One attempt to have a request answered by a backend server.

use std::cell::Cell;
use std::io::IoSlice;
use std::rc::Rc;

use domain::Moment;
use futures_lite::future;
use h1::Error;
use h1::Framing;
use h1::Response;
use h1::Stream;
use h1::body::Decoder;
use membership::message::Rumour;
use placement::JobId;
use placement::Server;
use placement::reach::Failure;

use crate::Node;
use crate::checkup;
use crate::cold;
use crate::crash;
use crate::dial;
use crate::dial::Reuse;
use crate::evacuation;
use crate::events::Splitter;
use crate::exchange::Ending;
use crate::exchange::Exchange;
use crate::held;
use crate::held::Kind;
use crate::homes;
use crate::notice;
use crate::observe;
use crate::port::Forwarding;
use crate::port::Verdict;
use crate::reachability;
use crate::registration::Registration;
use crate::relay::Answer;
use crate::relay::State;
use crate::reserve;
use crate::target::Target;
use crate::watchdog::Watchdog;

/// The size limit of a response head, in bytes.
const RESPONSE_HEAD_LIMIT: usize = 64 * 1024;
/// The last activity of a server that is not read.
const NEVER_SILENT: Moment = Moment::from_micros(u64::MAX);

/// How an attempt ended.
#[derive(Debug)]
pub enum Outcome {
    /// The caller received the whole answer.
    Delivered,
    /// The server answered; nothing was sent to the caller yet.
    Answered(Response, held::Body),
    /// Writing to the caller failed.
    CallerLeft,
    /// The server could not be connected to; nothing was sent.
    Unreached,
    /// The server asked for a pause, left, started again or reached its bound while cold, its data centre or
    /// that of a helper was evacuated or is not in a home region, or the request came under quarantine, while the attempt was prepared;
    /// nothing was sent.
    Withdrawn,
    /// Memory could not be reserved at a helper; nothing was sent.
    NoRoom,
    /// The server reported that it did not run the request.
    NotRun,
    /// Another server listens at the address, and did not run the request.
    OtherServer,
    /// The response is missing or incomplete; the request may have run.
    Broken,
}

impl Outcome {
    /// Returns the name used in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Delivered => "delivered",
            Self::Answered(..) => "answered",
            Self::CallerLeft => "caller_left",
            Self::Unreached => "unreached",
            Self::Withdrawn => "withdrawn",
            Self::NoRoom => "no_room",
            Self::NotRun => "not_run",
            Self::OtherServer => "other_server",
            Self::Broken => "broken",
        }
    }
}

/// Whom an answer comes from.
#[derive(Clone, Copy)]
pub enum Source<'a> {
    /// A backend server, with the registration of the attempt.
    Server(&'a Server, &'a Registration<'a>),
    /// Another entry, which registers its attempts itself, with the moment of the last event.
    Peer(&'a Cell<Moment>),
}

impl Source<'_> {
    /// Records that the head of a response arrived.
    fn record_response(self, node: &Node, response: &Response, sent_at: Option<Moment>) {
        if let Self::Server(server, _) = self {
            reachability::record_answer(node);
            notice::record(node, server, response, sent_at);
        }
    }

    /// Records that events arrived.
    fn record_events(self, node: &Node, exchange: &Exchange, is_first: bool) {
        let now = clock::now();
        match self {
            Self::Server(_, registration) => {
                if is_first {
                    registration.started();
                }
                reachability::record_answer(node);
                registration.progressed(now, exchange.service.engine.as_ref());
            }
            Self::Peer(progress) => progress.set(now),
        }
    }

    /// Returns whether this entry counts the passes of an answer that is about to begin. Another entry that
    /// serves it from its first event observes it itself.
    fn counts_first_pass(self, exchange: &Exchange) -> bool {
        matches!(self, Self::Server(..)) && exchange.last_event.is_none()
    }

    /// Records that the server is not read until the caller reads, so that its silence shows nothing.
    fn stopped(self) {
        self.progress().set(NEVER_SILENT);
    }

    /// Records that the server is read again.
    fn resumed(self) {
        self.progress().set(clock::now());
    }

    fn progress(&self) -> &Cell<Moment> {
        match self {
            Self::Server(_, registration) => &registration.progress,
            Self::Peer(progress) => progress,
        }
    }

    /// Records that events were passed on to the caller.
    fn passed_on(self) {
        if let Self::Server(_, registration) = self {
            registration.passed_on();
        }
    }
}

/// Sends a request to a server and relays a streamed answer to the caller.
pub async fn run(
    node: &Rc<Node>,
    exchange: &mut Exchange,
    target: &mut Target,
    answer: &mut Answer,
) -> Outcome {
    let now = clock::now();
    let registration = Registration::new(node, now, exchange, target);
    let _in_progress = reachability::Attempt::begin(node);
    let _lease = if target.parts.iter().skip(1).any(|it| it.tokens > 0) {
        match reserve::acquire(node, exchange, registration.job, target).await {
            Ok(lease) => Some(lease),
            Err(reserve::Failure::NoRoom) => return Outcome::NoRoom,
            Err(reserve::Failure::Withdrawn) => return Outcome::Withdrawn,
        }
    } else {
        None
    };
    let mut stream = match dial::connect(node, &target.server).await {
        Ok(stream) => stream,
        Err(error) => {
            log::info!(target: "server", server = target.server.id.as_str(), error:% = error; "can't connect to the server");
            if !node.isolation.is_set() {
                node.mark_unreachable(clock::now(), target.server.key());
            }
            return Outcome::Unreached;
        }
    };
    let sent_at = clock::now();
    if !dispatch(node, exchange, target, registration.job, sent_at) {
        return Outcome::Withdrawn;
    }
    exchange.attempts += 1;
    exchange.sent_at = Some(sent_at);
    exchange.ending = Ending::default();
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
    let watchdog = Watchdog::of(exchange, target, sent_at);
    let response = send_and_receive(
        node,
        exchange,
        &mut stream,
        head,
        answer,
        Source::Server(&target.server, &registration),
    );
    let stalled = async { Err(watchdog.expired(node, &registration).await) };
    match future::or(response, stalled).await {
        Ok(Completion { outcome, reuse }) => {
            record_health(node, exchange, target, sent_at, &outcome);
            if has_run(exchange, &outcome) {
                crash::record_end(node, exchange, &target.server);
                observe::record(node, exchange, target, sent_at);
            }
            if matches!(outcome, Outcome::OtherServer) {
                mark_replaced(node, &target.server);
                return outcome;
            }
            dial::keep(node, target.server.key(), stream, reuse);
            outcome
        }
        Err(error) => {
            if matches!(error, Error::Io(_)) {
                let key = target.server.key();
                reachability::record_failure(node, key, Failure::Unanswered);
            }
            log::info!(
                target: "broken",
                request = exchange.metadata.id.as_deref().unwrap_or("-"),
                server = target.server.id.as_str(),
                fingerprint = exchange.fingerprint.request,
                shared_parts = exchange.fingerprint.part_names(),
                framing = exchange.ending.framing.map_or("-", Framing::name),
                events = exchange.ending.event_count,
                error:% = error;
                "the server's response ended early"
            );
            let mut state = node.state.borrow_mut();
            if let Some(server_state) = state.servers.get_mut(target.server.key()) {
                server_state.health.on_failure(clock::now());
            }
            drop(state);
            Outcome::Broken
        }
    }
}

/// Returns whether the server ran the request to its end.
fn has_run(exchange: &Exchange, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Delivered => exchange.ending.event_count > 0,
        Outcome::Answered(response, _) => (200..300).contains(&response.status),
        _ => false,
    }
}

/// The result of an attempt whose response was read to its end.
pub struct Completion {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the connection can be reused.
    pub reuse: Option<Reuse>,
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

/// Sends the request and reads the response.
pub async fn send_and_receive(
    node: &Rc<Node>,
    exchange: &mut Exchange,
    stream: &mut Stream,
    mut head: h1::Request,
    answer: &mut Answer,
    source: Source<'_>,
) -> Result<Completion, Error> {
    let body = exchange.body.clone();
    if !body.bytes.is_empty() || exchange.request.framing != Framing::Empty {
        head.framing = Framing::Length(body.bytes.len() as u64);
    }
    let bytes = head.encode();
    let writer = stream.writer();
    // A server may respond before it has read the body. A task writes the rest of the body, so that
    // the server does not take other bytes for it. Reading the response does not wait for the task.
    let writing = node.executor.spawn(async move {
        let mut parts = [IoSlice::new(&bytes), IoSlice::new(&body.bytes)];
        writer.write_parts(&mut parts).await
    });
    let response = stream
        .read_response(&head.method, RESPONSE_HEAD_LIMIT)
        .await?;
    exchange.ending.framing = Some(response.framing);
    source.record_response(node, &response, exchange.sent_at);
    let expected_id = exchange.metadata.id.as_deref();
    if let Some(id) = node.protocol.response_id(&response)
        && expected_id.is_some_and(|it| it != id)
    {
        return Err(Error::Malformed(
            "the response carries the id of another request",
        ));
    }
    let verdict = node.protocol.verdict(&response);
    let is_stream = verdict == Verdict::Ran && exchange.route.kind.is_stream();
    if is_stream && response.status == 200 {
        let mut completion = relay_events(node, exchange, stream, response, answer, source).await?;
        completion.reuse = completion.reuse.filter(|_| writing.is_finished());
        return Ok(completion);
    }
    let mut decoder = Decoder::new(response.framing);
    let account = answer.outbox().account();
    let limit = held::ANSWER_LIMIT;
    let body = account.read(Kind::Answer, stream, &mut decoder, limit, usize::MAX);
    let body = body.await?;
    let reuse = Reuse::of(&response).filter(|_| writing.is_finished());
    let outcome = match verdict {
        Verdict::Ran if answer.state() != State::NotBegun => {
            return Err(Error::Malformed(
                "the server answered a resumed request without a stream",
            ));
        }
        Verdict::Ran => Outcome::Answered(response, body),
        Verdict::NotRun { helper_address } => {
            if let Some(address) = helper_address {
                checkup::start_at(node, address);
            }
            Outcome::NotRun
        }
        Verdict::OtherServer => Outcome::OtherServer,
    };
    Ok(Completion { outcome, reuse })
}

/// Relays a stream to the caller, event by event.
async fn relay_events(
    node: &Rc<Node>,
    exchange: &mut Exchange,
    stream: &mut Stream,
    response: Response,
    answer: &mut Answer,
    source: Source<'_>,
) -> Result<Completion, Error> {
    let mut decoder = Decoder::new(response.framing);
    let reuse = Reuse::of(&response);
    let framing = response.framing;
    let mut response = Some(response);
    let mut splitter = Splitter::after(exchange.last_event);
    let earlier_passes = exchange.passes;
    let is_counted = earlier_passes > 0 || source.counts_first_pass(exchange);
    let mut has_started = false;
    let unsent = answer.outbox().account().charge(Kind::Stream);
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        let has_more = stream.read_body(&mut decoder, &mut bytes).await?;
        let ready = splitter.push(&bytes)?;
        exchange.ending.event_count = splitter.event_count();
        if is_counted {
            exchange.passes = earlier_passes + splitter.new_event_count();
        }
        let end = (!has_more).then(|| splitter.finish(framing));
        if end.is_some() {
            exchange.ending.partial_event_bytes = splitter.partial_event_len();
            node.metrics
                .record_stream_end(framing, splitter.partial_event_len());
        }
        if !ready.is_empty() {
            exchange.timing.record(clock::now());
            source.record_events(node, exchange, !has_started);
            has_started = true;
        }
        let is_complete = matches!(end, Some(Ok(())));
        unsent.set(ready.len() + splitter.partial_event_len());
        if !answer.outbox().has_room(ready.len()) {
            node.metrics.buffer_stops.inc();
            unsent.set(ready.len() + splitter.partial_event_len() + dial::RECEIVED_LIMIT);
            source.stopped();
            answer.outbox().room(ready.len()).await;
            source.resumed();
        }
        let is_first = answer.state() == State::NotBegun;
        let head = response.take_if(|_| is_first && (is_complete || !ready.is_empty()));
        if head.is_some() {
            let elapsed = clock::now().since(exchange.arrived);
            node.metrics
                .record_first_event(&exchange.route.name, elapsed);
        }
        let sent = if is_complete {
            answer.end_stream(head, &ready)
        } else if ready.is_empty() {
            Ok(())
        } else {
            answer.send_events(head, &ready)
        };
        source.passed_on();
        exchange.last_event = splitter.last_id();
        if sent.is_err() {
            return Ok(Completion {
                outcome: Outcome::CallerLeft,
                reuse: None,
            });
        }
        unsent.set(splitter.partial_event_len());
        end.transpose()?;
        if !has_more {
            return Ok(Completion {
                outcome: Outcome::Delivered,
                reuse,
            });
        }
    }
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
