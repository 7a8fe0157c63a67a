//! Records what backend servers' responses say about further work.

use h1::Response;
use placement::Server;

use crate::Node;

/// Records what a server's response says about further work.
pub fn record(node: &Node, server: &Server, response: &Response) {
    let Some(pause) = node.protocol.notice(response).pause else {
        return;
    };
    node.metrics.pauses.inc();
    log::info!(target: "server", server = server.id.as_str(), pause_ms = pause.as_millis() as u64, status = response.status; "the server asked for a pause");
    if let Some(server_state) = node.state.borrow_mut().servers.get_mut(server.key()) {
        server_state.pause(clock::now(), pause);
    }
}
