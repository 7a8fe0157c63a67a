//! TCP connection with a read buffer for HTTP messages.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::io::IoSlice;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use futures_lite::AsyncWriteExt;
use socket2::SockRef;
use socket2::TcpKeepalive;

use crate::Error;
use crate::Request;
use crate::Response;
use crate::body::Decoder;

/// The number of bytes requested in each read.
const READ_SIZE: usize = 16 * 1024;
/// The number of bytes that the kernel keeps beyond those that the peer has room for. It would otherwise
/// keep up to 4 MiB for a peer that reads slowly.
const UNSENT_LIMIT: u32 = 64 * 1024;

/// The capacity that an empty read buffer keeps while nothing is expected, in bytes. Thousands of connections
/// may be open at the same time.
const IDLE_CAPACITY: usize = 2 * 1024;

/// The shortest time after which a connection fails if its peer acknowledges nothing. On an idle connection, it
/// also decides when keep-alive probes give up, whatever their number. The kernel sends one a second at most and
/// gives up when it would send the next, so a silence survives if it is two probes shorter than this time. A
/// healthy peer may be silent for up to 2 s.
pub const SHORTEST_ACK_TIMEOUT: Duration = Duration::from_secs(4);
/// The number of intervals between keep-alive probes within that time.
const PROBE_INTERVALS: u32 = 4;

thread_local! {
    /// Where all connections read to, so that none keeps a buffer of this size.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_SIZE]);
}

/// A connection with a read buffer.
#[derive(Debug)]
pub struct Stream {
    socket: Rc<Socket>,
    buffer: Vec<u8>,
    /// Whether there was a read since other tasks could run.
    has_read: bool,
}

/// The writing side of a connection.
#[derive(Clone, Debug)]
pub struct Writer {
    socket: Rc<Socket>,
}

/// What both sides of a connection share.
#[derive(Debug)]
struct Socket {
    io: Async<TcpStream>,
    /// The time after which the connection fails if the peer acknowledges nothing.
    ack_timeout: Cell<Duration>,
    /// How the connection failed. The kernel reports a failure only once, to the side that reads or writes next. After
    /// that, a read returns the end of the connection, as if the peer had closed it.
    failure: Cell<Option<io::ErrorKind>>,
}

impl Socket {
    /// Reads what is there. Returns 0 only if the peer has closed the connection.
    fn read(&self, bytes: &mut [u8]) -> io::Result<usize> {
        let length = self.record((&mut self.io.get_ref()).read(bytes))?;
        match self.failure.get() {
            Some(kind) if length == 0 => Err(kind.into()),
            _ => Ok(length),
        }
    }

    /// Records the error of an operation if the connection has failed. A broken pipe is no failure: this side can't
    /// write any more, but may still read until the peer's end.
    fn record<T>(&self, result: io::Result<T>) -> io::Result<T> {
        if let Err(error) = &result {
            match error.kind() {
                io::ErrorKind::WouldBlock
                | io::ErrorKind::Interrupted
                | io::ErrorKind::BrokenPipe => {}
                kind => self.failure.set(Some(kind)),
            }
        }
        result
    }
}

impl Writer {
    /// Writes all bytes.
    pub async fn write(&self, bytes: &[u8]) -> Result<(), Error> {
        let written = (&self.socket.io).write_all(bytes).await;
        Ok(self.socket.record(written)?)
    }

    /// Writes all parts, together as far as the connection takes them.
    pub async fn write_parts(&self, mut parts: &mut [IoSlice<'_>]) -> Result<(), Error> {
        loop {
            self.try_write(&mut parts)?;
            if parts.is_empty() {
                return Ok(());
            }
            self.writable().await?;
        }
    }

    /// Writes what the connection takes without waiting, and removes it from `parts`.
    pub fn try_write(&self, parts: &mut &mut [IoSlice<'_>]) -> Result<(), Error> {
        IoSlice::advance_slices(parts, 0);
        while !parts.is_empty() {
            let written = (&mut self.socket.io.get_ref()).write_vectored(parts);
            match self.socket.record(written) {
                Ok(0) => return Err(Error::Io(io::ErrorKind::WriteZero.into())),
                Ok(length) => IoSlice::advance_slices(parts, length),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(Error::Io(error)),
            }
        }
        Ok(())
    }

    /// Completes once the connection takes more bytes, or has failed.
    pub async fn writable(&self) -> Result<(), Error> {
        Ok(self.socket.io.writable().await?)
    }

    /// Sets the time after which the connection fails if the peer acknowledges nothing or reads nothing.
    /// The time is at least [`SHORTEST_ACK_TIMEOUT`].
    pub fn set_ack_timeout(&self, timeout: Duration) {
        let timeout = timeout.max(SHORTEST_ACK_TIMEOUT);
        if self.socket.ack_timeout.replace(timeout) != timeout {
            // Fails only for a connection that has already ended.
            let _ = SockRef::from(self.socket.io.get_ref()).set_tcp_user_timeout(Some(timeout));
        }
    }
}

impl Stream {
    /// Connects to `address`. The connection fails if the peer acknowledges nothing for
    /// `ack_timeout`. Without this timeout, writes would hang during a network partition.
    pub async fn connect(address: SocketAddr, ack_timeout: Duration) -> Result<Self, Error> {
        let socket = Async::<TcpStream>::connect(address).await?;
        Ok(Self::new(socket, ack_timeout)?)
    }

    /// Wraps a connected socket. The connection fails if the peer acknowledges nothing for `ack_timeout`, which
    /// is at least [`SHORTEST_ACK_TIMEOUT`].
    pub fn new(socket: Async<TcpStream>, ack_timeout: Duration) -> io::Result<Self> {
        let ack_timeout = ack_timeout.max(SHORTEST_ACK_TIMEOUT);
        let options = SockRef::from(socket.get_ref());
        options.set_tcp_nodelay(true)?;
        options.set_tcp_user_timeout(Some(ack_timeout))?;
        options.set_tcp_notsent_lowat(UNSENT_LIMIT)?;
        let interval = ack_timeout / PROBE_INTERVALS;
        let keepalive = TcpKeepalive::new()
            .with_time(interval)
            .with_interval(interval)
            .with_retries(PROBE_INTERVALS - 1);
        options.set_tcp_keepalive(&keepalive)?;
        Ok(Self {
            socket: Rc::new(Socket {
                io: socket,
                ack_timeout: Cell::new(ack_timeout),
                failure: Cell::default(),
            }),
            buffer: Vec::new(),
            has_read: false,
        })
    }

    /// Bounds what the kernel keeps of bytes that were received but not read. It would otherwise keep up to
    /// 32 MiB.
    pub fn limit_received(&self, bytes: usize) -> Result<(), Error> {
        // The kernel doubles the value to account for its own data.
        Ok(SockRef::from(self.socket.io.get_ref()).set_recv_buffer_size(bytes / 2)?)
    }

    /// Discards what the peer has not read yet when the connection is closed. The peer sees a reset.
    pub fn discard_on_close(&self) {
        // Fails only for a connection that has already ended.
        let _ = SockRef::from(self.socket.io.get_ref()).set_linger(Some(Duration::ZERO));
    }

    /// Returns the number of bytes in the read buffer.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns what is in the read buffer.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer
    }

    /// Reads more bytes into the buffer. Returns the number of bytes, which is 0 at the end of the
    /// connection. No byte is lost if the future is dropped before it completes.
    pub async fn fill(&mut self) -> Result<usize, Error> {
        if self.has_read {
            // What is read is processed before the next read, and a read may hold thousands of the shortest events.
            self.has_read = false;
            futures_lite::future::yield_now().await;
        }
        self.has_read = true;
        loop {
            match self.read_ready() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.has_read = false;
                    self.socket.io.readable().await?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return Ok(result?),
            }
        }
    }

    /// Reads what is there into the buffer.
    fn read_ready(&mut self) -> io::Result<usize> {
        SCRATCH.with_borrow_mut(|scratch| {
            let length = self.socket.read(scratch)?;
            self.buffer.extend_from_slice(&scratch[..length]);
            Ok(length)
        })
    }

    /// Completes once the connection ends or fails. Bytes that arrive until then are kept, up to
    /// `limit` of them.
    pub async fn closed(&mut self, limit: usize) {
        if self.buffer.is_empty() && self.buffer.capacity() > IDLE_CAPACITY {
            self.buffer = Vec::new();
        }
        while self.buffer.len() < limit {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        futures_lite::future::pending().await
    }

    /// Returns whether an idle connection can carry another request: the peer has neither sent
    /// anything nor closed it.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit(); 1];
        let peeked = SockRef::from(self.socket.io.get_ref()).peek(&mut byte);
        let is_open = peeked.is_err_and(|it| it.kind() == io::ErrorKind::WouldBlock);
        is_open && self.buffer.is_empty()
    }

    /// Completes when the first byte of a message has been received.
    pub async fn readable(&mut self) -> Result<(), Error> {
        if self.buffer.is_empty() && self.fill().await? == 0 {
            return Err(Error::Closed);
        }
        Ok(())
    }

    /// Reads the head of a request of at most `limit` bytes.
    pub async fn read_request(&mut self, limit: usize) -> Result<Request, Error> {
        loop {
            self.skip_blank_lines();
            if let Some((request, length)) = Request::parse(&self.buffer)? {
                if length > limit {
                    return Err(Error::HeadTooLong(limit));
                }
                self.buffer.drain(..length);
                return Ok(request);
            }
            if self.buffer.len() > limit {
                return Err(Error::HeadTooLong(limit));
            }
            self.fill_within_message().await?;
        }
    }

    /// Reads the head of a response to a request with `method`. Interim responses are skipped; all
    /// heads together may have `limit` bytes.
    pub async fn read_response(&mut self, method: &str, limit: usize) -> Result<Response, Error> {
        let mut skipped = 0;
        loop {
            if let Some((response, length)) = Response::parse(&self.buffer, method)? {
                self.buffer.drain(..length);
                if !response.is_interim() {
                    return Ok(response);
                }
                skipped += length;
                if skipped <= limit {
                    continue;
                }
            }
            if skipped + self.buffer.len() > limit {
                return Err(Error::HeadTooLong(limit));
            }
            self.fill_within_message().await?;
        }
    }

    /// Reads the next bytes of a body and appends them to `out`. Returns whether the body continues.
    pub async fn read_body(
        &mut self,
        decoder: &mut Decoder,
        out: &mut Vec<u8>,
    ) -> Result<bool, Error> {
        loop {
            let start = out.len();
            let consumed = decoder.decode(&self.buffer, out)?;
            self.buffer.drain(..consumed);
            if decoder.is_done() {
                return Ok(false);
            }
            if out.len() > start {
                return Ok(true);
            }
            if self.fill().await? == 0 {
                decoder.end()?;
            }
        }
    }

    /// Reads a complete body of at most `limit` bytes.
    pub async fn read_whole_body(
        &mut self,
        decoder: &mut Decoder,
        limit: usize,
    ) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        while self.read_body(decoder, &mut body).await? {
            if body.len() > limit {
                return Err(Error::BodyTooLong(limit));
            }
        }
        if body.len() > limit {
            return Err(Error::BodyTooLong(limit));
        }
        Ok(body)
    }

    /// Returns the writing side, which can be used during a read.
    pub fn writer(&self) -> Writer {
        Writer {
            socket: self.socket.clone(),
        }
    }

    /// Shuts down the writing side and discards incoming bytes for up to `limit`. Closing with unread
    /// bytes would reset the connection, and the peer could lose the last response.
    pub async fn linger(&mut self, limit: Duration) {
        if SockRef::from(self.socket.io.get_ref())
            .shutdown(std::net::Shutdown::Write)
            .is_err()
        {
            return;
        }
        let drain = async {
            while matches!(self.fill().await, Ok(1..)) {
                self.buffer.clear();
            }
        };
        let timeout = async {
            async_io::Timer::after(limit).await;
        };
        futures_lite::future::or(drain, timeout).await;
    }

    async fn fill_within_message(&mut self) -> Result<(), Error> {
        let is_start = self.buffer.is_empty();
        match self.fill().await? {
            0 if is_start => Err(Error::Closed),
            0 => Err(Error::Truncated),
            _ => Ok(()),
        }
    }

    /// Skips empty lines before a request. Some senders append an extra line ending to a body; see
    /// RFC 9112, section 2.2.
    fn skip_blank_lines(&mut self) {
        while self.buffer.starts_with(b"\r\n") {
            self.buffer.drain(..2);
        }
    }
}
