//! What a caller's connection does not take at once, up to a limit.
//!
//! Bytes are written to the connection as they are sent. Only if the caller reads more slowly are they
//! kept here, so that the server of a stream is read at its own pace.

use std::cell::Cell;
use std::cell::RefCell;
use std::io::IoSlice;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use h1::Error;
use h1::stream::Writer;

use crate::held::Account;
use crate::held::Charge;
use crate::held::Kind;

/// The number of bytes that are kept for one caller. A typical response is a tenth of it.
pub const LIMIT: usize = 256 * 1024;
/// The number of bytes of a response after which the caller may have no room for more.
const LONG_RESPONSE: usize = 16 * 1024;
/// The unit in which the buffer grows, in bytes.
const GROWTH: usize = 16 * 1024;

/// The bytes that a caller's connection has not taken yet.
#[derive(Debug)]
pub struct Outbox {
    writer: Writer,
    account: Rc<Account>,
    pending: RefCell<Vec<u8>>,
    charge: Charge,
    /// Signals that there are bytes to write.
    filled: (Sender<()>, Receiver<()>),
    /// Signals that bytes were written.
    written: (Sender<()>, Receiver<()>),
    /// The time for which the caller may read nothing.
    stall_limit: Cell<Duration>,
    /// The number of bytes that were sent.
    sent: Cell<usize>,
}

impl Outbox {
    /// Returns an empty outbox for a connection, which fails if the caller acknowledges nothing for
    /// `ack_timeout`.
    pub fn new(writer: Writer, account: Rc<Account>, ack_timeout: Duration) -> Self {
        writer.set_ack_timeout(ack_timeout);
        Self {
            writer,
            charge: account.charge(Kind::Stream),
            account,
            pending: RefCell::default(),
            filled: async_channel::bounded(1),
            written: async_channel::bounded(1),
            stall_limit: Cell::new(ack_timeout),
            sent: Cell::new(0),
        }
    }

    /// Returns the account of the caller's connection.
    pub fn account(&self) -> &Account {
        &self.account
    }

    /// Sets the time for which the caller may read nothing, if that is longer than the timeout for
    /// acknowledgements.
    pub fn set_stall_limit(&self, limit: Duration) {
        self.stall_limit.set(limit.max(self.stall_limit.get()));
    }

    /// Lets the caller read nothing for as long as was set. The kernel takes it for one that acknowledges
    /// nothing. While a response is short and not complete, this would only delay the end of a request whose
    /// caller is gone.
    pub fn allow_stall(&self) {
        self.writer.set_ack_timeout(self.stall_limit.get());
    }

    /// Returns the number of bytes that were sent so far.
    pub fn sent(&self) -> usize {
        self.sent.get()
    }

    /// Returns the number of bytes that the connection has not taken yet.
    pub fn len(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Returns whether the connection has taken all bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Writes as much as the connection takes and keeps the rest for [`Outbox::flush`].
    pub fn send(&self, bytes: &[u8]) -> Result<(), Error> {
        let mut rest = [IoSlice::new(bytes)];
        let mut rest = rest.as_mut_slice();
        let mut pending = self.pending.borrow_mut();
        if pending.is_empty() {
            self.writer.try_write(&mut rest)?;
        }
        self.sent.set(self.sent.get() + bytes.len());
        if self.sent.get() >= LONG_RESPONSE {
            self.allow_stall();
        }
        let Some(rest) = rest.first() else {
            return Ok(());
        };
        let length = pending.len() + rest.len();
        if length > pending.capacity() {
            let additional = length.next_multiple_of(GROWTH) - pending.len();
            pending.reserve_exact(additional);
        }
        pending.extend_from_slice(rest);
        self.charge.set(pending.capacity());
        // The channel holds one signal. If one is already there, this one is not needed.
        let _ = self.filled.0.try_send(());
        Ok(())
    }

    /// Writes all parts without keeping a copy, and completes once the connection has taken them.
    pub async fn write(&self, mut parts: &mut [IoSlice<'_>]) -> Result<(), Error> {
        let length: usize = parts.iter().map(|it| it.len()).sum();
        self.sent.set(self.sent.get() + length);
        loop {
            self.writer.try_write(&mut parts)?;
            if parts.is_empty() {
                return Ok(());
            }
            self.writable().await?;
        }
    }

    /// Writes what is kept as the caller reads. Completes if the connection fails.
    pub async fn flush(&self) -> Error {
        loop {
            if self.is_empty() {
                // The sender lives as long as this outbox.
                let _ = self.filled.1.recv().await;
                continue;
            }
            if let Err(error) = self.writable().await {
                return error;
            }
            if let Err(error) = self.write_pending() {
                return error;
            }
            let _ = self.written.0.try_send(());
        }
    }

    /// Completes once there is room for `length` more bytes. Any number has room in an empty outbox.
    pub async fn room(&self, length: usize) {
        while !self.is_empty() && self.len() + length > LIMIT {
            let _ = self.written.1.recv().await;
        }
    }

    /// Returns whether there is room for `length` more bytes.
    pub fn has_room(&self, length: usize) -> bool {
        self.is_empty() || self.len() + length <= LIMIT
    }

    /// Completes once the connection has taken all bytes.
    pub async fn emptied(&self) {
        while !self.is_empty() {
            let _ = self.written.1.recv().await;
        }
    }

    fn write_pending(&self) -> Result<(), Error> {
        let mut pending = self.pending.borrow_mut();
        let left = {
            let mut rest = [IoSlice::new(&pending)];
            let mut rest = rest.as_mut_slice();
            self.writer.try_write(&mut rest)?;
            rest.first().map_or(0, |it| it.len())
        };
        let written = pending.len() - left;
        pending.drain(..written);
        if pending.is_empty() {
            *pending = Vec::new();
        }
        self.charge.set(pending.capacity());
        Ok(())
    }

    /// Waits until the connection takes bytes.
    async fn writable(&self) -> Result<(), Error> {
        self.allow_stall();
        self.writer.writable().await
    }
}
