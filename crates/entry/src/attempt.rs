//! One attempt of a prompt on an engine, or on a gang of engines.

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

/// The silence after which a running stream counts as broken.
const STALL_LIMIT: Duration = Duration::from_secs(3);
/// The silence before the first token beyond the estimated wait and prefill, which count thrice.
const FIRST_TOKEN_SLACK: Duration = Duration::from_secs(2);
/// How often a wait or a prefill may be longer than estimated.
const ESTIMATE_FACTOR: u32 = 3;
/// The time for a call that does no work on an engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The header by which a backend server says that it is leaving.
pub const LEAVING_HEADER: &str = "Coriander-Leaving";

/// What an attempt needs to know.
pub struct Attempt<'a> {
    /// The request.
    pub id: trace::RequestId,
    /// The number of this attempt, from one.
    pub number: u32,
    /// The prompt.
    pub prompt: &'a Prompt,
    /// Where it runs.
    pub placement: &'a Placement,
    /// When the request arrived.
    pub arrived: Moment,
}

/// An attempt that ended without a whole answer.
#[derive(Debug)]
pub struct Failed {
    /// Why.
    pub error: Error,
    /// The backend server to blame.
    pub server: String,
}

/// Why an attempt ended without a whole answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration no longer has the backend server.
    #[error("the backend server was removed")]
    Removed,
    /// The backend server can't be reached.
    #[error("the backend server can't be reached")]
    Unreachable,
    /// The backend server takes no new work.
    #[error("the backend server is leaving")]
    Leaving,
    /// The backend server has no memory for it.
    #[error("the backend server has no memory for this")]
    NoMemory,
    /// The backend server refused it.
    #[error("the backend server refused this with status {0}")]
    Refused(u16),
    /// The connection broke.
    #[error("the connection broke ({0})")]
    Broken(String),
    /// Nothing came for too long.
    #[error("nothing came for {0:?}")]
    Stalled(Duration),
    /// The chunks do not make a whole answer.
    #[error(transparent)]
    Assembly(#[from] assembly::Error),
    /// The stream ended before the announced end.
    #[error("the stream ended before the answer was whole")]
    Truncated,
}

impl Error {
    /// Tells whether the work certainly did not run in this attempt.
    pub fn is_certainly_not_run(&self) -> bool {
        matches!(
            self,
            Self::Removed | Self::Unreachable | Self::Leaving | Self::NoMemory
        )
    }

    fn end(&self) -> End {
        match self {
            Self::Removed | Self::Leaving | Self::NoMemory => End::Neutral,
            Self::Unreachable => End::Unreachable,
            Self::Refused(_) | Self::Stalled(_) | Self::Assembly(_) => End::Failed,
            Self::Broken(_) | Self::Truncated => End::Failed,
        }
    }
}

/// Tells the router and the engines that an attempt is over, also when it is dropped halfway.
struct Guard<'a> {
    node: &'a Rc<Node>,
    attempt: &'a Attempt<'a>,
    servers: Vec<Rc<BackendServer>>,
    /// The backend server that is being dealt with.
    present: String,
    end: End,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        let placement = self.attempt.placement;
        let mut core = self.node.core.borrow_mut();
        core.router
            .record_end(clock::now(), placement, &self.present, self.end);
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
    /// Runs the attempt. Pieces of the answer go to `output` in order, each once.
    pub async fn run(
        &self,
        node: &Rc<Node>,
        stream: &mut assembly::Stream,
        output: &Output<'_>,
    ) -> Result<(), Failed> {
        let present = self.placement.engine.clone();
        let mut guard = Guard {
            node,
            attempt: self,
            servers: Vec::new(),
            present,
            end: End::Neutral,
        };
        let result = self.run_guarded(node, &mut guard, stream, output).await;
        guard.end = result.as_ref().err().map_or(End::Done, Error::end);
        match result {
            Err(Error::Leaving) => announce_leaving(node, &guard.present),
            Err(Error::Broken(_) | Error::Truncated) => {
                crash::detect(node, self.prompt.fingerprint, &guard.servers).await;
            }
            _ => {}
        }
        result.map_err(|error| Failed {
            error,
            server: guard.present.clone(),
        })
    }

    async fn run_guarded(
        &self,
        node: &Rc<Node>,
        guard: &mut Guard<'_>,
        stream: &mut assembly::Stream,
        output: &Output<'_>,
    ) -> Result<(), Error> {
        let leader = server(node, &self.placement.engine)?;
        let address = leader.address;
        guard.servers.push(leader);
        for name in &self.placement.gang {
            let member = server(node, name)?;
            guard.servers.push(member.clone());
            guard.present.clone_from(name);
            self.reserve(node, &member).await?;
        }
        guard.present.clone_from(&self.placement.engine);
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
        let answer = node.client.send_fresh(&call, self.time_left()).await;
        let answer = answer.map_err(unreached)?;
        refusal(&answer)?;
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
        match node.client.send_fresh(&call, CALL_TIMEOUT).await {
            Ok(answer) => refusal(&answer),
            // Nothing runs through a reservation, so a lost answer only costs memory until the
            // guard cancels it.
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
        let mut silence = estimate + FIRST_TOKEN_SLACK;
        let mut is_first = true;
        loop {
            let line = within(silence, answer.line())
                .await
                .ok_or(Error::Stalled(silence))?;
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
                        silence = STALL_LIMIT;
                        self.first_token(node, prefill_us, stream.sent() == 0);
                    }
                    let ready = stream.push(Chunk {
                        attempt,
                        index,
                        text,
                    })?;
                    if !ready.is_empty() {
                        output.send(ready.concat()).await;
                    }
                }
                Line::End { attempt, count } => stream.end(assembly::End { attempt, count })?,
            }
            if stream.is_whole() {
                return Ok(());
            }
        }
    }

    fn first_token(&self, node: &Node, prefill_us: Option<u64>, is_first_of_request: bool) {
        let took = prefill_us.filter(|_| self.placement.gang.is_empty());
        let took = took.map(Duration::from_micros);
        let placement = self.placement;
        let mut core = node.core.borrow_mut();
        core.router
            .record_prefill(&placement.engine, &placement.job, took);
        drop(core);
        dispatch::place_waiting(node);
        let prefill = prefill_us.unwrap_or(0);
        node.record_step(
            self.id.number,
            format!("first token, {prefill} us of prefill"),
        );
        if is_first_of_request {
            let length = placement.job.length().name().to_owned();
            let waited = clock::now().since(self.arrived).as_secs_f64();
            node.metrics
                .first_token
                .get_or_create(&LengthLabels { length })
                .observe(waited);
        }
    }

    fn time_left(&self) -> Duration {
        self.placement.job.time_left(clock::now())
    }
}

/// Marks a backend server that refused work because it is leaving, and tells all entries.
pub fn announce_leaving(node: &Node, server: &str) {
    if node.core.borrow_mut().mark_leaving(server) {
        datagrams::broadcast(
            node,
            Rumour::ServerLeaving {
                server: server.to_owned(),
            },
        );
    }
}

fn server(node: &Node, name: &str) -> Result<Rc<BackendServer>, Error> {
    node.core
        .borrow()
        .view
        .backend_servers
        .get(name)
        .cloned()
        .ok_or(Error::Removed)
}

fn unreached(error: client::Error) -> Error {
    if error.is_unreachable() {
        Error::Unreachable
    } else {
        Error::Broken(error.to_string())
    }
}

fn refusal(answer: &Answer) -> Result<(), Error> {
    match answer.status() {
        200 => Ok(()),
        409 => Err(Error::NoMemory),
        503 if answer.header(LEAVING_HEADER).is_some() => Err(Error::Leaving),
        status => Err(Error::Refused(status)),
    }
}
