//! Checks a server that kept another one from running a request.
//!
//! A server that prefills a part of a prompt may have crashed, may leave, or may be busy with the parts of
//! others. Its failure is reported by the server that answers, without the reason, or shows in a reservation
//! that is not answered. An idle server that is gone attracts the parts of every long prompt until the list
//! of servers changes, so it is excluded at once, and asked for the reason.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use h1::Error;
use placement::Server;
use web::stream::within;

use crate::Node;
use crate::command;
use crate::dial;
use crate::reachability;

/// The interval between two queries of a check.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Records that the server at this address kept another one from running a request, and starts the check.
pub fn start_at(node: &Rc<Node>, address: SocketAddr) {
    let server = {
        let state = node.state.borrow();
        let mut servers = state.servers.all();
        let found = servers.find(|it| it.server.address == address);
        found.map(|it| it.server.clone())
    };
    if let Some(server) = server {
        start(node, server);
    }
}

/// The same for a server that is known.
pub fn start(node: &Rc<Node>, server: Rc<Server>) {
    let now = clock::now();
    let is_due = {
        let state = node.state.borrow();
        let server_state = state.servers.get(server.key());
        // While its circuit breaker is open, a check has just been made. Nothing is sent to an evacuated data
        // centre.
        server_state.is_some_and(|it| it.health.is_usable(now))
            && !state.servers.is_evacuated(&server.data_centre)
    };
    // An instance that reaches no server learns nothing of a single one.
    if !is_due || node.isolation.is_set() {
        return;
    }
    node.mark_unreachable(now, server.key());
    log::info!(target: "server", server = server.id.as_str(); "a helper failed to prefill its part of a prompt; checking it");
    let check = check(node.clone(), server);
    node.executor.spawn(check).detach();
}

async fn check(node: Rc<Node>, server: Rc<Server>) {
    // Meanwhile, its circuit breaker keeps further parts away.
    let deadline = clock::now() + dial::HEALTHY_SILENCE;
    let answered = loop {
        let answered = within(dial::CONNECT_TIMEOUT, query(&node, &server)).await;
        if is_conclusive(answered.as_ref()) || clock::now() >= deadline {
            break answered;
        }
        Timer::after(CHECK_INTERVAL).await;
    };
    let is_answered = matches!(answered, Some(Ok(())));
    // An instance that turns out to reach no server has learned nothing of this one.
    if !is_answered && reachability::is_isolated(&node).await {
        return;
    }
    let mut state = node.state.borrow_mut();
    match answered {
        Some(Ok(())) => {
            if let Some(server_state) = state.servers.get_mut(server.key()) {
                server_state.health.on_success();
            }
            return;
        }
        Some(Err(error)) => {
            log::info!(target: "server", server = server.id.as_str(), error:% = error; "the helper does not answer the check; it is excluded");
        }
        None => {
            log::info!(target: "server", server = server.id.as_str(); "the helper does not answer the check in time; it is excluded");
        }
    }
    // The next trial of the circuit breaker would be a part of another prompt. A server that starts
    // again is another process, which this does not exclude.
    state.servers.exclude(clock::now(), server.key());
}

/// Returns whether the result of a query says that the server answers, or that nothing listens at its address.
fn is_conclusive(answered: Option<&Result<(), Error>>) -> bool {
    match answered {
        Some(Ok(())) => true,
        Some(Err(Error::Io(error))) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Asks the server for its status. Each of its answers says whether it leaves.
async fn query(node: &Node, server: &Server) -> Result<(), Error> {
    let head = node.protocol.status_query();
    command::send(node, server, head, b"").await.map(|_| ())
}
