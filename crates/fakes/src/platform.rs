//! A fake of the platform: a log, a list of instances and a weight store, with fault injection.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use async_executor::LocalExecutor;
use async_io::Timer;
use domain::Failure;
use domain::failure::Kind;
use platform::Batch;
use serde::Deserialize;
use web::Exchange;
use web::Method;
use web::Reply;

pub mod list;
pub mod log;

use self::list::List;
use self::log::Log;

/// The maximum size of a record, in bytes.
const RECORD_LIMIT: u64 = 1024 * 1024;
/// The interval at which a waiting read checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Options of the platform.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// The retention period of the log, in milliseconds.
    #[arg(long, default_value_t = 86_400_000)]
    pub retention_ms: u64,
    /// The rate limit of the log, in appends per second.
    #[arg(long, default_value_t = 300)]
    pub appends_per_second: u32,
    /// The delay after which a change of the list of instances becomes visible, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    pub list_lag_ms: u64,
    /// The rate limit of the weight store, in loads per second.
    #[arg(long, default_value_t = 5)]
    pub weights_per_second: u32,
}

/// The faults to inject.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How long the log and the list are unavailable, in milliseconds.
    pub outage_ms: u64,
    /// How long the log alone is unavailable, in milliseconds.
    pub log_outage_ms: u64,
    /// The additional time of each call to the log, in milliseconds.
    pub delay_ms: u64,
    /// The number of subsequent appends that take effect but whose response is lost.
    pub lose_answers: u32,
}

struct State {
    log: Log,
    list: List,
    weight_limiter: log::RateLimiter,
    faults: Faults,
    outage_until: domain::Moment,
    log_outage_until: domain::Moment,
}

type Shared = Rc<RefCell<State>>;

/// Runs the fake platform until the process ends.
pub fn run(listen: SocketAddr, options: Options) -> Result<()> {
    let executor = Rc::new(LocalExecutor::new());

    let state = Rc::new(RefCell::new(State {
        log: Log::new(
            Duration::from_millis(options.retention_ms),
            options.appends_per_second,
        ),
        list: List::new(Duration::from_millis(options.list_lag_ms)),
        weight_limiter: log::RateLimiter::new(options.weights_per_second),
        faults: Faults::default(),
        outage_until: domain::Moment::default(),
        log_outage_until: domain::Moment::default(),
    }));
    let handler = move |exchange| handle(state.clone(), exchange);
    crate::serve(executor, listen, handler)
}

async fn handle(state: Shared, mut exchange: Exchange) -> Reply {
    let path = exchange.path().to_owned();
    match (
        exchange.method(),
        path.split('/').collect::<Vec<_>>().as_slice(),
    ) {
        (Method::Post, ["", "faults"]) => match exchange.json::<Faults>(RECORD_LIMIT).await {
            Ok(faults) => {
                let mut state = state.borrow_mut();
                let now = clock::now();
                state.outage_until = now + Duration::from_millis(faults.outage_ms);
                let log_outage = faults.outage_ms.max(faults.log_outage_ms);
                state.log_outage_until = now + Duration::from_millis(log_outage);
                state.faults = faults;
                Reply::text("")
            }
            Err(failure) => failure.into(),
        },
        (Method::Post, ["", "instances"]) => match exchange.json(RECORD_LIMIT).await {
            Ok(instances) => {
                state.borrow_mut().list.replace(clock::now(), instances);
                Reply::text("")
            }
            Err(failure) => failure.into(),
        },
        _ if clock::now() < state.borrow().outage_until => unavailable("the platform is down"),
        (Method::Get, ["", "instances"]) => Reply::json(&state.borrow().list.visible(clock::now())),
        (_, ["", "log", _]) if clock::now() < state.borrow().log_outage_until => {
            unavailable("the log is down")
        }
        (Method::Post, ["", "log", stream]) => append(&state, stream, exchange).await,
        (Method::Get, ["", "log", stream]) => read(&state, stream, &exchange).await,
        (Method::Get, ["", "weights", _]) => {
            if state.borrow_mut().weight_limiter.try_acquire(clock::now()) {
                Reply::text("weights")
            } else {
                Reply::text("too many loads: slow down").with_status(429)
            }
        }
        _ => Reply::text("not found").with_status(404),
    }
}

async fn append(state: &Shared, stream: &str, mut exchange: Exchange) -> Reply {
    let delay = Duration::from_millis(state.borrow().faults.delay_ms);
    Timer::after(delay).await;
    let data = match exchange.body(RECORD_LIMIT).await {
        Ok(data) => String::from_utf8_lossy(&data).into_owned(),
        Err(failure) => return failure.into(),
    };
    let mut state = state.borrow_mut();
    let appended = state
        .log
        .append(clock::now(), clock::since_epoch(), stream, data);
    let Some(appended) = appended else {
        return Reply::text("too many appends: slow down").with_status(429);
    };
    if state.faults.lose_answers > 0 {
        state.faults.lose_answers -= 1;
        return unavailable("the response is lost");
    }
    Reply::json(&appended)
}

async fn read(state: &Shared, stream: &str, exchange: &Exchange) -> Reply {
    let from = exchange.query_number("from", 0);
    let wait = Duration::from_millis(exchange.query_number("wait_ms", 0));
    let delay = Duration::from_millis(state.borrow().faults.delay_ms);
    Timer::after(delay).await;
    let end = clock::now() + wait;
    loop {
        if clock::now() < state.borrow().log_outage_until {
            return unavailable("the log is down");
        }
        let batch: Batch = state
            .borrow_mut()
            .log
            .read(clock::since_epoch(), stream, from);
        if !batch.records.is_empty() || batch.head < from || clock::now() >= end {
            return Reply::json(&batch);
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

fn unavailable(reason: &str) -> Reply {
    let message = format!("{reason}: try again later");
    Failure::refused(Kind::LogUnavailable, message).into()
}
