//! Suspects: prompts whose engines went down while they ran.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use domain::fleet::BackendServer;
use membership::message::Rumour;
use web::client::Call;

use crate::datagrams;
use crate::node::Node;

/// The time in which an engine that still runs answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// The looks at an engine whose connections break but are not refused: a process that ends closes
/// its connections one after the other.
const LOOKS: u32 = 5;
/// The pause between two looks.
const PAUSE: Duration = Duration::from_millis(30);

/// Looks whether the engines of a broken attempt went down, and tells all entries if so.
pub async fn detect(node: &Rc<Node>, fingerprint: u64, servers: &[Rc<BackendServer>]) {
    for server in servers {
        if !is_down(node, server).await {
            continue;
        }
        let mut core = node.core.borrow_mut();
        core.router.record_unreachable(clock::now(), &server.name);
        let is_news = core
            .quarantine
            .record_crash(clock::now(), fingerprint, &server.name);
        drop(core);
        if is_news {
            log::warn!(
                target: "suspects",
                "{} went down while it ran prompt {fingerprint:016x}.",
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
    for _ in 0..LOOKS {
        match node
            .client
            .fetch::<serde_json::Value>(&call, ANSWER_TIMEOUT)
            .await
        {
            Ok(_) => return false,
            Err(error) if error.is_unreachable() => return true,
            Err(_) => Timer::after(PAUSE).await,
        };
    }
    false
}
