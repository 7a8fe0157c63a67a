//! Detects engines that crashed while they ran a prompt.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use domain::fleet::BackendServer;
use membership::message::Rumour;
use web::client::Call;

use crate::datagrams;
use crate::node::Node;

/// The timeout of one probe; an engine that still runs answers within it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of probes of an engine whose connections break but are not refused. A process that
/// terminates closes its connections one after the other, so a later probe may be refused.
const PROBE_COUNT: u32 = 5;
/// The delay between two probes.
const PROBE_DELAY: Duration = Duration::from_millis(30);

/// Probes the engines of a failed attempt. Each crash is recorded for the prompt's fingerprint and
/// broadcast to all entries.
pub async fn detect(node: &Rc<Node>, fingerprint: u64, servers: &[Rc<BackendServer>]) {
    for server in servers {
        if !is_down(node, server).await {
            continue;
        }
        let mut core = node.core.borrow_mut();
        core.router.record_unreachable(clock::now(), &server.name);
        let is_new = core
            .quarantine
            .record_crash(clock::now(), fingerprint, &server.name);
        drop(core);
        if is_new {
            log::warn!(
                target: "suspects",
                "{} crashed while it ran prompt {fingerprint:016x}.",
                server.name
            );
            let server = server.name.clone();
            datagrams::broadcast(
                node,
                Rumour::Crash {
                    fingerprint,
                    server,
                },
            );
        }
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
