//! Services and the engines that some of them run on.

/// A service: instances of one program that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name by which routes refer to it.
    pub name: String,
    /// The connections that one instance accepts from all entries together.
    pub connections: usize,
    /// The engine that its instances run on, if it generates text.
    pub engine: Option<Engine>,
}

/// The published figures of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that one batch holds.
    pub slots: usize,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Token steps in one pass that includes a writer.
    pub steps_per_pass: u32,
    /// Milliseconds of a token step.
    pub step_ms: f64,
    /// Milliseconds that each writer adds to a step.
    pub sequence_ms: f64,
    /// Milliseconds that 1,000 tokens of a writer's context add to a step.
    pub context_ms_per_k: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds that a million pairs of a prompt's tokens add to reading it.
    pub pairs_ms_per_m: f64,
    /// Prompt tokens read in one step at most.
    pub prefill_chunk: u64,
    /// The usual number of tokens in an answer.
    pub usual_answer_tokens: u64,
}

impl Engine {
    /// Returns the milliseconds that it takes to read a prompt alone.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        let pairs = (tokens as f64).powi(2) / 2.0;
        tokens as f64 / self.prefill_tokens_per_ms + pairs / 1e6 * self.pairs_ms_per_m
    }

    /// Returns the milliseconds of a pass with some writers that hold `context` tokens in all,
    /// without what is read in it.
    pub fn pass_ms(&self, writers: usize, context: u64) -> f64 {
        let step = self.step_ms
            + self.sequence_ms * writers as f64
            + self.context_ms_per_k * context as f64 / 1e3;
        step * f64::from(self.steps_per_pass)
    }
}
