//! The work on one server, as all entries have placed it.

use domain::Moment;
use route::Engine;

use super::JobId;
use super::Timeliness;
use super::passes::Passes;
use crate::ends::Ends;
use crate::ends::Place;
use crate::expectation::Work;

/// The factor by which prefill takes longer beside decoding requests: each step also generates a
/// token for them, which adds 1.02 ms to the 10 ms in which a step prefills its chunk.
pub(super) const MIXED_PREFILL_FACTOR: f64 = 1.1;

/// The work on one server.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    pub(super) tasks: Vec<Task>,
    /// When the server last began a prefill, as far as updates show.
    pub(super) prefill_started: Moment,
    /// The prefill that has been done, in milliseconds.
    pub(super) prefilled_ms: f64,
    pub(super) ends: Ends,
    pub(super) passes: Passes,
}

/// The work of one server on one request.
#[derive(Clone, Debug)]
pub struct Task {
    /// The attempt at the request.
    pub job: JobId,
    /// When the request was placed.
    pub placed_at: Moment,
    /// The deadline of its first token.
    pub target_at: Moment,
    /// The longest pause that is still on time, in milliseconds; `None` without a limit.
    pub pause_ms: Option<f64>,
    /// Its value to the caller.
    pub value: f64,
    /// The duration of the prefill, in milliseconds.
    pub prefill_ms: f64,
    /// Whether its first token was expected in time when it was placed.
    pub timeliness: Timeliness,
    /// Tokens that the server holds in memory.
    pub tokens: u64,
    /// Whether the first token has come.
    pub is_decoding: bool,
    /// Whether another server decodes the answer.
    pub is_helper: bool,
    /// The passes that the answer is expected to take; `None` if that is not known.
    pub passes: Option<Work>,
    /// The service time that a call is expected to take, in milliseconds; `None` if that is not known.
    pub service_ms: Option<Work>,
    /// When the answer began; `None` before.
    pub started: Option<Started>,
    /// The probability that the response is still on time, once it has begun; `None` if it is not known, and
    /// then the response counts as on time.
    pub on_time: Option<f64>,
    /// Its place in the order of the server.
    pub place: Place,
}

/// The beginning of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Started {
    /// When the first token came.
    pub at: Moment,
    /// The prefill that the server had done by then, in milliseconds.
    pub prefilled_ms: f64,
}

impl Task {
    /// Returns whether the server has not yet finished the prefill.
    pub fn is_prefilling(&self) -> bool {
        !self.is_decoding
    }
}

impl Queue {
    /// Returns the ends of earlier requests.
    pub fn ends(&self) -> &Ends {
        &self.ends
    }

    /// Returns the tasks.
    pub fn tasks(&self) -> &[Task] {
        &self.tasks
    }

    /// Returns the milliseconds of prefill that were done since the server began to have work.
    pub fn prefilled_ms(&self) -> f64 {
        self.prefilled_ms
    }

    /// Returns the milliseconds of prefill that remain ahead of a request of this timeliness.
    pub fn backlog_ms(&self, now: Moment, timeliness: Timeliness) -> f64 {
        let total = pending_prefill_ms(self.ahead_of(timeliness));
        let done = now.since(self.prefill_started).as_secs_f64() * 1e3;
        (total - done).max(0.0)
    }

    /// Returns the milliseconds of prefill in the pass that further prefill joins. `pass_ms` is the length of
    /// a pass without prefill.
    pub fn joining_prefill_ms(&self, now: Moment, pass_ms: f64) -> f64 {
        self.passes.joining_ms(now, pass_ms)
    }

    /// Returns the milliseconds by which the pending prefill takes longer than forecast so far.
    pub fn overdue_ms(&self, now: Moment) -> f64 {
        let total = pending_prefill_ms(self.tasks.iter());
        if total == 0.0 {
            return 0.0;
        }
        let done = now.since(self.prefill_started).as_secs_f64() * 1e3;
        (done - total).max(0.0)
    }

    /// Returns the tasks that are scheduled ahead of a request of this timeliness.
    pub fn ahead_of(&self, timeliness: Timeliness) -> impl Iterator<Item = &Task> {
        self.tasks.iter().filter(move |it| {
            it.is_decoding || it.timeliness == Timeliness::OnTime || timeliness == Timeliness::Late
        })
    }

    /// Returns the number of decoding requests, and the tokens that they hold.
    pub fn decoding(&self) -> (usize, u64) {
        let decoding = self.tasks.iter().filter(|it| it.is_decoding);
        decoding.fold((0, 0), |(count, tokens), it| {
            (count + 1, tokens + it.tokens)
        })
    }

    /// Returns the tokens in memory once the prefill of all requests is done.
    pub fn tokens(&self) -> u64 {
        self.tasks.iter().map(|it| it.tokens).sum()
    }

    /// Returns the number of requests in progress.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Returns whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns the milliseconds of a pass that completes all pending prefill.
    pub fn longest_pass_ms(&self, engine: &Engine) -> f64 {
        self.pass_ms(engine) + pending_prefill_ms(self.tasks.iter())
    }

    /// Returns the milliseconds of a pass without prefill once all tasks decode.
    pub fn joining_pass_ms(&self, engine: &Engine) -> f64 {
        let answering = self.tasks.iter().filter(|it| !it.is_helper);
        let (count, tokens) = answering.fold((0, 0), |(count, tokens), it| {
            (count + 1, tokens + it.tokens)
        });
        if count == 0 {
            return 0.0;
        }
        engine.pass_ms(count, tokens)
    }

    /// Returns the milliseconds of a pass without prefill.
    pub fn pass_ms(&self, engine: &Engine) -> f64 {
        let (decoding, tokens) = self.decoding();
        if decoding == 0 {
            return 0.0;
        }
        engine.pass_ms(decoding, tokens)
    }
}

/// Returns the milliseconds that the pending prefill of these tasks takes if none has begun.
fn pending_prefill_ms<'a>(tasks: impl Iterator<Item = &'a Task>) -> f64 {
    let pending = tasks.filter(|it| it.is_prefilling());
    pending.map(|it| it.prefill_ms * MIXED_PREFILL_FACTOR).sum()
}
