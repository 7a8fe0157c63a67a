//! A pool of idle connections to backend servers.

use std::collections::HashMap;
use std::time::Duration;

use domain::Moment;
use h1::Stream;

/// The keep-alive time of a server that does not announce one.
const ASSUMED_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Connections are dropped this long before the server would close them, so that a request does not
/// race with the close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_200);
/// The maximum number of idle connections to one server.
const IDLE_LIMIT: usize = 16;

/// A connection to a server.
#[derive(Debug)]
pub struct Connection {
    /// The socket and what was read from it.
    pub stream: Stream,
    /// Identifies it among all connections of this process.
    pub number: u64,
    /// Whether it has carried a request or a command, whose response a faulty server may repeat.
    pub is_reused: bool,
}

/// Idle connections, by the server's key.
#[derive(Debug, Default)]
pub struct Pool {
    /// The number of connections that were opened.
    count: u64,
    idle: HashMap<u64, Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires_at: Moment,
}

impl Pool {
    /// Returns a connection that has carried no request.
    pub fn open(&mut self, stream: Stream) -> Connection {
        self.count += 1;
        Connection {
            stream,
            number: self.count,
            is_reused: false,
        }
    }

    /// Takes an idle connection that can carry another request and is not among those to avoid, if there
    /// is one.
    pub fn take(&mut self, now: Moment, server: u64, avoided: &[u64]) -> Option<Connection> {
        let idle = self.idle.get_mut(&server)?;
        idle.retain(|it| now < it.expires_at);
        let is_allowed = |it: &Idle| !avoided.contains(&it.connection.number);
        while let Some(index) = idle.iter().rposition(is_allowed) {
            let it = idle.remove(index);
            if it.connection.stream.is_quiet() {
                return Some(it.connection);
            }
        }
        None
    }

    /// Adds an idle connection. `keep_alive` is the time for which the server keeps it open.
    pub fn keep(
        &mut self,
        now: Moment,
        server: u64,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let lifetime = keep_alive.unwrap_or(ASSUMED_KEEP_ALIVE);
        let expires_at = now + lifetime.saturating_sub(KEEP_ALIVE_MARGIN);
        let idle = self.idle.entry(server).or_default();
        if idle.len() < IDLE_LIMIT && expires_at > now {
            let connection = Connection {
                is_reused: true,
                ..connection
            };
            idle.push(Idle {
                connection,
                expires_at,
            });
        }
    }

    /// Closes the idle connections to a server.
    pub fn close(&mut self, server: u64) {
        self.idle.remove(&server);
    }

    /// Closes connections whose keep-alive time has passed.
    pub fn expire(&mut self, now: Moment) {
        for idle in self.idle.values_mut() {
            idle.retain(|it| now < it.expires_at);
        }
        self.idle.retain(|_, it| !it.is_empty());
    }
}
