//! The work that all entries have placed on the backend servers.

use std::collections::HashMap;
use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
use route::Engine;

use crate::slowdown::Slowdowns;

/// The time after which work counts as ended if nobody said so; longer than any route's limit.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(40);
/// Reading beside writers takes so much longer than alone, since each of its steps writes a token
/// for them too; 1.02 ms beside the 10 ms in which a step reads its chunk.
const READ_STRETCH: f64 = 1.1;

/// A request that an entry has placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId {
    /// The entry.
    pub entry: Incarnation,
    /// Its own number for the request and the attempt.
    pub number: u64,
}

/// What an entry tells the others.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// The request.
    pub job: JobId,
    /// What happened to it.
    pub change: Change,
}

/// All requests that an entry has placed and that go on.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// The entry.
    pub entry: Incarnation,
    /// What it has placed.
    pub placed: Vec<Update>,
    /// The numbers of the requests whose first token has come.
    pub started: Vec<u64>,
}

/// What happened to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// It was sent to some servers.
    Placed(Placement),
    /// Its first token came.
    Started,
    /// The server that answers takes so many times longer than published.
    Slowed(f32),
    /// It ended or was given up.
    Ended,
}

/// A request and the servers that work on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The time left until the first token is late, in milliseconds.
    pub target_ms: u32,
    /// The longest pause between two events that is still on time, in milliseconds; 0 for none.
    pub pause_ms: u32,
    /// What it is worth to its caller, a short request being worth 1.
    pub value: f32,
    /// Whether it can still be in time.
    pub timeliness: Timeliness,
    /// The servers. The first one writes the answer.
    pub parts: Vec<Part>,
}

/// Whether a request can still be in time. One that can't yields to those that can: it has lost most
/// of its value already, and they have not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeliness {
    /// Its first token is expected in time.
    OnTime,
    /// Its first token will be late.
    Late,
}

/// What one server does for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// The server's key.
    pub server: u64,
    /// The time that it reads, in milliseconds.
    pub prefill_ms: f32,
    /// Tokens that lie in its memory. Those of a server that only reads are set aside by a
    /// reservation and stay there until the request ends.
    pub tokens: u32,
}

/// The work that all entries have placed.
#[derive(Clone, Debug, Default)]
pub struct Workload {
    queues: HashMap<u64, Queue>,
    jobs: HashMap<JobId, Job>,
    slowdowns: Slowdowns,
}

#[derive(Clone, Debug)]
struct Job {
    placed: Placement,
    at: Moment,
    is_started: bool,
}

/// The work on one server.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    tasks: Vec<Task>,
    /// When the server was last seen to take up the next reading.
    advanced: Moment,
}

/// One server's work on one request.
#[derive(Clone, Debug)]
pub struct Task {
    /// The request.
    pub job: JobId,
    /// When it was placed.
    pub placed: Moment,
    /// When its first token is late.
    pub target_at: Moment,
    /// The longest pause that is still on time, in milliseconds.
    pub pause_ms: Option<f64>,
    /// What it is worth to its caller.
    pub value: f64,
    /// The time that the server reads, in milliseconds.
    pub prefill_ms: f64,
    /// Whether it could still be in time when it was placed.
    pub timeliness: Timeliness,
    /// Tokens that lie in the server's memory.
    pub tokens: u64,
    /// Whether the first token has come.
    pub is_decoding: bool,
    /// Whether another server writes the answer.
    pub is_helper: bool,
}

impl Workload {
    /// Takes a note of this entry or of another one.
    pub fn apply(&mut self, now: Moment, note: &Update) {
        match &note.change {
            Change::Placed(placed) => self.place(now, note.job, placed),
            Change::Started => self.start(now, note.job),
            Change::Slowed(factor) => self.pace(now, note.job, (*factor).into()),
            Change::Ended => self.end(now, note.job),
        }
    }

    /// Returns the snapshot of an entry.
    pub fn snapshot(&self, entry: Incarnation) -> Snapshot {
        let own = self.jobs.iter().filter(|it| it.0.entry == entry);
        let started = own.clone().filter(|it| it.1.is_started);
        Snapshot {
            entry,
            started: started.map(|it| it.0.number).collect(),
            placed: own
                .map(|(job, it)| Update {
                    job: *job,
                    change: Change::Placed(it.placed.clone()),
                })
                .collect(),
        }
    }

    /// Takes a snapshot: makes up for notes that were lost.
    pub fn reconcile(&mut self, now: Moment, snapshot: &Snapshot) {
        let is_over = |it: &&JobId| {
            it.entry == snapshot.entry && !snapshot.placed.iter().any(|note| note.job == **it)
        };
        let over: Vec<JobId> = self.jobs.keys().filter(is_over).copied().collect();
        for job in over {
            self.end(now, job);
        }
        for note in &snapshot.placed {
            self.apply(now, note);
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

    /// Returns what is known of engines that are slow.
    pub fn slowdowns(&self) -> &Slowdowns {
        &self.slowdowns
    }

    /// Forgets the work of an entry that is gone: its connections have ended.
    pub fn remove_entry(&mut self, now: Moment, entry: Incarnation) {
        let jobs = self.jobs.keys().filter(|it| it.entry == entry);
        for job in jobs.copied().collect::<Vec<_>>() {
            self.end(now, job);
        }
    }

    /// Forgets the work on a server that is gone.
    pub fn remove_server(&mut self, server: u64) {
        self.queues.remove(&server);
    }

    /// Forgets work of which nothing was heard for too long. To be called every few seconds.
    pub fn expire(&mut self, now: Moment) {
        let is_old = |it: &&JobId| now.since(self.jobs[*it].at) >= FORGOTTEN_AFTER;
        let old: Vec<JobId> = self.jobs.keys().filter(is_old).copied().collect();
        for job in old {
            self.end(now, job);
        }
        self.queues.retain(|_, it| !it.tasks.is_empty());
        self.slowdowns.expire(now);
    }

    fn place(&mut self, now: Moment, job: JobId, placed: &Placement) {
        if self.jobs.contains_key(&job) {
            return;
        }
        for (index, part) in placed.parts.iter().enumerate() {
            let queue = self.queues.entry(part.server).or_default();
            if !queue.tasks.iter().any(Task::is_prefilling) {
                queue.advanced = now;
            }
            queue.tasks.push(Task {
                job,
                placed: now,
                target_at: now + Duration::from_millis(placed.target_ms.into()),
                pause_ms: (placed.pause_ms > 0).then_some(placed.pause_ms.into()),
                value: placed.value.into(),
                timeliness: placed.timeliness,
                prefill_ms: part.prefill_ms.into(),
                tokens: part.tokens.into(),
                is_decoding: false,
                is_helper: index > 0,
            });
        }
        self.jobs.insert(
            job,
            Job {
                placed: placed.clone(),
                at: now,
                is_started: false,
            },
        );
    }

    fn start(&mut self, now: Moment, job: JobId) {
        let Some(known) = self.jobs.get_mut(&job) else {
            return;
        };
        known.is_started = true;
        for part in &known.placed.parts {
            let Some(queue) = self.queues.get_mut(&part.server) else {
                continue;
            };
            queue.advanced = now;
            // A helper's part is over, unless it holds memory: then it goes on with each step.
            let is_over = |it: &Task| it.job == job && it.is_helper && it.tokens == 0;
            queue.tasks.retain(|it| !is_over(it));
            for task in queue.tasks.iter_mut().filter(|it| it.job == job) {
                task.is_decoding = true;
            }
        }
    }

    fn pace(&mut self, now: Moment, job: JobId, factor: f64) {
        let known = self.jobs.get(&job);
        if let Some(first) = known.and_then(|it| it.placed.parts.first()) {
            self.slowdowns.set(now, first.server, factor);
        }
    }

    fn end(&mut self, now: Moment, job: JobId) {
        let Some(known) = self.jobs.remove(&job) else {
            return;
        };
        for part in &known.placed.parts {
            let Some(queue) = self.queues.get_mut(&part.server) else {
                continue;
            };
            let was_reading = queue
                .tasks
                .iter()
                .any(|it| it.job == job && it.is_prefilling());
            if was_reading {
                queue.advanced = now;
            }
            queue.tasks.retain(|it| it.job != job);
        }
    }
}

impl Task {
    /// Tells whether the server has still to read for the request.
    pub fn is_prefilling(&self) -> bool {
        !self.is_decoding
    }
}

impl Queue {
    /// Returns the work.
    pub fn tasks(&self) -> &[Task] {
        &self.tasks
    }

    /// Returns the milliseconds of reading that are still to be done ahead of a request of this
    /// timeliness.
    pub fn backlog_ms(&self, now: Moment, timeliness: Timeliness) -> f64 {
        let total = to_prefill_ms(self.ahead_of(timeliness));
        let done = now.since(self.advanced).as_secs_f64() * 1e3;
        (total - done).max(0.0)
    }

    /// Returns the work that goes ahead of a request of this timeliness.
    pub fn ahead_of(&self, timeliness: Timeliness) -> impl Iterator<Item = &Task> {
        self.tasks.iter().filter(move |it| {
            it.is_decoding || it.timeliness == Timeliness::OnTime || timeliness == Timeliness::Late
        })
    }

    /// Returns the number of requests that write, and the tokens that they hold.
    pub fn decoding(&self) -> (usize, u64) {
        let writing = self.tasks.iter().filter(|it| it.is_decoding);
        writing.fold((0, 0), |(count, tokens), it| {
            (count + 1, tokens + it.tokens)
        })
    }

    /// Returns the tokens in memory once all that is placed has been read.
    pub fn tokens(&self) -> u64 {
        self.tasks.iter().map(|it| it.tokens).sum()
    }

    /// Returns the requests in progress.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Tells whether nothing is in progress.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns the milliseconds of a pass in which everything is read that is still to be read.
    pub fn longest_pass_ms(&self, engine: &Engine) -> f64 {
        self.pass_ms(engine) + to_prefill_ms(self.tasks.iter())
    }

    /// Returns the milliseconds of a pass without what is read in it.
    pub fn pass_ms(&self, engine: &Engine) -> f64 {
        let (writers, tokens) = self.decoding();
        if writers == 0 {
            return 0.0;
        }
        engine.pass_ms(writers, tokens)
    }
}

/// Returns the milliseconds that reading for these tasks still takes, if none has begun.
fn to_prefill_ms<'a>(tasks: impl Iterator<Item = &'a Task>) -> f64 {
    let reading = tasks.filter(|it| it.is_prefilling());
    reading.map(|it| it.prefill_ms * READ_STRETCH).sum()
}
