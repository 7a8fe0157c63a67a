//! Endpoints other than the routes: addresses for callers, readiness, and metrics.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use h1::Request;
use h1::Response;
use h1::Stream;
use web::stream::accept;
use web::stream::within;

use crate::Node;
use crate::evacuation;
use crate::held::Kind;
use crate::logs;
use crate::metrics::BufferLabels;

/// The time after which a connection fails if the client acknowledges nothing.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);
/// The time for which a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The size limit of a request head, in bytes.
const HEAD_LIMIT: usize = 8 * 1024;

/// The answer of an endpoint: head and body.
pub type Reply = (Response, Vec<u8>);

/// Answers one request.
pub type Handler = fn(&Node, &Request) -> Reply;

/// Answers requests to an endpoint until the process ends.
pub async fn serve(node: Rc<Node>, listener: Async<TcpListener>, handler: Handler) {
    loop {
        let socket = accept(&listener, "doors").await;
        let node = node.clone();
        let executor = node.executor.clone();
        let serve = async move {
            let Ok(stream) = Stream::new(socket, ACK_TIMEOUT) else {
                return;
            };
            if let Err(error) = serve_connection(&node, stream, handler).await {
                log::debug!(target: "doors", error:% = error; "the connection of an endpoint failed");
            }
        };
        executor.spawn(serve).detach();
    }
}

async fn serve_connection(
    node: &Node,
    mut stream: Stream,
    handler: Handler,
) -> Result<(), h1::Error> {
    loop {
        let request = within(IDLE_TIMEOUT, stream.read_request(HEAD_LIMIT)).await;
        let request = match request {
            Some(Ok(request)) => request,
            Some(Err(h1::Error::Closed)) | None => return Ok(()),
            Some(Err(error)) => return Err(error),
        };
        let (mut response, body) = handler(node, &request);
        response.framing = h1::Framing::Length(body.len() as u64);
        response.is_persistent = request.is_persistent;
        let mut bytes = response.encode();
        bytes.extend_from_slice(&body);
        stream.writer().write(&bytes).await?;
        if !request.is_persistent {
            return Ok(());
        }
    }
}

/// Answers with the addresses of the instances that callers can use.
pub fn addresses(node: &Node, request: &Request) -> Reply {
    if !node.protocol.is_address_query(request) {
        return (Response::new(404, "Not Found"), Vec::new());
    }
    let state = node.state.borrow();
    let origin = node.protocol.origin(request);
    let directed = state.members.directed(&origin);
    let addresses: Vec<SocketAddr> = directed.iter().map(|it| it.caller_address).collect();
    if addresses.is_empty() {
        return (Response::new(503, "Service Unavailable"), Vec::new());
    }
    let lifetime = node.settings().address_lifetime;
    let body = node.protocol.addresses(&addresses, lifetime);
    let mut response = Response::new(200, "OK");
    response.headers.push("content-type", "application/json");
    (response, body)
}

/// Answers whether this instance is ready.
pub fn readiness(node: &Node, request: &Request) -> Reply {
    let response = if !node.protocol.is_readiness_query(request) {
        Response::new(404, "Not Found")
    } else if node.is_ready() {
        Response::new(200, "OK")
    } else {
        Response::new(503, "Service Unavailable")
    };
    (response, Vec::new())
}

/// Answers with the metrics.
pub fn metrics(node: &Node, _: &Request) -> Reply {
    node.metrics.running.set(node.running_requests.get() as i64);
    evacuation::record_running(node);
    let config_age_ms = node.state.borrow().config_age_ms(clock::now());
    node.metrics.config_age_ms.set(config_age_ms as i64);
    for kind in Kind::ALL {
        let labels = BufferLabels { kind: kind.name() };
        let gauge = node.metrics.buffered_bytes.get_or_create(&labels);
        gauge.set(node.memory.used(kind) as i64);
    }
    let dropped = logs::dropped();
    let counted = node.metrics.log_lines_dropped.get();
    let dropped_since = dropped.saturating_sub(counted);
    node.metrics.log_lines_dropped.inc_by(dropped_since);
    let mut response = Response::new(200, "OK");
    response.headers.push(
        "content-type",
        "application/openmetrics-text; version=1.0.0",
    );
    (response, node.metrics.encode().into_bytes())
}
