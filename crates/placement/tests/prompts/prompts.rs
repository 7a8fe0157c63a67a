//! Plays the prompts of the larger deployment on modelled engines, each placed at once by a shared view of
//! the work. Callers disconnect after a long silence.

#[path = "../engines/engines.rs"]
pub mod engines;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use domain::key::Incarnation;
use placement::Expectation;
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

pub const SLOTS: usize = 12;
const MEMORY_TOKENS: u64 = 197_200;
const STEPS_PER_PASS: u32 = 43;
/// The share of its value that a late response keeps.
const LATE_SHARE: f64 = 0.25;
/// How often callers notice that they have received nothing for too long.
const LEAVE_INTERVAL_MS: u64 = 10;

/// A kind of prompts.
#[derive(Debug)]
pub struct Kind {
    pub name: &'static str,
    per_s: f64,
    tokens: std::ops::Range<u64>,
    target_ms: u64,
    pause_ms: u64,
    /// The factor of its value in plans by its route's priority.
    weight: f64,
}

pub const KINDS: [Kind; 3] = [
    Kind {
        name: "short",
        per_s: 74.9,
        tokens: 420..9_500,
        target_ms: 250,
        pause_ms: 250,
        weight: 1.0,
    },
    Kind {
        name: "medium",
        per_s: 8.85,
        tokens: 20_000..70_000,
        target_ms: 1_500,
        pause_ms: 600,
        weight: 0.5,
    },
    Kind {
        name: "long",
        per_s: 3.15,
        tokens: 120_000..260_000,
        target_ms: 6_000,
        pause_ms: 1_000,
        weight: 0.25,
    },
];

impl Kind {
    fn silence_ms(&self) -> u64 {
        2_000.max(self.target_ms * 4).max(self.pause_ms * 8)
    }
}

/// Which requests arrive.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub played_ms: u64,
    /// How many times its usual rate each kind has in a burst.
    pub burst: [f64; 3],
    /// When the burst begins and ends.
    pub burst_ms: (u64, u64),
}

/// Whether plans know what running requests still have to lose.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Basis {
    /// All count as on time.
    Equal,
    /// Each counts by the probability that it is still on time.
    OnTime,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    pub kind: usize,
    pub tokens: u64,
    pub arrived_ms: u64,
    first_token_ms: Option<u64>,
    longest_pause_ms: u64,
    /// When the caller last received an event, or sent its request.
    last_event_ms: u64,
    parts: Vec<u64>,
    parts_left: usize,
    has_left: bool,
    has_ended: bool,
}

impl Request {
    fn value(&self) -> f64 {
        1.0 + self.tokens as f64 / 1e4
    }

    /// Returns whether the whole response came within the limits.
    pub fn is_in_time(&self) -> bool {
        let kind = &KINDS[self.kind];
        let target_at = self.arrived_ms + kind.target_ms;
        !self.has_left
            && self.first_token_ms.is_some_and(|it| it <= target_at)
            && self.longest_pause_ms <= kind.pause_ms
    }

    /// Returns the share of its value that the caller gets.
    fn worth(&self) -> f64 {
        match self.first_token_ms {
            _ if self.has_left => 0.0,
            None => 0.0,
            Some(_) if self.is_in_time() => 1.0,
            Some(_) => LATE_SHARE,
        }
    }
}

pub struct Fleet {
    engine: Engine,
    pub servers: Servers,
    pub workload: Workload,
    running: BTreeMap<u64, Running>,
    pub requests: Vec<Request>,
    random: StdRng,
}

impl Fleet {
    pub fn new(basis: Basis, count: usize, seed: u64) -> Self {
        let servers = engines::servers(count, SLOTS);
        let running = servers.all().map(|it| (it.key(), Running::default()));
        let running: BTreeMap<u64, Running> = running.collect();
        let mut engine = engines::engine(SLOTS, MEMORY_TOKENS);
        engine.steps_per_pass = STEPS_PER_PASS;
        let mut workload = Workload::default();
        if basis == Basis::OnTime {
            let shared = Rc::new(engine.clone());
            let engines = running.keys().map(|it| (*it, shared.clone()));
            workload.set_engines(engines.collect::<HashMap<_, _>>());
        }
        Self {
            engine,
            servers,
            workload,
            running,
            requests: Vec::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Plays the load until all callers have their response or have left.
    pub fn play(&mut self, load: &Load, seed: u64) {
        let mut arrivals = StdRng::seed_from_u64(seed);
        let mut millis = 0;
        while millis < load.played_ms || !self.is_over() {
            if millis < load.played_ms {
                self.bring(millis, load, &mut arrivals);
            }
            for key in self.running.keys().copied().collect::<Vec<_>>() {
                self.run(millis, key);
            }
            if millis.is_multiple_of(LEAVE_INTERVAL_MS) {
                self.leave(millis);
            }
            millis += 1;
        }
    }

    fn is_over(&self) -> bool {
        self.requests.iter().all(|it| it.has_left || it.has_ended)
    }

    fn bring(&mut self, millis: u64, load: &Load, arrivals: &mut StdRng) {
        let is_burst = (load.burst_ms.0..load.burst_ms.1).contains(&millis);
        for (index, kind) in KINDS.iter().enumerate() {
            let factor = if is_burst { load.burst[index] } else { 1.0 };
            if arrivals.random::<f64>() < kind.per_s * factor / 1e3 {
                let tokens = arrivals.random_range(kind.tokens.clone());
                let passes = arrivals.random_range(18..37);
                self.arrive(millis, index, tokens, passes);
            }
        }
    }

    fn arrive(&mut self, millis: u64, index: usize, tokens: u64, passes: u32) {
        let kind = &KINDS[index];
        let target = Duration::from_millis(kind.target_ms);
        let mut request = Request {
            kind: index,
            tokens,
            arrived_ms: millis,
            first_token_ms: None,
            longest_pause_ms: 0,
            last_event_ms: millis,
            parts: Vec::new(),
            parts_left: 0,
            has_left: false,
            has_ended: false,
        };
        let need = Need {
            prompt_tokens: tokens,
            expected_answer_tokens: self.engine.usual_answer_tokens,
            target,
            initial_target: target,
            pause: Some(Duration::from_millis(kind.pause_ms)),
            value: request.value() * kind.weight,
        };
        let plan = plan::choose(
            at(millis),
            &self.engine,
            self.servers.usable(at(millis), "llm"),
            &self.workload,
            &need,
            &[],
            &mut self.random,
        );
        let plan = plan.expect("a plan");
        // A request whose caller would leave before the first event is rejected.
        request.has_left = plan.first_token > Duration::from_millis(kind.silence_ms());
        if request.has_left {
            self.requests.push(request);
            return;
        }
        request.parts = plan.parts.iter().map(|it| it.server).collect();
        request.parts_left = plan.parts.len();
        self.requests.push(request);
        self.send(millis, &need, &plan, passes);
    }

    fn send(&mut self, millis: u64, need: &Need, plan: &Plan, passes: u32) {
        let job = job(self.requests.len() - 1);
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
                passes_left: passes,
                is_helper: number > 0,
            });
        }
        let placed = Placement {
            target_ms: need.target.as_millis() as u32,
            pause_ms: need.pause.map_or(0, |it| it.as_millis() as u32),
            value: need.value as f32,
            timeliness: plan.timeliness,
            passes: Expectation::default(),
            service_ms: Expectation::default(),
            parts: plan.parts.clone(),
        };
        self.tell(millis, job, Change::Placed(placed));
    }

    fn tell(&mut self, millis: u64, job: JobId, change: Change) {
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
            request.last_event_ms = millis;
        }
        for job in pass.read {
            let request = &mut self.requests[job.number as usize];
            request.parts_left -= 1;
            if request.parts_left == 0 {
                request.first_token_ms = Some(millis);
                request.last_event_ms = millis;
                self.tell(millis, job, Change::Started);
            }
        }
        for job in pass.ended {
            self.requests[job.number as usize].has_ended = true;
            self.tell(millis, job, Change::Ended);
        }
    }

    /// Ends the requests whose callers have received nothing for too long.
    fn leave(&mut self, millis: u64) {
        for index in 0..self.requests.len() {
            let request = &mut self.requests[index];
            let silence_ms = millis - request.last_event_ms;
            if request.has_left
                || request.has_ended
                || silence_ms < KINDS[request.kind].silence_ms()
            {
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
}

/// Returns the share in time of each kind.
pub fn in_time(requests: &[Request]) -> [f64; 3] {
    std::array::from_fn(|kind| {
        let of = requests.iter().filter(|it| it.kind == kind);
        let met = of.clone().filter(|it| it.is_in_time()).count();
        met as f64 / of.count().max(1) as f64
    })
}

/// Returns the share of the value of all requests that callers get.
pub fn worth(requests: &[Request]) -> f64 {
    let total: f64 = requests.iter().map(Request::value).sum();
    let gained: f64 = requests.iter().map(|it| it.value() * it.worth()).sum();
    gained / total
}

/// Returns the share of callers that disconnected or were rejected.
pub fn lost(requests: &[Request]) -> f64 {
    let lost = requests.iter().filter(|it| it.has_left).count();
    lost as f64 / requests.len().max(1) as f64
}

fn job(index: usize) -> JobId {
    JobId {
        entry: Incarnation(1),
        number: index as u64,
    }
}
