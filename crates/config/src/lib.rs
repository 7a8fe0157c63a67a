//! The configuration, replicated by folding a stream of the platform's log.
//!
//! Operators append [`Record`]s to the stream. Every process folds them in order, so all processes
//! resolve conflicts between operators in the same way. Each change names the version that it
//! replaces. A record is rejected as a whole unless all its changes name the current versions.
//!
//! Records expire. Before they do, a process appends the state as a snapshot to a second stream. A
//! snapshot contains the offset up to which it has read. It only replaces the state of a fold that
//! has read less, so a stale snapshot has no effect.
//!
//! Architecture invariant: this crate does no I/O and never reads a clock.

pub mod draft;
pub mod fold;
pub mod item;
pub mod order;
pub mod record;
pub mod snapshot;
pub mod view;

pub use fold::Fold;
pub use item::Item;
pub use record::Record;
pub use view::View;

/// The stream of the log that operators append records to.
pub const STREAM: &str = "config";

/// The stream of the log that snapshots are appended to.
pub const SNAPSHOT_STREAM: &str = "config-snapshots";
