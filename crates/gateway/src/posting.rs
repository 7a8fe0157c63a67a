//! An attempt on the board, and what its stream tells of the server.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use domain::Moment;
use placement::JobId;
use placement::slowdown::Meter;
use placement::workload::Change;
use placement::workload::Placement;
use placement::workload::Timeliness;
use route::Engine;

use crate::Node;
use crate::datagrams;
use crate::exchange::Exchange;
use crate::target::Target;

/// An attempt on the board, where all entries see it. It is taken off when this is dropped.
pub struct Posting<'a> {
    node: &'a Node,
    /// Names the attempt among those of all entries.
    pub job: JobId,
    /// The server that answers.
    server: u64,
    /// Its id, for logs.
    id: String,
    /// When the last event came, or the attempt began.
    pub progress: Cell<Moment>,
    /// Measures the server by the events of this stream.
    meter: RefCell<Meter>,
}

impl<'a> Posting<'a> {
    /// Puts an attempt on the board.
    pub fn new(node: &'a Node, now: Moment, exchange: &Exchange, target: &Target) -> Self {
        let job = node.next_job();
        let millis = |it: Duration| u32::try_from(it.as_millis()).unwrap_or(u32::MAX);
        let target_left = now.until(exchange.arrived + exchange.route.latency_target);
        let tokens = exchange.ask.prompt.map_or(0, |it| it.tokens);
        let placed = Placement {
            target_ms: millis(target_left),
            pause_ms: exchange.route.pause_target.map_or(0, millis),
            value: crate::exchange::value(tokens) as f32,
            timeliness: target.standing.unwrap_or(Timeliness::OnTime),
            parts: target.parts.clone(),
        };
        datagrams::note(node, now, job, Change::Placed(placed));
        Self {
            node,
            job,
            server: target.server.key(),
            id: target.server.id.clone(),
            progress: Cell::new(now),
            meter: RefCell::default(),
        }
    }

    /// Notes that the first event came.
    pub fn started(&self) {
        datagrams::note(self.node, clock::now(), self.job, Change::Started);
    }

    /// Notes that the request was sent: its first event takes the pass that goes on and the one
    /// that reads it.
    pub fn sent(&self, now: Moment, engine: Option<&Engine>) {
        let state = self.node.state.borrow();
        let queue = state.board.queue(self.server);
        if let Some((queue, engine)) = queue.zip(engine) {
            let passes_ms = queue.longest_pass_ms(engine) + queue.pass_ms(engine);
            self.meter.borrow_mut().measure(now, passes_ms);
        }
    }

    /// Notes that events came.
    pub fn progressed(&self, now: Moment, engine: Option<&Engine>) {
        self.progress.set(now);
        let pass_ms = {
            let mut state = self.node.state.borrow_mut();
            if let Some(known) = state.servers.get_mut(self.server) {
                known.note_activity(now);
            }
            let queue = state.board.queue(self.server);
            queue.zip(engine).map(|it| it.0.longest_pass_ms(it.1))
        };
        let factor = pass_ms.and_then(|it| self.meter.borrow_mut().measure(now, it));
        self.tell_pace(now, factor);
    }

    /// Notes that the server was given up since nothing came.
    pub fn overdue(&self, now: Moment) {
        let factor = self.meter.borrow().overdue(now);
        self.tell_pace(now, factor);
    }

    /// Tells the other entries how fast the engine is, if that is news.
    fn tell_pace(&self, now: Moment, factor: Option<f64>) {
        let Some(factor) = factor else {
            return;
        };
        let before = {
            let state = self.node.state.borrow();
            let paces = state.board.slowdowns();
            if !paces.should_report(now, self.server, factor) {
                return;
            }
            paces.factor(now, self.server)
        };
        log::info!(target: "server", server = self.id.as_str(), factor, before; "the time that an engine takes has changed, in multiples of the published one");
        datagrams::note(self.node, now, self.job, Change::Slowed(factor as f32));
    }

    /// Notes that the events were passed on to the caller.
    pub fn passed_on(&self) {
        self.meter.borrow_mut().resume(clock::now());
    }
}

impl Drop for Posting<'_> {
    fn drop(&mut self) {
        datagrams::note(self.node, clock::now(), self.job, Change::Ended);
    }
}
