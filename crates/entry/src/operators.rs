//! The HTTP interface for operators: metrics, health, state and traces of requests.

use std::rc::Rc;

use routing::Level;
use web::Exchange;
use web::Method;
use web::Reply;

use crate::node::Node;
use crate::trace;

/// Handles one HTTP request of an operator.
pub async fn handle(node: Rc<Node>, exchange: Exchange) -> Reply {
    let path = exchange.path().to_owned();
    match (
        exchange.method(),
        path.split('/').skip(1).collect::<Vec<_>>().as_slice(),
    ) {
        (Method::Get, ["metrics"]) => {
            let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            Reply::bytes(200, content_type, node.metrics.encode())
        }
        (Method::Get, ["healthz"]) => Reply::text("ok\n"),
        (Method::Get, ["readyz"]) if node.is_ready() => Reply::text("ready\n"),
        (Method::Get, ["readyz"]) => Reply::text("not ready\n").with_status(503),
        (Method::Post, ["drain"]) => {
            node.core.borrow_mut().is_stopping = true;
            Reply::json(&serde_json::json!({}))
        }
        (Method::Get, ["config"]) => Reply::json(&node.core.borrow().fold),
        (Method::Get, ["burn"]) => Reply::json(&node.core.borrow().ledger.summaries(clock::now())),
        (Method::Get, ["status"]) => status(&node),
        (Method::Get, ["engines"]) => engines(&node),
        (Method::Get, ["explain", id]) => explain(&node, id),
        _ => Reply::text("not found\n").with_status(404),
    }
}

/// Returns a summary of the state of this instance.
fn status(node: &Node) -> Reply {
    let core = node.core.borrow();
    Reply::json(&serde_json::json!({
        "name": node.settings.name,
        "incarnation": node.incarnation.to_string(),
        "phase": format!("{:?}", core.phase()),
        "config_next": core.fold.next(),
        "contracts": core.view.contract_count(),
        "entries": core.members.alive().count(),
        "requests": node.request_count(),
        "waiting": core.router.waiting(),
        "tickets": core.tickets.values().map(|it| it.len()).sum::<usize>(),
        "suspects": core.quarantine.len(),
        "appends": node.metrics.appends.get(),
    }))
}

/// Returns the state of each engine as this instance sees it.
fn engines(node: &Node) -> Reply {
    let now = clock::now();
    let core = node.core.borrow();
    let engines = core.router.pool().iter().map(|it| {
        let state = serde_json::json!({
            "is_usable": it.is_usable(now),
            "is_leaving": it.leaving.is_marked(),
            "running": it.running(),
            "free_memory_tokens": it.free_memory(),
            "wait_us": it.wait(now, Level::LAST).as_micros() as u64,
        });
        (it.name.clone(), state)
    });
    Reply::json(&engines.collect::<serde_json::Map<_, _>>())
}

fn explain(node: &Node, id: &str) -> Reply {
    let core = node.core.borrow();
    let id = trace::RequestId::parse(id).filter(|it| it.owner == node.incarnation);
    match id.and_then(|it| core.traces.get(it.number)) {
        Some(trace) => Reply::json(trace),
        None => Reply::text("this instance has no trace of this request\n").with_status(404),
    }
}
