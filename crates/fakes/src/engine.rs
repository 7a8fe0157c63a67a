//! A fake model engine with continuous batching, bounded KV memory, a prefix cache, delayed load
//! reports and fault injection.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use async_executor::LocalExecutor;
use async_io::Timer;
use domain::Moment;
use domain::digest;
use domain::key::Incarnation;
use domain::length;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use web::Exchange;
use web::Method;
use web::Reply;

pub mod batch;
pub mod cache;
pub mod memory;
pub mod order;

use self::batch::Batch;
use self::batch::Stream;
use self::memory::Hold;
use self::memory::Memory;
use self::order::Order;
use self::order::Orders;

/// The maximum size of a body, in bytes. It allows a prompt of more than a million tokens.
const BODY_LIMIT: u64 = 16 * 1024 * 1024;
/// The interval between two steps of the batch.
const STEP: Duration = Duration::from_millis(1);

/// Options of a model engine.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// The KV memory, in tokens.
    #[arg(long, default_value_t = 400_000)]
    pub memory_tokens: u64,
    /// The speed of the engine, relative to one accelerator.
    #[arg(long, default_value_t = 1.0)]
    pub speed: f64,
    /// The interval between two tokens of a stream, in microseconds.
    #[arg(long, default_value_t = 20_000)]
    pub token_us: u64,
    /// The delay of load reports, in milliseconds.
    #[arg(long, default_value_t = 100)]
    pub report_lag_ms: u64,
    /// Reject orders with an outdated fencing number.
    #[arg(long)]
    pub checks_fencing: bool,
}

/// The faults to inject.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Ends the process at once.
    pub crash: bool,
    /// How long the engine does nothing, in milliseconds.
    pub freeze_ms: u64,
    /// The factor by which the engine is slowed down; values up to one have no effect.
    pub slow: f64,
    /// Refuses new requests, as before a graceful shutdown.
    pub leaving: bool,
    /// Ends the process when a prompt contains this text.
    pub crash_on: String,
    /// Sends chunks out of order and some of them twice.
    pub shuffle: bool,
    /// Drops one in this many chunks of each first attempt.
    pub drop_every: u64,
}

/// A request to generate an answer.
#[derive(Clone, Debug, Deserialize)]
pub struct Generation {
    /// The request's number, unique for the owner.
    pub request: u64,
    /// The number of the attempt.
    pub attempt: u32,
    /// The entry that sends the request.
    pub owner: Incarnation,
    /// The prompt.
    pub prompt: String,
    /// The index of the first token to send.
    #[serde(default)]
    pub offset: u64,
    /// The number of tokens in the complete answer.
    pub answer_tokens: u64,
    /// The priority; a higher one goes first.
    #[serde(default)]
    pub priority: u8,
    /// The time until the deadline, in milliseconds.
    pub time_left_ms: u64,
    /// The KV memory that other engines lend, in tokens.
    #[serde(default)]
    pub lent_tokens: u64,
    /// The number of engines that lend memory and prefill time.
    #[serde(default)]
    pub lenders: u32,
}

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct AttemptId {
    /// The request's number.
    pub request: u64,
    /// The number of the attempt.
    pub attempt: u32,
    /// The entry that sent the request.
    pub owner: Incarnation,
}

/// A request to reserve memory.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Reservation {
    /// The request's number.
    pub request: u64,
    /// The number of the attempt.
    pub attempt: u32,
    /// The entry that sends the request.
    pub owner: Incarnation,
    /// The amount of memory, in tokens.
    pub tokens: u64,
    /// The time until the deadline of the reservation, in milliseconds.
    pub time_left_ms: u64,
}

/// A load report of an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// A random number that identifies one run of the engine.
    pub incarnation: u64,
    /// The age of this report, in milliseconds.
    pub age_ms: u64,
    /// The pending prefill by priority, the highest first, in microseconds of engine time.
    pub backlog_us: Vec<u64>,
    /// The number of streams in progress.
    pub running: u32,
    /// The KV memory in use, in tokens.
    pub memory_used: u64,
    /// The total KV memory, in tokens.
    pub memory_tokens: u64,
    /// Whether the engine refuses new requests.
    pub is_leaving: bool,
}

struct State {
    options: Options,
    incarnation: u64,
    batch: Batch,
    memory: Memory,
    orders: Orders,
    faults: Faults,
    frozen_until: Moment,
    reports: Vec<(Moment, Report)>,
}

type Shared = Rc<RefCell<State>>;

/// Runs a fake engine until the process ends.
pub fn run(listen: SocketAddr, options: Options) -> Result<()> {
    let executor = Rc::new(LocalExecutor::new());

    let state = Rc::new(RefCell::new(State {
        batch: Batch::new(options.speed, Duration::from_micros(options.token_us)),
        memory: Memory::new(options.memory_tokens),
        orders: Orders::new(options.checks_fencing),
        faults: Faults::default(),
        frozen_until: Moment::default(),
        reports: Vec::new(),
        incarnation: rand::random(),
        options,
    }));
    executor.spawn(run_batch(state.clone())).detach();
    let handler = move |exchange| handle(state.clone(), exchange);
    crate::serve(executor, listen, handler)
}

async fn run_batch(state: Shared) {
    loop {
        Timer::after(STEP).await;
        let now = clock::now();
        let mut state = state.borrow_mut();
        let state = &mut *state;
        if now < state.frozen_until {
            state.batch.skip(now);
            continue;
        }
        for finished in state.batch.step(now, &state.faults) {
            state.memory.release(finished);
        }
        state.record_report(now);
    }
}

impl State {
    fn record_report(&mut self, now: Moment) {
        let report = Report {
            incarnation: self.incarnation,
            age_ms: 0,
            backlog_us: self.batch.backlog(),
            running: self.batch.len() as u32,
            memory_used: self.memory.used(),
            memory_tokens: self.options.memory_tokens,
            is_leaving: self.faults.leaving,
        };
        self.reports.push((now, report));
        let lag = Duration::from_millis(self.options.report_lag_ms);
        let expired = self
            .reports
            .iter()
            .take_while(|(at, _)| now.since(*at) >= lag)
            .count();
        self.reports.drain(..expired.saturating_sub(1));
    }
}

async fn handle(state: Shared, mut exchange: Exchange) -> Reply {
    while clock::now() < state.borrow().frozen_until {
        Timer::after(STEP).await;
    }
    let path = exchange.path().to_owned();
    match (exchange.method(), path.as_str()) {
        (Method::Post, "/generate") => generate(&state, exchange).await,
        (Method::Post, "/cancel") => {
            handle_json(&mut exchange, |it: AttemptId| {
                let mut state = state.borrow_mut();
                state.batch.cancel(it.owner, it.request, it.attempt);
                state
                    .memory
                    .release_attempt(it.owner, it.request, it.attempt);
                Reply::json(&serde_json::json!({}))
            })
            .await
        }
        (Method::Post, "/reserve") => {
            handle_json(&mut exchange, |it: Reservation| {
                let mut state = state.borrow_mut();
                if state.faults.leaving {
                    return leaving();
                }
                let hold = Hold {
                    owner: it.owner,
                    request: it.request,
                    attempt: it.attempt,
                    tokens: it.tokens,
                    deadline: clock::now() + Duration::from_millis(it.time_left_ms),
                };
                match state.memory.hold(hold) {
                    Some(_) => Reply::json(&serde_json::json!({})),
                    None => no_memory(),
                }
            })
            .await
        }
        (Method::Get, "/holds") => Reply::json(&state.borrow().memory.list(clock::now())),
        (Method::Get, "/events") => {
            let from = exchange.query_number("from", 0);
            Reply::json(&state.borrow().batch.cache().events(clock::now(), from))
        }
        (Method::Get, "/load") => {
            let state = state.borrow();
            let Some((at, report)) = state.reports.first() else {
                return Reply::json(&Report::default());
            };
            let age_ms = clock::now().since(*at).as_millis() as u64;
            Reply::json(&Report {
                age_ms,
                ..report.clone()
            })
        }
        (Method::Get, "/orders") => Reply::json(&state.borrow().orders),
        (Method::Post, "/orders") => {
            handle_json(&mut exchange, |it: Order| {
                match state.borrow_mut().orders.accept(it) {
                    Ok(()) => Reply::json(&serde_json::json!({})),
                    Err(message) => Reply::text(message).with_status(409),
                }
            })
            .await
        }
        (Method::Post, "/faults") => {
            handle_json(&mut exchange, |it: Faults| {
                if it.crash {
                    std::process::exit(1);
                }
                let mut state = state.borrow_mut();
                state.frozen_until = clock::now() + Duration::from_millis(it.freeze_ms);
                state.faults = it;
                Reply::text("")
            })
            .await
        }
        _ => Reply::text("not found").with_status(404),
    }
}

async fn handle_json<T: DeserializeOwned>(
    exchange: &mut Exchange,
    respond: impl FnOnce(T) -> Reply,
) -> Reply {
    match exchange.json(BODY_LIMIT).await {
        Ok(value) => respond(value),
        Err(failure) => failure.into(),
    }
}

async fn generate(state: &Shared, mut exchange: Exchange) -> Reply {
    let generation: Generation = match exchange.json(BODY_LIMIT).await {
        Ok(generation) => generation,
        Err(failure) => return failure.into(),
    };
    let now = clock::now();
    let mut state = state.borrow_mut();
    let state = &mut *state;
    if state.faults.leaving {
        return leaving();
    }
    if !state.faults.crash_on.is_empty() && generation.prompt.contains(&state.faults.crash_on) {
        std::process::exit(1);
    }
    let prompt_tokens = length::tokens(generation.prompt.len());
    let total_tokens = prompt_tokens + generation.answer_tokens;
    let deadline = now + Duration::from_millis(generation.time_left_ms);
    let hold = Hold {
        owner: generation.owner,
        request: generation.request,
        attempt: generation.attempt,
        tokens: total_tokens.saturating_sub(generation.lent_tokens),
        deadline,
    };
    let Some(hold) = state.memory.hold(hold) else {
        return no_memory();
    };
    let (writer, body) = web::body::channel();
    state.batch.add(
        now,
        Stream {
            owner: generation.owner,
            request: generation.request,
            attempt: generation.attempt,
            prompt_digest: digest::fast(generation.prompt.as_bytes()),
            prefix_digests: cache::prefix_digests(&generation.prompt),
            prompt_tokens,
            priority: generation.priority,
            lenders: generation.lenders,
            next_token: generation.offset,
            answer_tokens: generation.answer_tokens,
            hold,
            writer,
        },
    );
    Reply::stream("application/x-ndjson", body)
}

fn leaving() -> Reply {
    Reply::text("leaving")
        .with_status(503)
        .with_header("Coriander-Leaving", "yes")
}

fn no_memory() -> Reply {
    Reply::text("not enough free memory").with_status(409)
}
