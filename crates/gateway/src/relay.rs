//! Writes the answer to a caller, either whole or as a stream of events from one or more servers.

use std::io::IoSlice;
use std::rc::Rc;
use std::time::Duration;

use h1::Error;
use h1::Framing;
use h1::Response;
use h1::body;

use crate::Node;
use crate::outbox::Outbox;

/// Writes an answer to a caller.
#[derive(Debug)]
pub struct Answer {
    outbox: Rc<Outbox>,
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
    /// It is to be closed at once, and what the caller has not read is discarded.
    Discard,
}

/// How much of an answer was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing was sent.
    NotBegun,
    /// The head and possibly some events were sent, or are kept until the caller reads them.
    Begun,
    /// The whole answer was sent, or is kept until the caller reads it.
    Complete,
}

impl Answer {
    /// Returns an answer of which nothing was sent. `is_persistent` says whether the connection
    /// stays open after it.
    pub fn new(outbox: Rc<Outbox>, is_persistent: bool) -> Self {
        Self {
            outbox,
            is_persistent,
            state: State::NotBegun,
        }
    }

    /// Returns how much of the answer was sent.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns what the caller's connection has not taken yet.
    pub fn outbox(&self) -> &Rc<Outbox> {
        &self.outbox
    }

    /// Closes the connection after the answer.
    pub fn close_after(&mut self) {
        self.is_persistent = false;
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
        let head = response.encode();
        self.state = State::Begun;
        let mut parts = [IoSlice::new(&head), IoSlice::new(body)];
        self.outbox.write(&mut parts).await?;
        self.state = State::Complete;
        Ok(())
    }

    /// Sends the head of a stream, if it was not sent before, and events.
    pub fn send_events(&mut self, head: Option<Response>, events: &[u8]) -> Result<(), Error> {
        let bytes = self.encode_events(head, events);
        self.outbox.send(&bytes)
    }

    /// Sends the last events of a stream and ends it.
    pub fn end_stream(&mut self, head: Option<Response>, events: &[u8]) -> Result<(), Error> {
        let mut bytes = self.encode_events(head, events);
        bytes.extend_from_slice(body::LAST_CHUNK);
        self.outbox.send(&bytes)?;
        self.state = State::Complete;
        Ok(())
    }

    fn encode_events(&mut self, head: Option<Response>, events: &[u8]) -> Vec<u8> {
        let mut bytes = match head {
            Some(mut response) => {
                response.headers.strip_hop_by_hop();
                response.is_persistent = self.is_persistent;
                response.framing = Framing::Chunked;
                self.state = State::Begun;
                response.encode()
            }
            None => Vec::with_capacity(events.len() + 24),
        };
        body::encode_chunk(events, &mut bytes);
        bytes
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
