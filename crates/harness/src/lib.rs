//! Starts the project's programs as processes on loopback ports, for tests, the demo and the
//! benchmarks.
//!
//! No production program depends on this crate, because production programs start no processes.

pub mod cluster;

pub mod process;

pub mod raw;

pub use cluster::Cluster;
pub use load::Customer;
pub use load::customer;
pub use process::Process;
