//! Plain services: `POST /v1/services/{service}/{path}`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use domain::Failure;
use domain::Moment;
use domain::failure::Kind;
use domain::failure::Ran;
use domain::fleet::BackendServer;
use futures_lite::future;
use routing::health::Health;
use web::Exchange;
use web::Reply;
use web::client::Call;

use crate::attempt::LEAVING_HEADER;
use crate::clock;
use crate::metrics;
use crate::node::Node;
use crate::request::Head;
use crate::trail;
use crate::trail::Outcome;

/// The longest body of a call, in bytes.
const BODY_LIMIT: u64 = 1024 * 1024;
/// The wait that a caller is told when all servers of a service are out.
const RETRY_AFTER: Duration = Duration::from_secs(2);

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
    is_leaving: bool,
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
                is_leaving: false,
            });
            let server_state = Server {
                service: service.service.clone(),
                ..known
            };
            self.servers.insert(server.name.clone(), server_state);
        }
    }

    /// Takes a server's own word on whether it is leaving.
    pub fn report(&mut self, name: &str, is_leaving: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            server.is_leaving = is_leaving;
        }
    }

    /// Notes that some source says that a server is leaving.
    pub fn leaving(&mut self, name: &str) {
        self.report(name, true);
    }

    /// Notes that a server can't be reached.
    pub fn lost(&mut self, now: Moment, name: &str) {
        if let Some(server) = self.servers.get_mut(name) {
            server.health.lost(now);
        }
    }

    fn knows(&self, service: &str) -> bool {
        self.servers.values().any(|it| it.service == service)
    }

    /// Returns the next server of a service in turn.
    fn next(&mut self, now: Moment, service: &str, avoid: &[String]) -> Option<Choice> {
        self.turn = self.turn.wrapping_add(1);
        let usable = self.servers.iter_mut().filter(|(name, it)| {
            let is_usable = !it.is_leaving && it.health.is_usable(now);
            it.service == service && is_usable && !avoid.contains(name)
        });
        let mut usable: Vec<_> = usable.collect();
        if usable.is_empty() {
            return None;
        }
        let (name, server) = usable.swap_remove(self.turn % usable.len());
        server.health.sent(now);
        Some(Choice {
            name: name.clone(),
            address: server.address,
        })
    }

    fn ended(&mut self, now: Moment, name: &str, is_good: bool) {
        if let Some(server) = self.servers.get_mut(name) {
            if is_good {
                server.health.succeeded()
            } else {
                server.health.failed(now)
            }
        }
    }
}

struct Choice {
    name: String,
    address: SocketAddr,
}

/// A call to a plain service.
struct Service<'a> {
    id: trail::Id,
    head: &'a Head,
    service: &'a str,
    path: &'a str,
    body: &'a [u8],
}

/// Handles one call.
pub async fn handle(node: Rc<Node>, mut exchange: Exchange, service: &str, path: &str) -> Reply {
    let id = node.next_request();
    let outcome = receive(&node, &mut exchange, id, service, path).await;
    let (name, outcome, reply) = match outcome {
        Ok(reply) => ("done", Outcome::Done { tokens: 0 }, reply),
        Err(failure) => {
            let reply = Reply::failure(&failure);
            (failure.kind.name(), Outcome::Failed(failure), reply)
        }
    };
    let labels = metrics::Ending {
        length: "service".to_owned(),
        outcome: name.to_owned(),
    };
    node.metrics.requests.get_or_create(&labels).inc();
    node.core.borrow_mut().trails.end(id.number, outcome);
    reply.with_header("Request-Id", &id.to_string())
}

async fn receive(
    node: &Rc<Node>,
    exchange: &mut Exchange,
    id: trail::Id,
    service: &str,
    path: &str,
) -> Result<Reply, Failure> {
    let now = clock::now();
    let head = Head::read(node, exchange, now)?;
    node.core
        .borrow_mut()
        .trails
        .start(id.number, &head.contract.customer);
    if !node.core.borrow().servers.knows(service) {
        let message = format!("there is no service `{service}`: correct the path");
        return Err(Failure::refused(Kind::NotFound, message));
    }
    let body = exchange.body(BODY_LIMIT).await?;
    let call = Service {
        id,
        head: &head,
        service,
        path,
        body: &body,
    };
    let mut was_sent = false;
    let deadline = async {
        clock::wait_until(head.deadline).await;
        None
    };
    let run = async { Some(call.run(node, &mut was_sent).await) };
    let result = future::or(run, deadline).await;
    result.unwrap_or_else(|| {
        let message = "the time limit passed: raise Request-Timeout or come back later";
        let ran = if was_sent { Ran::Maybe } else { Ran::No };
        Err(Failure::refused(Kind::TimedOut, message)
            .with_ran(ran)
            .retry_after(RETRY_AFTER))
    })
}

impl Service<'_> {
    async fn run(&self, node: &Rc<Node>, was_sent: &mut bool) -> Result<Reply, Failure> {
        let mut avoid = Vec::new();
        loop {
            let now = clock::now();
            let choice = node
                .core
                .borrow_mut()
                .servers
                .next(now, self.service, &avoid);
            let Some(choice) = choice else {
                return Err(self.all_out(*was_sent));
            };
            node.step(self.id.number, format!("sent to {}", choice.name));
            let call = self.call(&choice);
            *was_sent = true;
            let left = clock::now().until(self.head.deadline);
            let answer = node.client.send_fresh(&call, left).await;
            let is_refusal = |it: &web::client::Answer| {
                it.status() == 503 && it.header(LEAVING_HEADER).is_some()
            };
            match answer {
                Ok(answer) if is_refusal(&answer) => {
                    *was_sent = false;
                    node.step(self.id.number, format!("{} is leaving", choice.name));
                    node.core.borrow_mut().servers.leaving(&choice.name);
                }
                Ok(mut answer) => {
                    let body = answer.bytes().await;
                    node.core
                        .borrow_mut()
                        .servers
                        .ended(clock::now(), &choice.name, body.is_ok());
                    let kind = answer
                        .header("Content-Type")
                        .unwrap_or("application/octet-stream");
                    let kind = kind.to_owned();
                    match body {
                        Ok(body) => return Ok(Reply::bytes(answer.status(), &kind, body)),
                        Err(error) => self.broken(&error.to_string())?,
                    }
                }
                Err(error) if error.is_unreachable() => {
                    *was_sent = false;
                    node.step(self.id.number, format!("{}: {error}", choice.name));
                    node.core
                        .borrow_mut()
                        .servers
                        .lost(clock::now(), &choice.name);
                }
                Err(error) => {
                    node.step(self.id.number, format!("{}: {error}", choice.name));
                    node.core
                        .borrow_mut()
                        .servers
                        .ended(clock::now(), &choice.name, false);
                    self.broken(&error.to_string())?;
                }
            }
            avoid.push(choice.name);
        }
    }

    fn call(&self, choice: &Choice) -> Call {
        let mut call = Call::post(choice.address, format!("/{}", self.path), self.body);
        if let Some(key) = self.head.key {
            call = call.header("Idempotency-Key", key.to_string());
        }
        call.header("Request-Id", self.id.to_string())
    }

    /// A call whose answer was lost may be repeated only if the caller did not mark it.
    fn broken(&self, reason: &str) -> Result<(), Failure> {
        if self.head.key.is_none() {
            return Ok(());
        }
        let message = format!(
            "the answer was lost ({reason}): check whether it was done before \
                               you send it again with a new key"
        );
        Err(Failure::uncertain(Kind::BackendFailed, message))
    }

    fn all_out(&self, was_sent: bool) -> Failure {
        let message = format!(
            "no server of `{}` can take this now: come back",
            self.service
        );
        let ran = if was_sent { Ran::Maybe } else { Ran::No };
        Failure::refused(Kind::Overloaded, message)
            .with_ran(ran)
            .retry_after(RETRY_AFTER)
    }
}
