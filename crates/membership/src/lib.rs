//! Membership: which entry instances exist, and which of them respond.
//!
//! Each entry probes the others in turn. If one does not respond, two others probe it too. If that
//! fails, it becomes suspect, and later dead unless it refutes the suspicion. Gossip about changes
//! of members is sent along with the probes.
//!
//! No safety property depends on this view. Two entries with different views may do work twice or
//! send it to the wrong entry, which only costs time.
//!
//! Architecture invariant: this crate does no I/O and never reads a clock.

pub mod audience;
pub mod gossip;
pub mod member;
pub mod members;
pub mod message;

pub use audience::Audience;
pub use member::Member;
pub use member::Origin;
pub use members::Members;
pub use message::Message;
