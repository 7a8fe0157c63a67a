//! `POST /v1/chat/completions`: from an admitted prompt to a whole answer or an honest failure.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use domain::Failure;
use domain::Length;
use domain::Moment;
use domain::digest;
use domain::failure::Kind;
use domain::failure::Ran;
use domain::length;
use futures_lite::future;
use routing::Job;
use routing::job::Tenant;
use routing::router::Refusal;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use web::Exchange;
use web::Reply;
use web::body;

use crate::attempt;
use crate::attempt::Attempt;
use crate::clock;
use crate::dispatch::Notice;
use crate::dispatch::Waiting;
use crate::held::Denied;
use crate::held::Held;
use crate::limits;
use crate::metrics;
use crate::node::Node;
use crate::request::Head;
use crate::trail;
use crate::trail::Outcome;

/// Tokens of an answer when the caller does not say.
const DEFAULT_ANSWER_TOKENS: u64 = 256;
/// The longest answer, in tokens.
const ANSWER_TOKENS_LIMIT: u64 = 16_384;
/// The start of a prompt by which equal starts are recognised, in bytes.
const PREFIX_BYTES: usize = 4_096;
/// Engines that may fail one request.
const FAILURE_LIMIT: u32 = 4;
/// The first pause before engines are asked for memory again.
const MEMORY_PAUSE: Duration = Duration::from_millis(20);
/// The pause grows up to so many times its first length.
const MEMORY_PAUSE_FACTOR_LIMIT: u32 = 10;
/// Pieces of an answer that may wait for a slow caller.
const EVENT_LIMIT: usize = 1_024;
/// The wait that a caller is told when no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The body of a request, in the usual shape of this API.
#[derive(Clone, Debug, Deserialize)]
pub struct Body {
    /// The model's name.
    pub model: String,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// The longest answer, in tokens.
    #[serde(default, alias = "max_completion_tokens")]
    pub max_tokens: Option<u64>,
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize)]
pub struct Message {
    /// Who says it.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// A prompt that was read and understood.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// The model's name.
    pub model: String,
    /// All messages as one text.
    pub text: String,
    /// Its length in tokens.
    pub tokens: u64,
    /// The longest answer, in tokens.
    pub answer_tokens: u64,
    /// Recognises the same prompt again.
    pub fingerprint: u64,
}

/// What is kept of the answer to a request with a key.
#[derive(Debug, Deserialize, Serialize)]
struct Record {
    text: String,
    tokens: u64,
}

/// Where the answer goes: to the caller and, for a request with a key, into its record.
pub struct Output<'a> {
    events: &'a Sender<Event>,
    text: Option<RefCell<String>>,
}

impl<'a> Output<'a> {
    fn new(events: &'a Sender<Event>, is_recorded: bool) -> Self {
        Self {
            events,
            text: is_recorded.then(RefCell::default),
        }
    }

    /// Sends the next piece of the answer.
    pub async fn send(&self, text: String) {
        if let Some(record) = &self.text {
            record.borrow_mut().push_str(&text);
        }
        // A failed send means that the caller has left, which ends the request.
        let _ = self.events.send(Event::Text(text)).await;
    }

    fn record(&self, tokens: u64) -> claim::Answer {
        let text = self.text.as_ref().map(RefCell::take).unwrap_or_default();
        let body = serde_json::to_vec(&Record { text, tokens }).unwrap_or_default();
        claim::Answer::new(200, "application/json", &body)
    }
}

/// What happens to a request on its way.
#[derive(Clone, Debug)]
pub enum Event {
    /// The next piece of the answer.
    Text(String),
    /// The answer is whole.
    Done {
        /// Its length in tokens.
        tokens: u64,
    },
    /// The request failed; nothing follows.
    Failed(Failure),
}

/// Handles one request.
pub async fn handle(node: Rc<Node>, mut exchange: Exchange) -> Reply {
    let id = node.next_request();
    let reply = match receive(&node, &mut exchange, id).await {
        Ok(reply) => reply,
        Err(failure) => {
            node.core
                .borrow_mut()
                .trails
                .end(id.number, Outcome::Failed(failure.clone()));
            let is_unread = failure.kind == Kind::TooLong || failure.kind == Kind::SlowCaller;
            let reply = Reply::failure(&failure);
            if is_unread { reply.closing() } else { reply }
        }
    };
    reply.with_header("Request-Id", &id.to_string())
}

async fn receive(
    node: &Rc<Node>,
    exchange: &mut Exchange,
    id: trail::Id,
) -> Result<Reply, Failure> {
    let now = clock::now();
    let head = Head::read(node, exchange, now)?;
    node.core
        .borrow_mut()
        .trails
        .start(id.number, &head.contract.customer);
    let body: Body = exchange.json(head.body_limit()).await?;
    let is_streamed = body.stream;
    let prompt = Prompt::read(body, &head)?;
    let (sender, receiver) = async_channel::bounded(EVENT_LIMIT);
    let model = prompt.model.clone();
    let prompt_tokens = prompt.tokens;
    let work = work(node.clone(), id, head, prompt, now, sender);
    node.executor.spawn(work).detach();
    let answer = Answer {
        id,
        model,
        prompt_tokens,
    };
    if is_streamed {
        answer.stream(node, receiver).await
    } else {
        answer.whole(receiver).await
    }
}

impl Prompt {
    fn read(body: Body, head: &Head) -> Result<Self, Failure> {
        if body.messages.is_empty() {
            let message = "`messages` is empty: send at least one message";
            return Err(Failure::refused(Kind::Malformed, message));
        }
        let answer_tokens = body.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
        if answer_tokens == 0 || answer_tokens > ANSWER_TOKENS_LIMIT {
            let message = format!("`max_tokens` must lie between 1 and {ANSWER_TOKENS_LIMIT}");
            return Err(Failure::refused(Kind::Malformed, message));
        }
        let mut messages = body.messages.into_iter().map(|it| it.content);
        let mut text = messages.next().unwrap_or_default();
        for content in messages {
            text.push('\n');
            text.push_str(&content);
        }
        let tokens = length::tokens(text.len());
        let limit = head.contract.longest_prompt_tokens;
        if tokens > limit {
            let message = format!(
                "the prompt has {tokens} tokens and the contract allows {limit}: shorten it"
            );
            return Err(Failure::refused(Kind::TooLong, message));
        }
        let fingerprint = digest::seeded(text.as_bytes(), digest::fast(body.model.as_bytes()));
        Ok(Self {
            model: body.model,
            text,
            tokens,
            answer_tokens,
            fingerprint,
        })
    }

    fn job(&self, node: &Node, id: trail::Id, head: &Head, now: Moment) -> Job {
        let start = &self.text.as_bytes()[..self.text.len().min(PREFIX_BYTES)];
        let core = node.core.borrow();
        let firm_share = core
            .view
            .firms
            .get(&head.contract.firm)
            .map_or(1, |it| it.share);
        Job {
            id: id.number,
            tenant: Tenant {
                firm: head.contract.firm.clone(),
                firm_share,
                customer: head.contract.customer.clone(),
                customer_share: head.contract.share,
            },
            model: self.model.clone(),
            prompt_tokens: self.tokens,
            answer_tokens: self.answer_tokens,
            admitted: now,
            deadline: head.deadline,
            prefix: digest::fast(start),
            avoid: Vec::new(),
        }
    }
}

/// Works on one request until its end, and tells the end to the caller, the trail and the metrics.
async fn work(
    node: Rc<Node>,
    id: trail::Id,
    head: Head,
    prompt: Prompt,
    arrived: Moment,
    events: Sender<Event>,
) {
    node.metrics.running.inc();
    let left = async {
        events.closed().await;
        Outcome::Left
    };
    let serve = async {
        match serve(&node, id, &head, &prompt, arrived, &events).await {
            Ok(tokens) => {
                let _ = events.send(Event::Done { tokens }).await;
                Outcome::Done { tokens }
            }
            Err(failure) => {
                let _ = events.send(Event::Failed(failure.clone())).await;
                Outcome::Failed(failure)
            }
        }
    };
    let outcome = future::or(serve, left).await;
    node.metrics.running.dec();
    let name = match &outcome {
        Outcome::Done { .. } => "done",
        Outcome::Left => "left",
        Outcome::Failed(failure) => failure.kind.name(),
    };
    let length = Length::of(prompt.tokens).name().to_owned();
    let labels = metrics::Ending {
        length,
        outcome: name.to_owned(),
    };
    node.metrics.requests.get_or_create(&labels).inc();
    node.core.borrow_mut().trails.end(id.number, outcome);
}

async fn serve(
    node: &Rc<Node>,
    id: trail::Id,
    head: &Head,
    prompt: &Prompt,
    arrived: Moment,
    events: &Sender<Event>,
) -> Result<u64, Failure> {
    let mut held = match Held::claim(node, head).await {
        Ok(held) => held,
        Err(Denied::Refused(failure)) => return Err(failure),
        Err(Denied::Repeat(answer)) => return repeat(answer, events).await,
    };
    if held.is_some() {
        node.step(id.number, "claimed its key");
    }
    let output = Output::new(events, held.is_some());
    let result = run(node, id, head, prompt, arrived, &output, &mut held).await;
    if let Some(held) = held {
        match &result {
            Ok(tokens) => held.done(output.record(*tokens)),
            Err(failure) => held.failed(failure),
        }
    }
    result
}

/// Sends the recorded answer of an earlier request with the same key.
async fn repeat(answer: claim::Answer, events: &Sender<Event>) -> Result<u64, Failure> {
    let body = answer.body.unwrap_or_default();
    let Ok(record) = serde_json::from_str::<Record>(&body) else {
        let message = "a request with this key was done, and was no prompt: use another key";
        return Err(Failure::uncertain(Kind::KeyUsed, message).with_ran(Ran::Yes));
    };
    let _ = events.send(Event::Text(record.text)).await;
    Ok(record.tokens)
}

async fn run(
    node: &Rc<Node>,
    id: trail::Id,
    head: &Head,
    prompt: &Prompt,
    arrived: Moment,
    output: &Output<'_>,
    held: &mut Option<Held>,
) -> Result<u64, Failure> {
    let _admission = limits::admit(node, &head.contract, prompt.tokens).await?;
    quarantined(node, prompt, Ran::No)?;
    node.core.borrow_mut().budget.earn();
    let mut job = prompt.job(node, id, head, arrived);
    let mut stream = assembly::Stream::default();
    let mut waiting = Waiting::admit(node, job.clone()).map_err(refused)?;
    let mut ran = Ran::No;
    let mut failures = 0;
    for number in 1.. {
        let placement = match waiting.decision().await {
            Notice::Placed(placement) => *placement,
            Notice::Expired => return Err(timed_out(ran)),
        };
        node.step(
            id.number,
            format!(
                "attempt {number}: placed on {} {:?}, estimated wait {:?}",
                placement.engine, placement.gang, placement.wait
            ),
        );
        if let Some(held) = held {
            held.sent();
        }
        let attempt = Attempt {
            id,
            number,
            prompt,
            placement: &placement,
            arrived,
        };
        let deadline = async {
            clock::wait_until(head.deadline).await;
            Err(attempt::Error::TimedOut)
        };
        let run = attempt.run(node, &mut stream, output);
        let error = match future::or(run, deadline).await {
            Ok(()) => return Ok(stream.sent()),
            Err(error) => error,
        };
        node.step(
            id.number,
            format!("attempt {number} on {}: {error}", placement.engine),
        );
        if !error.is_certainly_not_run() {
            ran = Ran::Maybe;
        }
        if matches!(error, attempt::Error::TimedOut) {
            return Err(timed_out(ran));
        }
        quarantined(node, prompt, ran)?;
        if ran == Ran::Maybe && held.is_some() {
            let message = format!(
                "the backend server failed while it ran this ({error}): check the outcome before \
                 you send it again with a new key"
            );
            return Err(Failure::uncertain(Kind::BackendFailed, message));
        }
        if let Some(held) = held {
            held.not_taken();
        }
        if matches!(error, attempt::Error::NoMemory) {
            // Estimates of free memory lag, so the same engine may have room soon.
            Timer::after(memory_pause(number)).await;
        } else {
            failures += 1;
            job.avoid.push(placement.engine);
        }
        let is_affordable = error.is_certainly_not_run() || node.core.borrow_mut().budget.spend();
        if failures == FAILURE_LIMIT || !is_affordable {
            let message = format!("{failures} backend servers failed this: come back later");
            let failure = Failure::refused(Kind::BackendFailed, message).with_ran(ran);
            return Err(failure.retry_after(DEFAULT_RETRY_AFTER));
        }
        node.metrics.retries.inc();
        waiting = waiting.requeue(job.clone());
    }
    Err(internal())
}

/// Returns the pause before engines are asked for memory again: longer each time, and random so
/// that two gangs do not meet again.
fn memory_pause(number: u32) -> Duration {
    let longest = MEMORY_PAUSE * number.min(MEMORY_PAUSE_FACTOR_LIMIT);
    longest.mul_f64(0.5 + 0.5 * rand::random::<f64>())
}

fn quarantined(node: &Node, prompt: &Prompt, ran: Ran) -> Result<(), Failure> {
    if !node
        .core
        .borrow()
        .quarantine
        .is_refused(clock::now(), prompt.fingerprint)
    {
        return Ok(());
    }
    let message = "backend servers went down each time they ran this prompt: change the prompt";
    Err(Failure::refused(Kind::Quarantined, message).with_ran(ran))
}

fn timed_out(ran: Ran) -> Failure {
    let message = "the time limit passed: raise Request-Timeout or come back when load is lower";
    let failure = Failure::refused(Kind::TimedOut, message).with_ran(ran);
    failure.retry_after(DEFAULT_RETRY_AFTER)
}

fn refused(refusal: Refusal) -> Failure {
    let message = refusal.to_string();
    match refusal {
        Refusal::NoEngine(_) => {
            Failure::refused(Kind::NotFound, message).retry_after(DEFAULT_RETRY_AFTER)
        }
        Refusal::TooLong { .. } => Failure::refused(Kind::TooLongForFleet, message),
        Refusal::Down(wait) | Refusal::Full(wait) | Refusal::TooLate(wait) => {
            Failure::refused(Kind::Overloaded, message).retry_after(wait)
        }
    }
}

/// Shapes the answer for the caller.
struct Answer {
    id: trail::Id,
    model: String,
    prompt_tokens: u64,
}

impl Answer {
    async fn whole(&self, events: Receiver<Event>) -> Result<Reply, Failure> {
        let mut text = String::new();
        loop {
            match events.recv().await {
                Ok(Event::Text(piece)) => text.push_str(&piece),
                Ok(Event::Done { tokens }) => {
                    return Ok(Reply::json(&json!({
                        "id": self.id.to_string(),
                        "object": "chat.completion",
                        "model": self.model,
                        "choices": [{
                            "index": 0,
                            "message": { "role": "assistant", "content": text },
                            "finish_reason": "stop",
                        }],
                        "usage": self.usage(tokens),
                    })));
                }
                Ok(Event::Failed(failure)) => return Err(failure),
                Err(_) => return Err(internal()),
            }
        }
    }

    /// Answers with a status of its own until the first piece has come, then with a stream.
    async fn stream(self, node: &Node, events: Receiver<Event>) -> Result<Reply, Failure> {
        let first = match events.recv().await {
            Ok(Event::Failed(failure)) => return Err(failure),
            Ok(event) => event,
            Err(_) => return Err(internal()),
        };
        let (writer, body) = body::channel();
        let copy = async move {
            let mut event = Some(first);
            while let Some(present) = event {
                let line = self.line(&present);
                if writer.send(line.into_bytes()).await.is_err() {
                    return;
                }
                event = match present {
                    Event::Text(_) => events.recv().await.ok(),
                    Event::Done { .. } | Event::Failed(_) => None,
                };
            }
        };
        node.executor.spawn(copy).detach();
        Ok(Reply::stream("text/event-stream", body))
    }

    fn line(&self, event: &Event) -> String {
        match event {
            Event::Text(text) => {
                let delta = json!({ "content": text });
                format!("data: {}\n\n", self.chunk(delta, None))
            }
            Event::Done { tokens } => {
                let last = self.chunk(json!({}), Some(*tokens));
                format!("data: {last}\n\ndata: [DONE]\n\n")
            }
            Event::Failed(failure) => format!("data: {}\n\n", json!({ "error": failure })),
        }
    }

    fn chunk(&self, delta: serde_json::Value, tokens: Option<u64>) -> serde_json::Value {
        let mut chunk = json!({
            "id": self.id.to_string(),
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": tokens.map(|_| "stop") }],
        });
        if let Some(tokens) = tokens {
            chunk["usage"] = self.usage(tokens);
        }
        chunk
    }

    fn usage(&self, tokens: u64) -> serde_json::Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self.prompt_tokens + tokens,
        })
    }
}

fn internal() -> Failure {
    let message = "the request ended without an answer: report this with its Request-Id";
    Failure::uncertain(Kind::Internal, message)
}
