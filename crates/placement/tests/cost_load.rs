//! Plays a load of prompts in waves on engines that work as published, and compares placement by what
//! callers declare with that by what requests have cost, in the same run.

use std::collections::BTreeMap;
use std::time::Duration;

use cost::Estimator;
use cost::Extent;
use cost::Observation;
use domain::Moment;
use domain::key::Incarnation;
use placement::Expectation;
use placement::JobId;
use placement::Server;
use placement::Servers;
use placement::Update;
use placement::Workload;
use placement::plan;
use placement::plan::Need;
use placement::workload::Change;
use placement::workload::Placement;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::Engine;

const ENGINES: usize = 15;
const SLOTS: usize = 12;
const PLAYED_MS: u64 = 60_000;
const LEARNED_MS: u64 = 10_000;
/// Every ten seconds, a wave of four seconds brings this many times the usual requests.
const WAVE_FACTOR: f64 = 2.6;
/// The spread of answers and of hints, as standard deviations of logarithms.
const ANSWER_SPREAD: f64 = 0.7;
const HINT_SPREAD: f64 = 0.5;
const MAX_TOKENS: u64 = 8_000;

/// Requests of one route and organisation.
struct Kind {
    route: &'static str,
    organisation: &'static str,
    prompt_tokens: std::ops::Range<u64>,
    /// The median of its answers, in tokens.
    median: f64,
    target_ms: u64,
    pause_ms: u64,
    per_s: f64,
}

const KINDS: [Kind; 3] = [
    Kind {
        route: "short",
        organisation: "terse",
        prompt_tokens: 500..9_500,
        median: 400.0,
        target_ms: 300,
        pause_ms: 250,
        per_s: 14.0,
    },
    Kind {
        route: "short",
        organisation: "verbose",
        prompt_tokens: 500..9_500,
        median: 1_600.0,
        target_ms: 300,
        pause_ms: 250,
        per_s: 14.0,
    },
    Kind {
        route: "medium",
        organisation: "terse",
        prompt_tokens: 20_000..70_000,
        median: 1_000.0,
        target_ms: 1_500,
        pause_ms: 600,
        per_s: 1.5,
    },
];

/// The number of plays, each with other requests.
const SEEDS: u64 = 24;

#[derive(Clone, Copy, PartialEq)]
enum Basis {
    Declared,
    Observed,
}

/// A request at an engine.
struct Task {
    job: JobId,
    prefill_ms: f64,
    tokens: u64,
    passes_left: u64,
    is_helper: bool,
}

/// An engine that runs all waiting work in passes.
#[derive(Default)]
struct Running {
    waiting: Vec<Task>,
    prefilling: Vec<Task>,
    writing: Vec<Task>,
    pass_end: Option<u64>,
}

/// A request of a caller.
struct Request {
    kind: usize,
    observation: Observation,
    arrived_ms: u64,
    first_token_ms: Option<u64>,
    parts_left: usize,
}

struct Fleet {
    basis: Basis,
    estimator: Estimator,
    engine: Engine,
    servers: Servers,
    workload: Workload,
    running: BTreeMap<u64, Running>,
    requests: BTreeMap<JobId, Request>,
    random: StdRng,
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000_000 + millis)
}

impl Fleet {
    fn new(basis: Basis) -> Self {
        let mut servers = Servers::default();
        let mut running = BTreeMap::new();
        for index in 0..ENGINES {
            let server = Server {
                id: format!("i-{index}"),
                started_ms: 1,
                service: "llm".to_owned(),
                address: ([10, 0, 0, index as u8], 80).into(),
                data_centre: "dc".to_owned(),
                sequence: 1,
                slots: SLOTS,
                is_leaving: false,
                cold_left: None,
            };
            running.insert(server.key(), Running::default());
            servers.add(at(0), server);
        }
        let engine = Engine {
            slots: SLOTS,
            memory_tokens: 197_200,
            steps_per_pass: 68,
            step_ms: 1.02,
            sequence_ms: 0.002_26,
            context_ms_per_k: 0.004_31,
            prefill_tokens_per_ms: 206.0,
            pairs_ms_per_m: 0.138,
            prefill_chunk: 2_048,
            usual_answer_tokens: 1_500,
        };
        Self {
            basis,
            estimator: Estimator::default(),
            engine,
            servers,
            workload: Workload::default(),
            running,
            requests: BTreeMap::new(),
            random: StdRng::seed_from_u64(1),
        }
    }

    /// Plays the same requests for each basis.
    fn play(mut self, seed: u64, per_usual: f64) -> Self {
        let mut load = StdRng::seed_from_u64(seed);
        for millis in 0..PLAYED_MS {
            let factor = if millis % 10_000 < 4_000 {
                WAVE_FACTOR
            } else {
                1.0
            };
            for (index, kind) in KINDS.iter().enumerate() {
                if load.random::<f64>() < kind.per_s * per_usual * factor / 1e3 {
                    let tokens = load.random_range(kind.prompt_tokens.clone());
                    let answer = kind.median * (ANSWER_SPREAD * normal(&mut load)).exp();
                    let hint = answer * (HINT_SPREAD * normal(&mut load)).exp();
                    self.arrive(millis, index, tokens, answer, hint);
                }
            }
            for key in self.running.keys().copied().collect::<Vec<_>>() {
                self.run(millis, key);
            }
        }
        self
    }

    fn arrive(&mut self, millis: u64, index: usize, prompt_tokens: u64, answer: f64, hint: f64) {
        let kind = &KINDS[index];
        let steps = f64::from(self.engine.steps_per_pass);
        let passes = (answer.min(MAX_TOKENS as f64) / steps).ceil().max(1.0);
        let observation = Observation {
            service: "llm".to_owned(),
            route: kind.route.to_owned(),
            organisation: kind.organisation.to_owned(),
            prompt_tokens: prompt_tokens as u32,
            expected_tokens: hint as u32,
            limit: MAX_TOKENS as f32,
            cost: (passes * steps) as f32,
            extent: Extent::Whole,
        };
        let estimate = match self.basis {
            Basis::Declared => None,
            Basis::Observed => self.estimator.estimate(&observation.request()),
        };
        let target = Duration::from_millis(kind.target_ms);
        let need = Need {
            prompt_tokens,
            expected_answer_tokens: estimate.map_or(hint, |it| it.mean) as u64,
            target,
            initial_target: target,
            pause: Some(Duration::from_millis(kind.pause_ms)),
            value: 1.0 + prompt_tokens as f64 / 1e4,
        };
        let servers = self.servers.usable(at(millis), "llm");
        let plan = plan::choose(
            at(millis),
            &self.engine,
            servers,
            &self.workload,
            &need,
            &[],
            &mut self.random,
        );
        let plan = plan.expect("a plan");
        let job = JobId {
            entry: Incarnation(1),
            number: self.requests.len() as u64,
        };
        self.requests.insert(
            job,
            Request {
                kind: index,
                observation,
                arrived_ms: millis,
                first_token_ms: None,
                parts_left: plan.parts.len(),
            },
        );
        for (index, part) in plan.parts.iter().enumerate() {
            let running = self.running.get_mut(&part.server).expect("an engine");
            running.waiting.push(Task {
                job,
                prefill_ms: f64::from(part.prefill_ms),
                tokens: u64::from(part.tokens),
                passes_left: passes as u64,
                is_helper: index > 0,
            });
        }
        let placed = Placement {
            target_ms: need.target.as_millis() as u32,
            pause_ms: need.pause.map_or(0, |it| it.as_millis() as u32),
            value: need.value as f32,
            timeliness: plan.timeliness,
            parts: plan.parts.clone(),
            passes: estimate.map_or(Expectation::default(), |it| Expectation {
                mean: (it.mean / steps) as f32,
                upper: (it.upper / steps) as f32,
            }),
            service_ms: Expectation::default(),
        };
        self.tell(millis, job, Change::Placed(placed));
    }

    fn tell(&mut self, millis: u64, job: JobId, change: Change) {
        self.workload.apply(at(millis), &Update { job, change });
    }

    /// Ends the pass of an engine that is due, and begins the next one with all that waits.
    fn run(&mut self, millis: u64, key: u64) {
        let running = self.running.get_mut(&key).expect("an engine");
        if running.pass_end.is_some_and(|it| millis < it) {
            return;
        }
        if running.pass_end.take().is_some() {
            self.end_pass(millis, key);
        }
        let running = self.running.get_mut(&key).expect("an engine");
        let room = SLOTS.saturating_sub(running.writing.len());
        let count = running.waiting.len().min(room);
        running.prefilling = running.waiting.drain(..count).collect();
        let prefill_ms: f64 = running.prefilling.iter().map(|it| it.prefill_ms).sum();
        let tokens = running.writing.iter().map(|it| it.tokens).sum();
        let decode_ms = match running.writing.len() {
            0 => 0.0,
            writing => self.engine.pass_ms(writing, tokens),
        };
        if prefill_ms + decode_ms > 0.0 {
            let length = (prefill_ms * 1.1 + decode_ms).ceil() as u64;
            running.pass_end = Some(millis + length);
        }
    }

    fn end_pass(&mut self, millis: u64, key: u64) {
        let running = self.running.get_mut(&key).expect("an engine");
        for task in &mut running.writing {
            task.passes_left -= 1;
        }
        let ended: Vec<JobId> = running
            .writing
            .extract_if(.., |it| it.passes_left == 0)
            .map(|it| it.job)
            .collect();
        let read = std::mem::take(&mut running.prefilling);
        for task in read {
            let request = self.requests.get_mut(&task.job).expect("a request");
            request.parts_left -= 1;
            if request.parts_left == 0 {
                request.first_token_ms = Some(millis);
            }
            if !task.is_helper {
                let running = self.running.get_mut(&key).expect("an engine");
                running.writing.push(task);
            }
        }
        self.report(millis, ended);
    }

    /// Tells the workload which requests have begun and ended.
    fn report(&mut self, millis: u64, ended: Vec<JobId>) {
        let begun = self.requests.iter();
        let begun = begun.filter(|it| it.1.first_token_ms == Some(millis));
        let begun: Vec<JobId> = begun.map(|it| *it.0).collect();
        for job in begun {
            self.tell(millis, job, Change::Started);
        }
        for job in ended {
            self.estimator.observe(&self.requests[&job].observation);
            self.tell(millis, job, Change::Ended);
        }
    }

    /// Returns the share of requests in time, and the 95th percentile of the time to the first token, by
    /// kind.
    fn result(&self) -> [(f64, f64); 3] {
        std::array::from_fn(|index| {
            let is_counted = |it: &&Request| it.kind == index && it.arrived_ms >= LEARNED_MS;
            let counted = self.requests.values().filter(is_counted);
            let times = counted.map(|it| {
                let first = it.first_token_ms.unwrap_or(PLAYED_MS);
                first - it.arrived_ms
            });
            let mut times: Vec<u64> = times.collect();
            times.sort_unstable();
            let in_time = times.partition_point(|it| *it <= KINDS[index].target_ms);
            let count = times.len();
            (
                in_time as f64 / count as f64,
                times[count * 95 / 100] as f64,
            )
        })
    }
}

fn normal(random: &mut StdRng) -> f64 {
    let (a, b): (f64, f64) = (random.random(), random.random());
    (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

/// Checks that placement by costs serves no kind of prompt worse than placement by what callers declare,
/// and all together better. `load` is the number of requests as a multiple of the usual ones.
fn check(load: f64) {
    let mut sums = [[(0.0, 0.0); 3]; 2];
    for seed in 1..=SEEDS {
        for (index, basis) in [Basis::Declared, Basis::Observed].into_iter().enumerate() {
            let result = Fleet::new(basis).play(seed, load).result();
            for (sum, it) in sums[index].iter_mut().zip(result) {
                sum.0 += it.0 / SEEDS as f64;
                sum.1 += it.1 / SEEDS as f64;
            }
        }
    }
    let [declared, observed] = sums;
    for (kind, (before, after)) in KINDS.iter().zip(declared.iter().zip(&observed)) {
        println!(
            "{} {}: in time {:.4} declared, {:.4} observed; 95th percentile {:.0} ms, {:.0} ms",
            kind.route, kind.organisation, before.0, after.0, before.1, after.1
        );
    }
    let in_time = |it: &[(f64, f64); 3]| it.iter().map(|it| it.0).sum::<f64>();
    assert!(in_time(&observed) > in_time(&declared));
    for (kind, (before, after)) in KINDS.iter().zip(declared.iter().zip(&observed)) {
        assert!(after.0 >= before.0, "{} {}", kind.route, kind.organisation);
        assert!(after.1 <= before.1, "{} {}", kind.route, kind.organisation);
    }
}

/// Guards against forecasts of free slots that serve some prompts worse when slots are taken in waves.
#[test]
fn choose_by_cost_serves_no_kind_of_prompt_worse_in_waves() {
    check(1.0);
}

/// The same when waves bring more than all slots can serve in time.
#[test]
fn choose_by_cost_serves_no_kind_of_prompt_worse_in_overload() {
    check(1.2);
}
