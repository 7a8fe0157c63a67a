//! Tells the workload which engines servers run, and reports how many running streams are still on time.

use std::collections::HashMap;
use std::rc::Rc;

use route::Engine;

use crate::Node;
use crate::node::State;

/// The expected share of streams on time below which a log line says so, and that from which another one
/// says that it has ended.
const LOW_SHARE: f64 = 0.5;
const USUAL_SHARE: f64 = 0.7;
/// The fewest running streams of which a share says anything.
const FEWEST_STREAMS: usize = 20;

/// Adopts the engines of the listed servers by the configuration in force, for services whose routes differ in
/// priority. Where all are as urgent, long prompts, which have most of the value, lost more by the probability
/// to be on time than short ones gained: the worth of a day fell by 0.03 to 0.14.
pub fn adopt(state: &mut State) {
    let tables = state.table.iter();
    let services = tables.flat_map(|table| {
        let services = table.services();
        services.filter(|it| table.has_priorities(&it.name))
    });
    let engines = services.filter_map(|it| Some((&it.name, Rc::new(it.engine.clone()?))));
    let engines: HashMap<&String, Rc<Engine>> = engines.collect();
    let servers = state.servers.all();
    let known = servers.filter_map(|it| Some((it.key(), engines.get(&it.server.service)?.clone())));
    state.workload.set_engines(known.collect());
}

/// Sets the metrics of running streams, and logs when few of them are on time.
pub fn observe(node: &Node) {
    let mut state = node.state.borrow_mut();
    let (streams, on_time) = state.workload.on_time();
    node.metrics.streams_running.set(streams as i64);
    node.metrics.streams_on_time.set(on_time.round() as i64);
    let share = on_time / streams.max(1) as f64;
    let is_low = if state.has_few_on_time {
        share < USUAL_SHARE
    } else {
        streams >= FEWEST_STREAMS && share < LOW_SHARE
    };
    if is_low == std::mem::replace(&mut state.has_few_on_time, is_low) {
        return;
    }
    let on_time = on_time.round() as u64;
    if is_low {
        log::warn!(target: "workload", streams, on_time; "most running streams are expected to be late");
    } else {
        log::info!(target: "workload", streams, on_time; "most running streams are on time again");
    }
}
