//! Requests that wait at this instance instead of at a backend server, and when they are planned again.

use std::rc::Rc;
use std::time::Duration;

use admission::queue::Rank;
use admission::queue::Reason;
use async_channel::Receiver;
use async_io::Timer;
use domain::Moment;
use domain::digest;
use futures_lite::future;

use crate::Node;
use crate::exchange::Exchange;
use crate::node::State;
use crate::refusal::Refusal;
use crate::target::Target;
use crate::turns::Standing;
use crate::turns::Turn;

/// The interval between two plans of a waiting request if the workload doesn't change.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// The shortest interval between two ticks, and between two plans of a request. Many changes of the
/// workload arrive within it.
const CHANGE_INTERVAL: Duration = Duration::from_millis(10);
/// The number of plans of waiting requests of a service within `TICK_INTERVAL`, the head of the queue
/// first. A plan over 60 engines takes about 0.1 ms of a core, and an instance has 0.12 of one.
const PLANS_PER_TICK: usize = 4;
/// The same for a plain service, for which a plan only compares its few servers.
const CALLS_PER_TICK: usize = 16;
/// The memory that the waiting requests of a service may use is the process's divided by this.
const MEMORY_DIVISOR: usize = 8;
/// The memory that a waiting request uses besides its body: its connection, head and state, in bytes.
const WAITER_BYTES: usize = 64 * 1024;

/// A request's place in the queue, which it leaves when this is dropped.
struct Seat<'a> {
    node: &'a Node,
    service: String,
    route: String,
    request: String,
    ticket: u64,
    since: Moment,
    woken: Receiver<()>,
    outcome: &'static str,
    reason: Reason,
    plans: u32,
}

impl<'a> Seat<'a> {
    /// Takes a place in the queue; `None` if the queue has no memory left.
    fn take(node: &'a Node, exchange: &Exchange, now: Moment, reason: Reason) -> Option<Self> {
        let limit = node.settings().memory_limit / MEMORY_DIVISOR / WAITER_BYTES;
        let (sender, woken) = async_channel::bounded(1);
        let mut state = node.state.borrow_mut();
        let waiting = &mut state.waiting;
        if waiting.queue(&exchange.service.name).len() >= limit {
            log::info!(target: "wait", route = exchange.route.name.as_str(), limit; "no memory is left to wait in; the request is placed at once");
            return None;
        }
        let ticket = waiting.enter(sender);
        drop(state);
        node.metrics.waiting.inc();
        node.notify_waiting();
        Some(Self {
            node,
            service: exchange.service.name.clone(),
            route: exchange.route.name.clone(),
            request: exchange.metadata.id.clone().unwrap_or_default(),
            ticket,
            since: now,
            woken,
            outcome: "abandoned",
            reason,
            plans: 0,
        })
    }

    async fn wait(&mut self, now: Moment, rank: Rank, until: Moment, reason: Reason) {
        {
            let mut state = self.node.state.borrow_mut();
            let queue = state.waiting.queue(&self.service);
            queue.wait(now, self.ticket, rank, reason);
        }
        self.reason = reason;
        self.plans += 1;
        let woken = async {
            let _ = self.woken.recv().await;
        };
        future::or(woken, clock::wait_until(until)).await;
    }
}

impl Drop for Seat<'_> {
    fn drop(&mut self) {
        let now = clock::now();
        let waited = now.since(self.since);
        let left = {
            let mut state = self.node.state.borrow_mut();
            let waiting = &mut state.waiting;
            waiting.exit(self.ticket);
            let queue = waiting.queue(&self.service);
            queue.leave(now, self.ticket);
            queue.len()
        };
        self.node.metrics.waiting.dec();
        self.node
            .metrics
            .record_wait(&self.route, self.outcome, waited);
        log::info!(
            target: "wait",
            request = self.request.as_str(),
            route = self.route.as_str(),
            waited_ms = waited.as_millis() as u64,
            plans = self.plans,
            reason = self.reason.name(),
            left,
            outcome = self.outcome;
            "a request waits no longer"
        );
    }
}

impl Exchange {
    /// Chooses the servers for the next attempt. Waits at this instance while that is better for others
    /// and costs the caller nothing.
    pub async fn place_in_turn(&self, node: &Node) -> Result<Target, Refusal> {
        let mut seat: Option<Seat<'_>> = None;
        let is_exempt = self.attempts > 0 || !self.tried.is_empty();
        let mut standing = if is_exempt {
            Standing::Exempt
        } else {
            Standing::New
        };
        loop {
            let now = clock::now();
            match self.place(node, standing) {
                Ok(Turn::Place(target)) => {
                    if let Some(seat) = &mut seat {
                        seat.outcome = "placed";
                    }
                    return Ok(target);
                }
                Ok(Turn::Wait(until, reason)) => {
                    if seat.is_none() {
                        seat = Seat::take(node, self, now, reason);
                    }
                    let Some(seat) = &mut seat else {
                        standing = Standing::Exempt;
                        continue;
                    };
                    if standing == Standing::New {
                        standing = Standing::Waiting;
                    }
                    seat.wait(now, self.rank(), until, reason).await;
                }
                Err(refusal) => {
                    if let Some(seat) = &mut seat {
                        seat.outcome = "refused";
                    }
                    return Err(refusal);
                }
            }
        }
    }

    /// Returns what the order of this request depends on.
    pub fn rank(&self) -> Rank {
        let organisation = self.organisation.as_ref().map_or("", |it| it.name.as_str());
        Rank {
            level: self.level,
            is_returned: self.is_returned,
            organisation: digest::fast(organisation.as_bytes()),
            arrived: self.arrived,
            target: self.route.latency_target,
        }
    }
}

/// Has waiting requests planned again, those at the head of the queue first, until the process ends.
pub async fn run(node: Rc<Node>) {
    let mut window = clock::now();
    let mut plans = 0;
    let mut calls = 0;
    loop {
        if node.state.borrow().waiting.is_empty() && node.turns.1.recv().await.is_err() {
            return;
        }
        let changed = async { node.turns.1.recv().await.is_ok() };
        let due = async {
            Timer::after(TICK_INTERVAL).await;
            false
        };
        let is_changed = future::or(changed, due).await;
        let now = clock::now();
        if now.since(window) >= TICK_INTERVAL {
            window = now;
            plans = 0;
            calls = 0;
        }
        let interval = if is_changed {
            CHANGE_INTERVAL
        } else {
            TICK_INTERVAL
        };
        plans += wake(
            &node,
            now,
            interval,
            PLANS_PER_TICK.saturating_sub(plans),
            Kind::Prompts,
        );
        calls += wake(
            &node,
            now,
            interval,
            CALLS_PER_TICK.saturating_sub(calls),
            Kind::Calls,
        );
        Timer::after(CHANGE_INTERVAL).await;
    }
}

/// The services whose requests are woken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Those that run on engines.
    Prompts,
    /// Plain services.
    Calls,
}

/// Wakes waiting requests, at most `limit` of each service of a kind. Returns how many.
fn wake(node: &Node, now: Moment, interval: Duration, limit: usize, kind: Kind) -> usize {
    let mut state = node.state.borrow_mut();
    let State { waiting, table, .. } = &mut *state;
    waiting.wake(now, interval, limit, |service| {
        let service = table.as_ref().and_then(|it| it.service(service));
        let has_engine = service.is_some_and(|it| it.engine.is_some());
        has_engine == (kind == Kind::Prompts)
    })
}
