//! Contracts: the limits and the weight of a firm's customer in the shared fleet.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The contract of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The customer's name, unique across all firms.
    pub customer: String,
    /// The firm that the customer belongs to.
    pub firm: String,
    /// The SHA-256 digests of the customer's bearer keys, as hexadecimal digits.
    pub key_hashes: Vec<String>,
    /// The sustained rate limit, in prompt tokens per second.
    pub tokens_per_second: u64,
    /// The largest burst after an idle period, in prompt tokens.
    pub burst_tokens: u64,
    /// The sustained rate limit, in requests per second.
    pub requests_per_second: u64,
    /// The largest burst after an idle period, in requests.
    pub burst_requests: u64,
    /// The maximum number of requests in progress at the same time.
    pub concurrent_requests: u64,
    /// The maximum length of a prompt, in tokens.
    pub longest_prompt_tokens: u64,
    /// The time limit of a request, in milliseconds.
    pub time_limit_ms: u64,
    /// The weight of this customer among the customers of its firm.
    pub share: u64,
    /// The priority among requests of the same class, from 0 to 9. Higher goes first.
    #[serde(default)]
    pub priority: u8,
    /// The start of validity, in seconds since the Unix epoch.
    #[serde(default)]
    pub valid_from_s: u64,
    /// The end of validity, in seconds since the Unix epoch; `None` if the contract doesn't expire.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub valid_until_s: Option<u64>,
}

impl Contract {
    /// Returns the time limit of a request.
    pub fn time_limit(&self) -> Duration {
        Duration::from_millis(self.time_limit_ms)
    }

    /// Returns whether the contract is valid at `since_epoch` after the Unix epoch.
    pub fn is_valid(&self, since_epoch: Duration) -> bool {
        let now = since_epoch.as_secs();
        self.valid_from_s <= now && self.valid_until_s.is_none_or(|end| now < end)
    }
}
