//! Connects to backend servers, with an idle connection from the pool if there is one.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use domain::digest;
use futures_lite::future;
use h1::Error;
use h1::Response;
use h1::Stream;
use placement::Server;
use placement::reach::Failure;
use web::stream::within;

use crate::Node;
use crate::connections::Connection;
use crate::reachability;

/// The timeout for connecting. Servers accept within milliseconds; in a partition, none does.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The time after which a connection fails if the server acknowledges nothing.
pub const ACK_TIMEOUT: Duration = h1::stream::SHORTEST_ACK_TIMEOUT;
/// The time for which a healthy server may be silent. One that has not answered for longer is gone.
pub const HEALTHY_SILENCE: Duration = Duration::from_secs(2);
/// The memory that the kernel uses for what a server sent and was not read yet, in bytes. This is the
/// kernel's initial size; it would grow with the server's rate.
pub const RECEIVED_LIMIT: usize = 128 * 1024;

/// Returns a connection to a server, from the pool if there is an idle one that is not among those to avoid,
/// by their numbers. Fails at once while this entry is isolated.
pub async fn connect(node: &Node, server: &Server, avoided: &[u64]) -> Result<Connection, Error> {
    if let Some(connection) = pooled(node, server.key(), avoided) {
        return Ok(connection);
    }
    connect_anew(node, server).await
}

/// Opens a connection to a server. Fails at once while this entry is isolated.
pub async fn connect_anew(node: &Node, server: &Server) -> Result<Connection, Error> {
    let isolated = async {
        node.isolation.wait().await;
        Err(Error::Io(ErrorKind::NetworkUnreachable.into()))
    };
    let connected = future::or(isolated, open(node, server.address)).await;
    if node.isolation.is_set() {
        return connected;
    }
    match &connected {
        Ok(_) => reachability::record_connection(node),
        Err(_) => reachability::record_failure(node, server.key(), Failure::Unconnected),
    }
    connected
}

/// Returns a connection to another entry's relay address, from the pool if there is an idle one.
pub async fn connect_to_peer(node: &Node, address: SocketAddr) -> Result<Connection, Error> {
    match pooled(node, peer_key(address), &[]) {
        Some(connection) => Ok(connection),
        None => open(node, address).await,
    }
}

/// Returns the key of another entry's relay address in the pool.
pub fn peer_key(address: SocketAddr) -> u64 {
    digest::fast(address.to_string().as_bytes())
}

fn pooled(node: &Node, key: u64, avoided: &[u64]) -> Option<Connection> {
    let mut connections = node.connections.borrow_mut();
    connections.take(clock::now(), key, avoided)
}

async fn open(node: &Node, address: SocketAddr) -> Result<Connection, Error> {
    let connect = Stream::connect(address, ACK_TIMEOUT);
    let connected = within(CONNECT_TIMEOUT, connect).await;
    let stream = connected.unwrap_or(Err(Error::Io(ErrorKind::TimedOut.into())))?;
    stream.limit_received(RECEIVED_LIMIT)?;
    Ok(node.connections.borrow_mut().open(stream))
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

/// Returns a reusable connection to the pool if its last response was read in full. `key` is the
/// server's key or [`peer_key`].
pub fn keep(node: &Node, key: u64, connection: Connection, reuse: Option<Reuse>) {
    if let Some(reuse) = reuse.filter(|_| connection.stream.buffered_len() == 0) {
        let now = clock::now();
        let mut connections = node.connections.borrow_mut();
        connections.keep(now, key, connection, reuse.keep_alive);
    }
}

fn keep_alive(response: &Response) -> Option<Duration> {
    let value = response.headers.text("keep-alive")?;
    let mut parameters = value.split(',').map(str::trim);
    let seconds = parameters.find_map(|it| it.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
