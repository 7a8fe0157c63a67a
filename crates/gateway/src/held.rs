//! Answers of backend servers that are kept in memory whole, and the memory that all of them share.

use std::cell::Cell;
use std::rc::Rc;

use h1::Error;
use h1::Stream;
use h1::body::Decoder;

/// The size limit of one answer's body, in bytes.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// The memory that the bodies of answers use.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    used: Rc<Cell<usize>>,
}

/// The body of an answer. Its size counts towards the memory until it is dropped.
#[derive(Debug)]
pub struct Body {
    /// The bytes that were read.
    pub bytes: Vec<u8>,
    counted: usize,
    memory: Memory,
}

impl Memory {
    /// Reads a whole body. Fails if it is too long, or if all bodies together exceed `limit` bytes.
    pub async fn read(
        &self,
        stream: &mut Stream,
        decoder: &mut Decoder,
        limit: usize,
    ) -> Result<Body, Error> {
        let mut body = Body {
            bytes: Vec::new(),
            counted: 0,
            memory: self.clone(),
        };
        let mut has_more = true;
        while has_more {
            has_more = stream.read_body(decoder, &mut body.bytes).await?;
            body.count();
            if body.bytes.len() > BODY_LIMIT {
                return Err(Error::BodyTooLong(BODY_LIMIT));
            }
            if self.used.get() > limit {
                return Err(Error::NoMemory(limit));
            }
        }
        Ok(body)
    }
}

impl Body {
    /// Counts what was allocated since the last call.
    fn count(&mut self) {
        let used = &self.memory.used;
        used.set(used.get() - self.counted + self.bytes.capacity());
        self.counted = self.bytes.capacity();
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        let used = &self.memory.used;
        used.set(used.get() - self.counted);
    }
}
