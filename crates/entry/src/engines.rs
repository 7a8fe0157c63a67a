//! Engines: load reports and the sweep of memory that nobody needs any more.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use domain::fleet::BackendServer;
use domain::key::Incarnation;
use routing::engine::LEVELS;
use routing::engine::Load;
use serde::Deserialize;
use serde_json::json;
use web::client::Call;

use crate::clock;
use crate::dispatch;
use crate::node::Node;
use crate::trail;

/// The time between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The time between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The time for one call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The time after a hold's deadline at which it is swept.
const SWEEP_GRACE: Duration = Duration::from_secs(1);
/// The attempts to cancel a stream; the sweep takes what is left.
const CANCEL_ATTEMPTS: u32 = 3;

/// A load report as an engine sends it.
#[derive(Debug, Deserialize)]
struct Report {
    #[serde(default)]
    incarnation: u64,
    #[serde(default)]
    age_ms: u64,
    #[serde(default)]
    backlog_us: Vec<u64>,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    memory_used: u64,
    is_leaving: bool,
}

/// Memory that an engine holds for somebody.
#[derive(Debug, Deserialize)]
struct Hold {
    owner: Incarnation,
    request: u64,
    attempt: u32,
    overdue_ms: u64,
}

/// Reads the load of all backend servers again and again.
pub async fn watch(node: Rc<Node>) {
    loop {
        for server in servers(&node) {
            let report = report(node.clone(), server);
            node.executor.spawn(report).detach();
        }
        Timer::after(REPORT_INTERVAL).await;
    }
}

/// Sweeps all engines again and again.
pub async fn sweep(node: Rc<Node>) {
    loop {
        for server in servers(&node) {
            if server.engine().is_some() {
                sweep_engine(&node, server.address).await;
            }
        }
        Timer::after(SWEEP_INTERVAL).await;
    }
}

/// Cancels an attempt on an engine, so that it gives the memory back.
pub async fn cancel(node: Rc<Node>, address: SocketAddr, id: trail::Id, attempt: u32) {
    let call = cancel_call(address, id.owner, id.number, attempt);
    for _ in 0..CANCEL_ATTEMPTS {
        let cancelled = node
            .client
            .fetch::<serde_json::Value>(&call, CALL_TIMEOUT)
            .await;
        if cancelled.is_ok() {
            return;
        }
    }
    log::warn!(target: "engines", "Cancel of {id} on {address} failed. The sweep will take it.");
}

fn cancel_call(address: SocketAddr, owner: Incarnation, request: u64, attempt: u32) -> Call {
    let body = json!({ "owner": owner, "request": request, "attempt": attempt });
    Call::json(address, "/cancel", &body)
}

fn servers(node: &Node) -> Vec<Rc<BackendServer>> {
    node.core
        .borrow()
        .view
        .backend_servers
        .values()
        .cloned()
        .collect()
}

async fn report(node: Rc<Node>, server: Rc<BackendServer>) {
    let call = Call::get(server.address, "/load");
    let asked = clock::now();
    let report = node.client.fetch::<Report>(&call, CALL_TIMEOUT).await;
    let now = clock::now();
    let mut core = node.core.borrow_mut();
    match report {
        Ok(report) if server.engine().is_some() => {
            // The report can't describe a later moment than the one at which it was asked for.
            let of = asked.since(domain::Moment::from_millis(report.age_ms));
            let of = domain::Moment::default() + of;
            core.router.report(&server.name, of, report.load());
        }
        Ok(report) => core.servers.report(&server.name, report.is_leaving),
        Err(error) if error.is_unreachable() => {
            core.router.lost(now, &server.name);
            core.servers.lost(now, &server.name);
        }
        Err(error) => log::debug!(target: "engines", "No load from {}: {error}.", server.name),
    }
    drop(core);
    dispatch::pump(&node);
}

impl Report {
    fn load(&self) -> Load {
        let mut backlog_micros = [0; LEVELS];
        for (level, micros) in backlog_micros.iter_mut().zip(&self.backlog_us) {
            *level = *micros;
        }
        Load {
            incarnation: self.incarnation,
            backlog_micros,
            running: self.running,
            memory_used: self.memory_used,
            is_leaving: self.is_leaving,
        }
    }
}

async fn sweep_engine(node: &Rc<Node>, address: SocketAddr) {
    let call = Call::get(address, "/holds");
    let Ok(holds) = node.client.fetch::<Vec<Hold>>(&call, CALL_TIMEOUT).await else {
        return;
    };
    let grace = SWEEP_GRACE.as_millis() as u64;
    for hold in holds.iter().filter(|it| it.overdue_ms >= grace) {
        let call = cancel_call(address, hold.owner, hold.request, hold.attempt);
        if node
            .client
            .fetch::<serde_json::Value>(&call, CALL_TIMEOUT)
            .await
            .is_ok()
        {
            node.metrics.swept.inc();
            log::info!(
                target: "engines",
                "Swept request {}-{} from {address}.",
                hold.owner,
                hold.request
            );
        }
    }
}
