//! HTTP server with one task per connection and one request at a time on each connection.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_h1::server::ConnectionStatus;
use async_h1::server::Server as Connection;
use async_io::Async;
use async_io::Timer;
use domain::Failure;
use domain::failure::Kind;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::future;
use http_types::Method;
use http_types::Request;
use serde::de::DeserializeOwned;

use crate::reply::Reply;
use crate::stream::Stream;
use crate::stream::accept;
use crate::stream::within;

/// The default timeout for receiving a request head, and again for a body.
const TIMEOUT: Duration = Duration::from_secs(20);
/// How long the rest of a request is read after the last response, before the connection is closed.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// A handle for the graceful shutdown of a server.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Closed when the server stops, which wakes all receivers.
    stop: Sender<()>,
    stopped: Receiver<()>,
    active_requests: Rc<Cell<usize>>,
    timeout: Duration,
}

impl Default for Handle {
    fn default() -> Self {
        let (stop, stopped) = async_channel::bounded(1);
        Self {
            stop,
            stopped,
            active_requests: Rc::default(),
            timeout: TIMEOUT,
        }
    }
}

impl Handle {
    /// Sets the timeout for receiving a request head, and again for a body.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Closes idle connections immediately, and active ones after their current request.
    pub fn stop(&self) {
        self.stop.close();
    }

    /// Completes when the server stops.
    async fn stopped(&self) {
        let _ = self.stopped.recv().await;
    }

    /// Returns the number of requests in progress.
    pub fn active_requests(&self) -> usize {
        self.active_requests.get()
    }
}

/// A request and the state of the connection on which it was received.
#[derive(Debug)]
pub struct Exchange {
    request: Request,
    body_read_sender: Sender<()>,
    /// Whether the request has no body, or its body was read completely.
    is_read: Rc<Cell<bool>>,
    timeout: Duration,
}

impl Exchange {
    /// Returns the request's method.
    pub fn method(&self) -> Method {
        self.request.method()
    }

    /// Returns the path, starting with a slash.
    pub fn path(&self) -> &str {
        self.request.url().path()
    }

    /// Returns the first value of a query parameter.
    pub fn query(&self, name: &str) -> Option<String> {
        let mut pairs = self.request.url().query_pairs();
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }

    /// Returns an integer query parameter, or `default` if it is absent or invalid.
    pub fn query_number(&self, name: &str, default: u64) -> u64 {
        self.query(name)
            .and_then(|it| it.parse().ok())
            .unwrap_or(default)
    }

    /// Returns the last value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request
            .header(name)
            .map(|values| values.last().as_str())
    }

    /// Reads the complete body, which may have at most `limit` bytes.
    pub async fn body(&mut self, limit: u64) -> Result<Vec<u8>, Failure> {
        let declared_length = self.request.len().map(|it| it as u64);
        if declared_length.is_some_and(|length| length > limit) {
            return Err(too_long(limit));
        }
        let mut body = Vec::with_capacity(declared_length.unwrap_or(0) as usize);
        let reader = self.request.take_body();
        let read = within(self.timeout, reader.take(limit + 1).read_to_end(&mut body)).await;
        match read {
            None => Err(Failure::refused(
                Kind::SlowCaller,
                format!(
                    "the body was not received within {:?}: send it faster",
                    self.timeout
                ),
            )),
            Some(Err(error)) => Err(Failure::refused(
                Kind::Malformed,
                format!("the body can't be read ({error}): send the complete body"),
            )),
            Some(Ok(_)) if body.len() as u64 > limit => Err(too_long(limit)),
            Some(Ok(_)) if declared_length.is_some_and(|length| length != body.len() as u64) => {
                Err(Failure::refused(
                    Kind::Malformed,
                    "the body is shorter than its declared length: send the complete body",
                ))
            }
            Some(Ok(_)) => {
                let _ = self.body_read_sender.try_send(());
                self.is_read.set(true);
                Ok(body)
            }
        }
    }

    /// Reads and parses a JSON body.
    pub async fn json<T: DeserializeOwned>(&mut self, limit: u64) -> Result<T, Failure> {
        let body = self.body(limit).await?;
        serde_json::from_slice(&body).map_err(|error| {
            let message = format!("the body is not the expected JSON ({error}): correct it");
            Failure::refused(Kind::Malformed, message)
        })
    }
}

fn too_long(limit: u64) -> Failure {
    let message = format!("the body exceeds {limit} bytes: send a shorter one");
    Failure::refused(Kind::TooLong, message)
}

/// Binds a listening socket and returns it with its address.
pub fn bind(address: SocketAddr) -> io::Result<(Async<TcpListener>, SocketAddr)> {
    let listener = Async::<TcpListener>::bind(address)?;
    let address = listener.get_ref().local_addr()?;
    Ok((listener, address))
}

/// Accepts connections until the server stops, and serves their requests with `handler`. The listener is closed then, so
/// that callers go elsewhere while the last requests are completed.
pub async fn serve<F, Fut>(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    handle: Handle,
    handler: F,
) where
    F: Fn(Exchange) -> Fut + Clone + 'static,
    Fut: Future<Output = Reply> + 'static,
{
    loop {
        let accepted = async { Some(accept(&listener, "web").await) };
        let stopped = async {
            handle.stopped().await;
            None
        };
        let Some(socket) = future::or(stopped, accepted).await else {
            return;
        };
        let connection = serve_connection(Stream::new(socket), handle.clone(), handler.clone());
        executor.spawn(connection).detach();
    }
}

async fn serve_connection<F, Fut>(stream: Stream, handle: Handle, handler: F)
where
    F: Fn(Exchange) -> Fut,
    Fut: Future<Output = Reply>,
{
    let (body_read_sender, body_read_receiver) = async_channel::bounded(1);
    let is_busy = Rc::new(Cell::new(false));
    let endpoint = |request: Request| {
        let is_read = Rc::new(Cell::new(request.len() == Some(0)));
        let exchange = Exchange {
            request,
            body_read_sender: body_read_sender.clone(),
            is_read: is_read.clone(),
            timeout: handle.timeout,
        };
        is_busy.set(true);
        handle.active_requests.set(handle.active_requests.get() + 1);
        let reply = handler(exchange);
        let stream = stream.clone();
        let handle = handle.clone();
        async move {
            let mut reply = reply.await;
            // The rest of a body may be long or without end, so it is not read for the sake of the
            // connection.
            if handle.stop.is_closed() || !is_read.get() {
                reply = reply.closing();
            }
            if reply.closes_connection() {
                stream.close_read();
            }
            Ok(reply.into_response())
        }
    };
    let mut connection = Connection::new(stream.clone(), endpoint);
    loop {
        let abandoned = async {
            let idle = close_idle(&stream, &handle, &is_busy);
            let disconnected = async {
                let _ = body_read_receiver.recv().await;
                stream.closed().await;
            };
            future::or(idle, disconnected).await;
            None
        };
        let outcome = future::or(async { Some(connection.accept_one().await) }, abandoned);
        let outcome = outcome.await;
        if is_busy.replace(false) {
            handle.active_requests.set(handle.active_requests.get() - 1);
        }
        let _ = body_read_receiver.try_recv();
        match outcome {
            Some(Ok(ConnectionStatus::KeepAlive)) if !stream.is_read_closed() => {}
            Some(Ok(_)) => break,
            Some(Err(error)) => {
                if !stream.is_read_closed() {
                    reject_malformed(&stream, &error).await;
                }
                break;
            }
            None => return,
        }
    }
    stream.linger(LINGER_TIME).await;
}

/// Completes when a connection without a request in progress has to be closed, because the caller's
/// timeout has expired or the server stops.
async fn close_idle(stream: &Stream, handle: &Handle, is_busy: &Cell<bool>) {
    let timeout = async {
        Timer::after(handle.timeout).await;
        !is_busy.get()
    };
    let stopped = async {
        handle.stopped().await;
        !is_busy.get() && stream.is_idle()
    };
    if !future::or(timeout, stopped).await {
        // The request in progress is completed first. It is the last one if the server stops.
        future::pending::<()>().await;
    }
}

/// Responds to a request whose head can't be parsed.
async fn reject_malformed(stream: &Stream, error: &http_types::Error) {
    let message = format!("the request can't be parsed ({error}): send HTTP/1.1 with a short head");
    let failure = Failure::refused(Kind::Malformed, message);
    let body = serde_json::json!({ "error": failure }).to_string();
    let head = format!(
        "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n",
        body.len()
    );
    let mut stream = stream.clone();
    let _ = within(
        TIMEOUT,
        stream.write_all(format!("{head}{body}").as_bytes()),
    )
    .await;
}
