//! The limits of one contract, or of a share of it.

use domain::Contract;

/// The limits of one contract, or of a share of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Prompt tokens per second.
    pub tokens_per_second: f64,
    /// Prompt tokens that may be sent at once.
    pub burst_tokens: f64,
    /// Requests per second.
    pub requests_per_second: f64,
    /// Requests that may be sent at once.
    pub burst_requests: f64,
    /// Concurrent requests.
    pub concurrent_requests: f64,
}

impl Terms {
    /// Returns the share of `count` out of `total` entries.
    pub fn share(self, count: usize, total: usize) -> Self {
        let factor = count.min(total) as f64 / total.max(1) as f64;
        Self {
            tokens_per_second: self.tokens_per_second * factor,
            burst_tokens: self.burst_tokens * factor,
            requests_per_second: self.requests_per_second * factor,
            burst_requests: (self.burst_requests * factor).max(1.0),
            concurrent_requests: (self.concurrent_requests * factor).max(1.0),
        }
    }
}

impl From<&Contract> for Terms {
    fn from(contract: &Contract) -> Self {
        Self {
            tokens_per_second: contract.tokens_per_second as f64,
            burst_tokens: contract.burst_tokens as f64,
            requests_per_second: contract.requests_per_second as f64,
            burst_requests: contract.burst_requests as f64,
            concurrent_requests: contract.concurrent_requests as f64,
        }
    }
}
