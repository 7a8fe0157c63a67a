//! The requests that wait at this instance, and whose turn it is.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use admission::Queue;
use admission::Returns;
use admission::queue::Reason;
use async_channel::Sender;
use domain::Moment;

use crate::target::Target;

/// Requests that wait, by service, and what their order depends on.
#[derive(Debug, Default)]
pub struct Waiting {
    queues: HashMap<String, Queue>,
    /// Wake the tasks of waiting requests, by their tickets.
    wakers: BTreeMap<u64, Sender<()>>,
    /// Rejected requests that were told when to come back.
    pub returns: Returns,
    next_ticket: u64,
}

impl Waiting {
    /// Returns the queue of a service.
    pub fn queue(&mut self, service: &str) -> &mut Queue {
        if !self.queues.contains_key(service) {
            self.queues.insert(service.to_owned(), Queue::default());
        }
        self.queues.entry(service.to_owned()).or_default()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.wakers.is_empty()
    }

    /// Adds a request, which is woken by `waker`, and returns its ticket.
    pub fn enter(&mut self, waker: Sender<()>) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.wakers.insert(ticket, waker);
        ticket
    }

    /// Removes a request.
    pub fn exit(&mut self, ticket: u64) {
        self.wakers.remove(&ticket);
    }

    /// Wakes the requests that are planned again first, at most `limit` of each service for which
    /// `is_chosen` holds. Returns how many.
    pub fn wake(
        &mut self,
        now: Moment,
        interval: Duration,
        limit: usize,
        is_chosen: impl Fn(&str) -> bool,
    ) -> usize {
        let queues = self.queues.iter();
        let queues = queues.filter(|it| !it.1.is_empty() && is_chosen(it.0));
        let due = queues.flat_map(|it| it.1.due(now, interval, limit));
        let woken = due.filter_map(|it| self.wakers.get(&it));
        // A channel that is full belongs to a request that is being planned.
        woken.filter(|it| it.try_send(()).is_ok()).count()
    }
}

/// Whether a request may wait, and for whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It has just arrived, and others that wait may go before it.
    New,
    /// It waits and is planned again; those ahead of it had their turn.
    Waiting,
    /// It is placed in any case: it was sent to a server before, or there is no memory to wait in.
    Exempt,
}

/// How a request continues.
#[derive(Debug)]
pub enum Turn {
    /// It is sent to these servers.
    Place(Target),
    /// It waits and is planned again by this moment at the latest.
    Wait(Moment, Reason),
}
