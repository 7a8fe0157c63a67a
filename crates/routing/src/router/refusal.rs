//! Why the router does not admit a job.

use std::time::Duration;

/// The reason why a job can't be admitted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No engine serves the model.
    #[error("no backend server serves the model `{0}` now: use another model or retry later")]
    NoEngine(String),
    /// All engines are down.
    #[error("no backend server responds now: retry in {} ms", .0.as_millis())]
    Down(Duration),
    /// All engines asked for a pause.
    #[error("every backend server of the model asked for a pause: retry in {} ms", .0.as_millis())]
    Paused(Duration),
    /// The job needs more memory than all engines together can provide.
    #[error("the prompt needs {needed} tokens of memory, but the fleet has {fleet}: shorten it")]
    TooLong {
        /// The memory that the job needs, in tokens.
        needed: u64,
        /// The memory that the engines can provide together, in tokens.
        fleet: u64,
    },
    /// The lane is full.
    #[error("too many requests are waiting: retry in {} ms", .0.as_millis())]
    Full(Duration),
    /// The job would miss its deadline.
    #[error("the request would miss its deadline: retry in {} ms", .0.as_millis())]
    TooLate(Duration),
}
