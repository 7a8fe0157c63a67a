//! Applies the bounds of cold servers, and reports which servers are cold.

use std::collections::BTreeMap;

use domain::Moment;
use placement::JobId;

use crate::Node;
use crate::metrics::HoldLabels;
use crate::node::State;
use crate::target::Target;

/// Adopts the cold starts of the services in the configuration in force.
pub fn adopt(state: &mut State, now: Moment) {
    let services = state.table.iter().flat_map(|it| it.services());
    let cold_starts: BTreeMap<_, _> = services
        .filter_map(|it| Some((it.name.clone(), it.cold_start?)))
        .collect();
    if cold_starts.is_empty() {
        state.workload.window_mut().disable();
    } else {
        state.workload.window_mut().enable(now);
    }
    state.servers.set_cold_starts(cold_starts);
}

/// Sets the share of the bounds that this entry and those that it reaches use. Must be called before
/// a server is chosen.
pub fn refresh_share(state: &mut State, now: Moment) {
    let State {
        members,
        workload,
        audience,
        ..
    } = state;
    if workload.window().is_enabled() {
        let (live, expected) = (members.responding(), members.expected());
        let window = workload.window_mut();
        window.set_share(live, expected);
        window.set_own(members.local().incarnation);
        // Others tell an entry outside the subset of their work only while it places work too.
        window.tick(now, audience.is_participant(now));
    }
}

/// Counts a placement for which some cold servers were left out because they have reached their bounds.
pub fn count_held(node: &Node, state: &State, now: Moment, service: &str) {
    if !state.workload.window().is_enabled() {
        return;
    }
    let mut usable = state.servers.usable(now, service);
    if usable.any(|it| !it.cold_hold(now, &state.workload).is_zero()) {
        let labels = HoldLabels { stage: "placing" };
        node.metrics.cold_holds.get_or_create(&labels).inc();
    }
}

/// Returns whether the servers of an attempt that is about to be sent take it by their bounds, and
/// records that it is sent. Connecting and reserving take up to 400 ms, in which others may have placed
/// requests or a server may have become cold.
pub fn permit(node: &Node, state: &mut State, target: &Target, job: JobId, now: Moment) -> bool {
    if !state.workload.window().is_enabled() {
        return true;
    }
    refresh_share(state, now);
    let attempt = (job.entry, job.number);
    let full = target.parts.iter().find(|part| {
        let server = state.servers.get(part.server);
        let per_s = server.and_then(|it| it.cold_rate(now));
        let window = state.workload.window();
        per_s.is_some_and(|it| !window.is_allowed(now, part.server, it, attempt))
    });
    let full = full.map(|it| it.server);
    let window = state.workload.window_mut();
    for part in &target.parts {
        match full {
            None => window.record_sent(now, part.server, attempt),
            Some(_) => window.record_withdrawn(part.server, attempt),
        }
    }
    let Some(full) = full else {
        return true;
    };
    let labels = HoldLabels { stage: "sending" };
    node.metrics.cold_holds.get_or_create(&labels).inc();
    let server = state.servers.get(full).map(|it| it.server.id.as_str());
    log::info!(target: "server", server = server.unwrap_or("-"), parts = target.parts.len(); "a request was held back, because a cold server has reached its bound");
    false
}

/// Logs which servers became cold or warm, and updates their number.
pub fn observe(node: &Node, now: Moment) {
    let mut state = node.state.borrow_mut();
    if !state.workload.window().is_enabled() {
        node.metrics.cold_servers.set(0);
        return;
    }
    refresh_share(&mut state, now);
    let mut count = 0;
    for server in state.servers.all_mut() {
        let left_ms = server.cold.left(now).as_millis() as u64;
        let change = server.observe_cold(now);
        count += i64::from(server.is_cold(now));
        let Some((is_cold, source)) = change else {
            continue;
        };
        let (id, source) = (server.server.id.as_str(), source.name());
        if is_cold {
            log::info!(target: "server", server = id, source, left_ms; "a server has become cold");
        } else {
            log::info!(target: "server", server = id, source; "a server is no longer cold");
        }
    }
    node.metrics.cold_servers.set(count);
}
