//! Jobs: admitted requests that wait for an engine.

use std::time::Duration;

use domain::Length;
use domain::Moment;

/// The number that an entry gives an admitted request, unique in its process.
pub type Id = u64;

/// An admitted request that waits for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The request's number.
    pub id: Id,
    /// Whose request it is.
    pub tenant: Tenant,
    /// The model that it wants.
    pub model: String,
    /// The prompt's length in tokens.
    pub prompt_tokens: u64,
    /// The longest answer in tokens.
    pub answer_tokens: u64,
    /// When it was admitted.
    pub admitted: Moment,
    /// When it has to be finished.
    pub deadline: Moment,
    /// Digest of the start of the prompt; equal starts can share cached KV memory.
    pub prefix: u64,
    /// Engines that failed it before.
    pub excluded: Vec<String>,
    /// How many engines failed it.
    pub failures: u32,
    /// How many engines had no memory for it.
    pub memory_refusals: u32,
}

/// A customer and its firm, with their weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The firm.
    pub firm: String,
    /// The weight of the firm in the shared fleet.
    pub firm_weight: u64,
    /// The customer.
    pub customer: String,
    /// The weight of the customer within its firm.
    pub customer_weight: u64,
}

impl Job {
    /// Returns the class of its prompt.
    pub fn length(&self) -> Length {
        Length::of(self.prompt_tokens)
    }

    /// Returns the KV memory that it needs, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.answer_tokens
    }

    /// Returns the time left at `now`.
    pub fn time_left(&self, now: Moment) -> Duration {
        now.until(self.deadline)
    }
}
