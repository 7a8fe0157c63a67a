//! Connects to backend servers, with an idle connection from the pool if there is one.

use std::time::Duration;

use h1::Error;
use h1::Response;
use h1::Stream;
use placement::Server;
use web::stream::within;

use crate::Node;

/// The timeout for connecting. Servers accept within milliseconds; in a partition, none does.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The time after which a connection fails if the server acknowledges nothing.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Returns a connection to a server, from the pool if there is an idle one.
pub async fn connect(node: &Node, server: &Server) -> Result<Stream, Error> {
    let pooled = node
        .connections
        .borrow_mut()
        .take(clock::now(), server.key());
    if let Some(stream) = pooled {
        return Ok(stream);
    }
    let connect = Stream::connect(server.address, ACK_TIMEOUT);
    let connected = within(CONNECT_TIMEOUT, connect).await;
    connected.unwrap_or(Err(Error::Io(std::io::ErrorKind::TimedOut.into())))
}

/// States that a connection can be reused.
#[derive(Clone, Copy, Debug)]
pub struct Reuse {
    /// The keep-alive time that the server announced.
    keep_alive: Option<Duration>,
}

impl Reuse {
    /// Returns whether and for how long the connection of a response can be reused.
    pub fn of(response: &Response) -> Option<Self> {
        response.is_persistent.then(|| Self {
            keep_alive: keep_alive(response),
        })
    }
}

/// Returns a reusable connection to the pool if its last response was read in full.
pub fn keep(node: &Node, server: &Server, stream: Stream, reuse: Option<Reuse>) {
    if let Some(reuse) = reuse.filter(|_| stream.buffered_len() == 0) {
        let now = clock::now();
        let mut connections = node.connections.borrow_mut();
        connections.keep(now, server.key(), stream, reuse.keep_alive);
    }
}

fn keep_alive(response: &Response) -> Option<Duration> {
    let value = response.headers.text("keep-alive")?;
    let mut parameters = value.split(',').map(str::trim);
    let seconds = parameters.find_map(|it| it.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
