//! Starts the project's programs as processes on loopback ports, for tests, the demo and benches.
//!
//! Nothing that runs in production depends on this crate: the programs themselves start no process.

pub mod cluster;

pub mod process;

pub use cluster::Cluster;
pub use load::Customer;
pub use load::customer;
pub use process::Process;
