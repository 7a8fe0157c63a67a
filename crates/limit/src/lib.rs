//! Limits: enforces the limits of a customer's contract across all entries.
//!
//! Each contract has a home entry, which grants short-lived allotments from one [`Bucket`] for
//! each limit. An entry keeps what it was granted in an [`Allotment`] and admits requests from it
//! without asking the home. While the home can't be reached, an entry falls back to its static
//! share of the contract.
//!
//! A home only grants the share of the contract that belongs to the entries that it can reach, so
//! that two homes on either side of a network partition together stay within the contract.
//!
//! Architecture invariant: this crate does no I/O and never reads a clock.

pub mod allotment;
pub mod bucket;
pub mod home;
pub mod terms;

pub use allotment::Allotment;
pub use bucket::Bucket;
pub use home::Home;
pub use terms::Terms;

use std::time::Duration;

use domain::key::Incarnation;

/// A request of an entry for an allotment from a home.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The entry that asks.
    pub entry: Incarnation,
    /// The customer of the contract.
    pub customer: String,
    /// Prompt tokens needed now; if they aren't granted, the request is rejected.
    pub tokens: u64,
    /// Prompt tokens that will probably be needed soon.
    pub tokens_ahead: u64,
    /// Requests needed now.
    pub requests: u64,
    /// Requests that will probably be needed soon.
    pub requests_ahead: u64,
    /// Requests in progress at the entry, including those asked for.
    pub running: u64,
    /// Unused tokens that the entry returns.
    pub tokens_back: u64,
    /// Unused requests that the entry returns.
    pub requests_back: u64,
}

/// A home's answer to an [`Ask`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Grant {
    /// The granted prompt tokens.
    pub tokens: u64,
    /// The granted requests.
    pub requests: u64,
    /// Whether few concurrent requests are left, so that the entry reports each end at once.
    pub is_near_limit: bool,
    /// Why nothing was granted; `None` if everything that is needed now was granted.
    pub refusal: Option<Refusal>,
}

/// Why a request was rejected by a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The limit that was exceeded.
    pub limit: Limit,
    /// The time after which a retry can succeed.
    pub wait: Duration,
}

/// A limit of a contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Prompt tokens per second.
    Tokens,
    /// Requests per second.
    Requests,
    /// Concurrent requests.
    Concurrency,
}

impl Limit {
    /// Returns the field of the contract that sets this limit.
    pub fn field(self) -> &'static str {
        match self {
            Self::Tokens => "tokens_per_second",
            Self::Requests => "requests_per_second",
            Self::Concurrency => "concurrent_requests",
        }
    }
}
