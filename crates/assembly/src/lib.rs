//! Assembly: turns the chunks of one or more attempts into one whole answer in order.
//!
//! Engines and networks deliver chunks late, twice and out of order, and an attempt that was given
//! up may go on sending. A [`Stream`] accepts the chunks of the present attempt only, hands out
//! each index once and in order, says where a new attempt has to resume, and calls the answer whole
//! only when the announced count has been handed out.
//!
//! Architecture invariant: this crate does no I/O and never reads a clock.

use std::collections::BTreeMap;

/// The number of chunks that may wait for an earlier one before the attempt counts as broken.
pub const WAITING_LIMIT: usize = 4_096;

/// One piece of an answer, as an engine sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The attempt that the engine was given.
    pub attempt: u32,
    /// The position in the answer, in tokens from zero.
    pub index: u64,
    /// The text of the token.
    pub text: String,
}

/// The end of an answer, as an engine announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// The attempt that the engine was given.
    pub attempt: u32,
    /// The number of tokens in the whole answer.
    pub count: u64,
}

/// The state of one answer.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    attempt: u32,
    next: u64,
    waiting: BTreeMap<u64, String>,
    count: Option<u64>,
}

/// A reason to give up the present attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The attempt announced an end before text that was already handed out.
    #[error("the engine announced {count} tokens after sending {sent}: resume elsewhere")]
    ShortCount {
        /// The announced count.
        count: u64,
        /// The number of tokens handed out.
        sent: u64,
    },
    /// Too many chunks wait for one that does not come.
    #[error("chunk {index} did not come: resume from it")]
    MissingChunk {
        /// The index of the missing chunk.
        index: u64,
    },
}

impl Stream {
    /// Starts a new attempt. Returns the index that it has to resume from.
    pub fn resume(&mut self, attempt: u32) -> u64 {
        self.attempt = attempt;
        self.waiting.clear();
        self.count = None;
        self.next
    }

    /// Takes one chunk. Returns the text that can be handed out now, in order.
    pub fn push(&mut self, chunk: Chunk) -> Result<Vec<String>, Error> {
        if chunk.attempt != self.attempt || chunk.index < self.next {
            return Ok(Vec::new());
        }
        self.waiting.insert(chunk.index, chunk.text);
        let mut ready = Vec::new();
        while let Some(text) = self.waiting.remove(&self.next) {
            ready.push(text);
            self.next += 1;
        }
        if self.waiting.len() > WAITING_LIMIT {
            return Err(Error::MissingChunk { index: self.next });
        }
        Ok(ready)
    }

    /// Takes the announcement of the end.
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
        self.count = Some(end.count);
        Ok(())
    }

    /// Tells whether everything up to the announced count was handed out.
    pub fn is_complete(&self) -> bool {
        self.count == Some(self.next)
    }

    /// Returns the number of tokens handed out.
    pub fn sent(&self) -> u64 {
        self.next
    }
}
