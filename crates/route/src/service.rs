//! Services, and the performance figures of the engines that some of them run on.

use std::time::Duration;

/// A service: a set of instances of one program that handle the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name that routes refer to.
    pub name: String,
    /// The maximum number of connections to one instance from all entry instances together.
    pub connections: usize,
    /// The engine that the instances run, if the service generates text.
    pub engine: Option<Engine>,
    /// How long an instance is cold after it starts, and what it can take then; `None` if instances
    /// are never cold.
    pub cold_start: Option<ColdStart>,
}

/// The time after its start in which a server takes only a few requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long a server is cold unless it states otherwise.
    pub duration: Duration,
    /// The requests a second that it can take meanwhile; more than zero.
    pub per_s: f64,
}

/// The published performance figures of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The maximum number of requests in one batch.
    pub slots: usize,
    /// The size of the KV memory, in tokens.
    pub memory_tokens: u64,
    /// The number of decode steps in one scheduler pass that includes a decoding sequence.
    pub steps_per_pass: u32,
    /// The base time of a decode step, in milliseconds.
    pub step_ms: f64,
    /// The time that each decoding sequence adds to a step, in milliseconds.
    pub sequence_ms: f64,
    /// The time that 1,000 tokens of decoding context add to a step, in milliseconds.
    pub context_ms_per_k: f64,
    /// The number of prompt tokens prefilled per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// The time that one million token pairs of a prompt (attention) add to its prefill, in
    /// milliseconds.
    pub pairs_ms_per_m: f64,
    /// The maximum number of prompt tokens prefilled in one step.
    pub prefill_chunk: u64,
    /// The typical number of tokens in an answer.
    pub usual_answer_tokens: u64,
}

impl Engine {
    /// Returns the time for the prefill of a prompt without other load, in milliseconds.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        let pairs = (tokens as f64).powi(2) / 2.0;
        tokens as f64 / self.prefill_tokens_per_ms + pairs / 1e6 * self.pairs_ms_per_m
    }

    /// Returns the time of a pass with `sequences` decoding sequences that hold `context` tokens in
    /// total, in milliseconds. Prefill work in the pass isn't included.
    pub fn pass_ms(&self, sequences: usize, context: u64) -> f64 {
        let step = self.step_ms
            + self.sequence_ms * sequences as f64
            + self.context_ms_per_k * context as f64 / 1e3;
        step * f64::from(self.steps_per_pass)
    }
}
