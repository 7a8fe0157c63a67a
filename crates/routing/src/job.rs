//! Jobs: admitted requests that wait for an engine.

use std::time::Duration;

use domain::Length;
use domain::Moment;

/// The number of a request, unique within the entry process that admitted it.
pub type Id = u64;

/// An admitted request that waits for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The request's number.
    pub id: Id,
    /// The customer that sent the request, and its firm.
    pub tenant: Tenant,
    /// The requested model.
    pub model: String,
    /// The prompt's length in tokens.
    pub prompt_tokens: u64,
    /// The maximum length of the answer in tokens.
    pub answer_tokens: u64,
    /// The moment of admission.
    pub admitted: Moment,
    /// The moment by which the request must be finished.
    pub deadline: Moment,
    /// The digest of the start of the prompt. Prompts with equal starts can share cached KV memory.
    pub prefix: u64,
    /// Engines that failed the job before. They are skipped until all engines have failed it.
    pub excluded: Vec<String>,
    /// The number of engines that failed the job.
    pub failures: u32,
    /// The number of engines that had no memory for the job.
    pub memory_refusals: u32,
}

/// A customer and its firm, with their weights in fair queueing.
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
    /// Returns the length class of the prompt.
    pub fn length(&self) -> Length {
        Length::of(self.prompt_tokens)
    }

    /// Returns the KV memory that the job needs, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.answer_tokens
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: Moment) -> Duration {
        now.until(self.deadline)
    }
}
