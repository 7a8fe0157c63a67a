//! Delivers the router's decisions to the requests that wait for an engine.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use routing::Job;
use routing::job;
use routing::router::End;
use routing::router::Refusal;

use crate::node::Node;
use crate::notice::Notice;

/// The interval at which waiting requests are checked in the absence of other events.
const TICK_INTERVAL: Duration = Duration::from_millis(2);

/// The number of ticks between two checks of deadlines, each of which visits every waiting request.
const EXPIRY_TICKS: u64 = 10;

/// A request that waits for an engine. Dropping it withdraws the request.
pub struct Waiter {
    node: Rc<Node>,
    id: job::Id,
    receiver: Receiver<Notice>,
}

impl Waiter {
    /// Admits a new request to the router's queue.
    pub fn admit(node: &Rc<Node>, job: Job) -> Result<Self, Refusal> {
        let waiter = Self::new(node, job.id);
        let admitted = node.core.borrow_mut().router.admit(clock::now(), job);
        admitted?;
        place_waiting(node);
        Ok(waiter)
    }

    /// Queues the request again after a failed attempt.
    pub fn requeue(self, job: Job) -> Self {
        let node = &self.node.clone();
        // The old registration has the same ID, so it has to be removed first.
        drop(self);
        let waiter = Self::new(node, job.id);
        node.core.borrow_mut().router.requeue(job);
        place_waiting(node);
        waiter
    }

    /// Waits for the router's decision.
    pub async fn decision(&self) -> Notice {
        self.receiver.recv().await.unwrap_or(Notice::Expired)
    }

    fn new(node: &Rc<Node>, id: job::Id) -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        node.core.borrow_mut().waiters.insert(id, sender);
        Self {
            node: node.clone(),
            id,
            receiver,
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let mut core = self.node.core.borrow_mut();
        // A request that left the router's queue was also removed from `waiters`. This check avoids
        // a withdrawal that would search the whole queue in vain.
        if core.waiters.remove(&self.id).is_some() {
            core.router.withdraw(self.id);
        }
        if let Ok(Notice::Placed(placement)) = self.receiver.try_recv() {
            let engine = &placement.engine;
            core.router
                .record_end(clock::now(), &placement, engine, End::Neutral);
        }
    }
}

/// Places waiting requests on engines until the router has no further decision.
pub fn place_waiting(node: &Node) {
    let now = clock::now();
    let mut core = node.core.borrow_mut();
    while let Some(placement) = core.router.next(now) {
        let sender = core.waiters.remove(&placement.job.id);
        let notice = Notice::Placed(Box::new(placement.clone()));
        let is_taken = sender.is_some_and(|it| it.try_send(notice).is_ok());
        if !is_taken {
            let engine = &placement.engine;
            core.router
                .record_end(now, &placement, engine, End::Neutral);
        }
    }
    node.metrics.waiting.set(core.router.waiting() as i64);
}

/// Notifies the waiting requests whose deadline has passed.
fn expire(node: &Node) {
    let now = clock::now();
    let mut core = node.core.borrow_mut();
    while let Some(job) = core.router.expire(now) {
        if let Some(sender) = core.waiters.remove(&job.id) {
            let _ = sender.try_send(Notice::Expired);
        }
    }
}

/// Checks the waiting requests periodically, because engines get capacity as time passes.
pub async fn run(node: Rc<Node>) {
    for number in 1_u64.. {
        Timer::after(TICK_INTERVAL).await;
        let is_waiting = node.core.borrow().router.waiting() > 0;
        if is_waiting {
            place_waiting(&node);
        }
        if is_waiting && number.is_multiple_of(EXPIRY_TICKS) {
            expire(&node);
        }
    }
}
