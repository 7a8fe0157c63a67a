//! One engine as an entry instance sees it: its last load report, and the jobs sent to it since.

use std::time::Duration;

use domain::Moment;

use crate::health::Health;
use crate::job;
use crate::leaving::Leaving;
use crate::level::LEVELS;
use crate::level::Level;
use crate::pause::Pause;

/// The largest fraction of an engine's memory that a gang may use.
const GANG_MEMORY_FRACTION: f64 = 0.9;

/// The load report of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// A random number drawn when the engine started. It changes with each restart.
    pub incarnation: u64,
    /// Waiting prefill work by level, in microseconds of engine time.
    pub backlog_micros: [u64; LEVELS],
    /// The number of requests in progress.
    pub running: u32,
    /// KV memory in use, in tokens.
    pub memory_used: u64,
    /// Whether the engine accepts no new work.
    pub is_leaving: bool,
}

/// An engine as an entry instance sees it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The backend server's name.
    pub name: String,
    /// The data centre that the engine is in.
    pub data_centre: String,
    /// The models that it serves.
    pub models: Vec<String>,
    /// The engine's KV memory, in tokens.
    pub memory_tokens: u64,
    /// The circuit breaker, fed by recent failures.
    pub health: Health,
    /// Whether any source has reported that it is leaving.
    pub leaving: Leaving,
    /// The pause that it asked for.
    pub pause: Pause,
    load: Load,
    /// The moment that `load` describes.
    load_as_of: Moment,
    sent: Vec<SentJob>,
}

/// A job that was sent to the engine and has not ended.
#[derive(Clone, Debug)]
struct SentJob {
    job: job::Id,
    sent_at: Moment,
    level: Level,
    cost: Duration,
    memory_tokens: u64,
    is_prefilled: bool,
}

impl Engine {
    /// Returns an engine without a load report.
    pub fn new(
        name: impl Into<String>,
        data_centre: impl Into<String>,
        models: Vec<String>,
        memory_tokens: u64,
    ) -> Self {
        Self {
            name: name.into(),
            data_centre: data_centre.into(),
            models,
            memory_tokens,
            health: Health::default(),
            leaving: Leaving::default(),
            pause: Pause::default(),
            load: Load::default(),
            load_as_of: Moment::default(),
            sent: Vec::new(),
        }
    }

    /// Records a load report that describes the moment `as_of`. Reports older than the last one are
    /// ignored.
    pub fn record_load(&mut self, as_of: Moment, load: Load) {
        if as_of < self.load_as_of {
            return;
        }
        self.leaving
            .record_report(load.incarnation, load.is_leaving);
        self.load = load;
        self.load_as_of = as_of;
    }

    /// Records that a job is sent to the engine.
    pub fn record_dispatch(
        &mut self,
        now: Moment,
        job: job::Id,
        level: Level,
        cost: Duration,
        memory_tokens: u64,
    ) {
        self.health.on_dispatch(now);
        self.sent.push(SentJob {
            job,
            sent_at: now,
            level,
            cost,
            memory_tokens,
            is_prefilled: false,
        });
    }

    /// Records the first token of a job, which ends its prefill.
    pub fn record_prefill(&mut self, job: job::Id) {
        for sent in self.sent.iter_mut().filter(|it| it.job == job) {
            sent.is_prefilled = true;
        }
    }

    /// Records the end of a job, whether it succeeded or failed.
    pub fn record_end(&mut self, job: job::Id) {
        self.sent.retain(|it| it.job != job);
    }

    /// Returns the estimated engine time before a new job of `level` would start: the waiting work
    /// of its own level and of the levels before it.
    pub fn wait(&self, now: Moment, level: Level) -> Duration {
        let reported: u64 = self
            .load
            .backlog_micros
            .iter()
            .take(level.index() + 1)
            .sum();
        let elapsed = now.since(self.load_as_of);
        let reported = Duration::from_micros(reported).saturating_sub(elapsed);
        let is_ahead = |it: &&SentJob| !it.is_prefilled && it.level <= level;
        let own = self.sent.iter().filter(is_ahead);
        let unreported: Duration = own
            .clone()
            .filter(|it| it.sent_at >= self.load_as_of)
            .map(|it| it.cost)
            .sum();
        let oldest = own.clone().map(|it| it.sent_at).min().unwrap_or(now);
        let own: Duration = own.map(|it| it.cost).sum();
        (reported + unreported).max(own.saturating_sub(now.since(oldest)))
    }

    /// Returns the estimated free KV memory, in tokens.
    pub fn free_memory(&self) -> u64 {
        let unreported = self.sent.iter().filter(|it| it.sent_at >= self.load_as_of);
        let unreported: u64 = unreported.map(|it| it.memory_tokens).sum();
        let own: u64 = self.sent.iter().map(|it| it.memory_tokens).sum();
        let used = (self.load.memory_used + unreported).max(own);
        self.memory_tokens.saturating_sub(used)
    }

    /// Returns the KV memory that a gang may use on this engine, in tokens.
    pub fn gang_memory(&self) -> u64 {
        (self.memory_tokens as f64 * GANG_MEMORY_FRACTION) as u64
    }

    /// Returns the estimated number of requests in progress.
    pub fn running(&self) -> usize {
        let unreported = self
            .sent
            .iter()
            .filter(|it| it.sent_at >= self.load_as_of)
            .count();
        (self.load.running as usize + unreported).max(self.sent.len())
    }

    /// Returns whether new work may be sent to the engine.
    pub fn is_usable(&self, now: Moment) -> bool {
        !self.leaving.is_marked() && self.pause.is_over(now) && self.health.is_usable(now)
    }

    /// Returns whether the engine serves a model.
    pub fn serves(&self, model: &str) -> bool {
        self.models.iter().any(|it| it == model)
    }
}
