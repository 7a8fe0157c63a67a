//! Detects engines that crashed while they ran a prompt.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use domain::fleet::BackendServer;
use routing::quarantine::Decision;
use routing::quarantine::Fingerprint;
use routing::quarantine::Progress;
use routing::quarantine::Report;
use web::client::Call;
use wire::Frame;

use crate::datagrams;
use crate::node::Core;
use crate::node::Node;

/// The timeout of one probe; an engine that still runs answers within it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of probes of an engine whose connections break but are not refused. A process that
/// terminates closes its connections one after the other, so a later probe may be refused.
const PROBE_COUNT: u32 = 5;
/// The number of entries that get a summary of the suspects at a time.
const SUMMARY_PEERS: usize = 3;
/// The delay between two probes.
const PROBE_DELAY: Duration = Duration::from_millis(30);

/// Probes the engines of a failed attempt. Each crash is recorded for the prompt and broadcast to all
/// entries.
pub async fn detect(node: &Rc<Node>, fingerprint: &Fingerprint, servers: &[Rc<BackendServer>]) {
    for server in servers {
        if !is_down(node, server).await {
            continue;
        }
        let now = clock::now();
        let report = {
            let mut core = node.core.borrow_mut();
            core.router.record_unreachable(now, &server.name);
            core.quarantine
                .record_crash(now, fingerprint, &server.name, Progress::Begun)
        };
        if let Some(report) = report {
            log::warn!(
                target: "suspects",
                "{} crashed while it ran prompt {:016x}.",
                server.name,
                fingerprint.request
            );
            broadcast(node, report);
        }
    }
}

/// Records that a prompt ran to its end.
pub fn record_success(node: &Node, fingerprint: &Fingerprint) {
    let report = {
        let mut core = node.core.borrow_mut();
        core.quarantine.record_success(clock::now(), fingerprint)
    };
    if let Some(report) = report {
        broadcast(node, report);
    }
}

/// Returns whether the quarantine admits a prompt.
pub fn admits(node: &Node, fingerprint: &Fingerprint) -> bool {
    let mut core = node.core.borrow_mut();
    let Core {
        quarantine,
        members,
        ..
    } = &mut *core;
    let decision = quarantine.admit(clock::now(), fingerprint, |it| members.is_owner(it));
    if let Decision::Test(digest) = decision {
        log::info!(target: "suspects", "A prompt tests whether {digest:016x} still crashes engines.");
    }
    decision != Decision::Refuse
}

/// Applies what another entry knows of prompts that crash engines.
pub fn apply(node: &Node, from: SocketAddr, report: &Report) {
    let reply = {
        let mut core = node.core.borrow_mut();
        core.quarantine.apply(clock::now(), report)
    };
    if let Some(reply) = reply {
        datagrams::send(node, from, &Frame::Quarantine(reply));
    }
}

/// Sends the suspects that are refused to some random entries, which may have missed reports.
pub fn send_summary(node: &Node) {
    let core = node.core.borrow();
    let Some(summary) = core.quarantine.summary(clock::now()) else {
        return;
    };
    let frame = Frame::Quarantine(summary);
    for member in core.members.sample(SUMMARY_PEERS, &mut rand::rng()) {
        datagrams::send(node, member.peer_address, &frame);
    }
}

fn broadcast(node: &Node, report: Report) {
    let frame = Frame::Quarantine(report);
    let core = node.core.borrow();
    for member in core.members.alive().skip(1) {
        datagrams::send(node, member.peer_address, &frame);
    }
}

async fn is_down(node: &Node, server: &BackendServer) -> bool {
    let call = Call::get(server.address, "/load");
    for _ in 0..PROBE_COUNT {
        match node
            .client
            .fetch::<serde_json::Value>(&call, PROBE_TIMEOUT)
            .await
        {
            Ok(_) => return false,
            Err(error) if error.is_unreachable() => return true,
            Err(_) => Timer::after(PROBE_DELAY).await,
        };
    }
    false
}
