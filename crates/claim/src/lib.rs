//! Claims, which ensure that a non-idempotent request runs at most once.
//!
//! A request with a key may run only after a claim of the key was granted. Two kinds of authority
//! grant claims, and the key alone determines which one is responsible:
//!
//! - The platform's log grants claims of keys that callers generate. A [`Shard`] folds one stream
//!   of claims. The first claim wins, unless its holder releases it without running the request.
//! - The entry incarnation that issued a ticket grants claims of it. [`Tickets`] decides in memory.
//!
//! A grant is bound to a nonce that its holder drew at random, so retrying a claim is safe. Grants
//! are never revoked, so a holder that was paused is safe too.
//!
//! Architecture invariant: this crate does no I/O and never reads a clock. No decision on a claim
//! compares clocks of different machines: the age of a key is measured by the time that the log
//! assigned to the record of its claim.

pub mod hold;
pub mod pending;
pub mod record;
pub mod shard;
pub mod tickets;

pub use pending::Pending;
pub use record::Record;
pub use shard::Shard;
pub use tickets::Tickets;

use domain::Key;
use domain::digest;
use serde::Deserialize;
use serde::Serialize;

/// The number of claim streams in the log.
pub const SHARD_COUNT: u64 = 32;
/// The limit on appends per second to all claim streams together, except for short bursts.
pub const APPENDS_PER_SECOND: u64 = 200;

/// A random number that identifies the holder of a claim.
pub type Nonce = u64;

/// The index of one claim stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u64);

impl ShardId {
    /// Returns the stream that the claims of a key are appended to.
    pub fn of(key: Key) -> Self {
        Self(digest::fast(&key.as_u128().to_be_bytes()) % SHARD_COUNT)
    }

    /// Returns the name of the stream in the log.
    pub fn stream(self) -> String {
        format!("claims-{:02}", self.0)
    }
}

/// An authority's decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The holder of the nonce may run the request, and no other holder ever will.
    Granted,
    /// An earlier claim holds the key.
    Used(Outcome),
    /// The key is too old: earlier claims of it may have expired from the log.
    TooOld,
    /// The key's creation time is too far ahead of the log's time. The request never ran.
    TooNew,
    /// The authority did not issue this ticket to this customer. The request never ran.
    NotIssued,
}

/// The known outcome of a claimed request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Not known yet: the request may be in progress, done or lost.
    #[default]
    Open,
    /// The request ran and returned this answer.
    Done(Answer),
    /// The request may have run, but its answer is permanently lost.
    Lost,
}

/// The stored answer of a request that ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The content type of the body.
    pub content_type: String,
    /// The body; absent if it was longer than the limit or not UTF-8.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

impl Answer {
    /// The longest body that is kept, in bytes.
    pub const BODY_LIMIT: usize = 4 * 1024;

    /// Returns an answer that includes the body only if it is within the limit.
    pub fn new(status: u16, content_type: impl Into<String>, body: &[u8]) -> Self {
        let is_short = body.len() <= Self::BODY_LIMIT;
        let text = is_short.then(|| std::str::from_utf8(body).ok()).flatten();
        Self {
            status,
            content_type: content_type.into(),
            body: text.map(str::to_owned),
        }
    }
}
