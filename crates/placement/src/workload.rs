//! The workload: the requests that all entries have placed on the backend servers.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
use route::Engine;

use crate::cold::Window;
use crate::expectation::Expectation;
use crate::rates::Rates;
use crate::slowdown::Slowdowns;

mod on_time;
mod passes;
mod queue;

use self::queue::MIXED_PREFILL_FACTOR;
pub use self::queue::Queue;
pub use self::queue::Started;
pub use self::queue::Task;

/// The time after which a request counts as ended if no entry reported its end; longer than the
/// limit of any route.
const JOB_LIFETIME: Duration = Duration::from_secs(40);

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
    /// A request was rejected and told to come back, which changes no work. The attempt has no meaning.
    Rejected {
        /// The digest of the request.
        digest: u64,
        /// The time after which it comes back, in milliseconds; 0 once it has.
        return_ms: u32,
    },
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
    window: Window,
    /// The engines that servers run, as far as they are known.
    engines: HashMap<u64, Rc<Engine>>,
}

#[derive(Clone, Debug)]
struct Job {
    placement: Placement,
    placed_at: Moment,
    is_started: bool,
}

impl Workload {
    /// Applies an update of this entry or of another one.
    pub fn apply(&mut self, now: Moment, update: &Update) {
        match &update.change {
            Change::Placed(placement) => {
                if !self.jobs.contains_key(&update.job) {
                    self.lengthen_passes(now, placement);
                }
                self.place(now, update.job, placement);
            }
            Change::Started => {
                let known = self.jobs.get(&update.job);
                let is_first = known.is_some_and(|it| !it.is_started);
                self.start(now, update.job);
                if is_first {
                    self.record_first_token(now, update.job);
                }
            }
            Change::Slowed(factor) => self.slow(now, update.job, (*factor).into()),
            Change::Limited { server, per_s } => {
                self.rates.record_report(now, *server, (*per_s).into());
            }
            Change::Ended => self.end(now, update.job),
            Change::Rejected { .. } => {}
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

    /// Returns, for each request of an entry, the keys of the servers that work on it.
    pub fn servers_of(&self, entry: Incarnation) -> Vec<Vec<u64>> {
        let own = self.jobs.iter().filter(|it| it.0.entry == entry);
        let servers = own.map(|it| {
            it.1.placement
                .parts
                .iter()
                .map(|part| part.server)
                .collect()
        });
        servers.collect()
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
            let is_started = snapshot.started.contains(&update.job.number);
            match &update.change {
                // When its first token came, and how long the passes were before, is not known.
                Change::Placed(placement) if is_started => self.place(now, update.job, placement),
                _ => self.apply(now, update),
            }
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

    /// Returns the placement of a request in progress.
    pub fn placement(&self, job: JobId) -> Option<&Placement> {
        self.jobs.get(&job).map(|it| &it.placement)
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

    /// Returns the requests that were lately placed, which count against the bounds of cold servers.
    pub fn window(&self) -> &Window {
        &self.window
    }

    /// Returns the requests that were lately placed, to record what becomes of those of this entry.
    pub fn window_mut(&mut self) -> &mut Window {
        &mut self.window
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
        self.window.expire(now);
    }

    fn place(&mut self, now: Moment, job: JobId, placement: &Placement) {
        if self.jobs.contains_key(&job) {
            return;
        }
        let is_engine = |server| self.engines.contains_key(&server);
        let (passes, service_ms) = (placement.passes.work(), placement.service_ms.work());
        for (index, part) in placement.parts.iter().enumerate() {
            self.rates.record_placed(now, part.server);
            let attempt = (job.entry, job.number);
            self.window.record_placed(now, part.server, attempt);
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
                on_time: is_engine(part.server).then_some(1.0),
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
