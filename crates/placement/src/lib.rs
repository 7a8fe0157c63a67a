//! Placement: which backend server runs a request, and whether it may be sent once more.
//!
//! All entries share one view of the work on every backend server: each tells the others what it
//! places, when the first token comes and when the work ends. A placement weighs what the request
//! gains against what the work that is already there loses; see [`plan`].
//!
//! Architecture invariant: this crate does no I/O and never reads a clock.

pub mod allowance;
pub mod board;
pub mod pace;
pub mod plain;
pub mod plan;
pub mod servers;

pub use allowance::Allowance;
pub use board::Board;
pub use board::JobId;
pub use board::Note;
pub use board::Roster;
pub use plan::Plan;
pub use servers::Server;
pub use servers::Servers;
