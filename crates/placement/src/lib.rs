//! Placement: which backend server runs a request, and whether it may be sent once more.
//!
//! All entries share one view of the work on every backend server: each tells the others what it
//! places, when the first token comes and when the work ends. A placement weighs what the request
//! gains against what the work that is already there loses; see [`plan`].
//!
//! Architecture invariant: this crate does no I/O and never reads a clock.

pub mod budget;
pub mod plain;
pub mod plan;
pub mod servers;
pub mod slowdown;
pub mod workload;

pub use budget::Budget;
pub use plan::Plan;
pub use servers::Server;
pub use servers::Servers;
pub use workload::JobId;
pub use workload::Snapshot;
pub use workload::Update;
pub use workload::Workload;
