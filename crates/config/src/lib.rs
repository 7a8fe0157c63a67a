//! The configuration as a fold over the platform's log.
//!
//! Operators append [`Record`]s to a stream of the log. Every process folds them in order, so that
//! races between operators are decided the same way everywhere. A change names the version that it
//! replaces; a record whose changes do not all match is refused as a whole.
//!
//! Records expire. Before they do, some process appends the folded state as a snapshot on a second
//! stream. A snapshot names the position up to which it has read, and only ever serves as the base
//! of a fold: it never alters a fold that has read further, so a stale one is harmless.
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

/// The stream of the log that operators publish on.
pub const STREAM: &str = "config";

/// The stream of the log that snapshots are appended to.
pub const SNAPSHOT_STREAM: &str = "config-snapshots";
