//! The router: lanes of waiting jobs on one side, the pool of engines on the other.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use domain::Length;
use domain::Moment;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::curve::Curve;
use crate::engine::Engine;
use crate::engine::Load;
use crate::job;
use crate::job::Job;
use crate::level::Conformance;
use crate::level::Level;
use crate::pool::Pool;
use crate::queue::Queue;
use crate::share::Share;

/// Jobs that may wait in one lane.
const LANE_LIMIT: usize = 2_000;
/// Engine time that may wait on an engine before short and medium jobs wait in the lane instead,
/// as a multiple of the longest short prompt's cost.
const WINDOW_SHORT_PROMPTS: u32 = 2;
/// The same for long jobs, as a part of the job's own cost.
const WINDOW_LONG_PART: f64 = 0.5;
/// How much longer the wait on an engine with a cached prefix may be, as a part of the job's cost.
const PREFIX_WORTH: f64 = 0.5;

/// The wait that is named while all engines are down.
const DOWN_WAIT: Duration = Duration::from_secs(1);

/// The way in which an engine is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// By estimated engine time, with long prompts confined and firms kept apart.
    #[default]
    ByLength,
    /// Baseline: each engine in turn, first come first served.
    RoundRobin,
    /// Baseline: the engine with the fewest requests, first come first served.
    LeastLoaded,
}

/// Decides which job goes next, and where.
#[derive(Debug)]
pub struct Router {
    policy: Policy,
    pool: Pool,
    curve: Curve,
    lanes: BTreeMap<Lane, Queue>,
    shares: BTreeMap<String, Share>,
    turn: usize,
    random: StdRng,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Lane {
    length: Length,
    model: String,
}

/// Where a job goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The job.
    pub job: Job,
    /// The engine that runs it.
    pub engine: String,
    /// Further engines that lend it memory, in the order in which they are asked; empty unless the
    /// prompt is beyond one engine.
    pub gang: Vec<String>,
    /// The memory that each engine gives, in tokens.
    pub memory_tokens: u64,
    /// The level on the engine.
    pub level: Level,
    /// The estimated wait on the engine.
    pub wait: Duration,
}

/// Why a job can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No engine serves the model.
    #[error("no backend server serves the model `{0}` now: name another model or come back")]
    NoEngine(String),
    /// All engines are down.
    #[error("no backend server answers now: come back in {} ms", .0.as_millis())]
    Down(Duration),
    /// The prompt is longer than all engines together can hold.
    #[error("the prompt needs {needed} tokens of memory and the fleet has {fleet}: shorten it")]
    TooLong {
        /// What it needs.
        needed: u64,
        /// What there is.
        fleet: u64,
    },
    /// Too many jobs wait already.
    #[error("too many requests wait: come back in {} ms", .0.as_millis())]
    Full(Duration),
    /// The job would not be finished in its time.
    #[error("this would not be finished in its time: come back in {} ms", .0.as_millis())]
    TooLate(Duration),
}

impl Router {
    /// Returns a router without engines.
    pub fn new(policy: Policy, seed: u64) -> Self {
        Self {
            policy,
            pool: Pool::default(),
            curve: Curve::default(),
            lanes: BTreeMap::new(),
            shares: BTreeMap::new(),
            turn: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the engines.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Replaces the set of engines.
    pub fn replace_engines(&mut self, engines: impl IntoIterator<Item = Engine>) {
        self.pool.replace(engines);
    }

    /// Takes a load report that describes the moment `of`.
    pub fn record_load(&mut self, engine: &str, of: Moment, load: Load) {
        if let Some(engine) = self.pool.get_mut(engine) {
            engine.record_load(of, load);
        }
    }

    /// Notes that some source says that an engine is leaving. Returns whether that is news.
    pub fn mark_leaving(&mut self, engine: &str) -> bool {
        let engine = self.pool.get_mut(engine);
        engine.is_some_and(|it| it.leaving.mark())
    }

    /// Notes that an engine can't be reached.
    pub fn record_unreachable(&mut self, now: Moment, engine: &str) {
        if let Some(engine) = self.pool.get_mut(engine) {
            engine.health.record_unreachable(now);
        }
    }

    /// Returns the estimated engine time of a prompt.
    pub fn cost(&self, prompt_tokens: u64) -> Duration {
        self.curve.cost(prompt_tokens)
    }

    /// Returns the number of jobs that wait.
    pub fn waiting(&self) -> usize {
        self.lanes.values().map(Queue::len).sum()
    }

    /// Takes a job, or says at once why it can't be.
    pub fn admit(&mut self, now: Moment, job: Job) -> Result<(), Refusal> {
        let cost = self.curve.cost(job.prompt_tokens);
        self.check(now, &job, cost)?;
        let share = self.shares.entry(job.model.clone()).or_default();
        share.record_arrival(now, job.length(), cost);
        self.requeue(job);
        Ok(())
    }

    /// Puts a job back after a failed attempt.
    pub fn requeue(&mut self, mut job: Job) {
        if job.excluded.len() >= self.pool.ranked(&job.model).len() {
            // All have failed it: the first may have come back.
            job.excluded.clear();
        }
        let cost = self.curve.cost(job.prompt_tokens);
        let lane = Lane {
            length: job.length(),
            model: job.model.clone(),
        };
        self.lanes
            .entry(lane)
            .or_default()
            .push(job, cost.as_micros() as u64);
    }

    /// Removes a job that waits, for example because its caller has left.
    pub fn withdraw(&mut self, id: job::Id) -> Option<Job> {
        self.lanes.values_mut().find_map(|lane| lane.remove(id))
    }

    /// Removes a job whose deadline has passed while it waited.
    pub fn expire(&mut self, now: Moment) -> Option<Job> {
        self.lanes.values_mut().find_map(|lane| lane.expire(now))
    }

    /// Decides on the next job that an engine has room for. To be called until there is none.
    pub fn next(&mut self, now: Moment) -> Option<Placement> {
        let lanes: Vec<Lane> = self.lanes.keys().cloned().collect();
        for lane in lanes {
            let queue = self.lanes.get(&lane);
            let candidates = queue.map_or_else(Vec::new, |it| candidates(now, it));
            for (job, conformance) in candidates {
                let Some(placement) = self.place(now, job, conformance) else {
                    continue;
                };
                let firm = &placement.job.tenant.firm;
                self.lanes
                    .get_mut(&lane)
                    .and_then(|queue| queue.pop_from_firm(now, firm));
                self.note(now, &placement);
                return Some(placement);
            }
        }
        None
    }

    /// Notes the first token of a job, and the engine time that its prefill took.
    pub fn record_prefill(&mut self, engine: &str, job: &Job, took: Option<Duration>) {
        if let Some(took) = took {
            self.curve.observe(job.prompt_tokens, took);
        }
        if let Some(engine) = self.pool.get_mut(engine) {
            engine.health.record_success();
            engine.record_prefill(job.id);
        }
    }

    /// Notes the end of an attempt. `blamed` is the engine whose doing it was.
    pub fn record_end(&mut self, now: Moment, placement: &Placement, blamed: &str, end: End) {
        for name in std::iter::once(&placement.engine).chain(&placement.gang) {
            let Some(engine) = self.pool.get_mut(name) else {
                continue;
            };
            engine.record_end(placement.job.id);
            if name != blamed {
                continue;
            }
            match end {
                End::Done => engine.health.record_success(),
                End::Neutral => {}
                End::Failed => engine.health.record_failure(now),
                End::Unreachable => engine.health.record_unreachable(now),
            }
        }
    }

    fn check(&self, now: Moment, job: &Job, cost: Duration) -> Result<(), Refusal> {
        let capacity = self.pool.capacity(&job.model);
        let mut engines = self
            .pool
            .ranked(&job.model)
            .iter()
            .filter_map(|it| self.pool.get(it));
        if engines.clone().all(|it| it.leaving.is_marked()) {
            return Err(Refusal::NoEngine(job.model.clone()));
        }
        if !engines.any(|it| it.is_usable(now)) {
            return Err(Refusal::Down(DOWN_WAIT));
        }
        let needed = job.memory_tokens();
        if needed > capacity.gang.max(capacity.largest) {
            return Err(Refusal::TooLong {
                needed,
                fleet: capacity.gang,
            });
        }

        if self.policy != Policy::ByLength {
            return Ok(());
        }
        let lane = Lane {
            length: job.length(),
            model: job.model.clone(),
        };
        let queue = self.lanes.get(&lane);
        let ahead = queue.map_or(0, |it| it.cost_ahead(&job.tenant));
        let count = capacity.engines.max(1) as u32;
        let wait = Duration::from_micros(ahead) / count;
        if queue.is_some_and(|it| it.len() >= LANE_LIMIT) {
            return Err(Refusal::Full(wait.max(cost)));
        }
        if !self.curve.is_measured(job.prompt_tokens) {
            return Ok(());
        }
        let left = job.time_left(now);
        if wait + cost > left {
            return Err(Refusal::TooLate(
                (wait + cost).saturating_sub(left).max(cost),
            ));
        }
        Ok(())
    }

    fn note(&mut self, now: Moment, placement: &Placement) {
        let parts = 1 + placement.gang.len() as u32;
        let cost = self.curve.cost(placement.job.prompt_tokens) / parts;
        for name in std::iter::once(&placement.engine).chain(&placement.gang) {
            if let Some(engine) = self.pool.get_mut(name) {
                engine.record_dispatch(
                    now,
                    placement.job.id,
                    placement.level,
                    cost,
                    placement.memory_tokens,
                );
            }
        }
    }

    fn place(&mut self, now: Moment, job: Job, conformance: Conformance) -> Option<Placement> {
        if self.is_beyond_one_engine(&job) {
            return self.place_gang(now, job);
        }
        match self.policy {
            Policy::ByLength => self.place_by_length(now, job, conformance),
            Policy::RoundRobin => self.place_in_turn(now, job),
            Policy::LeastLoaded => self.place_least_loaded(now, job),
        }
    }

    fn is_beyond_one_engine(&self, job: &Job) -> bool {
        job.memory_tokens() > self.pool.capacity(&job.model).largest
    }

    fn place_by_length(
        &mut self,
        now: Moment,
        job: Job,
        conformance: Conformance,
    ) -> Option<Placement> {
        let total = self.pool.ranked(&job.model).len();
        let long = self
            .shares
            .entry(job.model.clone())
            .or_default()
            .long_engines(now, total);
        let length = job.length();
        let level = Level::new(length, conformance);
        let own = if length >= Length::Long {
            0..long
        } else {
            long..total
        };
        let found = self.best(now, &job, level, own);
        let found = match found {
            // Short prompts go first on every engine, so they may use the others' room.
            None if length < Length::Long => self.best(now, &job, level, 0..long),
            other => other,
        };
        let (engine, wait) = found?;
        Some(single(job, engine, level, wait))
    }

    /// Returns the engine of `range` with the shortest wait, if it has room, and that wait.
    fn best(
        &mut self,
        now: Moment,
        job: &Job,
        level: Level,
        range: Range<usize>,
    ) -> Option<(String, Duration)> {
        let cost = self.curve.cost(job.prompt_tokens);
        let window = match job.length() {
            Length::Short | Length::Medium => {
                self.curve.cost(Length::SHORT_LIMIT) * WINDOW_SHORT_PROMPTS
            }
            Length::Long | Length::Huge => cost.mul_f64(WINDOW_LONG_PART),
        };
        let has_room = |it: &&Engine| {
            it.is_usable(now)
                && it.free_memory() >= job.memory_tokens()
                && !job.excluded.contains(&it.name)
                && it.wait(now, level) <= window
        };
        let sample = self
            .pool
            .sample(&job.model, range.clone(), &mut self.random);
        // Reports are late, so a finer order among engines that seem equal would send all entries to
        // the same one. The sample's random order breaks ties.
        let best = sample
            .into_iter()
            .filter(has_room)
            .min_by_key(|it| it.wait(now, level));
        let cached = self.pool.by_prefix(&job.model, range, job.prefix);
        let cached = cached.into_iter().find(has_room);
        let engine = match (cached, best) {
            (Some(cached), Some(best)) => {
                let extra = cached
                    .wait(now, level)
                    .saturating_sub(best.wait(now, level));
                if extra <= cost.mul_f64(PREFIX_WORTH) {
                    cached
                } else {
                    best
                }
            }
            (cached, best) => cached.or(best)?,
        };
        Some((engine.name.clone(), engine.wait(now, level)))
    }

    fn place_in_turn(&mut self, now: Moment, job: Job) -> Option<Placement> {
        let ranked = self.pool.ranked(&job.model);
        let order = (0..ranked.len()).map(|it| &ranked[(self.turn + it) % ranked.len()]);
        let usable = order
            .filter_map(|it| self.pool.get(it))
            .find(|it| accepts(it, now, &job));
        let name = usable?.name.clone();
        self.turn = self.turn.wrapping_add(1);
        Some(single(job, name, Level::LAST, Duration::ZERO))
    }

    fn place_least_loaded(&mut self, now: Moment, job: Job) -> Option<Placement> {
        let ranked = self.pool.ranked(&job.model);
        let usable = ranked.iter().filter_map(|it| self.pool.get(it));
        let usable = usable.filter(|it| accepts(it, now, &job));
        let name = usable.min_by_key(|it| it.running())?.name.clone();
        Some(single(job, name, Level::LAST, Duration::ZERO))
    }

    /// Chooses as few engines as hold the prompt together. They are asked in the order of their
    /// names, so that two gangs never wait for each other.
    fn place_gang(&mut self, now: Moment, job: Job) -> Option<Placement> {
        let level = Level::new(Length::Huge, Conformance::Conforming);
        let ranked = self.pool.ranked(&job.model);
        let engines = ranked.iter().filter_map(|it| self.pool.get(it));
        let usable = engines.filter(|it| it.is_usable(now) && !job.excluded.contains(&it.name));
        let mut usable: Vec<&Engine> = usable.collect();
        usable.sort_by_key(|it| (Reverse(it.free_memory()), it.wait(now, level)));
        let members = (2..=usable.len()).find(|count| {
            let part = job.memory_tokens().div_ceil(*count as u64);
            let fits = |it: &&Engine| it.free_memory() >= part && it.gang_memory() >= part;
            usable[..*count].iter().all(fits)
        })?;
        let memory_tokens = job.memory_tokens().div_ceil(members as u64);
        let wait = usable[..members]
            .iter()
            .map(|it| it.wait(now, level))
            .max()?;
        let mut gang: Vec<String> = usable[..members].iter().map(|it| it.name.clone()).collect();
        gang.sort();
        let engine = gang.remove(0);

        Some(Placement {
            job,
            engine,
            gang,
            memory_tokens,
            level,
            wait,
        })
    }
}

/// How an attempt ended, as far as the engine's health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The answer is whole.
    Done,
    /// The engine is not to blame.
    Neutral,
    /// The engine failed the request.
    Failed,
    /// The engine can't be reached.
    Unreachable,
}

/// Returns the jobs of a lane that may go next: the first in fair order and, where no engine has room
/// for that one, the jobs of firms that keep to their share, which go first on engines anyway.
fn candidates(now: Moment, queue: &Queue) -> Vec<(Job, Conformance)> {
    let heads = queue.heads(now).into_iter().enumerate();
    let allowed =
        heads.filter(|(index, it)| *index == 0 || it.conformance == Conformance::Conforming);
    allowed
        .map(|(_, it)| (it.job.clone(), it.conformance))
        .collect()
}

fn accepts(engine: &Engine, now: Moment, job: &Job) -> bool {
    engine.is_usable(now)
        && engine.free_memory() >= job.memory_tokens()
        && !job.excluded.contains(&engine.name)
}

fn single(job: Job, engine: String, level: Level, wait: Duration) -> Placement {
    let memory_tokens = job.memory_tokens();
    Placement {
        job,
        engine,
        gang: Vec::new(),
        memory_tokens,
        level,
        wait,
    }
}
