//! HTTP client with timeouts and a connection pool.
//!
//! It reads answers with `h1`, which knows how each body ends. `async-h1` drops a body that ends with
//! its connection.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use h1::Framing;
use h1::Request;
use h1::Response;
use h1::Stream;
use h1::body::Decoder;
use http_types::Method;
use http_types::Url;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::stream::within;

/// The maximum number of idle connections in the pool for each address.
const IDLE_LIMIT: usize = 32;
/// The maximum length of a response head, in bytes.
const HEAD_LIMIT: usize = 64 * 1024;
/// The maximum length of a line, in bytes.
const LINE_LIMIT: usize = 1024 * 1024;
/// The maximum length of a response body that is read completely, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024 * 1024;
/// The same for the answers of servers that are asked for their status several times a second, and may all be faulty.
const STATUS_LIMIT: usize = 1024 * 1024;
/// The time after which a connection fails if the server acknowledges nothing.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// An HTTP client with a connection pool.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Stream>>>>,
}

/// A failed request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be opened, so the request was certainly not received.
    #[error("no connection to {address} ({reason}): check that it is running and reachable")]
    Unreachable {
        /// The address to which the request was sent.
        address: SocketAddr,
        /// The reason.
        reason: String,
    },
    /// The request may have been received, but there was no complete response.
    #[error("no complete response from {address} ({reason})")]
    Unanswered {
        /// The address to which the request was sent.
        address: SocketAddr,
        /// The reason.
        reason: String,
    },
    /// The status of the response is not a success.
    #[error("status {status} from {address}: {body}")]
    Status {
        /// The address that responded.
        address: SocketAddr,
        /// The status code.
        status: u16,
        /// The start of the body.
        body: String,
    },
}

impl Error {
    /// Returns whether the request was certainly not received.
    pub fn is_unreachable(&self) -> bool {
        matches!(self, Self::Unreachable { .. })
    }

    /// Returns the status code of the response, if there was one.
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Status { status, .. } => Some(*status),
            _ => None,
        }
    }
}

/// A request before it is sent.
#[derive(Debug)]
pub struct Call {
    address: SocketAddr,
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Call {
    /// Returns a request without a body.
    pub fn get(address: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(address, Method::Get, path, Vec::new())
    }

    /// Returns a request with the given body.
    pub fn post(address: SocketAddr, path: impl Into<String>, body: impl Into<Vec<u8>>) -> Self {
        Self::new(address, Method::Post, path, body.into())
    }

    /// Returns a request with a JSON body.
    pub fn json(address: SocketAddr, path: impl Into<String>, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::post(address, path, body).header("Content-Type", "application/json")
    }

    /// Returns a request with the given method.
    pub fn new(
        address: SocketAddr,
        method: Method,
        path: impl Into<String>,
        body: Vec<u8>,
    ) -> Self {
        Self {
            address,
            method,
            path: path.into(),
            headers: Vec::new(),
            body,
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Returns the bytes of the request.
    fn encode(&self) -> Result<Vec<u8>, Error> {
        let url = Url::parse(&format!("http://{}{}", self.address, self.path));
        let url = url.map_err(|error| Error::Unreachable {
            address: self.address,
            reason: format!("invalid path `{}`: {error}", self.path),
        })?;
        let target = match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_owned(),
        };
        let mut request = Request::new(self.method.as_ref(), &target);
        request.headers.push("Host", self.address.to_string());
        for (name, value) in &self.headers {
            request.headers.set(name, value);
        }
        if self.method != Method::Get {
            request.framing = Framing::Length(self.body.len() as u64);
        }
        let mut bytes = request.encode();
        bytes.extend_from_slice(&self.body);
        Ok(bytes)
    }
}

impl Client {
    /// Sends a request on a pooled connection, or on a new one if none is idle. The response has to
    /// start within `timeout`.
    pub async fn send(&self, call: &Call, timeout: Duration) -> Result<Answer, Error> {
        if let Some(stream) = self.take_idle(call.address) {
            return self.exchange(stream, call, timeout).await;
        }
        self.send_unpooled(call, timeout).await
    }

    /// Sends a request on a new connection, so that an unreachable server has certainly not received
    /// it.
    pub async fn send_unpooled(&self, call: &Call, timeout: Duration) -> Result<Answer, Error> {
        let address = call.address;
        let unreachable = |reason| Error::Unreachable { address, reason };
        let stream = within(timeout, Stream::connect(address, ACK_TIMEOUT)).await;
        let stream = stream.ok_or_else(|| unreachable(format!("not within {timeout:?}")))?;
        let stream = stream.map_err(|error| unreachable(error.to_string()))?;
        self.exchange(stream, call, timeout).await
    }

    /// Sends a request and parses the complete response body as JSON.
    pub async fn fetch<T: DeserializeOwned>(
        &self,
        call: &Call,
        timeout: Duration,
    ) -> Result<T, Error> {
        self.fetch_within(call, timeout, STATUS_LIMIT).await
    }

    /// The same for a body of at most `limit` bytes.
    pub async fn fetch_within<T: DeserializeOwned>(
        &self,
        call: &Call,
        timeout: Duration,
        limit: usize,
    ) -> Result<T, Error> {
        let address = call.address;
        let exchange = async {
            let mut answer = self.send(call, timeout).await?;
            let body = answer.bytes_within(limit).await?;
            if !answer.is_success() {
                let body = String::from_utf8_lossy(&body[..body.len().min(500)]).into_owned();
                return Err(Error::Status {
                    address,
                    status: answer.status(),
                    body,
                });
            }
            serde_json::from_slice(&body).map_err(|error| Error::Unanswered {
                address,
                reason: error.to_string(),
            })
        };
        let fetched = within(timeout, exchange).await;
        fetched.unwrap_or_else(|| {
            Err(self.fail_connection(address, format!("not within {timeout:?}")))
        })
    }

    async fn exchange(
        &self,
        mut stream: Stream,
        call: &Call,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let address = call.address;
        let unanswered = |reason| self.fail_connection(address, reason);
        let request = call.encode()?;
        let exchange = async {
            stream.writer().write(&request).await?;
            stream.read_response(call.method.as_ref(), HEAD_LIMIT).await
        };
        let response = within(timeout, exchange).await;
        let response = response.ok_or_else(|| unanswered(format!("not within {timeout:?}")))?;
        let response = response.map_err(|error| unanswered(error.to_string()))?;
        Ok(Answer {
            decoder: Decoder::new(response.framing),
            response,
            stream: Some(stream),
            buffer: Vec::new(),
            address,
            client: self.clone(),
        })
    }

    /// Returns the error of a connection that did not deliver a whole response. What ended it may have ended the idle
    /// ones to the same address too, without a sign of it, so these are closed.
    fn fail_connection(&self, address: SocketAddr, reason: String) -> Error {
        self.idle.borrow_mut().remove(&address);
        Error::Unanswered { address, reason }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.get_mut(&address)?;
        while let Some(stream) = streams.pop() {
            if stream.is_quiet() {
                return Some(stream);
            }
        }
        None
    }

    fn return_idle(&self, address: SocketAddr, stream: Stream) {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.entry(address).or_default();
        if streams.len() < IDLE_LIMIT {
            streams.push(stream);
        }
    }
}

/// The response to a request, with a body that has not been read yet.
#[derive(Debug)]
pub struct Answer {
    response: Response,
    decoder: Decoder,
    /// The connection; returned to the pool once the body was read.
    stream: Option<Stream>,
    /// Bytes of the body after the last line that was returned.
    buffer: Vec<u8>,
    address: SocketAddr,
    client: Client,
}

impl Answer {
    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.response.status
    }

    /// Returns whether the status code is a success.
    pub fn is_success(&self) -> bool {
        self.response.is_success()
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers.text(name)
    }

    /// Returns the pause that the server asks for, if it turned the request away.
    pub fn pause(&self) -> Option<Duration> {
        self.response.pause()
    }

    /// Reads the next line of the body, without its line ending. Returns `None` after the last line.
    pub async fn line(&mut self) -> Result<Option<String>, Error> {
        let mut searched = 0;
        let mut has_more = true;
        loop {
            let found = self.buffer[searched..].iter().position(|it| *it == b'\n');
            if let Some(length) = found {
                let line = self.buffer.drain(..=searched + length).collect();
                return self.decode_line(line).map(Some);
            }
            if !has_more {
                let rest = std::mem::take(&mut self.buffer);
                let is_line = !rest.is_empty();
                return is_line.then(|| self.decode_line(rest)).transpose();
            }
            searched = self.buffer.len();
            if searched > LINE_LIMIT {
                return Err(self.unanswered(h1::Error::Malformed("line")));
            }
            has_more = self.read().await?;
        }
    }

    /// Reads the complete body.
    pub async fn bytes(&mut self) -> Result<Vec<u8>, Error> {
        self.bytes_within(BODY_LIMIT).await
    }

    /// Reads the complete body of at most `limit` bytes.
    pub async fn bytes_within(&mut self, limit: usize) -> Result<Vec<u8>, Error> {
        let mut has_more = true;
        while has_more {
            has_more = self.read().await?;
            if self.buffer.len() > limit {
                return Err(self.unanswered(h1::Error::BodyTooLong(limit)));
            }
        }
        if self.is_success()
            && self.response.framing == Framing::UntilClose
            && self.buffer.is_empty()
        {
            // The end of a connection shows only that the server sends no more.
            return Err(self.unanswered(h1::Error::Truncated));
        }
        Ok(std::mem::take(&mut self.buffer))
    }

    /// Reads more of the body into the buffer. Returns whether the body continues.
    async fn read(&mut self) -> Result<bool, Error> {
        let Some(stream) = &mut self.stream else {
            return Ok(false);
        };
        let read = stream.read_body(&mut self.decoder, &mut self.buffer).await;
        let has_more = read.map_err(|error| {
            let reason = error.to_string();
            self.client.fail_connection(self.address, reason)
        })?;
        if !has_more {
            self.finish();
        }
        Ok(has_more)
    }

    fn decode_line(&self, mut bytes: Vec<u8>) -> Result<String, Error> {
        while let Some(b'\r' | b'\n') = bytes.last() {
            bytes.pop();
        }
        String::from_utf8(bytes).map_err(|error| self.unanswered(error))
    }

    fn unanswered(&self, reason: impl ToString) -> Error {
        Error::Unanswered {
            address: self.address,
            reason: reason.to_string(),
        }
    }

    /// Returns the connection to the pool if it can carry another request.
    fn finish(&mut self) {
        let stream = self.stream.take();
        if let Some(stream) = stream.filter(|_| self.response.is_persistent) {
            self.client.return_idle(self.address, stream);
        }
    }
}
