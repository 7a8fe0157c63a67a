//! Which entries read the platform's lists for all.
//!
//! Calls to the platform by all entries would grow with the fleet. The entries of the lowest ranks read the
//! configuration and announce it; the others fetch it from whoever announced it, and read themselves only
//! to repair what announcements missed, or while nobody reads for them.

use std::time::Duration;

use domain::Moment;
use futures_lite::future;

use crate::Node;

/// The number of entries that read from the platform for all, those of the lowest ranks. Fleets up to this
/// size have no others.
const READER_COUNT: usize = 12;
/// The interval between checks of whether an entry has become a reader.
const DUTY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Returns whether this entry is one of those that read from the platform for all. The others learn of
/// changes from them.
pub fn is_reader(node: &Node) -> bool {
    node.state.borrow().members.rank() < READER_COUNT
}

/// Records that this entry had to read the list of servers itself, since nobody broadcast it in time. Those
/// that read the configuration for all may not reach the platform either.
pub fn record_unserved(node: &Node) {
    if !is_reader(node) {
        // The channel holds one signal. If one is already there, this one is not needed.
        let _ = node.unserved.0.try_send(());
    }
}

/// Waits until this entry has to read the configuration: at once if it is a reader or nobody reads for it,
/// otherwise at `due`.
pub async fn wait(node: &Node, due: Moment) {
    let on_duty = async {
        while !is_reader(node) && clock::now() < due {
            clock::wait_until(due.min(clock::now() + DUTY_CHECK_INTERVAL)).await;
        }
    };
    let unserved = async {
        if node.unserved.1.recv().await.is_err() {
            future::pending().await
        }
    };
    future::or(on_duty, unserved).await;
}
