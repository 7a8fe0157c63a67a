//! The workload: the requests that all entries have placed on the backend servers.

use std::collections::HashMap;
use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
use route::Engine;

use crate::ends::Ends;
use crate::ends::Place;
use crate::expectation::Expectation;
use crate::expectation::Work;
use crate::rates::Rates;
use crate::slowdown::Slowdowns;

/// The time after which a request counts as ended if no entry reported its end; longer than the
/// limit of any route.
const JOB_LIFETIME: Duration = Duration::from_secs(40);
/// The factor by which prefill takes longer beside decoding requests: each step also generates a
/// token for them, which adds 1.02 ms to the 10 ms in which a step prefills its chunk.
const MIXED_PREFILL_FACTOR: f64 = 1.1;

/// Identifies one attempt at a request among those of all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId {
    /// The entry that placed it.
    pub entry: Incarnation,
    /// The entry's number for the request and the attempt.
    pub number: u64,
}

/// A change to a request that an entry reports to the others.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// The attempt at the request.
    pub job: JobId,
    /// What happened to it.
    pub change: Change,
}

/// All requests in progress that an entry has placed.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The entry.
    pub entry: Incarnation,
    /// The placements.
    pub placed: Vec<Update>,
    /// The numbers of the requests whose first token has come.
    pub started: Vec<u64>,
}

/// A step in the life cycle of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// It was sent to its servers.
    Placed(Placement),
    /// Its first token came.
    Started,
    /// The server that answers takes longer than published, by this factor.
    Slowed(f32),
    /// A server named the requests a second that it takes from all entries together.
    Limited {
        /// The server's key.
        server: u64,
        /// The limit; infinite if it has ended.
        per_s: f32,
    },
    /// It ended or was cancelled.
    Ended,
}

/// The requirements of a request and the servers that work on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The time left until the deadline of the first token, in milliseconds.
    pub target_ms: u32,
    /// The longest pause between two events that is still on time, in milliseconds; 0 for no limit.
    pub pause_ms: u32,
    /// Its value to the caller; a short request has the value 1.
    pub value: f32,
    /// Whether its first token is expected in time.
    pub timeliness: Timeliness,
    /// The parts of the servers. The first part's server decodes the answer.
    pub parts: Vec<Part>,
    /// The expected number of passes from the first token to the end of the answer.
    pub passes: Expectation,
    /// The expected service time at a plain service, in milliseconds.
    pub service_ms: Expectation,
}

/// Whether a request is expected to meet its deadline. Late requests are scheduled after those that
/// are on time, since they have already lost most of their value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeliness {
    /// Its first token is expected in time.
    OnTime,
    /// Its first token will be late.
    Late,
}

/// The work of one server for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// The server's key.
    pub server: u64,
    /// The duration of its prefill, in milliseconds.
    pub prefill_ms: f32,
    /// Tokens that it holds in memory. On a server that only prefills they are reserved until the
    /// request ends.
    pub tokens: u32,
}

/// The requests that all entries have placed, by server.
#[derive(Clone, Debug, Default)]
pub struct Workload {
    queues: HashMap<u64, Queue>,
    jobs: HashMap<JobId, Job>,
    slowdowns: Slowdowns,
    rates: Rates,
}

#[derive(Clone, Debug)]
struct Job {
    placement: Placement,
    placed_at: Moment,
    is_started: bool,
}

/// The work on one server.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    tasks: Vec<Task>,
    /// When the server last began a prefill, as far as updates show.
    prefill_started: Moment,
    /// The prefill that has been done, in milliseconds.
    prefilled_ms: f64,
    ends: Ends,
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

impl Workload {
    /// Applies an update of this entry or of another one.
    pub fn apply(&mut self, now: Moment, update: &Update) {
        match &update.change {
            Change::Placed(placement) => self.place(now, update.job, placement),
            Change::Started => self.start(now, update.job),
            Change::Slowed(factor) => self.slow(now, update.job, (*factor).into()),
            Change::Limited { server, per_s } => {
                self.rates.record_report(now, *server, (*per_s).into());
            }
            Change::Ended => self.end(now, update.job),
        }
    }

    /// Returns a snapshot of the requests of an entry.
    pub fn snapshot(&self, entry: Incarnation) -> Snapshot {
        let own = self.jobs.iter().filter(|it| it.0.entry == entry);
        let started = own.clone().filter(|it| it.1.is_started);
        Snapshot {
            entry,
            started: started.map(|it| it.0.number).collect(),
            placed: own
                .map(|(job, it)| Update {
                    job: *job,
                    change: Change::Placed(it.placement.clone()),
                })
                .collect(),
        }
    }

    /// Reconciles the workload with a snapshot, which repairs the effects of lost updates.
    pub fn reconcile(&mut self, now: Moment, snapshot: &Snapshot) {
        let is_ended = |it: &&JobId| {
            it.entry == snapshot.entry && !snapshot.placed.iter().any(|update| update.job == **it)
        };
        let ended: Vec<JobId> = self.jobs.keys().filter(is_ended).copied().collect();
        for job in ended {
            self.end(now, job);
        }
        for update in &snapshot.placed {
            self.apply(now, update);
        }
        for number in &snapshot.started {
            let job = JobId {
                entry: snapshot.entry,
                number: *number,
            };
            if self.jobs.get(&job).is_some_and(|it| !it.is_started) {
                self.start(now, job);
            }
        }
    }

    /// Returns the work on a server.
    pub fn queue(&self, server: u64) -> Option<&Queue> {
        self.queues.get(&server)
    }

    /// Returns the slowdowns of engines.
    pub fn slowdowns(&self) -> &Slowdowns {
        &self.slowdowns
    }

    /// Returns the limits that servers named.
    pub fn rates(&self) -> &Rates {
        &self.rates
    }

    /// Returns the limits that servers named, to record what they say.
    pub fn rates_mut(&mut self) -> &mut Rates {
        &mut self.rates
    }

    /// Removes the work of an entry that left or died: its connections have ended.
    pub fn remove_entry(&mut self, now: Moment, entry: Incarnation) {
        let jobs = self.jobs.keys().filter(|it| it.entry == entry);
        for job in jobs.copied().collect::<Vec<_>>() {
            self.end(now, job);
        }
    }

    /// Removes the work on a server that no longer exists.
    pub fn remove_server(&mut self, server: u64) {
        self.queues.remove(&server);
    }

    /// Removes requests whose end was not reported within `JOB_LIFETIME`. Must be called every few
    /// seconds.
    pub fn expire(&mut self, now: Moment) {
        let is_expired = |it: &&JobId| now.since(self.jobs[*it].placed_at) >= JOB_LIFETIME;
        let expired: Vec<JobId> = self.jobs.keys().filter(is_expired).copied().collect();
        for job in expired {
            self.end(now, job);
        }
        self.queues.retain(|_, it| !it.tasks.is_empty());
        self.slowdowns.expire(now);
        self.rates.expire(now);
    }

    fn place(&mut self, now: Moment, job: JobId, placement: &Placement) {
        if self.jobs.contains_key(&job) {
            return;
        }
        let (passes, service_ms) = (placement.passes.work(), placement.service_ms.work());
        for (index, part) in placement.parts.iter().enumerate() {
            self.rates.record_placed(now, part.server);
            let queue = self.queues.entry(part.server).or_default();
            if !queue.tasks.iter().any(Task::is_prefilling) {
                queue.prefill_started = now;
            }
            let place = queue.ends.place(queue.tasks.len());
            queue.tasks.push(Task {
                place,
                job,
                placed_at: now,
                target_at: now + Duration::from_millis(placement.target_ms.into()),
                pause_ms: (placement.pause_ms > 0).then_some(placement.pause_ms.into()),
                value: placement.value.into(),
                timeliness: placement.timeliness,
                prefill_ms: part.prefill_ms.into(),
                tokens: part.tokens.into(),
                is_decoding: false,
                is_helper: index > 0,
                passes,
                service_ms,
                started: None,
            });
        }
        self.jobs.insert(
            job,
            Job {
                placement: placement.clone(),
                placed_at: now,
                is_started: false,
            },
        );
    }

    fn start(&mut self, now: Moment, job: JobId) {
        let Some(tracked) = self.jobs.get_mut(&job) else {
            return;
        };
        tracked.is_started = true;
        for part in &tracked.placement.parts {
            let Some(queue) = self.queues.get_mut(&part.server) else {
                continue;
            };
            queue.prefill_started = now;
            // A helper's part ends here unless it holds memory: then it takes part in each step.
            let is_over = |it: &Task| it.job == job && it.is_helper && it.tokens == 0;
            queue.tasks.retain(|it| !is_over(it));
            queue.prefilled_ms += f64::from(part.prefill_ms) * MIXED_PREFILL_FACTOR;
            let prefilled_ms = queue.prefilled_ms;
            for task in queue.tasks.iter_mut().filter(|it| it.job == job) {
                task.is_decoding = true;
                task.started = Some(Started {
                    at: now,
                    prefilled_ms,
                });
            }
        }
    }

    fn slow(&mut self, now: Moment, job: JobId, factor: f64) {
        let tracked = self.jobs.get(&job);
        if let Some(first) = tracked.and_then(|it| it.placement.parts.first()) {
            self.slowdowns.set(now, first.server, factor);
        }
    }

    fn end(&mut self, now: Moment, job: JobId) {
        let Some(tracked) = self.jobs.remove(&job) else {
            return;
        };
        for part in &tracked.placement.parts {
            let Some(queue) = self.queues.get_mut(&part.server) else {
                continue;
            };
            let was_prefilling = queue
                .tasks
                .iter()
                .any(|it| it.job == job && it.is_prefilling());
            if was_prefilling {
                queue.prefill_started = now;
            }
            queue.tasks.retain(|it| it.job != job);
            queue.ends.record(now);
        }
    }
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
