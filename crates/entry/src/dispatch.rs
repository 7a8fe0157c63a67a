//! Dispatch: hands the router's decisions to the requests that wait for them.

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

/// How often waiting requests are looked at while nothing else happens.
const TICK: Duration = Duration::from_millis(2);

/// Deadlines are looked at once in so many ticks, as that takes a look at every waiting request.
const EXPIRY_TICKS: u64 = 10;

/// A request that waits for an engine. Dropping it withdraws the request.
pub struct Waiter {
    node: Rc<Node>,
    id: job::Id,
    receiver: Receiver<Notice>,
}

impl Waiter {
    /// Admits a new request.
    pub fn admit(node: &Rc<Node>, job: Job) -> Result<Self, Refusal> {
        let waiting = Self::new(node, job.id);
        let admitted = node.core.borrow_mut().router.admit(clock::now(), job);
        admitted?;
        place_waiting(node);
        Ok(waiting)
    }

    /// Puts the request back after a failed attempt.
    pub fn requeue(self, job: Job) -> Self {
        let node = &self.node.clone();
        // The old registration has the same number, so it has to go first.
        drop(self);
        let waiting = Self::new(node, job.id);
        node.core.borrow_mut().router.requeue(job);
        place_waiting(node);
        waiting
    }

    /// Waits for the decision.
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
        // Whoever takes a request off the router's queue takes it off this list too. Looking for one
        // that is not there means a look at all that wait.
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

/// Hands out decisions until there are none.
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

/// Tells requests whose deadline has passed while they waited.
fn expire(node: &Node) {
    let now = clock::now();
    let mut core = node.core.borrow_mut();
    while let Some(job) = core.router.expire(now) {
        if let Some(sender) = core.waiters.remove(&job.id) {
            let _ = sender.try_send(Notice::Expired);
        }
    }
}

/// Looks at the waiting requests again and again: room appears as time passes.
pub async fn run(node: Rc<Node>) {
    for number in 1_u64.. {
        Timer::after(TICK).await;
        let is_waiting = node.core.borrow().router.waiting() > 0;
        if is_waiting {
            place_waiting(&node);
        }
        if is_waiting && number.is_multiple_of(EXPIRY_TICKS) {
            expire(&node);
        }
    }
}
