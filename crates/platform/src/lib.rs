//! A client of the platform, which offers an append-only log and a list of instances over HTTP.
//!
//! If the response to an append is lost, the append may or may not have happened. To find out, the
//! sender reads the stream further and looks for its own nonce.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use web::Client;
use web::client::BODY_LIMIT;
use web::client::Call;

pub use web::client::Error;

/// The timeout of a call, in addition to the wait that the call requests.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    client: Client,
}

/// The position and time of an appended record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The record's offset in its stream.
    pub offset: u64,
    /// The platform's time of the append, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// A record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The record's offset in its stream.
    pub offset: u64,
    /// The platform's time of the append, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The appended text.
    pub data: String,
}

/// A contiguous range of records of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The offset of the oldest record that the stream retains.
    pub first: u64,
    /// The offset that the next appended record will have.
    pub head: u64,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The kind of instance.
    pub role: Role,
    /// Whether the instance is about to stop.
    pub status: Status,
}

/// The kind of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Role {
    /// An entry instance.
    Entry {
        /// The address to which callers connect.
        callers: SocketAddr,
        /// The address to which other entries connect.
        peers: SocketAddr,
    },
    /// A backend server.
    BackendServer,
}

/// Whether an instance is about to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The instance is running.
    Live,
    /// The instance accepts no new work.
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

    /// Reads a stream from offset `from`. Waits up to `wait` if there are no records yet.
    pub async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Batch, Error> {
        let path = format!("/log/{stream}?from={from}&wait_ms={}", wait.as_millis());
        let call = Call::get(self.address, path);
        self.client
            .fetch_within(&call, wait + CALL_TIMEOUT, BODY_LIMIT)
            .await
    }

    /// Reads all records that a stream retains.
    pub async fn read_all(&self, stream: &str) -> Result<Vec<Record>, Error> {
        let mut records: Vec<Record> = Vec::new();
        loop {
            let from = records.last().map_or(0, |record| record.offset + 1);
            let batch = self.read(stream, from, Duration::ZERO).await?;
            let reached_end = batch.records.is_empty();
            records.extend(batch.records);
            if reached_end {
                return Ok(records);
            }
        }
    }

    /// Reads the list of live and leaving instances.
    pub async fn instances(&self) -> Result<Vec<Instance>, Error> {
        let call = Call::get(self.address, "/instances");
        self.client
            .fetch_within(&call, CALL_TIMEOUT, BODY_LIMIT)
            .await
    }
}
