//! The HTTP interface for callers.

use std::rc::Rc;
use std::time::Duration;

use domain::Failure;
use domain::Key;
use domain::failure::Kind;
use serde::Deserialize;
use serde::Serialize;
use web::Exchange;
use web::Method;
use web::Reply;

use crate::chat;
use crate::node::Node;
use crate::request;
use crate::services;
use crate::trace;

/// The maximum number of keys in one response.
const KEYS_LIMIT: u64 = 100;
/// The `Retry-After` of a response when too many keys are in use.
const KEYS_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The response of `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// The instances that accept requests.
    pub entries: Vec<Address>,
    /// How long callers may cache this response, in milliseconds.
    pub keep_ms: u64,
}

/// The response of `POST /v1/keys`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keys {
    /// The keys. Each is valid for one request on any entry, also while the log is unavailable.
    pub keys: Vec<Key>,
    /// How long the keys may be used, in milliseconds.
    pub keep_ms: u64,
}

/// An instance that accepts requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// The instance's name.
    pub name: String,
    /// The instance's data centre.
    pub data_centre: String,
    /// The address for callers.
    pub address: std::net::SocketAddr,
}

/// Handles one HTTP request of a caller.
pub async fn handle(node: Rc<Node>, exchange: Exchange) -> Reply {
    let path = exchange.path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    let is_post = exchange.method() == Method::Post;
    if is_post && !node.core.borrow().is_configured {
        let message = "the instance has no configuration yet: use another instance";
        let failure = Failure::refused(Kind::Stopping, message);
        return failure.retry_after(Duration::from_secs(1)).into();
    }
    match (exchange.method(), segments.as_slice()) {
        (Method::Get, ["v1", "entries"]) => Reply::json(&entries(&node)),
        (Method::Post, ["v1", "keys"]) => keys(&node, &exchange),
        (Method::Post, ["v1", "chat", "completions"]) => chat::handle(node, exchange).await,
        (Method::Post, ["v1", "services", service, rest @ ..]) => {
            services::handle(node, exchange, service, &rest.join("/")).await
        }
        (Method::Get, ["v1", "requests", id]) => outcome(&node, &exchange, id),
        _ => {
            let message = format!("the path `{path}` does not exist: see README.md for the paths");
            Failure::refused(Kind::NotFound, message).into()
        }
    }
}

/// Returns the entries that answer probes and are not leaving.
fn entries(node: &Node) -> Entries {
    let core = node.core.borrow();
    let entries = core.members.ready().map(|it| Address {
        name: it.name.clone(),
        data_centre: it.data_centre.clone(),
        address: it.caller_address,
    });
    Entries {
        entries: entries.collect(),
        keep_ms: node.settings.answer_lifetime_ms,
    }
}

/// Issues tickets, which are keys that are checked without the log.
fn keys(node: &Node, exchange: &Exchange) -> Reply {
    let contract = match request::contract(node, exchange) {
        Ok(contract) => contract,
        Err(failure) => return failure.into(),
    };
    let count = exchange.query_number("count", 1).clamp(1, KEYS_LIMIT);
    let mut core = node.core.borrow_mut();
    if core.is_stopping {
        let message = "the instance is shutting down: use another instance";
        return Failure::refused(Kind::Stopping, message).into();
    }
    let now = clock::now();
    let tickets = core.tickets.get_mut(&node.incarnation);
    let keys: Vec<Key> = tickets.map_or_else(Vec::new, |tickets| {
        let issue = |_| tickets.issue(now, clock::since_epoch(), &contract.customer);
        (0..count).filter_map(issue).collect()
    });

    if keys.is_empty() {
        let message = "too many keys are in use: use those already issued, or retry later";
        let failure = Failure::refused(Kind::Overloaded, message);
        return failure.retry_after(KEYS_RETRY_AFTER).into();
    }
    Reply::json(&Keys {
        keys,
        keep_ms: claim::tickets::LIFETIME.as_millis() as u64,
    })
}

fn outcome(node: &Node, exchange: &Exchange, id: &str) -> Reply {
    let contract = match request::contract(node, exchange) {
        Ok(contract) => contract,
        Err(failure) => return failure.into(),
    };
    let core = node.core.borrow();
    let id = trace::RequestId::parse(id).filter(|it| it.owner == node.incarnation);
    let trace = id.and_then(|it| core.traces.get(it.number));
    match trace.filter(|it| it.customer == contract.customer) {
        Some(trace) => Reply::json(&serde_json::json!({ "outcome": trace.outcome })),
        None => {
            let message = "this instance has no trace of this request: ask the instance that \
                           accepted it, soon after the request";
            Failure::refused(Kind::NotFound, message).into()
        }
    }
}
