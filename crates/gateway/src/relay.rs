//! Writes the answer to a caller, either whole or as a stream of events from one or more servers.

use std::time::Duration;

use h1::Error;
use h1::Framing;
use h1::Response;
use h1::body;
use h1::stream::Writer;

use crate::Node;

/// Writes an answer to a caller.
#[derive(Debug)]
pub struct Answer {
    writer: Writer,
    is_persistent: bool,
    state: State,
}

/// Whether a connection stays open after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// It can carry another request.
    Keep,
    /// It is to be closed.
    Close,
}

/// How much of an answer was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing was sent.
    NotBegun,
    /// The head and possibly some events were sent.
    Begun,
    /// The whole answer was sent.
    Complete,
}

impl Answer {
    /// Returns an answer of which nothing was sent. `is_persistent` says whether the connection
    /// stays open after it.
    pub fn new(writer: Writer, is_persistent: bool) -> Self {
        Self {
            writer,
            is_persistent,
            state: State::NotBegun,
        }
    }

    /// Returns how much of the answer was sent.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether the connection stays open. It is closed after an incomplete answer.
    pub fn disposition(&self) -> Disposition {
        if self.is_persistent && self.state == State::Complete {
            Disposition::Keep
        } else {
            Disposition::Close
        }
    }

    /// Sends a whole answer.
    pub async fn send_whole(&mut self, mut response: Response, body: &[u8]) -> Result<(), Error> {
        response.headers.strip_hop_by_hop();
        response.is_persistent = self.is_persistent;
        if response.framing != Framing::Empty {
            response.framing = Framing::Length(body.len() as u64);
        }
        let mut bytes = response.encode();
        bytes.extend_from_slice(body);
        self.state = State::Begun;
        self.writer.write(&bytes).await?;
        self.state = State::Complete;
        Ok(())
    }

    /// Sends the head of a stream and its first events.
    pub async fn begin_stream(
        &mut self,
        mut response: Response,
        events: &[u8],
    ) -> Result<(), Error> {
        response.headers.strip_hop_by_hop();
        response.is_persistent = self.is_persistent;
        response.framing = Framing::Chunked;
        let mut bytes = response.encode();
        body::encode_chunk(events, &mut bytes);
        self.state = State::Begun;
        self.writer.write(&bytes).await
    }

    /// Sends further events.
    pub async fn send_events(&mut self, events: &[u8]) -> Result<(), Error> {
        let mut bytes = Vec::with_capacity(events.len() + 16);
        body::encode_chunk(events, &mut bytes);
        self.writer.write(&bytes).await
    }

    /// Sends the last events of a stream and ends it.
    pub async fn end_stream(&mut self, events: &[u8]) -> Result<(), Error> {
        let mut bytes = Vec::with_capacity(events.len() + 16);
        body::encode_chunk(events, &mut bytes);
        bytes.extend_from_slice(body::LAST_CHUNK);
        self.writer.write(&bytes).await?;
        self.state = State::Complete;
        Ok(())
    }

    /// Sends an answer that the gateway generates itself.
    pub async fn refuse(
        mut self,
        node: &Node,
        status: u16,
        id: Option<&str>,
        retry_after: Option<Duration>,
    ) -> Disposition {
        let response = node.protocol.refusal(status, id, retry_after);
        if let Err(error) = self.send_whole(response, b"").await {
            log::debug!(target: "front", status, error:% = error; "the caller disconnected before the answer was sent");
        }
        self.disposition()
    }
}
