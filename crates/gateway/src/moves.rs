//! Moves of the platform's store to other addresses while the process runs.

use std::cell::Cell;
use std::future::Future;

use futures_lite::future;

use crate::signal::Signal;

/// The moves of the store, which interrupt calls and waits that began before them.
#[derive(Debug, Default)]
pub struct Moves {
    count: Cell<u64>,
    moved: Signal,
}

impl Moves {
    /// Returns the number of moves so far.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Records a move.
    pub fn record(&self) {
        self.count.set(self.count.get() + 1);
        // Tasks that wait are woken; those that begin to wait later wait for the next move.
        self.moved.set();
        self.moved.clear();
    }

    /// Completes `work`, which began after `count` moves. Drops it and returns `None` once there are more, also
    /// if its result is ready.
    pub async fn interrupt<T>(&self, count: u64, work: impl Future<Output = T>) -> Option<T> {
        let moved = async {
            while self.count.get() == count {
                self.moved.wait().await;
            }
            None
        };
        future::or(moved, async { Some(work.await) }).await
    }
}
