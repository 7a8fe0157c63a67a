//! Whether an engine has stopped serving one request while it serves others.
//!
//! Each pass of an engine sends one event to every request that it decodes. A request that got no event
//! although others which were placed later have begun was left out of at least one pass. Silence alone
//! shows nothing: an engine that is slow, or that prefills a long prompt, is silent for all its requests.

use std::time::Duration;

use domain::Moment;
use route::Engine;

use crate::JobId;
use crate::Workload;
use crate::workload::Placement;
use crate::workload::Task;
use crate::workload::Timeliness;

/// The least silence of a stalled request. Callers disconnect after 2 s without an event.
const MIN_SILENCE: Duration = Duration::from_millis(1_100);
/// The multiple of the longest pass for which a request that has begun may be silent.
const PASS_FACTOR: f64 = 2.0;
/// Engines take up to this multiple of the forecast time to the first event.
const FORECAST_FACTOR: f64 = 1.5;
/// The number of later requests that have to have begun.
const WITNESS_COUNT: usize = 2;
/// Each level of priority doubles the value of a request, so one whose prompt is no smaller and whose value
/// is below this multiple of another's is not more urgent.
const LESS_THAN_ONE_LEVEL: f64 = 1.9;
/// The relative error of prefill times, which are added up from parts in single precision.
const PREFILL_ERROR: f64 = 1e-4;

/// An attempt at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Its id in the workload.
    pub job: JobId,
    /// The key of the engine that answers.
    pub engine_key: u64,
    /// When the request was sent.
    pub sent_at: Moment,
    /// The forecast time to its first event.
    pub forecast: Duration,
}

/// How far the answer of an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No event has come.
    NotBegun,
    /// Events are being passed on to the caller, and no further ones are read meanwhile.
    PassingOn,
    /// The next event is awaited since this moment.
    Awaiting(Moment),
}

/// The evidence that an engine no longer serves a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Stall {
    /// How far the answer had come.
    pub progress: Progress,
    /// The time without an event.
    pub silence: Duration,
    /// The time that was allowed.
    pub limit: Duration,
    /// Requests that were placed later and have begun.
    pub witnesses: Vec<JobId>,
}

impl Stall {
    /// Returns whether the request has been silent for too long.
    pub fn is_due(&self) -> bool {
        self.silence > self.limit
    }
}

/// Observes an attempt for a stall. Requests that have begun and ended between two observations are not
/// seen, so it has to be called more often than answers end.
#[derive(Clone, Debug)]
pub struct Observer {
    attempt: Attempt,
    /// The state of the answer to which the witnesses belong.
    progress: Progress,
    witnesses: Vec<JobId>,
}

impl Observer {
    /// Returns the observer of an attempt that was just sent.
    pub fn new(attempt: Attempt) -> Self {
        Self {
            attempt,
            progress: Progress::NotBegun,
            witnesses: Vec::new(),
        }
    }

    /// Returns the evidence that the engine serves others but not this request, whether or not the silence
    /// is long enough.
    pub fn observe(
        &mut self,
        now: Moment,
        engine: &Engine,
        workload: &Workload,
        progress: Progress,
    ) -> Option<Stall> {
        if self.progress != progress {
            self.progress = progress;
            self.witnesses.clear();
        }
        let silent_since = match progress {
            Progress::NotBegun => self.attempt.sent_at,
            Progress::Awaiting(since) => since,
            Progress::PassingOn => return None,
        };
        self.add_witnesses(workload, silent_since);
        let has_evidence = self.witnesses.len() >= WITNESS_COUNT;
        has_evidence.then(|| Stall {
            progress,
            silence: now.since(silent_since),
            limit: self.limit(now, engine, workload),
            witnesses: self.witnesses.clone(),
        })
    }

    /// Adds requests that were placed since `silent_since` and have begun.
    fn add_witnesses(&mut self, workload: &Workload, silent_since: Moment) {
        let own = workload.placement(self.attempt.job);
        let tasks = workload.queue(self.attempt.engine_key);
        for task in tasks.iter().flat_map(|it| it.tasks()) {
            if self.witnesses.len() == WITNESS_COUNT {
                return;
            }
            let is_known = task.job == self.attempt.job || self.witnesses.contains(&task.job);
            if is_known || !has_begun_since(task, silent_since) {
                continue;
            }
            let is_comparable = self.progress != Progress::NotBegun
                || own
                    .zip(workload.placement(task.job))
                    .is_some_and(goes_later);
            if is_comparable {
                self.witnesses.push(task.job);
            }
        }
    }

    /// Returns the silence that is allowed.
    fn limit(&self, now: Moment, engine: &Engine, workload: &Workload) -> Duration {
        if self.progress == Progress::NotBegun {
            return MIN_SILENCE + self.attempt.forecast.mul_f64(FORECAST_FACTOR);
        }
        let pass_ms = |key: u64| {
            let pass_ms = workload
                .queue(key)
                .map_or(0.0, |it| it.longest_pass_ms(engine));
            pass_ms * workload.slowdowns().factor(now, key)
        };
        let own = workload.placement(self.attempt.job);
        // Engines that hold a part of the memory take part in each pass of the request.
        let holding = own.iter().flat_map(|it| it.parts.iter().skip(1));
        let holding = holding.filter(|it| it.tokens > 0).map(|it| it.server);
        let longest_ms = holding
            .map(pass_ms)
            .fold(pass_ms(self.attempt.engine_key), f64::max);
        MIN_SILENCE.max(Duration::from_secs_f64(PASS_FACTOR * longest_ms / 1e3))
    }
}

/// Returns whether a request was placed after `moment` and its first token came from this engine. One that a
/// snapshot showed together with its beginning may have been placed long before.
fn has_begun_since(task: &Task, moment: Moment) -> bool {
    let was_seen_to_begin = task.started.is_some_and(|it| it.at > task.placed_at);
    !task.is_helper && task.placed_at > moment && was_seen_to_begin
}

/// Returns whether an engine takes `other` after `own` if it has both: `other` is not more urgent and has no
/// smaller prompt.
fn goes_later((own, other): (&Placement, &Placement)) -> bool {
    if prefill_ms(other) < prefill_ms(own) * (1.0 - PREFILL_ERROR) {
        return false;
    }
    match (own.timeliness, other.timeliness) {
        // Engines take requests that are on time first, without regard to their levels.
        (Timeliness::OnTime, _) => true,
        (Timeliness::Late, Timeliness::OnTime) => false,
        (Timeliness::Late, Timeliness::Late) => {
            f64::from(other.value) < LESS_THAN_ONE_LEVEL * f64::from(own.value)
        }
    }
}

/// Returns the prefill of a whole prompt, in milliseconds.
fn prefill_ms(placement: &Placement) -> f64 {
    let parts = placement.parts.iter();
    parts.map(|it| f64::from(it.prefill_ms)).sum()
}
