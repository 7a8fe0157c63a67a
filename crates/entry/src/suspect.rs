//! Suspects: prompts whose engines went down while they ran.

use std::rc::Rc;
use std::time::Duration;

use domain::fleet::BackendServer;
use membership::message::Rumour;
use web::Stream;
use web::stream::within;

use crate::clock;
use crate::node::Node;
use crate::peers;

/// The time in which an engine that still runs accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Looks whether the engines of a broken attempt went down, and tells all entries if so.
pub async fn check(node: &Rc<Node>, fingerprint: u64, servers: &[Rc<BackendServer>]) {
    for server in servers {
        let connection = within(CONNECT_TIMEOUT, Stream::connect(server.address)).await;
        let is_refused = matches!(connection, Some(Err(_)));
        if !is_refused {
            continue;
        }
        let mut core = node.core.borrow_mut();
        core.router.lost(clock::now(), &server.name);
        let is_news = core
            .quarantine
            .crashed(clock::now(), fingerprint, &server.name);
        drop(core);
        if is_news {
            log::warn!(
                target: "suspects",
                "{} went down while it ran prompt {fingerprint:016x}.",
                server.name
            );
            let server = server.name.clone();
            peers::tell(
                node,
                Rumour::Crash {
                    fingerprint,
                    server,
                },
            );
        }
    }
}
