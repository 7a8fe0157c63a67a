//! Traces: the decisions about each recent request. Callers can look up the outcome, and operators
//! the reasons.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;

use domain::Failure;
use domain::Moment;
use domain::key::Incarnation;
use serde::Serialize;

/// The maximum number of traces that are kept.
const TRACE_LIMIT: usize = 4_000;
/// The maximum number of steps that are kept for one request.
const STEP_LIMIT: usize = 64;

/// The ID of a request, unique in the whole system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId {
    /// The incarnation of the entry that accepted it.
    pub owner: Incarnation,
    /// Its sequence number on that entry.
    pub number: u64,
}

impl RequestId {
    /// Parses an ID in the format of the `Request-Id` header.
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
    /// The customer who sent the request.
    pub customer: String,
    /// The decisions, in order.
    pub steps: Vec<Step>,
    /// How it ended; `None` while it is in progress.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

/// One decision about a request.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    /// The time since the process started, in microseconds.
    pub at_us: u64,
    /// The decision and its reason.
    pub what: String,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete answer was sent.
    Done {
        /// Its length in tokens; zero for a plain service.
        tokens: u64,
    },
    /// The caller disconnected before the end.
    Left,
    /// The request failed.
    Failed(Failure),
}

/// The traces of the most recent requests.
#[derive(Debug, Default)]
pub struct Traces {
    traces: HashMap<u64, Trace>,
    order: VecDeque<u64>,
}

impl Traces {
    /// Starts the trace of a request. The oldest trace is dropped beyond the limit.
    pub fn start(&mut self, number: u64, customer: impl Into<String>) {
        let trace = Trace {
            customer: customer.into(),
            steps: Vec::new(),
            outcome: None,
        };
        self.traces.insert(number, trace);
        self.order.push_back(number);
        if self.order.len() > TRACE_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.traces.remove(&oldest);
        }
    }

    /// Appends a decision to a trace, up to the limit of steps.
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

    /// Records the outcome of a request. Only the first outcome counts.
    pub fn end(&mut self, number: u64, outcome: Outcome) {
        if let Some(trace) = self.traces.get_mut(&number) {
            trace.outcome.get_or_insert(outcome);
        }
    }

    /// Returns the trace of a request.
    pub fn get(&self, number: u64) -> Option<&Trace> {
        self.traces.get(&number)
    }
}
