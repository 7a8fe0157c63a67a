//! A fake of a plain service, such as a booking server, that counts how often each call was
//! executed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use async_executor::LocalExecutor;
use async_io::Timer;
use serde::Deserialize;
use serde::Serialize;
use web::Exchange;
use web::Method;
use web::Reply;

/// The maximum size of a body, in bytes.
const BODY_LIMIT: u64 = 1024 * 1024;

/// Options of a plain service.
#[derive(Clone, Debug, clap::Args)]
pub struct Options {
    /// The execution time of one call, in milliseconds.
    #[arg(long, default_value_t = 5)]
    pub call_ms: u64,
}

/// The faults to inject.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Ends the process at once.
    pub crash: bool,
    /// Refuses new calls, as before a graceful shutdown.
    pub leaving: bool,
    /// The additional time of each call, in milliseconds.
    pub delay_ms: u64,
}

/// How often calls were executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// The number of executions by idempotency key.
    pub by_key: BTreeMap<String, u64>,
    /// The number of executions of calls without a key.
    pub without_key: u64,
    /// The time of the latest execution, in milliseconds since the Unix epoch.
    pub latest_ms: u64,
}

#[derive(Default)]
struct State {
    incarnation: u64,
    faults: Faults,
    runs: Runs,
}

/// Runs a plain service until the process ends.
pub fn run(listen: SocketAddr, options: Options) -> Result<()> {
    let executor = Rc::new(LocalExecutor::new());

    let state = Rc::new(RefCell::new(State {
        incarnation: rand::random(),
        ..State::default()
    }));
    let call_time = Duration::from_millis(options.call_ms);
    let handler = move |exchange| handle(state.clone(), call_time, exchange);
    crate::serve(executor, listen, handler)
}

async fn handle(state: Rc<RefCell<State>>, call_time: Duration, mut exchange: Exchange) -> Reply {
    match (exchange.method(), exchange.path()) {
        (Method::Post, "/faults") => match exchange.json::<Faults>(BODY_LIMIT).await {
            Ok(faults) if faults.crash => std::process::exit(1),
            Ok(faults) => {
                state.borrow_mut().faults = faults;
                Reply::text("")
            }
            Err(failure) => failure.into(),
        },
        (Method::Get, "/runs") => Reply::json(&state.borrow().runs),
        (Method::Get, "/load") => {
            let state = state.borrow();
            Reply::json(&serde_json::json!({
                "incarnation": state.incarnation,
                "is_leaving": state.faults.leaving,
            }))
        }
        _ => call(&state, call_time, exchange).await,
    }
}

async fn call(state: &Rc<RefCell<State>>, call_time: Duration, mut exchange: Exchange) -> Reply {
    let faults = state.borrow().faults;
    if faults.leaving {
        return Reply::text("leaving")
            .with_status(503)
            .with_header("Coriander-Leaving", "yes");
    }
    let body = match exchange.body(BODY_LIMIT).await {
        Ok(body) => body,
        Err(failure) => return failure.into(),
    };
    {
        let mut state = state.borrow_mut();
        state.runs.latest_ms = clock::since_epoch().as_millis() as u64;
        match exchange.header("Idempotency-Key") {
            Some(key) => *state.runs.by_key.entry(key.to_owned()).or_default() += 1,
            None => state.runs.without_key += 1,
        }
    }
    Timer::after(call_time + Duration::from_millis(faults.delay_ms)).await;
    Reply::json(&serde_json::json!({
        "done": exchange.path(),
        "body": String::from_utf8_lossy(&body),
    }))
}
