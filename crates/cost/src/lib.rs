//! Request costs: how much work a request is likely to take, learned from requests that were served.
//!
//! The cost of a request is its number of output tokens on an engine, and its service time in
//! milliseconds at a plain service. A server's pace is not part of it.
//!
//! Architecture invariant: this crate does no I/O and never reads a clock.

pub mod estimator;
pub mod exchange;
pub mod group;
pub mod observation;
mod tail;

pub use estimator::Estimate;
pub use estimator::Estimator;
pub use estimator::Shift;
pub use exchange::Batch;
pub use exchange::Inbox;
pub use exchange::Outbox;
pub use observation::Extent;
pub use observation::Observation;
pub use observation::Request;
