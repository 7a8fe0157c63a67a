//! What an entry knows of one engine: its late load reports, and what the entry itself sent since.

use std::time::Duration;

use domain::Moment;

use crate::health::Health;
use crate::job;
use crate::leaving::Leaving;
use crate::level::LEVELS;
use crate::level::Level;

/// The part of an engine's memory that a member of a gang is asked for at most.
const GANG_MEMORY_PART: f64 = 0.9;

/// The state of one engine as an engine reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Drawn at random when the engine started.
    pub incarnation: u64,
    /// Prefill work that waits, by level, in microseconds of engine time.
    pub backlog_micros: [u64; LEVELS],
    /// Requests in progress.
    pub running: u32,
    /// KV memory in use, in tokens.
    pub memory_used: u64,
    /// Whether the engine takes no new work.
    pub is_leaving: bool,
}

/// An engine as an entry sees it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The backend server's name.
    pub name: String,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// The models that it serves.
    pub models: Vec<String>,
    /// Its KV memory, in tokens.
    pub memory_tokens: u64,
    /// Whether it failed lately.
    pub health: Health,
    /// Whether any source says that it is leaving.
    pub leaving: Leaving,
    load: Load,
    /// The moment that the load report describes.
    load_of: Moment,
    sent: Vec<Sent>,
}

/// A job that was sent to an engine and has not ended.
#[derive(Clone, Debug)]
struct Sent {
    job: job::Id,
    at: Moment,
    level: Level,
    cost: Duration,
    memory_tokens: u64,
    is_prefilled: bool,
}

impl Engine {
    /// Returns an engine of which nothing is known yet.
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
            load: Load::default(),
            load_of: Moment::default(),
            sent: Vec::new(),
        }
    }

    /// Takes a load report that describes the moment `of`. Older ones than the last are ignored.
    pub fn record_load(&mut self, of: Moment, load: Load) {
        if of < self.load_of {
            return;
        }
        self.leaving
            .record_report(load.incarnation, load.is_leaving);
        self.load = load;
        self.load_of = of;
    }

    /// Notes that a job is sent.
    pub fn record_dispatch(
        &mut self,
        now: Moment,
        job: job::Id,
        level: Level,
        cost: Duration,
        memory_tokens: u64,
    ) {
        self.health.record_dispatch(now);
        self.sent.push(Sent {
            job,
            at: now,
            level,
            cost,
            memory_tokens,
            is_prefilled: false,
        });
    }

    /// Notes the first token of a job.
    pub fn record_prefill(&mut self, job: job::Id) {
        for sent in self.sent.iter_mut().filter(|it| it.job == job) {
            sent.is_prefilled = true;
        }
    }

    /// Notes that a job has ended, well or badly.
    pub fn record_end(&mut self, job: job::Id) {
        self.sent.retain(|it| it.job != job);
    }

    /// Returns the estimated engine time before a new job of `level` would start: the work of its
    /// own level and of those that go first.
    pub fn wait(&self, now: Moment, level: Level) -> Duration {
        let reported: u64 = self
            .load
            .backlog_micros
            .iter()
            .take(level.index() + 1)
            .sum();
        let worked = now.since(self.load_of);
        let reported = Duration::from_micros(reported).saturating_sub(worked);
        let goes_first = |it: &&Sent| !it.is_prefilled && it.level <= level;
        let own = self.sent.iter().filter(goes_first);
        let unreported: Duration = own
            .clone()
            .filter(|it| it.at >= self.load_of)
            .map(|it| it.cost)
            .sum();
        let oldest = own.clone().map(|it| it.at).min().unwrap_or(now);
        let own: Duration = own.map(|it| it.cost).sum();
        (reported + unreported).max(own.saturating_sub(now.since(oldest)))
    }

    /// Returns the KV memory that is estimated to be free, in tokens.
    pub fn free_memory(&self) -> u64 {
        let unreported = self.sent.iter().filter(|it| it.at >= self.load_of);
        let unreported: u64 = unreported.map(|it| it.memory_tokens).sum();
        let own: u64 = self.sent.iter().map(|it| it.memory_tokens).sum();
        let used = (self.load.memory_used + unreported).max(own);
        self.memory_tokens.saturating_sub(used)
    }

    /// Returns the KV memory that a member of a gang is asked for at most, in tokens.
    pub fn gang_memory(&self) -> u64 {
        (self.memory_tokens as f64 * GANG_MEMORY_PART) as u64
    }

    /// Returns the estimated number of requests in progress.
    pub fn running(&self) -> usize {
        let unreported = self.sent.iter().filter(|it| it.at >= self.load_of).count();
        (self.load.running as usize + unreported).max(self.sent.len())
    }

    /// Tells whether new work may be sent.
    pub fn is_usable(&self, now: Moment) -> bool {
        !self.leaving.is_marked() && self.health.is_usable(now)
    }

    /// Tells whether it serves a model.
    pub fn serves(&self, model: &str) -> bool {
        self.models.iter().any(|it| it == model)
    }
}
