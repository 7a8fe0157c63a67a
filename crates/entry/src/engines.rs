//! Engines: load reports and the sweep of memory that nobody needs any more.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use domain::Moment;
use domain::fleet::BackendServer;
use domain::key::Incarnation;
use routing::level::LEVELS;
use serde::Deserialize;
use serde_json::json;
use web::client::Call;
use wire::Frame;
use wire::frame::Load;

use crate::datagrams;
use crate::dispatch;
use crate::node::Node;
use crate::trace;

/// The time between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The time between two load reports in a large fleet, where there are more entries to tell.
const LARGE_REPORT_INTERVAL: Duration = Duration::from_secs(3);
/// The time between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The time between two sweeps in a large fleet.
const LARGE_SWEEP_INTERVAL: Duration = Duration::from_secs(3);
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

/// Reads the load of the backend servers that this entry is home to, again and again, and tells
/// the other entries.
pub async fn poll_loads(node: Rc<Node>) {
    let collected = Rc::new(RefCell::new(Vec::new()));
    loop {
        for server in own_servers(&node) {
            let report = report(node.clone(), server, collected.clone());
            node.executor.spawn(report).detach();
        }
        Timer::after(node.scaled_interval(REPORT_INTERVAL, LARGE_REPORT_INTERVAL)).await;
        spread(&node, collected.take());
    }
}

/// Takes load reports that another entry has read.
pub fn apply_reports(node: &Node, loads: Vec<Load>) {
    let now = clock::now();
    for load in loads {
        let of = Moment::default() + now.since(Moment::default() + load.age);
        apply(node, &load.server, of, load.report);
    }
    dispatch::place_waiting(node);
}

/// Sweeps all engines again and again.
pub async fn sweep(node: Rc<Node>) {
    loop {
        for server in own_servers(&node)
            .into_iter()
            .filter(|it| it.engine().is_some())
        {
            sweep_engine(&node, server.address).await;
        }
        Timer::after(node.scaled_interval(SWEEP_INTERVAL, LARGE_SWEEP_INTERVAL)).await;
    }
}

/// Cancels an attempt on an engine, so that it gives the memory back.
pub async fn cancel(node: Rc<Node>, address: SocketAddr, id: trace::RequestId, attempt: u32) {
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

/// Returns the backend servers that this entry is home to.
pub fn own_servers(node: &Node) -> Vec<Rc<BackendServer>> {
    let core = node.core.borrow();
    let servers = core.view.backend_servers.values();
    servers.filter(|it| is_own(node, it)).cloned().collect()
}

/// Tells whether this entry is home to a backend server.
pub fn is_own(node: &Node, server: &BackendServer) -> bool {
    let core = node.core.borrow();
    let home = core
        .members
        .home_in(&server.data_centre, server.name.as_bytes());
    home.incarnation == node.incarnation
}

/// A report that the others still have to be told.
struct Collected {
    server: String,
    of: Moment,
    report: Option<routing::engine::Load>,
}

async fn report(node: Rc<Node>, server: Rc<BackendServer>, collected: Rc<RefCell<Vec<Collected>>>) {
    let call = Call::get(server.address, "/load");
    let asked = clock::now();
    let report = match node.client.fetch::<Report>(&call, CALL_TIMEOUT).await {
        Ok(report) => Some(report),
        Err(error) if error.is_unreachable() => None,
        Err(error) => {
            log::debug!(target: "engines", "No load from {}: {error}.", server.name);
            return;
        }
    };
    // A report can't describe a later moment than the one at which it was asked for.
    let age = Duration::from_millis(report.as_ref().map_or(0, |it| it.age_ms));
    let of = Moment::default() + asked.since(Moment::default() + age);
    let report = report.map(|it| it.load());
    apply(&node, &server.name, of, report.clone());
    dispatch::place_waiting(&node);
    collected.borrow_mut().push(Collected {
        server: server.name.clone(),
        of,
        report,
    });
}

fn apply(node: &Node, server: &str, of: Moment, report: Option<routing::engine::Load>) {
    let mut core = node.core.borrow_mut();
    match report {
        Some(load) => {
            core.servers.record_load(server, &load);
            core.router.record_load(server, of, load);
        }
        None => {
            core.router.record_unreachable(clock::now(), server);
            core.servers.record_unreachable(clock::now(), server);
        }
    }
}

/// Returns the entries that are told of load: all of them, or those of the own data centre where
/// there are many.
fn audience(node: &Node) -> Vec<SocketAddr> {
    let is_large = node.is_large_fleet();
    let core = node.core.borrow();
    let others = core.members.alive().skip(1);
    let near = others.filter(|it| !is_large || it.data_centre == node.settings.data_centre);
    near.map(|it| it.peers).collect()
}

/// Tells the other entries what was read.
fn spread(node: &Node, collected: Vec<Collected>) {
    if collected.is_empty() {
        return;
    }
    let now = clock::now();
    let loads = collected.into_iter().map(|it| Load {
        server: it.server,
        age: now.since(it.of),
        report: it.report,
    });
    let frame = Frame::Loads(loads.collect());
    for peer in audience(node) {
        datagrams::send(node, peer, &frame);
    }
}

impl Report {
    fn load(&self) -> routing::engine::Load {
        let mut backlog_micros = [0; LEVELS];
        for (level, micros) in backlog_micros.iter_mut().zip(&self.backlog_us) {
            *level = *micros;
        }
        routing::engine::Load {
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
