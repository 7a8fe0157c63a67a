//! Applies evacuations of data centres, from the operator's list and from other entries, and sends them on.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;

use domain::Moment;
use domain::evacuation::Set;
use placement::evacuation::Change;
use placement::evacuation::Record;

use crate::Node;
use crate::datagrams;
use crate::metrics::DataCentreLabels;
use crate::node::State;
use crate::port::Changes;
use crate::position;
use crate::target::Target;

/// Applies what was read of the operator's list: the changes from position `from` on, or the whole list if
/// there is no position. Returns whether the copy is complete; if not, the whole list has to be read.
pub fn apply_read(node: &Node, from: Option<u64>, changes: &Changes) -> bool {
    if !is_enabled(node) {
        return true;
    }
    let now = clock::now();
    let decoded = changes.records.iter().filter_map(|it| {
        let evacuation = node.decoder.evacuation(it)?;
        Some(Record {
            data_centre: evacuation.data_centre.to_owned(),
            is_start: evacuation.is_start,
            next: it.next,
        })
    });
    let records: Vec<Record> = decoded.collect();
    let change = {
        let mut state = node.state.borrow_mut();
        match from {
            Some(from) => state
                .evacuations
                .apply_changes(now, from, changes.next, &records),
            None => {
                let listed = records.into_iter().filter(|it| it.is_start);
                let listed: BTreeSet<String> = listed.map(|it| it.data_centre).collect();
                Some(state.evacuations.apply_list(now, changes.next, listed))
            }
        }
    };
    let Some(change) = change else {
        log::info!(target: "evacuation", from, to = changes.next; "earlier changes of the operator's list are missing; it is read as a whole");
        return false;
    };
    if adopt(node, &change, &"platform") {
        datagrams::broadcast_evacuations(node);
    }
    true
}

/// Applies the set of another entry, and forwards it to some entries if it changed anything.
pub fn apply_message(node: &Node, peer: SocketAddr, set: &Set) {
    if !is_enabled(node) {
        return;
    }
    let change = node
        .state
        .borrow_mut()
        .evacuations
        .receive(clock::now(), set);
    if adopt(node, &change, &peer) {
        datagrams::forward_evacuations(node);
    }
}

/// Ends evacuations that were held for long enough, and all of them once the settings disable them.
pub fn expire(node: &Node, now: Moment) {
    let (change, source) = {
        let mut state = node.state.borrow_mut();
        if is_enabled(node) {
            (state.evacuations.expire(now), "expiry")
        } else {
            let evacuations = std::mem::take(&mut state.evacuations);
            state.members.set_evacuations(None);
            let change = Change {
                ended: evacuations.data_centres().into_iter().collect(),
                ..Change::default()
            };
            (change, "settings")
        }
    };
    if !change.is_empty() {
        adopt(node, &change, &source);
    }
}

/// Returns whether the servers of an attempt may get a request. Evacuations may have started since they
/// were chosen.
pub fn permits(state: &State, target: &Target) -> bool {
    let helpers = target.helpers.iter().map(|it| &it.server);
    let mut servers = std::iter::once(&target.server).chain(helpers);
    !servers.any(|it| state.servers.is_evacuated(&it.data_centre))
}

/// Records, by evacuated data centre, how many of this entry's requests are still there.
pub fn record_running(node: &Node) {
    let state = node.state.borrow();
    let data_centres = state.evacuations.data_centres();
    if data_centres.is_empty() {
        return;
    }
    let running = state.workload.servers_of(node.incarnation);
    for data_centre in data_centres {
        let servers = state.servers.all();
        let inside = servers.filter(|it| it.server.data_centre == data_centre);
        let keys: BTreeSet<u64> = inside.map(|it| it.key()).collect();
        let requests = running
            .iter()
            .filter(|it| it.iter().any(|key| keys.contains(key)));
        let labels = DataCentreLabels { data_centre };
        let gauge = node.metrics.evacuated_running.get_or_create(&labels);
        gauge.set(requests.count() as i64);
    }
}

fn is_enabled(node: &Node) -> bool {
    node.settings().evacuation_bound.is_some()
}

/// Puts a change of the evacuated data centres in force. Returns whether there was any.
fn adopt(node: &Node, change: &Change, source: &dyn Display) -> bool {
    let mut state = node.state.borrow_mut();
    let State {
        evacuations,
        servers,
        members,
        records,
        ..
    } = &mut *state;
    members.set_evacuations(evacuations.known().cloned().map(Rc::new));
    if change.is_empty() {
        return false;
    }
    servers.set_evacuated(evacuations.data_centres());
    let position = evacuations.known().map_or(0, |it| it.position);
    let (era, offset) = (position::era(position), position::offset(position));
    let delay_ms = change.delay.map(|it| it.as_millis() as u64);
    for data_centre in &change.started {
        let inside = servers
            .all()
            .filter(|it| it.server.data_centre == *data_centre);
        let count = inside.count();
        log::warn!(target: "evacuation", data_centre = data_centre.as_str(), source:% = source, era, offset, delay_ms, servers = count; "the evacuation of a data centre started; its servers get no new work");
        if count == 0 && records.servers_position().is_some() {
            log::warn!(target: "evacuation", data_centre = data_centre.as_str(); "no listed server is in the evacuated data centre; check its name");
        }
        node.metrics.record_evacuation_start(data_centre);
    }
    for data_centre in &change.ended {
        // Its servers may be cold, and say so only in their next records.
        let cold = servers.mark_cold(clock::now(), data_centre, None);
        log::warn!(target: "evacuation", data_centre = data_centre.as_str(), source:% = source, era, offset, delay_ms, cold; "the evacuation of a data centre ended; its servers get work again");
        node.metrics.record_evacuation_end(data_centre);
    }
    true
}
