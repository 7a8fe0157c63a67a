//! Plays a load on modelled engines, with several instances that share one view of the work. The same
//! callers are played with and without admission.

#[path = "../../../placement/tests/engines/engines.rs"]
pub mod engines;
pub mod load;
pub mod request;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use admission::Decision;
use admission::Queue;
use admission::RetryTime;
use admission::Returns;
use admission::decision::Bounds;
use admission::queue::Ahead;
use admission::queue::Rank;
use admission::queue::Reason;
use domain::key::Incarnation;
use placement::JobId;
use placement::Plan;
use placement::Servers;
use placement::Update;
use placement::Workload;
use placement::plan;
use placement::plan::Need;
use placement::workload::Change;
use placement::workload::Placement;
use placement::workload::Timeliness;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::Engine;

use self::engines::Running;
use self::engines::Task;
use self::engines::at;
use self::load::Arrival;
use self::load::INSTANCES;
pub use self::request::Priorities;
pub use self::request::Request;

pub const SLOTS: usize = 12;
const MEMORY_TOKENS: u64 = 197_200;
/// How often instances plan waiting requests again, and how many each time.
const TICK_MS: u64 = 40;
const CHANGE_MS: u64 = 10;
const PLANS_PER_TICK: usize = 4;
/// The delay that was told before there was admission, and its spread.
const FIXED_DELAY: Duration = Duration::from_millis(600);
/// The time for which a caller waits for the whole answer.
const TIMEOUT_MS: u64 = 15_000;

/// How requests are admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each is placed at once.
    AtOnce,
    /// As `admission` decides.
    Admission,
}

/// Whose use of engine time instances order organisations by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// That of the requests which they placed themselves.
    Own,
    /// That of all requests.
    All,
}

/// An instance and the requests that wait at it.
#[derive(Default)]
struct Instance {
    queue: Queue,
    returns: Returns,
    /// When each waiting request is planned again at the latest.
    until: BTreeMap<u64, u64>,
    window: u64,
    plans: usize,
    planned_ms: u64,
    has_change: bool,
}

pub struct Fleet {
    policy: Policy,
    priorities: Priorities,
    pub knowledge: Knowledge,
    engine: Engine,
    servers: Servers,
    workload: Workload,
    running: BTreeMap<u64, Running>,
    instances: Vec<Instance>,
    pub requests: Vec<Request>,
    /// Callers that come back, by the time.
    returning: BTreeMap<u64, Vec<usize>>,
    random: StdRng,
    pub plans: usize,
}

impl Fleet {
    pub fn new(policy: Policy, priorities: Priorities, engines: usize, seed: u64) -> Self {
        let servers = engines::servers(engines, SLOTS);
        let running = servers.all().map(|it| (it.key(), Running::default()));
        let engine = engines::engine(SLOTS, MEMORY_TOKENS);
        let shared = Rc::new(engine.clone());
        let mut workload = Workload::default();
        // As the gateway does, which has the probability to be on time only where routes differ in priority.
        if priorities == Priorities::ByKind {
            let engines = servers.all().map(|it| (it.key(), shared.clone()));
            workload.set_engines(engines.collect());
        }
        Self {
            policy,
            priorities,
            knowledge: Knowledge::Own,
            engine,
            running: running.collect(),
            servers,
            workload,
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            requests: Vec::new(),
            returning: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
            plans: 0,
        }
    }

    /// Plays these arrivals until all callers have their answer or have left.
    pub fn play(&mut self, arrivals: &[Arrival]) {
        let mut arrivals = arrivals.iter().peekable();
        let mut millis = 0;
        let mut end_ms = 0;
        while arrivals.peek().is_some() || millis < end_ms {
            while let Some(arrival) = arrivals.next_if(|it| it.at_ms <= millis) {
                end_ms = millis + TIMEOUT_MS;
                self.requests.push(Request {
                    arrival: arrival.clone(),
                    came_ms: millis,
                    is_returned: false,
                    has_come_back: false,
                    first_token_ms: None,
                    longest_pause_ms: 0,
                    parts: Vec::new(),
                    parts_left: 0,
                    has_left: false,
                    rejected_after_ms: None,
                    was_rejected: false,
                    is_placed: false,
                    harm_loss: None,
                });
                self.arrive(millis, self.requests.len() - 1);
            }
            for index in self.returning.remove(&millis).unwrap_or_default() {
                self.come_back(millis, index);
            }
            for key in self.running.keys().copied().collect::<Vec<_>>() {
                self.run(millis, key);
            }
            self.leave(millis);
            for instance in 0..INSTANCES {
                self.tick(millis, instance);
            }
            millis += 1;
        }
    }

    fn come_back(&mut self, millis: u64, index: usize) {
        let request = &mut self.requests[index];
        request.came_ms = millis;
        request.has_come_back = true;
        request.harm_loss = None;
        // Callers connect to a random instance.
        request.arrival.instance = self.random.random_range(0..INSTANCES);
        let returns = &mut self.instances[request.arrival.instance].returns;
        request.is_returned = returns.take(at(millis), index as u64);
        for instance in &mut self.instances {
            instance.returns.forget(index as u64);
        }
        self.arrive(millis, index);
    }

    fn arrive(&mut self, millis: u64, index: usize) {
        let rank = self.rank(index);
        let instance = self.requests[index].arrival.instance;
        let ahead = self.instances[instance].queue.ahead(at(millis), &rank);
        self.plan(millis, index, ahead);
    }

    fn rank(&self, index: usize) -> Rank {
        let request = &self.requests[index];
        Rank {
            level: request.level(self.priorities),
            is_returned: request.is_returned,
            organisation: request.arrival.organisation as u64,
            arrived: at(request.came_ms),
            target: Duration::from_millis(request.kind().target_ms),
        }
    }

    /// Plans a request and does what is decided on it.
    fn plan(&mut self, millis: u64, index: usize, ahead: Ahead) {
        let now = at(millis);
        let rank = self.rank(index);
        let request = &self.requests[index];
        let (kind, came_ms) = (request.kind(), request.came_ms);
        let instance = request.arrival.instance;
        let tokens = request.arrival.tokens;
        let need = Need {
            prompt_tokens: tokens,
            expected_answer_tokens: self.engine.usual_answer_tokens,
            target: now.until(at(came_ms + kind.target_ms)),
            initial_target: Duration::from_millis(kind.target_ms),
            pause: Some(Duration::from_millis(kind.pause_ms)),
            value: request.weighed_value(self.priorities),
        };
        let plan = plan::choose(
            now,
            &self.engine,
            self.servers.usable(now, "llm"),
            &self.workload,
            &need,
            &[],
            &mut self.random,
        );
        self.plans += 1;
        let plan = plan.expect("a plan");
        let first_event =
            Duration::from_millis((came_ms + kind.silence_ms()).saturating_sub(millis));
        if self.policy == Policy::AtOnce {
            if plan.first_token > first_event {
                let delay = FIXED_DELAY + FIXED_DELAY.mul_f64(self.random.random());
                return self.reject(millis, index, delay);
            }
            return self.send(millis, index, &need, &plan);
        }
        let bounds = Bounds {
            first_event,
            slots: SLOTS,
            all_slots: SLOTS,
            weight: admission::weight(rank.level),
            is_last_chance: rank.is_returned,
            harm_loss: self.requests[index].harm_loss,
        };
        let queue = &mut self.instances[instance].queue;
        let ahead = match plan.timeliness {
            Timeliness::Late => queue.ahead_of_late(),
            Timeliness::OnTime => ahead,
        };
        match admission::decide(now, &need, &plan, ahead, bounds) {
            Decision::Place => {
                queue.leave(now, index as u64);
                self.instances[instance].until.remove(&(index as u64));
                let cost_ms = self.engine.prefill_ms(tokens);
                for (number, it) in self.instances.iter_mut().enumerate() {
                    if number == instance || self.knowledge == Knowledge::All {
                        it.queue.record_placed(now, rank.organisation, cost_ms);
                    }
                }
                self.send(millis, index, &need, &plan);
            }
            Decision::Wait { until, reason } => {
                if reason == Reason::Harm {
                    self.requests[index].harm_loss.get_or_insert(plan.loss);
                }
                queue.wait(now, index as u64, rank, reason);
                let until = millis + now.until(until).as_millis() as u64;
                let waiting = &mut self.instances[instance].until;
                waiting.insert(index as u64, until);
            }
            Decision::Reject { room } => {
                queue.leave(now, index as u64);
                let left = Duration::from_millis((came_ms + TIMEOUT_MS).saturating_sub(millis));
                let retry = RetryTime::new(room, queue.drain_time(), left);
                self.instances[instance].until.remove(&(index as u64));
                let delay = retry.delay(self.random.random());
                for instance in &mut self.instances {
                    instance.returns.record(now, index as u64, delay);
                }
                self.reject(millis, index, delay);
            }
        }
    }

    /// Rejects a request, whose caller comes back once if the delay is short enough.
    fn reject(&mut self, millis: u64, index: usize, delay: Duration) {
        let request = &mut self.requests[index];
        let left = Duration::from_millis((request.came_ms + TIMEOUT_MS).saturating_sub(millis));
        let is_last = request.was_rejected || delay > left / 3;
        request.was_rejected = true;
        request.rejected_after_ms = Some(millis - request.came_ms);
        if is_last {
            request.has_left = true;
            return;
        }
        let delay = match request.arrival.ignores_delay {
            true => 1,
            false => delay.as_millis() as u64 + 1,
        };
        let returning = self.returning.entry(millis + delay).or_default();
        returning.push(index);
    }

    fn send(&mut self, millis: u64, index: usize, need: &Need, plan: &Plan) {
        let job = job(index);
        let request = &mut self.requests[index];
        request.is_placed = true;
        request.parts_left = plan.parts.len();
        request.parts = plan.parts.iter().map(|it| it.server).collect();
        for (number, part) in plan.parts.iter().enumerate() {
            let running = self.running.get_mut(&part.server).expect("an engine");
            running.waiting.push(Task {
                job,
                rank: match plan.timeliness {
                    Timeliness::OnTime => 3,
                    Timeliness::Late => 7,
                },
                prefill_ms: f64::from(part.prefill_ms),
                tokens: u64::from(part.tokens),
                passes_left: request.arrival.passes,
                is_helper: number > 0,
            });
        }
        let placed = Placement {
            target_ms: need.target.as_millis() as u32,
            pause_ms: need.pause.map_or(0, |it| it.as_millis() as u32),
            value: need.value as f32,
            timeliness: plan.timeliness,
            passes: placement::Expectation::default(),
            service_ms: placement::Expectation::default(),
            parts: plan.parts.clone(),
        };
        self.tell(millis, job, Change::Placed(placed));
    }

    fn tell(&mut self, millis: u64, job: JobId, change: Change) {
        if matches!(change, Change::Started | Change::Ended) {
            for instance in &mut self.instances {
                instance.has_change = true;
            }
        }
        self.workload.apply(at(millis), &Update { job, change });
    }

    /// Runs an engine, and records what it did.
    fn run(&mut self, millis: u64, key: u64) {
        let running = self.running.get_mut(&key).expect("an engine");
        let Some(pass) = running.run(millis, &self.engine) else {
            return;
        };
        for job in pass.wrote {
            let request = &mut self.requests[job.number as usize];
            request.longest_pause_ms = request.longest_pause_ms.max(pass.length_ms);
        }
        for job in pass.read {
            let request = &mut self.requests[job.number as usize];
            request.parts_left -= 1;
            if request.parts_left == 0 {
                request.first_token_ms = Some(millis);
                self.tell(millis, job, Change::Started);
            }
        }
        for job in pass.ended {
            self.tell(millis, job, Change::Ended);
        }
    }

    /// Ends the requests whose callers have received nothing for too long.
    fn leave(&mut self, millis: u64) {
        if !millis.is_multiple_of(CHANGE_MS) {
            return;
        }
        for index in 0..self.requests.len() {
            let request = &mut self.requests[index];
            let is_due = millis >= request.came_ms + request.kind().silence_ms();
            let is_waiting = request.is_placed && request.first_token_ms.is_none();
            if request.has_left || !is_due || !is_waiting {
                continue;
            }
            request.has_left = true;
            for part in std::mem::take(&mut request.parts) {
                let running = self.running.get_mut(&part).expect("an engine");
                running.cancel(job(index));
            }
            self.tell(millis, job(index), Change::Ended);
        }
    }

    /// Plans requests that wait at an instance again, those at the head of its queue first.
    fn tick(&mut self, millis: u64, number: usize) {
        let instance = &mut self.instances[number];
        if instance.until.is_empty() || millis < instance.planned_ms + CHANGE_MS {
            return self.tick_due(millis, number);
        }
        if millis >= instance.window + TICK_MS {
            instance.window = millis;
            instance.plans = 0;
        }
        let interval = match std::mem::take(&mut instance.has_change) {
            true => CHANGE_MS,
            false => TICK_MS,
        };
        let limit = PLANS_PER_TICK.saturating_sub(instance.plans);
        let interval = Duration::from_millis(interval);
        let due = instance.queue.due(at(millis), interval, limit);
        if !due.is_empty() {
            instance.plans += due.len();
            instance.planned_ms = millis;
        }
        for ticket in due {
            self.plan(millis, ticket as usize, Ahead::default());
        }
        self.tick_due(millis, number);
    }

    /// Plans the requests that can't wait any longer.
    fn tick_due(&mut self, millis: u64, number: usize) {
        let until = &self.instances[number].until;
        let due = until.iter().filter(|it| *it.1 <= millis).map(|it| *it.0);
        for ticket in due.collect::<Vec<_>>() {
            self.plan(millis, ticket as usize, Ahead::default());
        }
    }
}

fn job(index: usize) -> JobId {
    JobId {
        entry: Incarnation(1),
        number: index as u64,
    }
}
