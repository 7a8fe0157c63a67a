//! Monitors engines: load reports, and the release of memory that is no longer needed.

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

/// The interval between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The interval between two load reports in a large fleet, where each goes to more entries.
const LARGE_REPORT_INTERVAL: Duration = Duration::from_secs(3);
/// The interval between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between two sweeps in a large fleet.
const LARGE_SWEEP_INTERVAL: Duration = Duration::from_secs(3);
/// The timeout of a call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The time after its deadline at which a hold is swept.
const SWEEP_GRACE: Duration = Duration::from_secs(1);
/// The number of attempts to cancel a stream. If all fail, the sweep cancels it later.
const CANCEL_ATTEMPTS: u32 = 3;

/// A load report as an engine returns it.
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

/// Memory that an engine holds for one attempt of a request.
#[derive(Debug, Deserialize)]
struct Hold {
    owner: Incarnation,
    request: u64,
    attempt: u32,
    overdue_ms: u64,
}

/// Periodically reads the load of the backend servers for which this entry is the home, and sends
/// it to the other entries.
pub async fn poll_loads(node: Rc<Node>) {
    let samples = Rc::new(RefCell::new(Vec::new()));
    loop {
        for server in own_servers(&node) {
            let poll = poll(node.clone(), server, samples.clone());
            node.executor.spawn(poll).detach();
        }
        Timer::after(node.scaled_interval(REPORT_INTERVAL, LARGE_REPORT_INTERVAL)).await;
        broadcast_loads(&node, samples.take());
    }
}

/// Applies load reports received from another entry.
pub fn apply_reports(node: &Node, loads: Vec<Load>) {
    let now = clock::now();
    for load in loads {
        let as_of = Moment::default() + now.since(Moment::default() + load.age);
        apply(node, &load.server, as_of, load.report);
    }
    dispatch::place_waiting(node);
}

/// Periodically cancels overdue holds on the engines for which this entry is the home.
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

/// Cancels an attempt on an engine, so that its memory is released.
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
    log::warn!(target: "engines", "Cancelling {id} on {address} failed. The sweep will cancel it.");
}

fn cancel_call(address: SocketAddr, owner: Incarnation, request: u64, attempt: u32) -> Call {
    let body = json!({ "owner": owner, "request": request, "attempt": attempt });
    Call::json(address, "/cancel", &body)
}

/// Returns the backend servers for which this entry is the home.
pub fn own_servers(node: &Node) -> Vec<Rc<BackendServer>> {
    let core = node.core.borrow();
    let servers = core.view.backend_servers.values();
    servers.filter(|it| is_home(node, it)).cloned().collect()
}

/// Returns whether this entry is the home of a backend server.
pub fn is_home(node: &Node, server: &BackendServer) -> bool {
    let core = node.core.borrow();
    let home = core
        .members
        .home_in(&server.data_centre, server.name.as_bytes());
    home.incarnation == node.incarnation
}

/// A sample of a server's load that has not been sent to the other entries yet.
struct Sample {
    server: String,
    as_of: Moment,
    report: Option<routing::engine::Load>,
}

async fn poll(node: Rc<Node>, server: Rc<BackendServer>, samples: Rc<RefCell<Vec<Sample>>>) {
    let call = Call::get(server.address, "/load");
    let requested_at = clock::now();
    let report = match node.client.fetch::<Report>(&call, CALL_TIMEOUT).await {
        Ok(report) => Some(report),
        Err(error) if error.is_unreachable() => None,
        Err(error) => {
            log::debug!(target: "engines", "Reading the load of {} failed: {error}.", server.name);
            return;
        }
    };
    // A report can't describe a later moment than the time of the request, so its age is subtracted
    // from that time.
    let age = Duration::from_millis(report.as_ref().map_or(0, |it| it.age_ms));
    let as_of = Moment::default() + requested_at.since(Moment::default() + age);
    let report = report.map(|it| it.to_load());
    apply(&node, &server.name, as_of, report.clone());
    dispatch::place_waiting(&node);
    samples.borrow_mut().push(Sample {
        server: server.name.clone(),
        as_of,
        report,
    });
}

fn apply(node: &Node, server: &str, as_of: Moment, report: Option<routing::engine::Load>) {
    let mut core = node.core.borrow_mut();
    match report {
        Some(load) => {
            core.servers.record_load(server, &load);
            core.router.record_load(server, as_of, load);
        }
        None => {
            core.router.record_unreachable(clock::now(), server);
            core.servers.record_unreachable(clock::now(), server);
        }
    }
}

/// Returns the entries to which load reports are sent: all others, or in a large fleet those of the
/// same data centre.
fn load_recipients(node: &Node) -> Vec<SocketAddr> {
    let is_large = node.is_large_fleet();
    let core = node.core.borrow();
    let others = core.members.alive().skip(1);
    let recipients = others.filter(|it| !is_large || it.data_centre == node.settings.data_centre);
    recipients.map(|it| it.peer_address).collect()
}

/// Sends the collected load samples to the other entries.
fn broadcast_loads(node: &Node, samples: Vec<Sample>) {
    if samples.is_empty() {
        return;
    }
    let now = clock::now();
    let loads = samples.into_iter().map(|it| Load {
        server: it.server,
        age: now.since(it.as_of),
        report: it.report,
    });
    let frame = Frame::Loads(loads.collect());
    for peer in load_recipients(node) {
        datagrams::send(node, peer, &frame);
    }
}

impl Report {
    fn to_load(&self) -> routing::engine::Load {
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
                "Cancelled the overdue hold of request {}-{} on {address}.",
                hold.owner,
                hold.request
            );
        }
    }
}
