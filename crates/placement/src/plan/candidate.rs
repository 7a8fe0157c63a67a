//! An engine as a plan sees it: its waits, its load, and what requests on it lose.

use std::time::Duration;

use domain::Moment;
use rand::Rng;
use rand::RngExt;
use route::Engine;

use super::need::FIRST_TOKEN_SPREAD;
use super::need::Need;
use crate::Workload;
use crate::lateness::LATE_LOSS;
use crate::lateness::Pass;
use crate::lateness::late_probability;
use crate::remaining::Pace;
use crate::servers::State;
use crate::workload::Queue;
use crate::workload::Task;
use crate::workload::Timeliness;

/// Pause limits up to this length are tight: prefilling a prompt of usual length on the same engine
/// makes such a request late.
pub(super) const TIGHT_PAUSE: Duration = Duration::from_millis(400);
/// Engines with a prefill backlog below this serve a short request in time, in milliseconds.
pub(super) const FREE_BACKLOG_MS: f64 = 120.0;
/// The loss of a prompt that doesn't fit into the engine's free memory, in the value of a short
/// request: the engine evicts its newest request and prefills it again.
pub(super) const MEMORY_LOSS: f64 = 5.0;
/// The time that a request takes to an engine and its first token back, in milliseconds.
pub(super) const TRANSIT_MS: f64 = 15.0;
/// The share of a pass that a request which arrives during it waits for its end. It is more than half,
/// since more requests arrive during long passes.
const RESIDUAL_SHARE: f64 = 0.8;
/// Prefill that takes longer than forecast by up to this many passes is not unusual.
const OVERDUE_PASSES: f64 = 1.0;
/// The time that late prefill still takes, as a share of the time that it is late.
const OVERDUE_SHARE: f64 = 0.5;
/// The share of an engine's memory that plans use. The rest is for answers that are longer than
/// expected.
const USABLE_MEMORY_SHARE: f64 = 0.92;
/// The loss in using a cold engine, in the value of a short request: more than what breaks ties, so that
/// an equal engine which is warm goes first.
const COLD_COST: f64 = 2e-3;

/// An engine that a plan may use.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate<'a> {
    pub(super) key: u64,
    pub(super) queue: Option<&'a Queue>,
    pub(super) slowdown: f64,
    /// The wait until it begins the prefill of a request that is on time, in milliseconds.
    pub(super) wait_ms: f64,
    /// The same wait for a request that is late.
    pub(super) late_wait_ms: f64,
    /// The requests ahead of one that is on time, and of one that is late.
    pub(super) ahead: [usize; 2],
    /// Its prefill backlog, in milliseconds, without requests that are late.
    pub(super) backlog_ms: f64,
    /// The prefill in the pass that further prefill joins, in milliseconds.
    pub(super) joining_ms: f64,
    /// The length of a pass without prefill, in milliseconds.
    pub(super) pass_ms: f64,
    pub(super) decoding: usize,
    /// Whether a request with a tight pause limit decodes, or will decode, on it.
    pub(super) has_tight_decoding: bool,
    /// Whether its next request shows if it works again.
    pub(super) is_on_trial: bool,
    pub(super) free_tokens: f64,
    /// Breaks ties between equal engines; greater for those that are cold.
    pub(super) jitter: f64,
}

/// The load of an engine when it was chosen, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that were decoding on it.
    pub decoding: usize,
    /// Requests that were placed on it.
    pub placed: usize,
    /// The length of its passes without prefill, in milliseconds.
    pub pass_ms: f64,
    /// Its prefill backlog, in milliseconds.
    pub backlog_ms: f64,
}

impl<'a> Candidate<'a> {
    pub(super) fn new(
        now: Moment,
        engine: &Engine,
        state: &State,
        workload: &'a Workload,
        random: &mut impl Rng,
    ) -> Self {
        let key = state.key();
        let queue = workload.queue(key);
        let (decoding, _) = queue.map_or((0, 0), Queue::decoding);
        let slowdown = workload.slowdowns().factor(now, key);
        let pace = Pace {
            pass_ms: queue.map_or(0.0, |it| it.pass_ms(engine)),
            slowdown,
        };
        let pass_ms = pace.pass_ms * slowdown;
        let memory = engine.memory_tokens as f64 * USABLE_MEMORY_SHARE;
        let tight_ms = TIGHT_PAUSE.as_secs_f64() * 1e3;
        let is_tight = |it: &Task| !it.is_helper && it.pause_ms.is_some_and(|it| it <= tight_ms);
        let tasks = queue.map(Queue::tasks).unwrap_or_default();
        let backlog_ms =
            |timeliness| queue.map_or(0.0, |it| it.backlog_ms(now, timeliness)) * slowdown;
        let joining_ms = queue.map_or(0.0, |it| it.joining_pass_ms(engine)) * slowdown;
        let overdue_ms = queue.map_or(0.0, |it| it.overdue_ms(now)) - joining_ms * OVERDUE_PASSES;
        let overdue_ms = overdue_ms.max(0.0) * OVERDUE_SHARE;
        let ahead = |timeliness| queue.map_or(0, |it| it.ahead_of(timeliness).count());
        let excess = |timeliness| (ahead(timeliness) + 1).saturating_sub(engine.slots);
        let passes_until_free =
            |slots| queue.map_or(0.0, |it| it.passes_until_free(now, engine, pace, slots));
        let excesses = [Timeliness::OnTime, Timeliness::Late].map(excess);
        let passes = passes_until_free(excesses[0]);
        // Most engines have no late requests, so that both are equal.
        let late_passes = if excesses[0] == excesses[1] {
            passes
        } else {
            passes_until_free(excesses[1])
        };
        let wait_ms = |timeliness, passes: f64| {
            pass_ms * RESIDUAL_SHARE
                + backlog_ms(timeliness)
                + overdue_ms
                + joining_ms
                + pass_ms * passes
        };
        let cold_cost = if state.is_cold(now) { COLD_COST } else { 0.0 };
        let held_tokens = queue.map_or(0.0, |it| {
            it.tokens() as f64 + it.excess_tokens(now, engine, pace)
        });
        Self {
            key,
            queue,
            slowdown,
            wait_ms: wait_ms(Timeliness::OnTime, passes),
            late_wait_ms: wait_ms(Timeliness::Late, late_passes),
            ahead: [ahead(Timeliness::OnTime), ahead(Timeliness::Late)],
            backlog_ms: backlog_ms(Timeliness::OnTime),
            joining_ms: queue.map_or(0.0, |it| it.joining_prefill_ms(now, pass_ms)),
            pass_ms,
            decoding,
            has_tight_decoding: tasks.iter().any(is_tight),
            is_on_trial: state.health.is_on_trial(),
            free_tokens: memory - held_tokens,
            jitter: random.random::<f64>() * 1e-3 + cold_cost,
        }
    }

    /// Returns whether a short request would be on time on this engine.
    pub(super) fn is_free(&self, engine: &Engine) -> bool {
        let placed = self.queue.map_or(0, Queue::len);
        self.backlog_ms < FREE_BACKLOG_MS && placed < engine.slots
    }

    pub(super) fn load(&self) -> Load {
        Load {
            decoding: self.decoding,
            placed: self.queue.map_or(0, Queue::len),
            pass_ms: self.pass_ms,
            backlog_ms: self.backlog_ms,
        }
    }

    /// Returns the loss of the requests on this engine if it prefills for `part_ms` more.
    /// `slot_loss_per_s` is the loss of a second for which the slot of a response is taken longer.
    pub(super) fn interference(
        &self,
        now: Moment,
        engine: &Engine,
        part_ms: f64,
        part_tokens: f64,
        is_split: bool,
        slot_loss_per_s: f64,
    ) -> f64 {
        let part_ms = part_ms * self.slowdown;
        // A pass prefills a limited number of tokens.
        let steps = u64::from(engine.steps_per_pass);
        let pass_tokens = engine.prefill_chunk.saturating_mul(steps);
        let pass_share = pass_tokens as f64 / part_tokens.max(1.0);
        let pass = |prefill_ms| Pass {
            before_ms: self.pass_ms + prefill_ms,
            after_ms: self.pass_ms + prefill_ms + part_ms * pass_share.min(1.0),
        };
        let (pass, next_pass) = (pass(self.backlog_ms), pass(self.joining_ms));
        let slot_loss = slot_loss_per_s * part_ms / 1e3;
        let wait = self.wait_ms;
        let tasks = self.queue.map(Queue::tasks).unwrap_or_default();
        let losses = tasks
            .iter()
            .map(|task| match (task.pause_ms, task.on_time) {
                (limit, Some(on_time)) if task.is_decoding => {
                    let share = limit.map_or(0.0, |limit| next_pass.loss(limit, on_time));
                    task.value * share + slot_loss
                }
                (Some(limit), None) if task.is_decoding => task.value * pass.late(limit),
                // Engines prefill parts for other engines before their own waiting requests.
                _ if task.is_prefilling() && is_split => {
                    let limit = now.until(task.target_at).as_secs_f64() * 1e3;
                    let late = |ms| late_probability(ms, limit, FIRST_TOKEN_SPREAD);
                    LATE_LOSS * task.value * (late(wait + part_ms) - late(wait))
                }
                _ => 0.0,
            });
        losses.sum()
    }

    /// Returns the milliseconds of a pass once the request decodes on this engine too.
    pub(super) fn decoding_pass_ms(&self, engine: &Engine, need: &Need) -> f64 {
        self.slowdown * engine.pass_ms(self.decoding + 1, need.prompt_tokens)
    }

    /// Returns the loss of the request itself on this engine.
    pub(super) fn own_loss(
        &self,
        engine: &Engine,
        part_ms: f64,
        need: &Need,
        is_split: bool,
    ) -> f64 {
        let pass_ms = self.decoding_pass_ms(engine, need);
        let work_ms = part_ms * self.slowdown + TRANSIT_MS;
        let forecast = need.forecast(self.wait_ms + work_ms, self.late_wait_ms + work_ms);
        let loss = need.first_token_loss(forecast.first_token_ms) + need.pause_loss(pass_ms);
        if is_split {
            return loss;
        }
        loss + self.memory_loss((need.prompt_tokens + need.expected_answer_tokens) as f64)
    }

    fn memory_loss(&self, tokens: f64) -> f64 {
        if self.free_tokens < tokens {
            MEMORY_LOSS
        } else {
            0.0
        }
    }
}
