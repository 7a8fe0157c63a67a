//! What a gateway process is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use placement::budget::Policy;

/// What a gateway process is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of this instance.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where callers ask for addresses.
    pub directory: Option<SocketAddr>,
    /// Where the platform asks whether this instance is ready.
    pub readiness: Option<SocketAddr>,
    /// Where other entries send datagrams and calls.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: Option<SocketAddr>,
    /// Peer addresses of entries that may be running.
    pub seeds: Vec<SocketAddr>,
    /// The time for which callers keep an answer that names addresses.
    pub address_lifetime: Duration,
    /// The time between the signal to stop and the end.
    pub grace: Duration,
    /// The allowance of repeats, of all entries together.
    pub allowance: Policy,
    /// The memory that the process may use, in bytes.
    pub memory: usize,
    /// The log level.
    pub log_level: log::LevelFilter,
}
