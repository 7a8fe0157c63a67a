//! The platform as the system sees it: an append-only log and a list of instances, over HTTP.
//!
//! A lost answer to an append leaves its fate open; whoever needs to know it reads on and looks for
//! its own nonce.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use web::Client;
use web::client::Call;

pub use web::client::Error;

/// The time that a call may take beyond the wait that it asks for.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    client: Client,
}

/// Where an appended record stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The offset in its stream.
    pub offset: u64,
    /// The platform's time of the append, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The offset in its stream.
    pub offset: u64,
    /// The platform's time of the append, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What was appended.
    pub data: String,
}

/// A stretch of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The offset of the oldest record that the stream still keeps.
    pub first: u64,
    /// The offset that the next append will get.
    pub head: u64,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// An instance as the platform's list has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// What it is.
    pub role: Role,
    /// Whether it is about to go.
    pub status: Status,
}

/// What an instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Role {
    /// An entry instance.
    Entry {
        /// Where callers connect.
        callers: SocketAddr,
        /// Where other entries connect.
        peers: SocketAddr,
    },
    /// A backend server.
    BackendServer,
}

/// Whether an instance is about to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It runs.
    Live,
    /// It takes no new work.
    Leaving,
}

impl Platform {
    /// Returns a client for the platform at `address`.
    pub fn new(address: SocketAddr, client: Client) -> Self {
        Self { address, client }
    }

    /// Appends a record to a stream.
    pub async fn append(&self, stream: &str, data: String) -> Result<Appended, Error> {
        let call = Call::post(self.address, format!("/log/{stream}"), data);
        self.client.fetch(&call, CALL_TIMEOUT).await
    }

    /// Reads a stream from offset `from` on. Waits up to `wait` if there is nothing to read yet.
    pub async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Batch, Error> {
        let path = format!("/log/{stream}?from={from}&wait_ms={}", wait.as_millis());
        self.client
            .fetch(&Call::get(self.address, path), wait + CALL_TIMEOUT)
            .await
    }

    /// Reads all that a stream keeps.
    pub async fn read_all(&self, stream: &str) -> Result<Vec<Record>, Error> {
        let mut records: Vec<Record> = Vec::new();
        loop {
            let from = records.last().map_or(0, |it| it.offset + 1);
            let batch = self.read(stream, from, Duration::ZERO).await?;
            let is_end = batch.records.is_empty();
            records.extend(batch.records);
            if is_end {
                return Ok(records);
            }
        }
    }

    /// Reads the list of live and leaving instances.
    pub async fn instances(&self) -> Result<Vec<Instance>, Error> {
        self.client
            .fetch(&Call::get(self.address, "/instances"), CALL_TIMEOUT)
            .await
    }
}
