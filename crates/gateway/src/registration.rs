//! Registers an attempt in the shared workload and measures its server by the stream's events.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use domain::Moment;
use placement::Expectation;
use placement::JobId;
use placement::slowdown::Meter;
use placement::stall::Progress;
use placement::workload::Change;
use placement::workload::Placement;
use placement::workload::Timeliness;
use route::Engine;

use crate::Node;
use crate::datagrams;
use crate::exchange::Exchange;
use crate::exchange::expectation;
use crate::target::Target;

/// The registration of an attempt in the workload, which all entries share. Dropping it removes the
/// attempt from the workload.
pub struct Registration<'a> {
    node: &'a Node,
    /// The id of the attempt, unique among all entries.
    pub job: JobId,
    /// The key of the server that answers.
    server_key: u64,
    /// The server's id, for logs.
    server_id: String,
    /// When the last event arrived, or when the attempt began if there was none.
    pub progress: Cell<Moment>,
    /// How far the answer has come.
    stage: Cell<Progress>,
    /// Measures the server's slowdown by the events of this stream.
    meter: RefCell<Meter>,
}

impl<'a> Registration<'a> {
    /// Registers an attempt in the shared workload.
    pub fn new(node: &'a Node, now: Moment, exchange: &Exchange, target: &Target) -> Self {
        let job = node.next_job();
        let millis = |it: Duration| u32::try_from(it.as_millis()).unwrap_or(u32::MAX);
        let first_token_time_left = now.until(exchange.arrived + exchange.route.latency_target);
        let expected = |unit: f64| {
            let estimate = target.estimate.as_ref();
            estimate.map_or(Expectation::default(), |it| expectation(it, unit))
        };
        let (passes, service_ms) = match &exchange.service.engine {
            Some(engine) => (
                expected(engine.steps_per_pass.into()),
                Expectation::default(),
            ),
            None => (Expectation::default(), expected(1.0)),
        };
        let placement = Placement {
            target_ms: millis(first_token_time_left),
            pause_ms: exchange.route.pause_target.map_or(0, millis),
            value: exchange.value() as f32,
            timeliness: target.timeliness.unwrap_or(Timeliness::OnTime),
            parts: target.parts.clone(),
            passes,
            service_ms,
        };
        datagrams::tell_change(node, now, job, Change::Placed(placement));
        Self {
            node,
            job,
            server_key: target.server.key(),
            server_id: target.server.id.clone(),
            progress: Cell::new(now),
            stage: Cell::new(Progress::NotBegun),
            meter: RefCell::default(),
        }
    }

    /// Broadcasts that the first event arrived.
    pub fn started(&self) {
        datagrams::tell_change(self.node, clock::now(), self.job, Change::Started);
    }

    /// Starts the measurement when the request was sent. The first event takes the pass in progress
    /// and the pass that prefills the request.
    pub fn sent(&self, now: Moment, engine: Option<&Engine>) {
        let state = self.node.state.borrow();
        let queue = state.workload.queue(self.server_key);
        if let Some((queue, engine)) = queue.zip(engine) {
            let passes_ms = queue.longest_pass_ms(engine) + queue.pass_ms(engine);
            self.meter.borrow_mut().measure(now, passes_ms);
        }
    }

    /// Records that events arrived, and measures the engine by them.
    pub fn progressed(&self, now: Moment, engine: Option<&Engine>) {
        self.progress.set(now);
        self.stage.set(Progress::PassingOn);
        let pass_ms = {
            let mut state = self.node.state.borrow_mut();
            if let Some(server_state) = state.servers.get_mut(self.server_key) {
                server_state.record_activity(now);
            }
            let queue = state.workload.queue(self.server_key);
            queue.zip(engine).map(|it| it.0.longest_pass_ms(it.1))
        };
        let factor = pass_ms.and_then(|it| self.meter.borrow_mut().measure(now, it));
        self.broadcast_slowdown(now, factor);
    }

    /// Measures the engine's slowdown after the attempt was abandoned for lack of events.
    pub fn overdue(&self, now: Moment) {
        let factor = self.meter.borrow().overdue(now);
        self.broadcast_slowdown(now, factor);
    }

    /// Broadcasts the engine's slowdown factor to the other entries if a report is due.
    fn broadcast_slowdown(&self, now: Moment, factor: Option<f64>) {
        let Some(factor) = factor else {
            return;
        };
        let before = {
            let state = self.node.state.borrow();
            let slowdowns = state.workload.slowdowns();
            if !slowdowns.should_report(now, self.server_key, factor) {
                return;
            }
            slowdowns.factor(now, self.server_key)
        };
        log::info!(target: "server", server = self.server_id.as_str(), factor, before; "the time that an engine takes has changed; the factors are multiples of the published time");
        datagrams::tell_change(self.node, now, self.job, Change::Slowed(factor as f32));
    }

    /// Resumes the measurement once the events were passed on to the caller.
    pub fn passed_on(&self) {
        let now = clock::now();
        if self.stage.get() == Progress::PassingOn {
            self.stage.set(Progress::Awaiting(now));
        }
        self.meter.borrow_mut().resume(now);
    }

    /// Returns how far the answer has come.
    pub fn stage(&self) -> Progress {
        self.stage.get()
    }
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        datagrams::tell_change(self.node, clock::now(), self.job, Change::Ended);
    }
}
