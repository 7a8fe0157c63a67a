//! Records what backend servers' responses say about further work.

use domain::Moment;
use h1::Response;
use membership::message::Rumour;
use placement::Server;
use placement::rates::Change;
use placement::rates::Statement;
use placement::workload;

use crate::Node;
use crate::datagrams;
use crate::port::Verdict;

/// Records what a server's response says about further work. `sent_at` is when the request was sent;
/// `None` for a command, whose response need not name a limit.
pub fn record(node: &Node, server: &Server, response: &Response, sent_at: Option<Moment>) {
    let notice = node.protocol.notice(response);
    if notice.is_leaving {
        record_leaving(node, server);
    }
    let statement = match notice.limit_per_s {
        Some(per_s) => Some(Statement::Limited(per_s)),
        None => sent_at.map(Statement::Unlimited),
    };
    let is_own = !matches!(node.protocol.verdict(response), Ok(Verdict::OtherServer));
    if let Some(statement) = statement.filter(|_| is_own) {
        record_limit(node, server, statement);
    }
    if let Some(left) = notice.cold_left.filter(|_| is_own) {
        let mut state = node.state.borrow_mut();
        if let Some(server_state) = state.servers.get_mut(server.key()) {
            server_state.cold.record_response(clock::now(), left);
        }
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

/// Records the limit of a server, or its end, and broadcasts it to other entries.
fn record_limit(node: &Node, server: &Server, statement: Statement) {
    let now = clock::now();
    let change = {
        let mut state = node.state.borrow_mut();
        let rates = state.workload.rates_mut();
        rates.record(now, server.key(), statement)
    };
    let Some(change) = change else {
        return;
    };
    let per_s = statement.per_s();
    match change {
        Change::Changed => {
            log::info!(target: "server", server = server.id.as_str(), limit_per_s = per_s; "the server named the requests a second that it takes");
        }
        Change::Ended => {
            log::info!(target: "server", server = server.id.as_str(); "the server names no limit of requests any more");
        }
        Change::Repeated => {}
    }
    let limited = workload::Change::Limited {
        server: server.key(),
        per_s: per_s as f32,
    };
    datagrams::tell_change(node, now, node.next_job(), limited);
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
