//! The server: one task per connection, one request at a time on each.

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

/// The time in which a caller has to send a head, and again a body, unless the handle says
/// otherwise.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The time spent on reading what a refused caller still sends.
const LINGER: Duration = Duration::from_millis(500);

/// A server's handle: tells its connections to close after their present request.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Closed once the server stops, which wakes all who wait on the other side.
    stop: Sender<()>,
    stopped: Receiver<()>,
    busy: Rc<Cell<usize>>,
    timeout: Duration,
}

impl Default for Handle {
    fn default() -> Self {
        let (stop, stopped) = async_channel::bounded(1);
        Self {
            stop,
            stopped,
            busy: Rc::default(),
            timeout: TIMEOUT,
        }
    }
}

impl Handle {
    /// Sets the time in which a caller has to send a head, and again a body.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Closes idle connections, and busy ones after their present request.
    pub fn stop(&self) {
        self.stop.close();
    }

    /// Completes once the server stops.
    async fn stopped(&self) {
        let _ = self.stopped.recv().await;
    }

    /// Returns the number of requests in progress.
    pub fn active_requests(&self) -> usize {
        self.busy.get()
    }
}

/// One request with the connection that it came on.
#[derive(Debug)]
pub struct Exchange {
    request: Request,
    body_read: Sender<()>,
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

    /// Returns a whole number from the query, or `default`.
    pub fn query_number(&self, name: &str, default: u64) -> u64 {
        self.query(name)
            .and_then(|it| it.parse().ok())
            .unwrap_or(default)
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request
            .header(name)
            .map(|values| values.last().as_str())
    }

    /// Reads the whole body, which may have at most `limit` bytes.
    pub async fn body(&mut self, limit: u64) -> Result<Vec<u8>, Failure> {
        let announced = self.request.len().map(|it| it as u64);
        if announced.is_some_and(|length| length > limit) {
            return Err(too_long(limit));
        }
        let mut body = Vec::with_capacity(announced.unwrap_or(0) as usize);
        let reader = self.request.take_body();
        let read = within(self.timeout, reader.take(limit + 1).read_to_end(&mut body)).await;
        match read {
            None => Err(Failure::refused(
                Kind::SlowCaller,
                format!(
                    "the body did not come within {:?}: send it faster",
                    self.timeout
                ),
            )),
            Some(Err(error)) => Err(Failure::refused(
                Kind::Malformed,
                format!("the body can't be read ({error}): send it whole"),
            )),
            Some(Ok(_)) if body.len() as u64 > limit => Err(too_long(limit)),
            Some(Ok(_)) if announced.is_some_and(|length| length != body.len() as u64) => {
                Err(Failure::refused(
                    Kind::Malformed,
                    "the body ended before its announced length: send it whole",
                ))
            }
            Some(Ok(_)) => {
                let _ = self.body_read.try_send(());
                Ok(body)
            }
        }
    }

    /// Reads a body in JSON.
    pub async fn json<T: DeserializeOwned>(&mut self, limit: u64) -> Result<T, Failure> {
        let body = self.body(limit).await?;
        serde_json::from_slice(&body).map_err(|error| {
            let message = format!("the body is not the expected JSON ({error}): correct it");
            Failure::refused(Kind::Malformed, message)
        })
    }
}

fn too_long(limit: u64) -> Failure {
    let message = format!("the body has more than {limit} bytes: shorten it");
    Failure::refused(Kind::TooLong, message)
}

/// Binds a listening socket and returns it with its address.
pub fn bind(address: SocketAddr) -> io::Result<(Async<TcpListener>, SocketAddr)> {
    let listener = Async::<TcpListener>::bind(address)?;
    let address = listener.get_ref().local_addr()?;
    Ok((listener, address))
}

/// Accepts connections for as long as it is polled and answers their requests with `handler`.
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
        let stream = Stream::new(accept(&listener, "web").await);
        let connection = converse(stream, handle.clone(), handler.clone());
        executor.spawn(connection).detach();
    }
}

async fn converse<F, Fut>(stream: Stream, handle: Handle, handler: F)
where
    F: Fn(Exchange) -> Fut,
    Fut: Future<Output = Reply>,
{
    let (body_read, body_was_read) = async_channel::bounded(1);
    let is_busy = Rc::new(Cell::new(false));
    let endpoint = |request: Request| {
        let exchange = Exchange {
            request,
            body_read: body_read.clone(),
            timeout: handle.timeout,
        };
        is_busy.set(true);
        handle.busy.set(handle.busy.get() + 1);
        let reply = handler(exchange);
        let stream = stream.clone();
        let handle = handle.clone();
        async move {
            let mut reply = reply.await;
            if handle.stop.is_closed() {
                reply = reply.closing();
            }
            if reply.is_last() {
                stream.close_read();
            }
            Ok(reply.into_response())
        }
    };
    let mut connection = Connection::new(stream.clone(), endpoint);
    loop {
        let left = async {
            let idle = close_idle(&stream, &handle, &is_busy);
            let gone = async {
                let _ = body_was_read.recv().await;
                stream.closed().await;
            };
            future::or(idle, gone).await;
            None
        };
        let outcome = future::or(async { Some(connection.accept_one().await) }, left);
        let outcome = outcome.await;
        if is_busy.replace(false) {
            handle.busy.set(handle.busy.get() - 1);
        }
        let _ = body_was_read.try_recv();
        match outcome {
            Some(Ok(ConnectionStatus::KeepAlive)) if !stream.is_read_closed() => {}
            Some(Ok(_)) => break,
            Some(Err(error)) => {
                if !stream.is_read_closed() {
                    refuse(&stream, &error).await;
                }
                break;
            }
            None => return,
        }
    }
    stream.linger(LINGER).await;
}

/// Completes when a connection without a request in progress is to be closed: its caller is slow,
/// or the server stops.
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
        // The request in progress comes first. It is the last one if the server stops.
        future::pending::<()>().await;
    }
}

/// Answers a request whose head can't be understood.
async fn refuse(stream: &Stream, error: &http_types::Error) {
    let message =
        format!("the request can't be understood ({error}): send HTTP/1.1 with a short head");
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
