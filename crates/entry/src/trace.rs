//! Traces: what was decided about each request, for callers who ask for an outcome and for
//! operators who ask why.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;

use domain::Failure;
use domain::Moment;
use domain::key::Incarnation;
use serde::Serialize;

/// The number of requests whose traces are kept.
const KEPT: usize = 4_000;
/// The number of steps that are kept of one request.
const STEP_LIMIT: usize = 64;

/// The name of a request in the whole system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId {
    /// The entry that took it.
    pub owner: Incarnation,
    /// Its number there.
    pub number: u64,
}

impl RequestId {
    /// Parses an identifier as it stands in the `Request-RequestId` header.
    pub fn parse(text: &str) -> Option<Self> {
        let (owner, number) = text.split_once('-')?;
        let owner = Incarnation(u64::from_str_radix(owner, 16).ok()?);
        Some(Self {
            owner,
            number: number.parse().ok()?,
        })
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.owner, self.number)
    }
}

/// The trace of one request.
#[derive(Clone, Debug, Serialize)]
pub struct Trace {
    /// The customer.
    pub customer: String,
    /// What was decided, in order.
    pub steps: Vec<Step>,
    /// How it ended; absent while it is in progress.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

/// One decision.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    /// The time since the process started, in microseconds.
    pub at_us: u64,
    /// What was decided, and why.
    pub what: String,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The answer was sent whole.
    Done {
        /// Its length in tokens; zero for a plain service.
        tokens: u64,
    },
    /// The caller left before the end.
    Left,
    /// It failed.
    Failed(Failure),
}

/// The traces of the latest requests.
#[derive(Debug, Default)]
pub struct Traces {
    traces: HashMap<u64, Trace>,
    order: VecDeque<u64>,
}

impl Traces {
    /// Starts the trace of a request.
    pub fn start(&mut self, number: u64, customer: impl Into<String>) {
        let trace = Trace {
            customer: customer.into(),
            steps: Vec::new(),
            outcome: None,
        };
        self.traces.insert(number, trace);
        self.order.push_back(number);
        if self.order.len() > KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.traces.remove(&oldest);
        }
    }

    /// Adds a decision.
    pub fn add_step(&mut self, now: Moment, number: u64, what: impl Into<String>) {
        if let Some(trace) = self.traces.get_mut(&number)
            && trace.steps.len() < STEP_LIMIT
        {
            trace.steps.push(Step {
                at_us: now.as_micros(),
                what: what.into(),
            });
        }
    }

    /// Ends a trace. The first outcome stays.
    pub fn end(&mut self, number: u64, outcome: Outcome) {
        if let Some(trace) = self.traces.get_mut(&number) {
            trace.outcome.get_or_insert(outcome);
        }
    }

    /// Returns a trace.
    pub fn get(&self, number: u64) -> Option<&Trace> {
        self.traces.get(&number)
    }
}
