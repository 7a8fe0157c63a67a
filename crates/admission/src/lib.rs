//! Admission: whether a request is placed now, waits at its instance, or is rejected, and in which
//! order requests wait.
//!
//! Each instance decides alone, from the view of the work that all instances share. A request waits
//! only while waiting costs its caller nothing: while it can still be in time, or once it can't. See
//! [`decide`] for the rules and [`Queue`] for the order.
//!
//! Architecture invariant: this crate does no I/O and never reads a clock.

pub mod decision;
pub mod queue;
pub mod retry;
pub mod returns;
pub mod usage;

pub use decision::Decision;
pub use decision::decide;
pub use decision::decide_call;
pub use queue::Queue;
pub use retry::RetryTime;
pub use returns::Returns;
pub use usage::Usage;

/// The levels of priority beyond which the value of a request no longer falls.
const DEEPEST_LEVEL: u32 = 16;

/// Returns the factor of the value of a request that is less urgent by `level` levels than the most
/// urgent ones of its service.
pub fn weight(level: u32) -> f64 {
    0.5_f64.powi(level.min(DEEPEST_LEVEL) as i32)
}
