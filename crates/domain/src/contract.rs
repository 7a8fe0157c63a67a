//! Contracts: what one customer of a firm may claim of the shared fleet.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The contract of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The customer's name, unique in the whole co-operative.
    pub customer: String,
    /// The firm whose customer this is.
    pub firm: String,
    /// SHA-256 digests of the customer's bearer keys, as hexadecimal digits.
    pub key_hashes: Vec<String>,
    /// Prompt tokens a second in steady use.
    pub tokens_per_second: u64,
    /// Prompt tokens that may be sent at once after a pause.
    pub burst_tokens: u64,
    /// Requests a second in steady use.
    pub requests_per_second: u64,
    /// Requests that may be sent at once after a pause.
    pub burst_requests: u64,
    /// Requests that may be in progress at the same time.
    pub concurrent_requests: u64,
    /// The longest prompt, in tokens.
    pub longest_prompt_tokens: u64,
    /// The time in which each request finishes or fails, in milliseconds.
    pub time_limit_ms: u64,
    /// The weight of this customer among those of its firm, and of the firm by their sum.
    pub share: u64,
    /// Higher goes first among the requests of one customer class, from 0 to 9.
    #[serde(default)]
    pub priority: u8,
    /// Start of validity, in seconds since the Unix epoch.
    #[serde(default)]
    pub valid_from_s: u64,
    /// End of validity, in seconds since the Unix epoch; absent means for good.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub valid_until_s: Option<u64>,
}

impl Contract {
    /// Returns the time in which each request finishes or fails.
    pub fn time_limit(&self) -> Duration {
        Duration::from_millis(self.time_limit_ms)
    }

    /// Tells whether the contract is valid at `since_epoch` after the Unix epoch.
    pub fn is_valid(&self, since_epoch: Duration) -> bool {
        let now = since_epoch.as_secs();
        self.valid_from_s <= now && self.valid_until_s.is_none_or(|end| now < end)
    }
}
