//! One attempt to run a prompt on an engine, or on a gang of engines that lend it memory.

use std::rc::Rc;
use std::time::Duration;

use assembly::Chunk;
use domain::Moment;
use domain::fleet::BackendServer;
use membership::message::Rumour;
use routing::router::End;
use routing::router::Placement;
use serde_json::json;
use web::client;
use web::client::Answer;
use web::client::Call;
use web::stream::within;

use crate::chat::answer::Output;
use crate::chat::prompt::Prompt;
use crate::crash;
use crate::datagrams;
use crate::dispatch;
use crate::engines;
use crate::metrics::LengthLabels;
use crate::node::Node;
use crate::trace;

pub mod line;

use self::line::Line;

/// The idle timeout of a stream after its first token.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// The slack in the timeout of the first token, added to [`ESTIMATE_FACTOR`] times the estimated
/// wait and prefill.
const FIRST_TOKEN_SLACK: Duration = Duration::from_secs(2);
/// How many times longer than estimated the wait and the prefill may take.
const ESTIMATE_FACTOR: u32 = 3;
/// The timeout of a call that does no work on an engine, such as a reservation.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The response header by which a backend server signals that it is leaving.
pub const LEAVING_HEADER: &str = "Coriander-Leaving";

/// The context of one attempt.
pub struct Attempt<'a> {
    /// The ID of the request.
    pub id: trace::RequestId,
    /// The number of this attempt, starting at one.
    pub number: u32,
    /// The prompt to run.
    pub prompt: &'a Prompt,
    /// The engine or gang that it runs on.
    pub placement: &'a Placement,
    /// When the request arrived.
    pub arrived: Moment,
}

/// A failed attempt: it ended without a complete answer.
#[derive(Debug)]
pub struct Failed {
    /// The cause.
    pub error: Error,
    /// The backend server that caused the failure.
    pub server: String,
}

/// Why an attempt ended without a complete answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The backend server is no longer in the configuration.
    #[error("the backend server was removed from the configuration")]
    Removed,
    /// The backend server is unreachable.
    #[error("the backend server can't be reached")]
    Unreachable,
    /// The backend server is leaving and accepts no new work.
    #[error("the backend server is leaving")]
    Leaving,
    /// The backend server has too little free memory for the request.
    #[error("the backend server has no memory for this request")]
    NoMemory,
    /// The backend server rejected the request with this status.
    #[error("the backend server rejected this request with status {0}")]
    Refused(u16),
    /// The connection failed, or a line of the answer could not be parsed.
    #[error("the connection failed ({0})")]
    Broken(String),
    /// The idle timeout expired.
    #[error("no data arrived for {0:?}")]
    Stalled(Duration),
    /// The chunks do not form a complete answer.
    #[error(transparent)]
    Assembly(#[from] assembly::Error),
    /// The stream ended before its end line.
    #[error("the stream ended before the answer was complete")]
    Truncated,
}

impl Error {
    /// Returns whether it is certain that this attempt did not run the request.
    pub fn is_certainly_not_run(&self) -> bool {
        matches!(
            self,
            Self::Removed | Self::Unreachable | Self::Leaving | Self::NoMemory
        )
    }

    fn router_end(&self) -> End {
        match self {
            Self::Removed | Self::Leaving | Self::NoMemory => End::Neutral,
            Self::Unreachable => End::Unreachable,
            Self::Refused(_) | Self::Stalled(_) | Self::Assembly(_) => End::Failed,
            Self::Broken(_) | Self::Truncated => End::Failed,
        }
    }
}

/// Reports the end of an attempt to the router, also when the attempt is dropped before completion.
/// Then cancels it on the engines, unless a single engine completed it.
struct Guard<'a> {
    node: &'a Rc<Node>,
    attempt: &'a Attempt<'a>,
    servers: Vec<Rc<BackendServer>>,
    /// The backend server of the call in progress, which is blamed for a failure.
    current: String,
    end: End,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let placement = self.attempt.placement;
        let mut core = self.node.core.borrow_mut();
        core.router
            .record_end(clock::now(), placement, &self.current, self.end);
        drop(core);
        dispatch::place_waiting(self.node);
        let is_gang = self.servers.len() > 1;
        if self.end == End::Done && !is_gang {
            return;
        }
        for server in &self.servers {
            let cancel = engines::cancel(
                self.node.clone(),
                server.address,
                self.attempt.id,
                self.attempt.number,
            );
            self.node.executor.spawn(cancel).detach();
        }
    }
}

impl Attempt<'_> {
    /// Runs the attempt. Each piece of the answer is sent to `output` once and in order.
    pub async fn run(
        &self,
        node: &Rc<Node>,
        stream: &mut assembly::Stream,
        output: &Output<'_>,
    ) -> Result<(), Failed> {
        let current = self.placement.engine.clone();
        let mut guard = Guard {
            node,
            attempt: self,
            servers: Vec::new(),
            current,
            end: End::Neutral,
        };
        let result = self.run_guarded(node, &mut guard, stream, output).await;
        guard.end = result.as_ref().err().map_or(End::Done, Error::router_end);
        if let Err(Error::Broken(_) | Error::Truncated) = result {
            crash::detect(node, &self.prompt.fingerprint, &guard.servers).await;
        }
        result.map_err(|error| Failed {
            error,
            server: guard.current.clone(),
        })
    }

    async fn run_guarded(
        &self,
        node: &Rc<Node>,
        guard: &mut Guard<'_>,
        stream: &mut assembly::Stream,
        output: &Output<'_>,
    ) -> Result<(), Error> {
        let leader = find_server(node, &self.placement.engine)?;
        let address = leader.address;
        guard.servers.push(leader);
        for name in &self.placement.gang {
            let member = find_server(node, name)?;
            guard.servers.push(member.clone());
            guard.current.clone_from(name);
            self.reserve(node, &member).await?;
        }
        guard.current.clone_from(&self.placement.engine);
        let offset = stream.resume(self.number);
        let call = Call::json(
            address,
            "/generate",
            &json!({
                "request": self.id.number,
                "attempt": self.number,
                "owner": self.id.owner,
                "prompt": self.prompt.text,
                "offset": offset,
                "answer_tokens": self.prompt.answer_tokens,
                "priority": self.placement.level.priority(),
                "time_left_ms": self.time_left().as_millis() as u64,
                "lent_tokens": self.placement.memory_tokens * self.placement.gang.len() as u64,
                "lenders": self.placement.gang.len(),
            }),
        );
        let answer = node.client.send_unpooled(&call, self.time_left()).await;
        let answer = answer.map_err(connection_error)?;
        record_notice(node, &self.placement.engine, &answer);
        check_status(&answer)?;
        self.read(node, answer, stream, output).await
    }

    async fn reserve(&self, node: &Node, member: &BackendServer) -> Result<(), Error> {
        let call = Call::json(
            member.address,
            "/reserve",
            &json!({
                "request": self.id.number,
                "attempt": self.number,
                "owner": self.id.owner,
                "tokens": self.placement.memory_tokens,
                "time_left_ms": self.time_left().as_millis() as u64,
            }),
        );
        match node.client.send_unpooled(&call, CALL_TIMEOUT).await {
            Ok(answer) => {
                record_notice(node, &member.name, &answer);
                check_status(&answer)
            }
            // A reservation runs no work, so a lost answer only holds memory until the guard
            // cancels the reservation.
            Err(_) => Err(Error::Unreachable),
        }
    }

    async fn read(
        &self,
        node: &Node,
        mut answer: Answer,
        stream: &mut assembly::Stream,
        output: &Output<'_>,
    ) -> Result<(), Error> {
        let cost = node.core.borrow().router.cost(self.prompt.tokens);
        let estimate = (self.placement.wait + cost) * ESTIMATE_FACTOR;
        let mut idle_timeout = estimate + FIRST_TOKEN_SLACK;
        let mut is_first = true;
        loop {
            let line = within(idle_timeout, answer.line())
                .await
                .ok_or(Error::Stalled(idle_timeout))?;
            let line = line.map_err(|error| Error::Broken(error.to_string()))?;
            let Some(line) = line else {
                return Err(Error::Truncated);
            };
            let line = serde_json::from_str::<Line>(&line);
            match line.map_err(|error| Error::Broken(error.to_string()))? {
                Line::Chunk {
                    attempt,
                    index,
                    text,
                    prefill_us,
                } => {
                    if std::mem::take(&mut is_first) {
                        idle_timeout = IDLE_TIMEOUT;
                        self.record_first_token(node, prefill_us, stream.sent() == 0);
                    }
                    let pieces = stream.push(Chunk {
                        attempt,
                        index,
                        text,
                    })?;
                    if !pieces.is_empty() {
                        output.send(pieces.concat()).await;
                    }
                }
                Line::End { attempt, count } => stream.end(assembly::End { attempt, count })?,
            }
            if stream.is_complete() {
                return Ok(());
            }
        }
    }

    fn record_first_token(&self, node: &Node, prefill_us: Option<u64>, is_first_of_request: bool) {
        let prefill_time = prefill_us.filter(|_| self.placement.gang.is_empty());
        let prefill_time = prefill_time.map(Duration::from_micros);
        let placement = self.placement;
        let mut core = node.core.borrow_mut();
        core.router
            .record_prefill(&placement.engine, &placement.job, prefill_time);
        drop(core);
        dispatch::place_waiting(node);
        let prefill = prefill_us.unwrap_or(0);
        node.record_step(
            self.id.number,
            format!("first token, {prefill} us of prefill"),
        );
        if is_first_of_request {
            let length = placement.job.length().name().to_owned();
            let elapsed = clock::now().since(self.arrived).as_secs_f64();
            node.metrics
                .first_token
                .get_or_create(&LengthLabels { length })
                .observe(elapsed);
        }
    }

    fn time_left(&self) -> Duration {
        self.placement.job.time_left(clock::now())
    }
}

/// Records what a backend server's answer says about further work.
pub fn record_notice(node: &Node, server: &str, answer: &Answer) {
    if answer.header(LEAVING_HEADER).is_some() {
        announce_leaving(node, server);
    }
    if let Some(pause) = answer.pause() {
        log::info!(target: "engines", "{server} asked for a pause of {pause:?}.");
        node.core
            .borrow_mut()
            .record_pause(clock::now(), server, pause);
    }
}

/// Marks a backend server as leaving and broadcasts that to all entries.
fn announce_leaving(node: &Node, server: &str) {
    if node.core.borrow_mut().mark_leaving(server) {
        datagrams::broadcast(
            node,
            Rumour::ServerLeaving {
                server: server.to_owned(),
            },
        );
    }
}

fn find_server(node: &Node, name: &str) -> Result<Rc<BackendServer>, Error> {
    node.core
        .borrow()
        .view
        .backend_servers
        .get(name)
        .cloned()
        .ok_or(Error::Removed)
}

fn connection_error(error: client::Error) -> Error {
    if error.is_unreachable() {
        Error::Unreachable
    } else {
        Error::Broken(error.to_string())
    }
}

fn check_status(answer: &Answer) -> Result<(), Error> {
    match answer.status() {
        200 => Ok(()),
        409 => Err(Error::NoMemory),
        503 if answer.header(LEAVING_HEADER).is_some() => Err(Error::Leaving),
        status => Err(Error::Refused(status)),
    }
}
