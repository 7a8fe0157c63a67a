//! Connections to backend servers that are kept for further requests.

use std::collections::HashMap;
use std::time::Duration;

use domain::Moment;
use h1::Stream;

/// The time for which a connection is kept if the server does not say.
const ASSUMED_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// A connection is given up this long before the server would close it, so that a request and the
/// close do not cross.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_200);
/// Idle connections kept for one server.
const IDLE_LIMIT: usize = 16;

/// Connections that are kept, by the server's key.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<u64, Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    stream: Stream,
    until: Moment,
}

impl Pool {
    /// Takes a connection that can carry another request.
    pub fn take(&mut self, now: Moment, server: u64) -> Option<Stream> {
        let idle = self.idle.get_mut(&server)?;
        idle.retain(|it| now < it.until);
        while let Some(it) = idle.pop() {
            if it.stream.is_quiet() {
                return Some(it.stream);
            }
        }
        None
    }

    /// Keeps a connection. `keep_alive` is how long the server keeps it.
    pub fn keep(&mut self, now: Moment, server: u64, stream: Stream, keep_alive: Option<Duration>) {
        let kept = keep_alive.unwrap_or(ASSUMED_KEEP_ALIVE);
        let until = now + kept.saturating_sub(KEEP_ALIVE_MARGIN);
        let idle = self.idle.entry(server).or_default();
        if idle.len() < IDLE_LIMIT && until > now {
            idle.push(Idle { stream, until });
        }
    }

    /// Closes the connections to a server.
    pub fn close(&mut self, server: u64) {
        self.idle.remove(&server);
    }

    /// Closes connections that were idle for too long.
    pub fn expire(&mut self, now: Moment) {
        for idle in self.idle.values_mut() {
            idle.retain(|it| now < it.until);
        }
        self.idle.retain(|_, it| !it.is_empty());
    }
}
