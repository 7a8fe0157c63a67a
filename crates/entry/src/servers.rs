//! The servers of plain services, and whose turn it is.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use domain::Moment;
use domain::fleet::BackendServer;
use routing::engine::Load;
use routing::health::Health;
use routing::leaving::Leaving;
use routing::router::End;

/// The servers of plain services.
#[derive(Debug, Default)]
pub struct Servers {
    servers: BTreeMap<String, Server>,
    turn: usize,
}

#[derive(Debug)]
struct Server {
    service: String,
    address: SocketAddr,
    health: Health,
    leaving: Leaving,
}

impl Servers {
    /// Replaces the set of servers. Those that stay keep what is known of them.
    pub fn replace<'a>(&mut self, servers: impl IntoIterator<Item = &'a Rc<BackendServer>>) {
        let mut old = std::mem::take(&mut self.servers);
        for server in servers {
            let Some(service) = server.service() else {
                continue;
            };
            let known = old
                .remove(&server.name)
                .filter(|it| it.address == server.address);
            let known = known.unwrap_or_else(|| Server {
                service: String::new(),
                address: server.address,
                health: Health::default(),
                leaving: Leaving::default(),
            });
            let server_state = Server {
                service: service.service.clone(),
                ..known
            };
            self.servers.insert(server.name.clone(), server_state);
        }
    }

    /// Takes a server's own word on whether it is leaving.
    pub fn report(&mut self, name: &str, load: &Load) {
        if let Some(server) = self.servers.get_mut(name) {
            server
                .leaving
                .record_report(load.incarnation, load.is_leaving);
        }
    }

    /// Notes that some source says that a server is leaving. Returns whether that is news.
    pub fn mark_leaving(&mut self, name: &str) -> bool {
        let server = self.servers.get_mut(name);
        server.is_some_and(|it| it.leaving.mark())
    }

    /// Notes that a server can't be reached.
    pub fn lost(&mut self, now: Moment, name: &str) {
        if let Some(server) = self.servers.get_mut(name) {
            server.health.on_unreachable(now);
        }
    }

    /// Tells whether there is any server of a service.
    pub fn knows(&self, service: &str) -> bool {
        self.servers.values().any(|it| it.service == service)
    }

    /// Returns the next server of a service in turn.
    pub fn next(&mut self, now: Moment, service: &str, avoid: &[String]) -> Option<Choice> {
        self.turn = self.turn.wrapping_add(1);
        let usable = self.servers.iter_mut().filter(|(name, it)| {
            let is_usable = !it.leaving.is_marked() && it.health.is_usable(now);
            it.service == service && is_usable && !avoid.contains(name)
        });
        let mut usable: Vec<_> = usable.collect();
        if usable.is_empty() {
            return None;
        }
        let (name, server) = usable.swap_remove(self.turn % usable.len());
        server.health.on_dispatch(now);
        Some(Choice {
            name: name.clone(),
            address: server.address,
        })
    }

    /// Notes how a call ended.
    pub fn ended(&mut self, now: Moment, name: &str, end: End) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        match end {
            End::Done => server.health.on_success(),
            End::Neutral => {}
            End::Failed => server.health.on_error(now),
            End::Unreachable => server.health.on_unreachable(now),
        }
    }
}

/// A server that was chosen.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}
