//! Requests that were rejected with a time to come back, which every entry that places work recognises.

use std::time::Duration;

use domain::Moment;
use placement::Update;
use placement::workload::Change;

use crate::Node;
use crate::datagrams;
use crate::node::State;

/// Records that a request was told to come back after `delay`, here and at the other entries. If the update
/// is lost, the request counts as new there.
pub fn record(node: &Node, now: Moment, digest: u64, delay: Duration) {
    node.state
        .borrow_mut()
        .waiting
        .returns
        .record(now, digest, delay);
    let millis = u32::try_from(delay.as_millis()).unwrap_or(u32::MAX);
    tell(node, now, digest, millis.max(1));
}

/// Returns whether a request comes back as a rejection told it to. It counts as new the next time, at every
/// entry.
pub fn take(node: &Node, now: Moment, digest: u64) -> bool {
    let is_returned = node.state.borrow_mut().waiting.returns.take(now, digest);
    if is_returned {
        node.metrics.returned.inc();
        log::info!(target: "wait", digest; "a rejected request came back as told");
        tell(node, now, digest, 0);
    }
    is_returned
}

/// Applies an update of another entry, if it is about a rejection.
pub fn apply(state: &mut State, now: Moment, update: &Update) {
    let Change::Rejected { digest, return_ms } = update.change else {
        return;
    };
    let returns = &mut state.waiting.returns;
    if return_ms == 0 {
        returns.forget(digest);
        return;
    }
    returns.record(now, digest, Duration::from_millis(return_ms.into()));
}

fn tell(node: &Node, now: Moment, digest: u64, return_ms: u32) {
    let change = Change::Rejected { digest, return_ms };
    datagrams::tell_change(node, now, node.next_job(), change);
}
