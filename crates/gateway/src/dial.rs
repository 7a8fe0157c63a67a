//! Connections to backend servers: a kept one if there is any, or a new one.

use std::time::Duration;

use h1::Error;
use h1::Response;
use h1::Stream;
use placement::Server;
use web::stream::within;

use crate::Node;

/// The time for a connection. Servers accept within milliseconds; a partition never does.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The time after which a server that acknowledges nothing counts as lost.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Returns a connection to a server, a kept one if there is any.
pub async fn connect(node: &Node, server: &Server) -> Result<Stream, Error> {
    let kept = node
        .connections
        .borrow_mut()
        .take(clock::now(), server.key());
    if let Some(stream) = kept {
        return Ok(stream);
    }
    let connect = Stream::connect(server.address, ACK_TIMEOUT);
    let connected = within(CONNECT_TIMEOUT, connect).await;
    connected.unwrap_or(Err(Error::Io(std::io::ErrorKind::TimedOut.into())))
}

/// Says that a connection can be used again.
#[derive(Clone, Copy, Debug)]
pub struct Reuse {
    /// How long the server keeps it, if it says so.
    kept: Option<Duration>,
}

impl Reuse {
    /// Returns what an answer says of its connection.
    pub fn of(response: &Response) -> Option<Self> {
        response.is_persistent.then(|| Self {
            kept: keep_alive(response),
        })
    }
}

/// Keeps a connection whose last answer was read in full, if it can be used again.
pub fn keep(node: &Node, server: &Server, stream: Stream, reuse: Option<Reuse>) {
    if let Some(reuse) = reuse.filter(|_| stream.unread() == 0) {
        let now = clock::now();
        let mut connections = node.connections.borrow_mut();
        connections.keep(now, server.key(), stream, reuse.kept);
    }
}

fn keep_alive(response: &Response) -> Option<Duration> {
    let value = response.headers.text("keep-alive")?;
    let mut parameters = value.split(',').map(str::trim);
    let seconds = parameters.find_map(|it| it.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
