//! Claims: how a non-idempotent request runs at most once.
//!
//! Whoever wants to run a request with a key needs a grant for it. Two kinds of authority give
//! grants, and the key alone says which one is asked:
//!
//! - For keys that callers mint, the platform's log. A [`Shard`] folds one stream of claims; the
//!   first claim wins, until its own holder releases it unrun.
//! - For tickets, the incarnation of the entry that issued them. A [`Tickets`] decides in memory.
//!
//! A grant is bound to a nonce that its holder drew, so that asking again is harmless. Grants are
//! never taken away, so a holder that was paused is harmless too.
//!
//! Architecture invariant: this crate does no I/O and never reads a clock. No decision on a claim
//! compares clocks of different machines: the age of a key is judged by the time that the log put
//! on the record of its claim.

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
/// Appends a second to all claim streams together, when there are many.
pub const APPENDS_PER_SECOND: u64 = 200;

/// A number that the holder of a claim drew at random.
pub type Nonce = u64;

/// The name of one claim stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u64);

impl ShardId {
    /// Returns the stream that holds the claims of a key.
    pub fn of(key: Key) -> Self {
        Self(digest::fast(&key.as_u128().to_be_bytes()) % SHARD_COUNT)
    }

    /// Returns the name of the stream in the log.
    pub fn stream(self) -> String {
        format!("claims-{:02}", self.0)
    }
}

/// What an authority says to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The holder of the nonce may run the request, and nobody else ever will.
    Granted,
    /// Another claim came first.
    Used(Outcome),
    /// The key is too old: claims for it may have expired from the log.
    TooOld,
    /// The key was minted later than the log's own time allows. Nobody ever ran it.
    TooNew,
    /// The authority issued no such ticket, or to another customer. Nobody ever ran it.
    NotIssued,
}

/// What is known of a claimed request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It may be in progress, done or lost.
    #[default]
    Open,
    /// It ran, and this was the answer.
    Done(Answer),
    /// It may have run, but its answer was lost for good.
    Lost,
}

/// The answer of a request that ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The type of the body.
    pub content_type: String,
    /// The body; absent if it was too long to be kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

impl Answer {
    /// The longest body that is kept, in bytes.
    pub const BODY_LIMIT: usize = 4 * 1024;

    /// Returns an answer that keeps its body only if that is short.
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
