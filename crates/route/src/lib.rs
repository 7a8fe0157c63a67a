//! Routes: map requests to services, and define the API keys and limits that apply.
//!
//! Architecture invariant: this crate does no I/O and never reads a clock.

pub mod service;
pub mod table;

pub use service::ColdStart;
pub use service::Engine;
pub use service::Service;
pub use table::Limits;
pub use table::Match;
pub use table::Organisation;
pub use table::Route;
pub use table::Table;

/// Whether and how the requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// The answer is an event stream that can be resumed after the last event received.
    Resumable,
    /// The answer is an event stream that can't be resumed, so a request may run at most once.
    NonResumable,
}

impl Kind {
    /// Returns whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Returns whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::NonResumable)
    }
}
