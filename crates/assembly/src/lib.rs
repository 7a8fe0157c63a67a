//! Reassembly of the chunks of one or more attempts into one complete, ordered answer.
//!
//! Engines and networks may deliver chunks late, twice and out of order, and an abandoned attempt
//! may continue to send. A [`Stream`] accepts only chunks of the current attempt, delivers each
//! index once and in order, returns the index from which a new attempt has to resume, and reports
//! the answer as complete only when the announced number of chunks has been delivered.
//!
//! Architecture invariant: this crate does no I/O and never reads a clock.

use std::collections::BTreeMap;

/// The maximum number of chunks that may be buffered behind a missing one. With more, the attempt
/// fails.
pub const WAITING_LIMIT: usize = 4_096;

/// The maximum length of the text of a chunk, in bytes. Tokens are far shorter.
pub const TEXT_LIMIT: usize = 4_096;

/// One piece of an answer, as an engine sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The number of the attempt, as the engine received it.
    pub attempt: u32,
    /// The position in the answer, in tokens, starting at zero.
    pub index: u64,
    /// The text of the token.
    pub text: String,
}

/// The end of an answer, as announced by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// The number of the attempt, as the engine received it.
    pub attempt: u32,
    /// The number of tokens in the complete answer.
    pub count: u64,
}

/// The reassembly state of one answer.
#[derive(Clone, Debug)]
pub struct Stream {
    attempt: u32,
    /// The maximum number of tokens.
    limit: u64,
    next: u64,
    out_of_order: BTreeMap<u64, String>,
    count: Option<u64>,
}

/// A reason to abandon the current attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The announced count is lower than the number of tokens already delivered.
    #[error(
        "the engine announced {count} tokens after {sent} were delivered: resume on another engine"
    )]
    ShortCount {
        /// The announced count.
        count: u64,
        /// The number of tokens delivered.
        sent: u64,
    },
    /// The engine sent or announced more than was asked for. Without this check, a faulty one could fill the memory.
    #[error("the engine sent more than the {limit} tokens asked for: resume on another engine")]
    TooLong {
        /// The maximum number of tokens.
        limit: u64,
    },
    /// Too many chunks are buffered behind a missing one.
    #[error("chunk {index} did not arrive: resume from it")]
    MissingChunk {
        /// The index of the missing chunk.
        index: u64,
    },
}

impl Stream {
    /// Returns the state of an answer of which nothing has arrived, and which has at most `limit` tokens.
    pub fn new(limit: u64) -> Self {
        Self {
            attempt: 0,
            limit,
            next: 0,
            out_of_order: BTreeMap::new(),
            count: None,
        }
    }

    /// Starts a new attempt. Returns the index that it has to resume from.
    pub fn resume(&mut self, attempt: u32) -> u64 {
        self.attempt = attempt;
        self.out_of_order.clear();
        self.count = None;
        self.next
    }

    /// Adds one chunk. Returns the text that can now be delivered, in order.
    pub fn push(&mut self, chunk: Chunk) -> Result<Vec<String>, Error> {
        if chunk.attempt != self.attempt || chunk.index < self.next {
            return Ok(Vec::new());
        }
        if chunk.index >= self.limit || chunk.text.len() > TEXT_LIMIT {
            return Err(Error::TooLong { limit: self.limit });
        }
        self.out_of_order.insert(chunk.index, chunk.text);
        let mut ready = Vec::new();
        while let Some(text) = self.out_of_order.remove(&self.next) {
            ready.push(text);
            self.next += 1;
        }
        if self.out_of_order.len() > WAITING_LIMIT {
            return Err(Error::MissingChunk { index: self.next });
        }
        Ok(ready)
    }

    /// Records the announced end.
    pub fn end(&mut self, end: End) -> Result<(), Error> {
        if end.attempt != self.attempt {
            return Ok(());
        }
        if end.count < self.next {
            return Err(Error::ShortCount {
                count: end.count,
                sent: self.next,
            });
        }
        if end.count > self.limit {
            return Err(Error::TooLong { limit: self.limit });
        }
        self.count = Some(end.count);
        Ok(())
    }

    /// Returns whether all tokens up to the announced count have been delivered.
    pub fn is_complete(&self) -> bool {
        self.count == Some(self.next)
    }

    /// Returns the number of tokens delivered.
    pub fn sent(&self) -> u64 {
        self.next
    }
}
