//! One attempt: a request on one backend server.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use domain::Moment;
use futures_lite::future;
use h1::Error;
use h1::Framing;
use h1::Response;
use h1::Stream;
use h1::body::Decoder;
use membership::message::Rumour;
use placement::Server;
use web::stream::within;

use crate::Node;
use crate::dial;
use crate::dial::Reuse;
use crate::events::Events;
use crate::exchange::Exchange;
use crate::port::Send;
use crate::port::Verdict;
use crate::posting::Posting;
use crate::quiet::Quiet;
use crate::relay::Answer;
use crate::relay::State;
use crate::reserve;
use crate::target::Target;

/// The longest head of a server's answer, in bytes.
const HEAD_LIMIT: usize = 64 * 1024;
/// The longest whole answer, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;
/// The pauses after which a server whose connection broke is asked whether it is still there. A
/// server that crashed stays away for longer.
const CRASH_CHECKS: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(250)];

/// How an attempt ended.
#[derive(Debug)]
pub enum Outcome {
    /// The caller has the whole answer.
    Delivered,
    /// The server answered; the caller has nothing yet.
    Answered(Response, Vec<u8>),
    /// The caller can't be written to.
    CallerLeft,
    /// No connection came about: nothing was sent.
    Unreached,
    /// A server has no room to set aside: nothing was sent.
    NoRoom,
    /// The server says that it did not run the request.
    NotRun,
    /// Another server listens at the address; it did not run the request.
    OtherServer,
    /// The answer is missing or incomplete: the request may have run.
    Broken,
}

impl Outcome {
    /// Returns the name for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Delivered => "delivered",
            Self::Answered(..) => "answered",
            Self::CallerLeft => "caller_left",
            Self::Unreached => "unreached",
            Self::NoRoom => "no_room",
            Self::NotRun => "not_run",
            Self::OtherServer => "other_server",
            Self::Broken => "broken",
        }
    }
}

/// Sends a request to a server and passes the answer on.
pub async fn run(
    node: &Rc<Node>,
    exchange: &mut Exchange,
    target: &mut Target,
    answer: &mut Answer,
) -> Outcome {
    let now = clock::now();
    let posting = Posting::new(node, now, exchange, target);
    let _held = if target.parts.iter().skip(1).any(|it| it.tokens > 0) {
        match reserve::acquire(node, posting.job, target).await {
            Some(held) => Some(held),
            None => return Outcome::NoRoom,
        }
    } else {
        None
    };
    let mut stream = match dial::connect(node, &target.server).await {
        Ok(stream) => stream,
        Err(error) => {
            log::info!(target: "server", server = target.server.id.as_str(), error:% = error; "can't connect");
            lost(node, target.server.key());
            return Outcome::Unreached;
        }
    };
    exchange.attempts += 1;
    let sent = clock::now();
    if let Some(known) = node.state.borrow_mut().servers.get_mut(target.server.key()) {
        known.health.on_dispatch(sent);
    }
    let head = node.dialect.forward(
        &exchange.request,
        &Send {
            server: &target.server,
            left: sent.until(exchange.end()),
            organisation: exchange.organisation.as_ref().map(|it| it.name.as_str()),
            last_event: exchange.last_event,
            helpers: &target.helpers,
            rank: target.rank(),
        },
    );
    if target.parts.len() == 1 {
        // Which of several engines a first event waits for can't be told.
        posting.sent(sent, exchange.service.engine.as_ref());
    }
    let quiet = Quiet::of(exchange, target);
    let conversation = converse(node, exchange, &mut stream, head, answer, &posting);
    let silence = async {
        quiet.passed(node, &posting.progress).await;
        posting.overdue(clock::now());
        Err(Error::Io(std::io::ErrorKind::TimedOut.into()))
    };
    match future::or(conversation, silence).await {
        Ok(Reply { outcome, reuse }) => {
            note_health(node, exchange, target, sent, &outcome);
            if matches!(outcome, Outcome::OtherServer) {
                disown(node, &target.server);
                return outcome;
            }
            dial::keep(node, &target.server, stream, reuse);
            outcome
        }
        Err(error) => {
            log::info!(
                target: "broken",
                request = exchange.ask.id.as_deref().unwrap_or("-"),
                server = target.server.id.as_str(),
                error:% = error;
                "the server's answer broke off"
            );
            let mut state = node.state.borrow_mut();
            if let Some(known) = state.servers.get_mut(target.server.key()) {
                known.health.on_error(clock::now());
            }
            drop(state);
            let check = check_crash(node.clone(), exchange.fingerprint, target.server.clone());
            node.executor.spawn(check).detach();
            Outcome::Broken
        }
    }
}

/// An answer that came to an end in order.
struct Reply {
    outcome: Outcome,
    reuse: Option<Reuse>,
}

fn lost(node: &Node, server: u64) {
    let now = clock::now();
    node.connections.borrow_mut().close(server);
    if let Some(known) = node.state.borrow_mut().servers.get_mut(server) {
        known.health.on_unreachable(now);
    }
}

/// Sends the request and reads the answer.
async fn converse(
    node: &Rc<Node>,
    exchange: &mut Exchange,
    stream: &mut Stream,
    mut head: h1::Request,
    answer: &mut Answer,
    posting: &Posting<'_>,
) -> Result<Reply, Error> {
    if !exchange.body.is_empty() || exchange.request.framing != Framing::Empty {
        head.framing = Framing::Length(exchange.body.len() as u64);
    }
    let mut bytes = head.encode();
    bytes.extend_from_slice(&exchange.body);
    let writer = stream.writer();
    // A server may answer before it has read the body. The rest of the body is still written beside
    // that, so that the server does not take something else for it; the answer does not wait.
    let writing = node
        .executor
        .spawn(async move { writer.write(&bytes).await });
    let response = stream.read_response(&head.method, HEAD_LIMIT).await?;
    let ours = exchange.ask.id.as_deref();
    if let Some(id) = node.dialect.answered_id(&response)
        && ours.is_some_and(|it| it != id)
    {
        return Err(Error::Malformed("answer to another request"));
    }
    let verdict = node.dialect.verdict(&response);
    let is_stream = verdict == Verdict::Ran && exchange.route.kind.is_stream();
    if is_stream && response.status == 200 {
        let mut reply = relay_events(node, exchange, stream, response, answer, posting).await?;
        reply.reuse = reply.reuse.filter(|_| writing.is_finished());
        return Ok(reply);
    }
    let mut decoder = Decoder::new(response.framing);
    let body = stream.read_whole(&mut decoder, ANSWER_LIMIT).await?;
    let reuse = Reuse::of(&response).filter(|_| writing.is_finished());
    let outcome = match verdict {
        Verdict::Ran if answer.state() != State::NotBegun => {
            return Err(Error::Malformed("the stream was not taken up again"));
        }
        Verdict::Ran => Outcome::Answered(response, body),
        Verdict::NotRun { at } => {
            not_run(node, at);
            Outcome::NotRun
        }
        Verdict::OtherServer => Outcome::OtherServer,
    };
    Ok(Reply { outcome, reuse })
}

/// Passes a stream on, event by event.
async fn relay_events(
    node: &Rc<Node>,
    exchange: &mut Exchange,
    stream: &mut Stream,
    response: Response,
    answer: &mut Answer,
    posting: &Posting<'_>,
) -> Result<Reply, Error> {
    let mut decoder = Decoder::new(response.framing);
    let reuse = Reuse::of(&response);
    let mut response = Some(response);
    let mut events = Events::after(exchange.last_event);
    let mut has_started = false;
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        let goes_on = stream.read_body(&mut decoder, &mut bytes).await?;
        let mut ready = events.push(&bytes);
        if !goes_on {
            ready.extend(events.finish());
        }
        if !ready.is_empty() && !has_started {
            has_started = true;
            posting.started();
        }
        if !ready.is_empty() {
            let now = clock::now();
            exchange.pace.note(now);
            posting.progressed(now, exchange.service.engine.as_ref());
        }
        let is_first = answer.state() == State::NotBegun;
        let sent = match response.take().filter(|_| is_first) {
            Some(response) if !ready.is_empty() || !goes_on => {
                let elapsed = clock::now().since(exchange.arrived);
                node.metrics.began(&exchange.route.name, elapsed);
                answer.begin(response, &ready).await
            }
            Some(unsent) => {
                response = Some(unsent);
                Ok(())
            }
            None if ready.is_empty() => Ok(()),
            None => answer.events(&ready).await,
        };
        posting.passed_on();
        exchange.last_event = events.last();
        let ended = match sent {
            Ok(()) if !goes_on => answer.end(b"").await,
            sent => sent,
        };
        if ended.is_err() {
            return Ok(Reply {
                outcome: Outcome::CallerLeft,
                reuse: None,
            });
        }
        if !goes_on {
            return Ok(Reply {
                outcome: Outcome::Delivered,
                reuse,
            });
        }
    }
}

/// Notes that a server which was to help could not.
fn not_run(node: &Node, at: Option<SocketAddr>) {
    let Some(address) = at else {
        return;
    };
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    let key = state
        .servers
        .all()
        .find(|it| it.server.address == address)
        .map(|it| it.key());
    if let Some(known) = key.and_then(|it| state.servers.get_mut(it)) {
        known.health.on_error(now);
        log::info!(target: "server", server = known.server.id.as_str(); "a helper could not help");
    }
}

/// Notes that another server listens at the address, and tells the other entries.
fn disown(node: &Node, server: &Server) {
    let now = clock::now();
    node.connections.borrow_mut().close(server.key());
    let mut state = node.state.borrow_mut();
    if state.servers.exclude(now, server.key()) {
        log::info!(target: "server", server = server.id.as_str(); "another server has its address");
        let server = server.incarnation();
        state.members.tell(Rumour::ServerLeaving { server });
    }
}

/// Notes what an answer says about the health of its server.
fn note_health(node: &Node, exchange: &Exchange, target: &Target, sent: Moment, outcome: &Outcome) {
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    let Some(known) = state.servers.get_mut(target.server.key()) else {
        return;
    };
    match outcome {
        Outcome::Answered(response, _) if response.status >= 500 => known.health.on_error(now),
        Outcome::NotRun => known.health.on_error(now),
        _ => known.health.on_success(),
    }
    if !exchange.route.kind.is_stream() {
        known.note_latency(now, now.since(sent));
    }
}

/// Finds out whether a server whose connection broke is gone, and if so, holds that against the
/// request that it ran.
async fn check_crash(node: Rc<Node>, fingerprint: u64, server: Rc<Server>) {
    for pause in CRASH_CHECKS {
        Timer::after(pause).await;
        let connect = Stream::connect(server.address, dial::SILENCE);
        if let Some(Ok(_)) = within(dial::CONNECT_TIME, connect).await {
            return;
        }
    }
    lost(&node, server.key());
    let now = clock::now();
    let mut state = node.state.borrow_mut();
    let life = server.incarnation();
    if state.quarantine.record_crash(now, fingerprint, &life) {
        let rumour = Rumour::Crash {
            fingerprint,
            server: life,
        };
        state.members.tell(rumour);
        let crashes = state.quarantine.crash_count(now, fingerprint);
        log::warn!(
            target: "quarantine",
            fingerprint,
            crashes,
            server = server.id.as_str();
            "a server went down with a request on it"
        );
    }
}
