//! Placement: which backend server runs a request, and whether a failed request may be retried.
//!
//! All entries share one view of the work on every backend server: each entry reports to the others
//! when it places a request, when the first token arrives and when the request ends. A placement
//! weighs the gain of the request against the loss of the requests already there; see [`plan`].
//!
//! Architecture invariant: this crate does no I/O and never reads a clock.

pub mod budget;
pub mod cold;
pub mod ends;
pub mod evacuation;
pub mod expectation;
mod lateness;
pub mod listing;
pub mod plain;
pub mod plan;
pub mod rates;
pub mod reach;
pub mod remaining;
pub mod servers;
pub mod slowdown;
pub mod stall;
pub mod workload;

pub use budget::Budget;
pub use evacuation::Evacuations;
pub use expectation::Expectation;
pub use listing::Listing;
pub use plan::Plan;
pub use rates::Rates;
pub use reach::Reach;
pub use servers::Server;
pub use servers::Servers;
pub use workload::JobId;
pub use workload::Snapshot;
pub use workload::Update;
pub use workload::Workload;
