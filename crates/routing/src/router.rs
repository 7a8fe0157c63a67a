//! The router: admits jobs, queues them in lanes and places them on the engines of the pool.

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

mod refusal;

pub use refusal::Refusal;

/// The maximum number of jobs that wait in one lane.
const LANE_LIMIT: usize = 2_000;
/// The longest estimated wait on an engine at which a short or medium job is still placed there,
/// as a multiple of the cost of the longest short prompt. Otherwise the job stays in its lane.
const WINDOW_SHORT_PROMPTS: u32 = 2;
/// The same limit for long and huge jobs, as a fraction of the job's own cost.
const WINDOW_LONG_FRACTION: f64 = 0.5;
/// The extra wait accepted for an engine with a cached prefix, as a fraction of the job's cost.
const PREFIX_WAIT_FRACTION: f64 = 0.5;

/// The retry delay that refused callers get while all engines are down.
const DOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The policy that chooses an engine for a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Uses estimated engine time, confines long prompts to some engines and isolates firms.
    #[default]
    ByLength,
    /// Baseline: round robin over the engines, first come, first served.
    RoundRobin,
    /// Baseline: the engine with the fewest requests, first come, first served.
    LeastLoaded,
}

/// Selects the next job and the engine that runs it.
#[derive(Debug)]
pub struct Router {
    policy: Policy,
    pool: Pool,
    curve: Curve,
    lanes: BTreeMap<Lane, Queue>,
    shares: BTreeMap<String, Share>,
    cursor: usize,
    random: StdRng,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Lane {
    length: Length,
    model: String,
}

/// The engines and the level chosen for a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The job.
    pub job: Job,
    /// The engine that runs it.
    pub engine: String,
    /// Further engines that lend their memory to the job, in the order in which it is reserved.
    /// Empty if the prompt fits on one engine.
    pub gang: Vec<String>,
    /// The memory that each engine provides, in tokens.
    pub memory_tokens: u64,
    /// The priority level on the engine.
    pub level: Level,
    /// The estimated wait on the engine.
    pub wait: Duration,
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
            cursor: 0,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the pool of engines.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Replaces the set of engines.
    pub fn replace_engines(&mut self, engines: impl IntoIterator<Item = Engine>) {
        self.pool.replace(engines);
    }

    /// Records a load report that describes the engine's state at `as_of`.
    pub fn record_load(&mut self, engine: &str, as_of: Moment, load: Load) {
        if let Some(engine) = self.pool.get_mut(engine) {
            engine.record_load(as_of, load);
        }
    }

    /// Marks an engine as leaving, on a report from any source. Returns whether the mark is new.
    pub fn mark_leaving(&mut self, engine: &str) -> bool {
        let engine = self.pool.get_mut(engine);
        engine.is_some_and(|it| it.leaving.mark())
    }

    /// Records that an engine asked for a pause of this length.
    pub fn record_pause(&mut self, now: Moment, engine: &str, length: Duration) {
        if let Some(engine) = self.pool.get_mut(engine) {
            engine.pause.extend(now, length);
        }
    }

    /// Records that an engine can't be reached.
    pub fn record_unreachable(&mut self, now: Moment, engine: &str) {
        if let Some(engine) = self.pool.get_mut(engine) {
            engine.health.on_unreachable(now);
        }
    }

    /// Returns the estimated engine time for the prefill of a prompt.
    pub fn cost(&self, prompt_tokens: u64) -> Duration {
        self.curve.cost(prompt_tokens)
    }

    /// Returns the number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.lanes.values().map(Queue::len).sum()
    }

    /// Admits a job, or refuses it at once with the reason.
    pub fn admit(&mut self, now: Moment, job: Job) -> Result<(), Refusal> {
        self.check_admission(now, &job)?;
        let cost = self.curve.cost(job.prompt_tokens);
        let share = self.shares.entry(job.model.clone()).or_default();
        share.record_arrival(now, job.length(), cost);
        self.requeue(job);
        Ok(())
    }

    /// Returns the reason for which a job would be refused now, without admitting it.
    pub fn check_admission(&self, now: Moment, job: &Job) -> Result<(), Refusal> {
        let cost = self.curve.cost(job.prompt_tokens);
        let capacity = self.pool.capacity(&job.model);
        let mut engines = self
            .pool
            .ranked(&job.model)
            .iter()
            .filter_map(|it| self.pool.get(it));
        if engines.clone().all(|it| it.leaving.is_marked()) {
            return Err(Refusal::NoEngine(job.model.clone()));
        }
        let staying = engines.clone().filter(|it| !it.leaving.is_marked());
        let pause_left = staying.map(|it| it.pause.left(now)).min();
        if let Some(left) = pause_left.filter(|it| !it.is_zero()) {
            return Err(Refusal::Paused(left));
        }
        if !engines.any(|it| it.is_usable(now)) {
            return Err(Refusal::Down(DOWN_RETRY_AFTER));
        }
        let needed = job.memory_tokens();
        if needed > capacity.gang_memory.max(capacity.largest_engine) {
            return Err(Refusal::TooLong {
                needed,
                fleet: capacity.gang_memory,
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
        let time_left = job.time_left(now);
        if wait + cost > time_left {
            return Err(Refusal::TooLate(
                (wait + cost).saturating_sub(time_left).max(cost),
            ));
        }
        Ok(())
    }

    /// Puts a job back after a failed attempt.
    pub fn requeue(&mut self, mut job: Job) {
        if job.excluded.len() >= self.pool.ranked(&job.model).len() {
            // All engines have failed the job; the first ones may have recovered since.
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

    /// Removes a waiting job, for example because its caller has disconnected.
    pub fn withdraw(&mut self, id: job::Id) -> Option<Job> {
        self.lanes.values_mut().find_map(|lane| lane.remove(id))
    }

    /// Removes one waiting job whose deadline has passed.
    pub fn expire(&mut self, now: Moment) -> Option<Job> {
        self.lanes.values_mut().find_map(|lane| lane.expire(now))
    }

    /// Places the next job that an engine has room for. Call it until it returns `None`.
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
                self.record_placement(now, &placement);
                return Some(placement);
            }
        }
        None
    }

    /// Records the first token of a job and, if measured, the engine time that its prefill took.
    pub fn record_prefill(&mut self, engine: &str, job: &Job, prefill_time: Option<Duration>) {
        if let Some(prefill_time) = prefill_time {
            self.curve.observe(job.prompt_tokens, prefill_time);
        }
        if let Some(engine) = self.pool.get_mut(engine) {
            engine.health.on_success();
            engine.record_prefill(job.id);
        }
    }

    /// Records the end of an attempt. Only the health of the engine `blamed` is updated.
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
                End::Done => engine.health.on_success(),
                End::Neutral => {}
                End::Failed => engine.health.on_failure(now),
                End::Unreachable => engine.health.on_unreachable(now),
            }
        }
    }

    fn record_placement(&mut self, now: Moment, placement: &Placement) {
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
        if self.needs_gang(&job) {
            return self.place_gang(now, job);
        }
        match self.policy {
            Policy::ByLength => self.place_by_length(now, job, conformance),
            Policy::RoundRobin => self.place_round_robin(now, job),
            Policy::LeastLoaded => self.place_least_loaded(now, job),
        }
    }

    fn needs_gang(&self, job: &Job) -> bool {
        job.memory_tokens() > self.pool.capacity(&job.model).largest_engine
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
        let best = self.best_engine(now, &job, level, own);
        let best = match best {
            // Shorter prompts have priority on every engine, so they may use all of them.
            None if length < Length::Long => self.best_engine(now, &job, level, 0..long),
            other => other,
        };
        let (engine, wait) = best?;
        Some(single_engine(job, engine, level, wait))
    }

    /// Returns the best engine of `range` that has room for the job, and the wait on it.
    fn best_engine(
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
            Length::Long | Length::Huge => cost.mul_f64(WINDOW_LONG_FRACTION),
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
        // Reports are stale, so a deterministic tie-break would make all entry instances pick the
        // same engine. The random order of the sample breaks ties.
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
                if extra <= cost.mul_f64(PREFIX_WAIT_FRACTION) {
                    cached
                } else {
                    best
                }
            }
            (cached, best) => cached.or(best)?,
        };
        Some((engine.name.clone(), engine.wait(now, level)))
    }

    fn place_round_robin(&mut self, now: Moment, job: Job) -> Option<Placement> {
        let ranked = self.pool.ranked(&job.model);
        let order = (0..ranked.len()).map(|it| &ranked[(self.cursor + it) % ranked.len()]);
        let usable = order
            .filter_map(|it| self.pool.get(it))
            .find(|it| accepts(it, now, &job));
        let name = usable?.name.clone();
        self.cursor = self.cursor.wrapping_add(1);
        Some(single_engine(job, name, Level::LAST, Duration::ZERO))
    }

    fn place_least_loaded(&mut self, now: Moment, job: Job) -> Option<Placement> {
        let ranked = self.pool.ranked(&job.model);
        let usable = ranked.iter().filter_map(|it| self.pool.get(it));
        let usable = usable.filter(|it| accepts(it, now, &job));
        let name = usable.min_by_key(|it| it.running())?.name.clone();
        Some(single_engine(job, name, Level::LAST, Duration::ZERO))
    }

    /// Chooses the fewest engines that can hold the prompt together. Memory is reserved in the
    /// order of their names, so that two gangs can't deadlock.
    fn place_gang(&mut self, now: Moment, job: Job) -> Option<Placement> {
        let level = Level::new(Length::Huge, Conformance::Conforming);
        let ranked = self.pool.ranked(&job.model);
        let engines = ranked.iter().filter_map(|it| self.pool.get(it));
        let usable = engines.filter(|it| it.is_usable(now) && !job.excluded.contains(&it.name));
        let mut usable: Vec<&Engine> = usable.collect();
        usable.sort_by_key(|it| (Reverse(it.free_memory()), it.wait(now, level)));
        let members = (2..=usable.len()).find(|count| {
            let share = job.memory_tokens().div_ceil(*count as u64);
            let fits = |it: &&Engine| it.free_memory() >= share && it.gang_memory() >= share;
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

/// How an attempt ended, as it affects the engine's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The answer is complete.
    Done,
    /// The engine is not to blame.
    Neutral,
    /// The engine failed the request.
    Failed,
    /// The engine can't be reached.
    Unreachable,
}

/// Returns the jobs of a lane to try in turn: the first in fair order, then those of firms within
/// their share, which may overtake it because engines run them first anyway.
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

fn single_engine(job: Job, engine: String, level: Level, wait: Duration) -> Placement {
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
