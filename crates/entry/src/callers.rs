//! The interface for callers.

use std::rc::Rc;

use domain::Failure;
use domain::failure::Kind;
use platform::Role;
use platform::Status;
use serde::Deserialize;
use serde::Serialize;
use web::Exchange;
use web::Method;
use web::Reply;

use crate::chat;
use crate::node::Node;
use crate::request;
use crate::services;
use crate::trail;

/// The answer of `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// The instances to use.
    pub entries: Vec<Address>,
    /// How long this answer may be kept, in milliseconds.
    pub keep_ms: u64,
}

/// An instance that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// The instance's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where to connect.
    pub address: std::net::SocketAddr,
}

/// Handles one request of a caller.
pub async fn handle(node: Rc<Node>, exchange: Exchange) -> Reply {
    let path = exchange.path().to_owned();
    let steps: Vec<&str> = path.split('/').skip(1).collect();
    let is_work = exchange.method() == Method::Post;
    if is_work && !node.core.borrow().is_configured {
        let message = "the instance has no configuration yet: ask another one";
        let failure = Failure::refused(Kind::Stopping, message);
        return failure
            .retry_after(std::time::Duration::from_secs(1))
            .into();
    }
    match (exchange.method(), steps.as_slice()) {
        (Method::Get, ["v1", "entries"]) => Reply::json(&entries(&node)),
        (Method::Post, ["v1", "chat", "completions"]) => chat::handle(node, exchange).await,
        (Method::Post, ["v1", "services", service, rest @ ..]) => {
            services::handle(node, exchange, service, &rest.join("/")).await
        }
        (Method::Get, ["v1", "requests", id]) => outcome(&node, &exchange, id),
        _ => {
            let message = format!("there is no `{path}`: see README.md for the paths");
            Failure::refused(Kind::NotFound, message).into()
        }
    }
}

fn entries(node: &Node) -> Entries {
    let core = node.core.borrow();
    let listed = core.instances.iter().filter(|it| it.status == Status::Live);
    let entries = listed.filter_map(|it| match it.role {
        Role::Entry { callers, .. } => Some(Address {
            name: it.name.clone(),
            data_centre: it.data_centre.clone(),
            address: callers,
        }),
        Role::BackendServer => None,
    });
    Entries {
        entries: entries.collect(),
        keep_ms: node.settings.answer_lifetime_ms,
    }
}

fn outcome(node: &Node, exchange: &Exchange, id: &str) -> Reply {
    let contract = match request::contract(node, exchange) {
        Ok(contract) => contract,
        Err(failure) => return failure.into(),
    };
    let core = node.core.borrow();
    let id = trail::Id::parse(id).filter(|it| it.owner == node.incarnation);
    let trail = id.and_then(|it| core.trails.get(it.number));
    match trail.filter(|it| it.customer == contract.customer) {
        Some(trail) => Reply::json(&serde_json::json!({ "outcome": trail.outcome })),
        None => {
            let message = "this instance knows no such request: ask the one that took it, soon";
            Failure::refused(Kind::NotFound, message).into()
        }
    }
}
