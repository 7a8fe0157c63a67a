//! What a gateway process is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use placement::allowance::Terms;

/// What a gateway process is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of this instance.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where callers ask for addresses.
    pub directory_address: Option<SocketAddr>,
    /// Where the platform asks whether this instance is ready.
    pub readiness_address: Option<SocketAddr>,
    /// Where other entries send datagrams and calls.
    pub peer_address: SocketAddr,
    /// Where metrics are read.
    pub metrics_address: Option<SocketAddr>,
    /// Peer addresses of entries that may be running.
    pub seeds: Vec<SocketAddr>,
    /// The time for which callers keep an answer that names addresses.
    pub address_lifetime: Duration,
    /// The time between the signal to stop and the end.
    pub grace_period: Duration,
    /// The allowance of repeats, of all entries together.
    pub retry_budget: Terms,
    /// The memory that the process may use, in bytes.
    pub memory_limit: usize,
    /// The log level.
    pub log_level: log::LevelFilter,
}
