//! HTTP client with timeouts and a connection pool.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::AsyncBufReadExt;
use futures_lite::AsyncReadExt;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::stream::Stream;
use crate::stream::within;

/// The maximum number of idle connections in the pool for each address.
const IDLE_LIMIT: usize = 32;
/// The maximum length of a response body that is read completely, in bytes.
const ANSWER_LIMIT: u64 = 64 * 1024 * 1024;

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

    fn to_request(&self) -> Result<Request, Error> {
        let url = Url::parse(&format!("http://{}{}", self.address, self.path));
        let url = url.map_err(|error| Error::Unreachable {
            address: self.address,
            reason: format!("invalid path `{}`: {error}", self.path),
        })?;
        let mut request = Request::new(self.method, url);
        for (name, value) in &self.headers {
            request.insert_header(name.as_str(), value.as_str());
        }
        if self.method != Method::Get {
            request.set_body(Body::from_bytes(self.body.clone()));
        }
        Ok(request)
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
        let stream = within(timeout, Stream::connect(address)).await;
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
        let address = call.address;
        let unanswered = |reason| Error::Unanswered { address, reason };
        let exchange = async {
            let mut answer = self.send(call, timeout).await?;
            let body = answer.bytes().await?;
            if !answer.is_success() {
                let body = String::from_utf8_lossy(&body[..body.len().min(500)]).into_owned();
                return Err(Error::Status {
                    address,
                    status: answer.status(),
                    body,
                });
            }
            serde_json::from_slice(&body).map_err(|error| unanswered(error.to_string()))
        };
        let fetched = within(timeout, exchange).await;
        fetched.unwrap_or_else(|| Err(unanswered(format!("not within {timeout:?}"))))
    }

    async fn exchange(
        &self,
        stream: Stream,
        call: &Call,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let address = call.address;
        let unanswered = |reason| Error::Unanswered { address, reason };
        let request = call.to_request()?;
        let response = within(timeout, async_h1::connect(stream.clone(), request)).await;
        let response = response.ok_or_else(|| unanswered(format!("not within {timeout:?}")))?;
        let response = response.map_err(|error| unanswered(error.to_string()))?;
        Ok(Answer {
            response,
            stream,
            address,
            client: self.clone(),
            is_done: false,
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Stream> {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.get_mut(&address)?;
        while let Some(stream) = streams.pop() {
            if stream.is_idle() {
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
    stream: Stream,
    address: SocketAddr,
    client: Client,
    is_done: bool,
}

impl Answer {
    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.response.status().into()
    }

    /// Returns whether the status code is a success.
    pub fn is_success(&self) -> bool {
        self.response.status().is_success()
    }

    /// Returns the last value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response
            .header(name)
            .map(|values| values.last().as_str())
    }

    /// Reads the next line of the body, without its line ending. Returns `None` after the last line.
    pub async fn line(&mut self) -> Result<Option<String>, Error> {
        let mut line = String::new();
        let read = self.response.read_line(&mut line).await;
        if read.map_err(|error| self.unanswered(error.to_string()))? == 0 {
            self.finish();
            return Ok(None);
        }
        line.truncate(line.trim_end_matches(['\r', '\n']).len());
        Ok(Some(line))
    }

    /// Reads the complete body.
    pub async fn bytes(&mut self) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        let declared_length = self.response.len();
        let reader = self.response.take_body();
        let read = reader.take(ANSWER_LIMIT).read_to_end(&mut body).await;
        read.map_err(|error| self.unanswered(error.to_string()))?;
        if declared_length.is_some_and(|length| length != body.len()) {
            return Err(self.unanswered("the body is truncated".to_owned()));
        }
        self.finish();
        Ok(body)
    }

    fn unanswered(&self, reason: String) -> Error {
        Error::Unanswered {
            address: self.address,
            reason,
        }
    }

    fn finish(&mut self) {
        let closes_connection = self.header("Connection").is_some_and(|it| it == "close");
        if !self.is_done && !closes_connection {
            self.client.return_idle(self.address, self.stream.clone());
        }
        self.is_done = true;
    }
}
