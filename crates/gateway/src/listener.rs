//! Accepts callers' connections and reads their requests.

use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use futures_lite::future;
use h1::Error;
use h1::Framing;
use h1::Request;
use h1::Stream;
use h1::body::Decoder;
use route::Limits;
use web::stream::within;

use crate::Node;
use crate::exchange::Requester;
use crate::relay::Answer;
use crate::relay::Disposition;
use crate::serve;

/// The time after which a connection fails if the caller acknowledges nothing.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// The time for which a refused caller's bytes are still read, so that it receives the answer.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// The timeout for reading a body; no caller's own time limit is longer.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);
/// Callers' bodies may take up the process's memory divided by this.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Accepts callers, or other entries that relay requests, until the task is cancelled, which also closes
/// the listener.
pub async fn accept(node: Rc<Node>, listener: Async<TcpListener>, requester: Requester) {
    loop {
        let socket = web::stream::accept(&listener, "front").await;
        let connection = serve_connection(node.clone(), socket, requester);
        node.executor.spawn(connection).detach();
    }
}

async fn serve_connection(node: Rc<Node>, socket: Async<TcpStream>, requester: Requester) {
    let mut stream = match Stream::new(socket, ACK_TIMEOUT) {
        Ok(stream) => stream,
        Err(error) => {
            log::debug!(target: "front", error:% = error; "the caller disconnected right after connecting");
            return;
        }
    };
    while wait_for_request(&node, &mut stream).await {
        node.running_requests.set(node.running_requests.get() + 1);
        let disposition = serve_request(&node, &mut stream, requester).await;
        node.running_requests.set(node.running_requests.get() - 1);
        if disposition == Disposition::Close {
            stream.linger(LINGER_TIME).await;
            return;
        }
    }
}

/// Waits for the first byte of a request. Returns false if the connection has to be closed.
async fn wait_for_request(node: &Node, stream: &mut Stream) -> bool {
    let idle_time = current_limits(node).idle_timeout;
    let coming = async { stream.readable().await.is_ok() };
    let idle = async {
        Timer::after(idle_time).await;
        false
    };
    let closing = async {
        node.wait_for_close().await;
        false
    };
    future::or(coming, future::or(idle, closing)).await
}

fn current_limits(node: &Node) -> Limits {
    let state = node.state.borrow();
    let table = state.table.as_ref();
    table.map_or_else(Limits::default, |it| it.limits().clone())
}

/// Reads one request and answers it.
async fn serve_request(node: &Rc<Node>, stream: &mut Stream, requester: Requester) -> Disposition {
    let arrived = clock::now();
    let limits = current_limits(node);
    let request = within(limits.head_timeout, stream.read_request(limits.head_bytes)).await;
    let request = match request {
        Some(Ok(request)) => request,
        Some(Err(error)) => return refuse_unread(node, stream, status_of(&error), &error).await,
        None => {
            let answer = Answer::new(stream.writer(), false);
            return answer.refuse(node, 408, None, None).await;
        }
    };
    let body = match read_body(node, stream, &request, &limits).await {
        Ok(body) => body,
        Err(disposition) => return disposition,
    };
    let size = body.len();
    node.body_bytes.set(node.body_bytes.get() + size);
    let disposition = serve::run(node, stream, request, body, requester, arrived).await;
    node.body_bytes.set(node.body_bytes.get() - size);
    disposition
}

async fn read_body(
    node: &Rc<Node>,
    stream: &mut Stream,
    request: &Request,
    limits: &Limits,
) -> Result<Vec<u8>, Disposition> {
    let refuse = |status| {
        let answer = Answer::new(stream.writer(), false);
        async move { answer.refuse(node, status, None, None).await }
    };
    let declared = match request.framing {
        Framing::Empty => return Ok(Vec::new()),
        Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        Framing::Chunked | Framing::UntilClose => 0,
    };
    if declared > limits.body_bytes {
        return Err(refuse(413).await);
    }
    let max_bytes = node.settings().memory_limit / BODY_MEMORY_DIVISOR;
    if node.body_bytes.get() + declared > max_bytes {
        log::warn!(target: "front", held = node.body_bytes.get(), most = max_bytes; "request refused: callers' bodies take up all of their memory");
        return Err(refuse(503).await);
    }
    if request.headers.has_token("expect", "100-continue") {
        let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
        if stream.writer().write(interim).await.is_err() {
            return Err(Disposition::Close);
        }
    }
    let mut decoder = Decoder::new(request.framing);
    let whole = stream.read_whole_body(&mut decoder, limits.body_bytes);
    match within(BODY_TIMEOUT, whole).await {
        Some(Ok(body)) => Ok(body),
        Some(Err(error)) => Err(refuse_unread(node, stream, status_of(&error), &error).await),
        None => Err(Answer::new(stream.writer(), false)
            .refuse(node, 408, None, None)
            .await),
    }
}

/// Returns the status for a request that can't be read; `None` if the caller disconnected.
fn status_of(error: &Error) -> Option<u16> {
    match error {
        Error::Malformed(_) => Some(400),
        Error::HeadTooLong(_) => Some(431),
        Error::BodyTooLong(_) => Some(413),
        Error::NoMemory(_) => Some(503),
        Error::Closed | Error::Truncated | Error::Stalled | Error::Io(_) => None,
    }
}

async fn refuse_unread(
    node: &Node,
    stream: &Stream,
    status: Option<u16>,
    error: &Error,
) -> Disposition {
    let Some(status) = status else {
        return Disposition::Close;
    };
    log::info!(target: "front", status, error:% = error; "request refused: it can't be read");
    let answer = Answer::new(stream.writer(), false);
    answer.refuse(node, status, None, None).await
}
