//! Reconciles the model versions that engines run with the configuration.
//!
//! The home of an engine reads which versions it runs and orders those that differ. Just before it
//! sends an order, it checks that it has read the log to its end, so that a home that was paused
//! does not send a stale order.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use config::order;
use config::order::Order;
use config::order::Running;
use domain::fleet::BackendServer;
use web::client::Call;

use crate::engines;
use crate::node::Node;

/// The interval between two reconciliation rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between two reconciliation rounds in a large fleet.
const LARGE_ROUND_INTERVAL: Duration = Duration::from_secs(5);
/// The timeout of a call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Periodically reconciles the engines for which this entry is the home.
pub async fn run(node: Rc<Node>) {
    loop {
        Timer::after(node.scaled_interval(ROUND_INTERVAL, LARGE_ROUND_INTERVAL)).await;
        if !node.is_ready() {
            continue;
        }
        for server in engines::own_servers(&node) {
            if server.engine().is_some() {
                reconcile(&node, &server).await;
            }
        }
    }
}

async fn reconcile(node: &Node, server: &BackendServer) {
    let call = Call::get(server.address, "/orders");
    let Ok(running) = node.client.fetch::<Running>(&call, CALL_TIMEOUT).await else {
        return;
    };
    let desired = order::desired(&node.core.borrow().fold, server);
    let missing = order::missing(&desired, &running);
    if missing.is_empty() || !is_up_to_date(node).await || !engines::is_home(node, server) {
        return;
    }
    for order in missing {
        send(node, server, &order).await;
    }
}

/// Returns whether this entry has read the configuration stream to its end.
async fn is_up_to_date(node: &Node) -> bool {
    let next = node.core.borrow().fold.next();
    let batch = node
        .platform
        .read(config::STREAM, next, Duration::ZERO)
        .await;
    batch.is_ok_and(|it| it.head <= next)
}

async fn send(node: &Node, server: &BackendServer, order: &Order) {
    let Order {
        fencing,
        model,
        version,
    } = order;
    let call = Call::json(server.address, "/orders", order);
    match node
        .client
        .fetch::<serde_json::Value>(&call, CALL_TIMEOUT)
        .await
    {
        Ok(_) => log::info!(
            target: "orders",
            "Ordered {} to run {model} version {version} (fencing {fencing}).",
            server.name
        ),
        Err(error) => {
            log::warn!(target: "orders", "{} rejected fencing {fencing}: {error}.", server.name);
        }
    }
}
