//! Limits: a customer's contract holds across all entries.
//!
//! Each contract has a home entry, which hands out short allotments from one [`Bucket`] for each
//! limit. An entry keeps what it was given in a [`Allotment`] and admits from it without asking. When
//! the home can't be reached, an entry keeps to its static share of the contract.
//!
//! A home only hands out the share of the contract that belongs to the entries it can reach, so
//! that two homes in two halves of a cut network stay within the contract together.
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

/// What an entry asks a home for.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The entry.
    pub entry: Incarnation,
    /// Whose contract.
    pub customer: String,
    /// Prompt tokens needed now; without them the request is refused.
    pub tokens: u64,
    /// Prompt tokens that will likely be needed soon.
    pub tokens_ahead: u64,
    /// Requests needed now.
    pub requests: u64,
    /// Requests that will likely be needed soon.
    pub requests_ahead: u64,
    /// Requests in progress at the entry, those asked for included.
    pub running: u64,
    /// Unused tokens that the entry gives back.
    pub tokens_back: u64,
    /// Unused requests that the entry gives back.
    pub requests_back: u64,
}

/// What a home answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Grant {
    /// Prompt tokens.
    pub tokens: u64,
    /// Requests.
    pub requests: u64,
    /// Whether the entry should tell at once when a request ends: few slots are left.
    pub is_near_limit: bool,
    /// Why nothing was granted; absent if all that was needed was.
    pub refusal: Option<Refusal>,
}

/// Why a request is over a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Which limit.
    pub limit: Limit,
    /// When it is worth coming back.
    pub wait: Duration,
}

/// A limit of a contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Prompt tokens a second.
    Tokens,
    /// Requests a second.
    Requests,
    /// Requests in progress.
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
