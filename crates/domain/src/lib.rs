//! Domain types that all crates share: firms, contracts, backend servers, idempotency keys and
//! request failures.
//!
//! Architecture invariant: this crate does no I/O and never reads a clock. The present time is an
//! argument of every function that needs it.

pub mod contract;
pub mod digest;
pub mod evacuation;
pub mod failure;
pub mod fleet;
pub mod key;
pub mod length;
pub mod moment;
pub mod position;
pub mod region;
pub mod rendezvous;

pub use contract::Contract;
pub use failure::Failure;
pub use fleet::Fleet;
pub use key::Key;
pub use length::Length;
pub use moment::Moment;
pub use region::Homes;
pub use region::Regions;
