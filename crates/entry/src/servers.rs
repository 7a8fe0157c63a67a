//! The backend servers of plain services, chosen by round robin.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use domain::Moment;
use domain::fleet::BackendServer;
use routing::Pause;
use routing::engine::Load;
use routing::health::Health;
use routing::leaving::Leaving;
use routing::router::End;

/// The backend servers of plain services.
#[derive(Debug, Default)]
pub struct Servers {
    servers: BTreeMap<String, Server>,
    cursor: usize,
}

#[derive(Debug)]
struct Server {
    service: String,
    address: SocketAddr,
    health: Health,
    leaving: Leaving,
    pause: Pause,
}

impl Servers {
    /// Replaces the set of servers. Those that remain keep their health and leaving state.
    pub fn replace<'a>(&mut self, servers: impl IntoIterator<Item = &'a Rc<BackendServer>>) {
        let mut old = std::mem::take(&mut self.servers);
        for server in servers {
            let Some(service) = server.service() else {
                continue;
            };
            let previous = old
                .remove(&server.name)
                .filter(|it| it.address == server.address);
            let previous = previous.unwrap_or_else(|| Server {
                service: String::new(),
                address: server.address,
                health: Health::default(),
                leaving: Leaving::default(),
                pause: Pause::default(),
            });
            let server_state = Server {
                service: service.service.clone(),
                ..previous
            };
            self.servers.insert(server.name.clone(), server_state);
        }
    }

    /// Records whether a server reports itself as leaving.
    pub fn record_load(&mut self, name: &str, load: &Load) {
        if let Some(server) = self.servers.get_mut(name) {
            server
                .leaving
                .record_report(load.incarnation, load.is_leaving);
        }
    }

    /// Marks a server as leaving on behalf of any other source. Returns whether it was not marked
    /// before.
    pub fn mark_leaving(&mut self, name: &str) -> bool {
        let server = self.servers.get_mut(name);
        server.is_some_and(|it| it.leaving.mark())
    }

    /// Records that a server asked for a pause of this length.
    pub fn record_pause(&mut self, now: Moment, name: &str, length: Duration) {
        if let Some(server) = self.servers.get_mut(name) {
            server.pause.extend(now, length);
        }
    }

    /// Returns the time until the first server of a service ends its pause, if all of them that do
    /// not leave are in one.
    pub fn pause_of_all(&self, now: Moment, service: &str) -> Option<Duration> {
        let servers = self.servers.values();
        let staying = servers.filter(|it| it.service == service && !it.leaving.is_marked());
        let first = staying.map(|it| it.pause.left(now)).min();
        first.filter(|it| !it.is_zero())
    }

    /// Records that a server is unreachable.
    pub fn record_unreachable(&mut self, now: Moment, name: &str) {
        if let Some(server) = self.servers.get_mut(name) {
            server.health.on_unreachable(now);
        }
    }

    /// Returns whether a service has any server.
    pub fn has_service(&self, service: &str) -> bool {
        self.servers.values().any(|it| it.service == service)
    }

    /// Returns the next usable server of a service that is not in `excluded`, by round robin.
    pub fn next(&mut self, now: Moment, service: &str, excluded: &[String]) -> Option<Choice> {
        self.cursor = self.cursor.wrapping_add(1);
        let usable = self.servers.iter_mut().filter(|(name, it)| {
            let takes_work = !it.leaving.is_marked() && it.pause.is_over(now);
            let is_usable = takes_work && it.health.is_usable(now);
            it.service == service && is_usable && !excluded.contains(name)
        });
        let mut usable: Vec<_> = usable.collect();
        if usable.is_empty() {
            return None;
        }
        let (name, server) = usable.swap_remove(self.cursor % usable.len());
        server.health.on_dispatch(now);
        Some(Choice {
            name: name.clone(),
            address: server.address,
        })
    }

    /// Records how a call ended.
    pub fn record_end(&mut self, now: Moment, name: &str, end: End) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        match end {
            End::Done => server.health.on_success(),
            End::Neutral => {}
            End::Failed => server.health.on_failure(now),
            End::Unreachable => server.health.on_unreachable(now),
        }
    }
}

/// The server that was chosen for a call.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The server's name.
    pub name: String,
    /// The server's address.
    pub address: SocketAddr,
}
