//! Writes a request to a server while its answer is read.

use std::cell::Cell;
use std::io::IoSlice;
use std::rc::Rc;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use futures_lite::future;
use h1::Error;
use h1::stream::Writer;

use crate::Node;
use crate::held;

/// The time within which a server that has closed a connection resets it. It does so as soon as more of the request
/// reaches it, which takes a round trip.
const RESET_TIME: Duration = Duration::from_millis(250);

/// A request that is being written. A server may respond before it has read the body. The rest is written
/// nevertheless, so that the server does not take other bytes for it, and reading the response does not wait for it.
pub struct Upload {
    task: Task<()>,
    /// Whether the connection has taken the whole request.
    is_taken: Rc<Cell<bool>>,
}

impl Upload {
    /// Starts to write a request.
    pub fn start(node: &Node, writer: Writer, head: Vec<u8>, body: Rc<held::Body>) -> Self {
        let is_taken = Rc::new(Cell::new(false));
        let taken = is_taken.clone();
        let task = node.executor.spawn(async move {
            let mut parts = [IoSlice::new(&head), IoSlice::new(&body.bytes)];
            if writer.write_parts(&mut parts).await.is_ok() {
                taken.set(true);
            }
        });
        Self { task, is_taken }
    }

    /// Returns whether nothing more is written: the connection has taken the request, or has failed.
    pub fn is_finished(&self) -> bool {
        self.task.is_finished()
    }

    /// Fails if the server, which sends no more, does not take the rest of the request either. Its answer may have broken
    /// off then. A server that only leaves the rest unread is still there, so that its answer is whole.
    pub async fn check_taken(&mut self) -> Result<(), Error> {
        if !self.is_finished() {
            let reset_time = async {
                Timer::after(RESET_TIME).await;
                // If this process was frozen, a reset and the end of this time are noticed together.
                future::yield_now().await;
            };
            future::or(&mut self.task, reset_time).await;
        }
        match self.is_finished() && !self.is_taken.get() {
            true => Err(Error::Truncated),
            false => Ok(()),
        }
    }
}
