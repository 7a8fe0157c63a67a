//! Records what backend servers' responses say about further work.

use h1::Response;
use membership::message::Rumour;
use placement::Server;

use crate::Node;

/// Records what a server's response says about further work.
pub fn record(node: &Node, server: &Server, response: &Response) {
    let notice = node.protocol.notice(response);
    if notice.is_leaving {
        record_leaving(node, server);
    }
    if let Some(limit_per_s) = notice.limit_per_s {
        log::info!(target: "server", server = server.id.as_str(), limit_per_s; "the server named the requests a second that it takes");
    }
    let Some(pause) = notice.pause else {
        return;
    };
    node.metrics.pauses.inc();
    log::info!(target: "server", server = server.id.as_str(), pause_ms = pause.as_millis() as u64, status = response.status; "the server asked for a pause");
    if let Some(server_state) = node.state.borrow_mut().servers.get_mut(server.key()) {
        server_state.pause.extend(clock::now(), pause);
    }
}

/// Records that a server leaves, and gossips it to other entries.
fn record_leaving(node: &Node, server: &Server) {
    let mut state = node.state.borrow_mut();
    if state.servers.mark_leaving(server.key()) {
        log::info!(target: "server", server = server.id.as_str(); "the server leaves by its own answer");
        let server = server.incarnation();
        state.members.gossip(Rumour::ServerLeaving { server });
    }
}
