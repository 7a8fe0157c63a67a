//! A fleet of instances that each place short prompts by their own view of the work, and servers of which
//! some are cold.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
use placement::Expectation;
use placement::JobId;
use placement::Plan;
use placement::Server;
use placement::Servers;
use placement::Update;
use placement::Workload;
use placement::plan;
use placement::plan::Need;
use placement::workload::Change;
use placement::workload::Part;
use placement::workload::Placement;
use placement::workload::Snapshot;
use placement::workload::Timeliness;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::ColdStart;
use route::Engine;

const COLD_PER_S: f64 = 18.0;
const SLOTS: usize = 12;
/// Requests that run on each warm server when the burst begins.
const BUSY_SLOTS: u64 = 12;
const DELAY_MS: u64 = 5;
const SNAPSHOT_INTERVAL_MS: u64 = 1_000;
const TARGET_MS: u64 = 250;
pub const BURST_MS: u64 = 2_000;
const BURST_REQUESTS: u64 = 480;
/// Servers to which one request is placed before it is given up.
const ATTEMPTS: usize = 4;
/// The connections that are open already, and the time that others take to open.
const OPEN_SHARE: f64 = 0.8;
const CONNECT_MS: std::ops::Range<u64> = 2..60;
/// How long instances have counted requests when the burst begins.
const COUNTED_MS: u64 = 5_000;

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000_000 + millis)
}

/// What happens in a played fleet.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub instances: usize,
    /// Instances that reach no other one.
    pub alone: usize,
    pub servers: usize,
    pub cold: usize,
    /// When one more instance joins.
    pub join_ms: Option<u64>,
    pub loss: f64,
    /// The time from the first token to the end of a response.
    pub response_ms: u64,
    pub seed: u64,
}

struct Instance {
    workload: Workload,
    is_alone: bool,
    joined_ms: u64,
}

/// Something that happens later.
enum Event {
    Heard(usize, Update),
    Reconciled(usize, Snapshot),
    Sent(usize, JobId, Request, Plan),
    Started(usize, JobId),
    Ended(usize, JobId),
}

#[derive(Clone, Debug)]
struct Request {
    arrived_ms: u64,
    tried: Vec<u64>,
}

pub struct Fleet {
    scenario: Scenario,
    engine: Engine,
    servers: Servers,
    cold: BTreeSet<u64>,
    instances: Vec<Instance>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    /// When requests arrived at each server.
    arrivals: BTreeMap<u64, Vec<u64>>,
    in_time: u64,
    pub refused: u64,
    pub withdrawn: u64,
    random: StdRng,
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
        let mut servers = Servers::default();
        let duration = Duration::from_secs(3);
        let cold_start = ColdStart {
            duration,
            per_s: COLD_PER_S,
        };
        servers.set_cold_starts([("llm".to_owned(), cold_start)].into());
        let mut cold = BTreeSet::new();
        for index in 0..scenario.servers {
            let is_cold = index < scenario.cold;
            let server = Server {
                id: format!("i-{index}"),
                started_ms: 1,
                service: "llm".to_owned(),
                address: ([10, 0, 0, index as u8], 80).into(),
                data_centre: "dc".to_owned(),
                sequence: 1,
                slots: SLOTS,
                is_leaving: false,
                cold_left: Some(if is_cold { duration } else { Duration::ZERO }),
            };
            if is_cold {
                cold.insert(server.key());
            }
            servers.add(at(0), server);
        }
        let engine = Engine {
            slots: SLOTS,
            memory_tokens: 197_200,
            steps_per_pass: 43,
            step_ms: 1.02,
            sequence_ms: 0.002_26,
            context_ms_per_k: 0.004_31,
            prefill_tokens_per_ms: 206.0,
            pairs_ms_per_m: 0.138,
            prefill_chunk: 2_048,
            usual_answer_tokens: 1_303,
        };
        let mut fleet = Self {
            scenario,
            engine,
            servers,
            cold,
            instances: Vec::new(),
            events: BTreeMap::new(),
            next: 0,
            arrivals: BTreeMap::new(),
            in_time: 0,
            refused: 0,
            withdrawn: 0,
            random: StdRng::seed_from_u64(scenario.seed),
        };
        for index in 0..scenario.instances {
            fleet.add_instance(0, index < scenario.alone);
        }
        fleet.fill_warm_servers();
        fleet
    }

    fn add_instance(&mut self, joined_ms: u64, is_alone: bool) {
        let mut workload = Workload::default();
        let counted_ms = if joined_ms == 0 { COUNTED_MS } else { 0 };
        let since = Moment::from_millis(1_000_000 + joined_ms - counted_ms);
        workload.window_mut().enable(since);
        let own = Incarnation(self.instances.len() as u64);
        workload.window_mut().set_own(own);
        self.instances.push(Instance {
            workload,
            is_alone,
            joined_ms,
        });
        self.refresh_shares();
    }

    fn refresh_shares(&mut self) {
        let expected = self.instances.len();
        let connected = self.instances.iter().filter(|it| !it.is_alone).count();
        for instance in &mut self.instances {
            let live = if instance.is_alone { 1 } else { connected };
            instance.workload.window_mut().set_share(live, expected);
        }
    }

    /// Places running requests on the warm servers, of which all instances know.
    fn fill_warm_servers(&mut self) {
        let keys: Vec<u64> = self.servers.all().map(|it| it.key()).collect();
        for key in keys {
            if self.cold.contains(&key) {
                continue;
            }
            for _ in 0..BUSY_SLOTS {
                let job = self.next_job(self.scenario.instances - 1);
                let placement = self.placement(vec![Part {
                    server: key,
                    prefill_ms: 25.0,
                    tokens: 6_000,
                }]);
                for instance in &mut self.instances {
                    let change = Change::Placed(placement.clone());
                    let earlier = Moment::from_millis(998_000);
                    instance.workload.apply(earlier, &Update { job, change });
                    let change = Change::Started;
                    instance.workload.apply(earlier, &Update { job, change });
                }
                let ended_ms = self.random.random_range(0..4_000);
                self.later(ended_ms, Event::Ended(self.scenario.instances - 1, job));
            }
        }
    }

    fn placement(&self, parts: Vec<Part>) -> Placement {
        Placement {
            target_ms: TARGET_MS as u32,
            pause_ms: 250,
            value: 1.5,
            timeliness: Timeliness::OnTime,
            passes: Expectation::default(),
            service_ms: Expectation::default(),
            parts,
        }
    }

    fn next_job(&mut self, instance: usize) -> JobId {
        self.next += 1;
        JobId {
            entry: Incarnation(instance as u64),
            number: self.next,
        }
    }

    fn later(&mut self, millis: u64, event: Event) {
        self.next += 1;
        self.events.insert((millis, self.next), event);
    }

    pub fn play(&mut self) {
        let mut arrivals: Vec<u64> = (0..BURST_REQUESTS)
            .map(|_| self.random.random_range(0..BURST_MS))
            .collect();
        arrivals.sort();
        for millis in 0..BURST_MS + 2_500 {
            if self.scenario.join_ms == Some(millis) {
                self.join(millis);
            }
            if millis % SNAPSHOT_INTERVAL_MS == 0 && millis > 0 {
                (0..self.instances.len()).for_each(|it| self.tell_snapshot(millis, it));
            }
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= millis
            {
                let event = entry.remove();
                self.handle(millis, event);
            }
            for _ in arrivals.iter().filter(|it| **it == millis) {
                let instance = self.random.random_range(0..self.instances.len());
                let request = Request {
                    arrived_ms: millis,
                    tried: Vec::new(),
                };
                self.place(millis, instance, request);
            }
        }
    }

    fn join(&mut self, millis: u64) {
        self.add_instance(millis, false);
        let joined = self.instances.len() - 1;
        for index in 0..joined {
            if self.instances[index].is_alone {
                continue;
            }
            let workload = &self.instances[index].workload;
            let snapshot = workload.snapshot(Incarnation(index as u64));
            self.later(millis + DELAY_MS, Event::Reconciled(joined, snapshot));
        }
    }

    fn handle(&mut self, millis: u64, event: Event) {
        match event {
            Event::Heard(instance, update) => {
                let workload = &mut self.instances[instance].workload;
                workload.apply(at(millis), &update);
            }
            Event::Reconciled(instance, snapshot) => {
                let workload = &mut self.instances[instance].workload;
                workload.reconcile(at(millis), &snapshot);
            }
            Event::Sent(instance, job, request, plan) => {
                self.send(millis, instance, job, request, plan);
            }
            Event::Started(instance, job) => self.tell(millis, instance, job, Change::Started),
            Event::Ended(instance, job) => self.tell(millis, instance, job, Change::Ended),
        }
    }

    /// Applies a change at its instance, and tells the others, which may miss it.
    fn tell(&mut self, millis: u64, instance: usize, job: JobId, change: Change) {
        let update = Update { job, change };
        let workload = &mut self.instances[instance].workload;
        workload.apply(at(millis), &update);
        for other in self.heard_by(millis, instance) {
            self.later(millis + DELAY_MS, Event::Heard(other, update.clone()));
        }
    }

    fn tell_snapshot(&mut self, millis: u64, instance: usize) {
        let entry = Incarnation(instance as u64);
        let snapshot = self.instances[instance].workload.snapshot(entry);
        for other in self.heard_by(millis, instance) {
            self.later(
                millis + DELAY_MS,
                Event::Reconciled(other, snapshot.clone()),
            );
        }
    }

    /// Returns the instances that a datagram reaches.
    fn heard_by(&mut self, millis: u64, instance: usize) -> Vec<usize> {
        if self.instances[instance].is_alone {
            return Vec::new();
        }
        let others = 0..self.instances.len();
        let reached = others.filter(|it| {
            let other = &self.instances[*it];
            *it != instance && !other.is_alone && other.joined_ms <= millis
        });
        reached
            .filter(|_| self.random.random::<f64>() >= self.scenario.loss)
            .collect()
    }

    fn place(&mut self, millis: u64, instance: usize, request: Request) {
        let deadline_ms = request.arrived_ms + TARGET_MS;
        let target = Duration::from_millis(deadline_ms.saturating_sub(millis));
        let need = Need {
            prompt_tokens: 4_960,
            expected_answer_tokens: 1_303,
            target,
            initial_target: Duration::from_millis(TARGET_MS),
            pause: Some(Duration::from_millis(250)),
            value: 1.5,
        };
        let workload = &self.instances[instance].workload;
        let plan = plan::choose(
            at(millis),
            &self.engine,
            self.servers.usable(at(millis), "llm"),
            workload,
            &need,
            &request.tried,
            &mut self.random,
        );
        let Some(plan) = plan.filter(|_| request.tried.len() < ATTEMPTS) else {
            self.refused += 1;
            return;
        };
        let job = self.next_job(instance);
        let change = Change::Placed(self.placement(plan.parts.clone()));
        self.tell(millis, instance, job, change);
        let connect_ms = if self.random.random::<f64>() < OPEN_SHARE {
            0
        } else {
            self.random.random_range(CONNECT_MS)
        };
        self.later(
            millis + connect_ms,
            Event::Sent(instance, job, request, plan),
        );
    }

    fn send(&mut self, millis: u64, instance: usize, job: JobId, mut request: Request, plan: Plan) {
        let attempt = (job.entry, job.number);
        let keys: Vec<u64> = plan.parts.iter().map(|it| it.server).collect();
        let window = self.instances[instance].workload.window_mut();
        let is_full = |it: &&u64| {
            self.cold.contains(it) && !window.is_allowed(at(millis), **it, COLD_PER_S, attempt)
        };
        if keys.iter().any(|it| is_full(&it)) {
            keys.iter()
                .for_each(|it| window.record_withdrawn(*it, attempt));
            self.withdrawn += 1;
            self.tell(millis, instance, job, Change::Ended);
            request.tried.push(keys[0]);
            self.place(millis, instance, request);
            return;
        }
        for key in keys {
            window.record_sent(at(millis), key, attempt);
            self.arrivals.entry(key).or_default().push(millis);
        }
        let first_ms = plan.first_token.as_millis() as u64;
        if millis + first_ms <= request.arrived_ms + TARGET_MS {
            self.in_time += 1;
        }
        self.later(millis + first_ms, Event::Started(instance, job));
        self.later(
            millis + first_ms + self.scenario.response_ms,
            Event::Ended(instance, job),
        );
    }

    /// Returns the most requests that a cold server got in any second.
    pub fn highest(&self) -> usize {
        let counts = self.cold.iter().filter_map(|it| self.arrivals.get(it));
        counts.map(|it| most_in_a_second(it)).max().unwrap_or(0)
    }

    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / BURST_REQUESTS as f64
    }
}

fn most_in_a_second(arrivals: &[u64]) -> usize {
    let mut sorted = arrivals.to_vec();
    sorted.sort();
    let spans = sorted.iter().map(|first| {
        let span = sorted
            .iter()
            .filter(|it| (*first..*first + 1_000).contains(it));
        span.count()
    });
    spans.max().unwrap_or(0)
}
