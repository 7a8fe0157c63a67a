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
use crate::held::Account;
use crate::held::Body;
use crate::held::Kind;
use crate::outbox::Outbox;
use crate::relay::Answer;
use crate::relay::Disposition;
use crate::serve;

/// The time after which a connection fails if the caller acknowledges nothing.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// The time for which a refused caller's bytes are still read, so that it receives the answer.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// The timeout for reading a body; no caller's own time limit is longer.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

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
    let account = node.memory.open();
    while wait_for_request(&node, &mut stream).await {
        node.running_requests.set(node.running_requests.get() + 1);
        let disposition = serve_request(&node, &mut stream, &account, requester).await;
        node.running_requests.set(node.running_requests.get() - 1);
        match disposition {
            Disposition::Keep if !account.is_closing() => {}
            Disposition::Keep | Disposition::Close => return stream.linger(LINGER_TIME).await,
            Disposition::Discard => return stream.discard_on_close(),
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
async fn serve_request(
    node: &Rc<Node>,
    stream: &mut Stream,
    account: &Rc<Account>,
    requester: Requester,
) -> Disposition {
    let arrived = clock::now();
    let limits = current_limits(node);
    let request = within(limits.head_timeout, stream.read_request(limits.head_bytes)).await;
    let request = match request {
        Some(Ok(request)) => request,
        Some(Err(error)) => return refuse_unread(node, stream, account, &error).await,
        None => return refuse(node, stream, account, 408).await,
    };
    let body = match read_body(node, stream, account, &request, &limits).await {
        Ok(body) => body,
        Err(disposition) => return disposition,
    };
    let outbox = Outbox::new(stream.writer(), account.clone(), ACK_TIMEOUT);
    // Most connections are idle. Boxed, the state of a request takes no memory meanwhile.
    Box::pin(serve::run(
        node, stream, outbox, request, body, requester, arrived,
    ))
    .await
}

async fn read_body(
    node: &Rc<Node>,
    stream: &mut Stream,
    account: &Rc<Account>,
    request: &Request,
    limits: &Limits,
) -> Result<Body, Disposition> {
    let declared = match request.framing {
        Framing::Empty => return Ok(account.empty_body(Kind::Request)),
        Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        Framing::Chunked | Framing::UntilClose => 0,
    };
    if declared > limits.body_bytes {
        return Err(refuse(node, stream, account, 413).await);
    }
    let kind_limit = node.settings().body_limit();
    let held = node.memory.used(Kind::Request);
    if held + declared > kind_limit {
        log::warn!(target: "front", held, most = kind_limit; "request refused: callers' bodies take up all of their memory");
        return Err(refuse(node, stream, account, 503).await);
    }
    if request.headers.has_token("expect", "100-continue") {
        let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
        if stream.writer().write(interim).await.is_err() {
            return Err(Disposition::Close);
        }
    }
    let mut decoder = Decoder::new(request.framing);
    let whole = async {
        let limit = limits.body_bytes;
        let read = account.read(Kind::Request, stream, &mut decoder, limit, kind_limit);
        read.await
    };
    let closing = async {
        let held = account.closing().await;
        node.record_closing(held, None);
        Err(Error::NoMemory(node.memory.limit()))
    };
    let read = async { Some(future::or(whole, closing).await) };
    let ending = async {
        node.ending.wait().await;
        None
    };
    match within(BODY_TIMEOUT, future::or(read, ending)).await {
        Some(Some(Ok(body))) => Ok(body),
        Some(Some(Err(error))) => Err(refuse_unread(node, stream, account, &error).await),
        Some(None) => Err(refuse(node, stream, account, 503).await),
        None => Err(refuse(node, stream, account, 408).await),
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
    account: &Rc<Account>,
    error: &Error,
) -> Disposition {
    let Some(status) = status_of(error) else {
        return Disposition::Close;
    };
    log::info!(target: "front", status, error:% = error; "request refused: it can't be read");
    refuse(node, stream, account, status).await
}

/// Refuses a request that was not read to its end, and closes the connection.
async fn refuse(node: &Node, stream: &Stream, account: &Rc<Account>, status: u16) -> Disposition {
    let outbox = Outbox::new(stream.writer(), account.clone(), ACK_TIMEOUT);
    let answer = Answer::new(Rc::new(outbox), false);
    answer.refuse(node, status, None, None).await
}
