//! The probability that running requests are still on time, from what all entries know alike.
//!
//! A placement that lengthens a pass of an engine reduces it for each response on the engine, and a first
//! token that comes after its deadline ends it. The entries need no message for it: each sees the same
//! placements and first tokens.

use std::collections::HashMap;
use std::rc::Rc;

use domain::Moment;
use route::Engine;

use super::JobId;
use super::Placement;
use super::Task;
use super::Workload;
use super::queue::MIXED_PREFILL_FACTOR;
use crate::lateness::Pass;

impl Workload {
    /// Sets the engines that servers run, by the servers' keys. Requests on other servers count as on time.
    pub fn set_engines(&mut self, engines: HashMap<u64, Rc<Engine>>) {
        self.engines = engines;
    }

    /// Returns the number of responses that have begun on engines, and how many of them are expected to be
    /// still on time.
    pub fn on_time(&self) -> (usize, f64) {
        let tasks = self.queues.values().flat_map(|it| &it.tasks);
        let answering = tasks.filter(|it| it.is_decoding && !it.is_helper);
        let on_time = answering.filter_map(|it| it.on_time);
        on_time.fold((0, 0.0), |(count, sum), it| (count + 1, sum + it))
    }

    /// Reduces the probabilities of the responses whose next pass the prefill of a request lengthens. Must
    /// be called before the request is placed.
    pub(super) fn lengthen_passes(&mut self, now: Moment, placement: &Placement) {
        for part in &placement.parts {
            let engine = self.engines.get(&part.server);
            let Some(engine) = engine else {
                continue;
            };
            let queue = self.queues.entry(part.server).or_default();
            let slowdown = self.slowdowns.factor(now, part.server);
            let pass_ms = queue.pass_ms(engine) * slowdown;
            let added_ms = f64::from(part.prefill_ms) * MIXED_PREFILL_FACTOR * slowdown;
            let before_ms = pass_ms + queue.passes.joining_ms(now, pass_ms);
            queue.passes.join(now, pass_ms, added_ms);
            let pass = Pass {
                before_ms,
                after_ms: before_ms + added_ms,
            };
            queue.tasks.iter_mut().for_each(|it| it.lengthen_pass(pass));
        }
    }

    /// Sets the probability of a request whose first token has just come.
    pub(super) fn record_first_token(&mut self, now: Moment, job: JobId) {
        let placement = self.jobs.get(&job).map(|it| &it.placement);
        let Some(first) = placement.and_then(|it| it.parts.first()) else {
            return;
        };
        let engine = self.engines.get(&first.server);
        let queue = self.queues.get_mut(&first.server);
        let Some((engine, queue)) = engine.zip(queue) else {
            return;
        };
        let pass_ms = queue.pass_ms(engine) * self.slowdowns.factor(now, first.server);
        // What arrived meanwhile is prefilled in the pass of this response's next event.
        let pass = Pass {
            before_ms: pass_ms,
            after_ms: pass_ms + queue.passes.record_end(now, pass_ms),
        };
        let began = queue.tasks.iter_mut().filter(|it| it.job == job);
        for task in began {
            if now > task.target_at {
                task.on_time = Some(0.0);
            }
            task.lengthen_pass(pass);
        }
    }
}

impl Task {
    fn lengthen_pass(&mut self, pass: Pass) {
        let on_time = self.on_time.as_mut().filter(|_| self.is_decoding);
        if let Some((on_time, limit_ms)) = on_time.zip(self.pause_ms) {
            *on_time *= pass.in_time(limit_ms);
        }
    }
}
