//! Routes: which requests are served, by which services, for whom and under which limits.
//!
//! Architecture invariant: this crate does no I/O and never reads a clock.

pub mod service;
pub mod table;

pub use service::Engine;
pub use service::Service;
pub use table::Limits;
pub use table::Match;
pub use table::Organisation;
pub use table::Route;
pub use table::Table;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    AtMostOnce,
    /// Its answer is a stream of events that can be taken up again after the last event received.
    Resumable,
    /// Its answer is a stream of events that can't be taken up again: it may run at most once.
    NonResumable,
}

impl Kind {
    /// Tells whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Resumable | Self::NonResumable)
    }
}
