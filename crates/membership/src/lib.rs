//! Membership: which entry instances there are, and which of them answer.
//!
//! Each entry probes the others in turn. One that does not answer is asked through two others, then
//! suspected, then held dead unless it objects. Word of changes travels on the probes themselves.
//!
//! Nothing that must never break rests on this view: two entries whose views differ do work twice
//! or hand it to the wrong one, which costs time and nothing else.
//!
//! Architecture invariant: this crate does no I/O and never reads a clock.

pub mod gossip;
pub mod member;
pub mod members;
pub mod message;

pub use member::Member;
pub use members::Members;
pub use message::Message;
