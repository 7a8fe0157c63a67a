//! Plays a load of short and long prompts in waves on engines that work as published, and checks when
//! callers of short prompts get their first token and how far forecasts are off.

#[allow(dead_code)]
#[path = "engines/engines.rs"]
mod engines;

use std::collections::BTreeMap;
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
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::Engine;

use engines::Running;
use engines::Task;
use engines::at;

const ENGINES: usize = 24;
const SLOTS: usize = 10;
const MEMORY_TOKENS: u64 = 232_000;
const PLAYED_MS: u64 = 30_000;
/// Every ten seconds, a wave of four seconds brings this many times the usual requests.
const WAVE_FACTOR: f64 = 3.0;
/// Requests a second outside the waves.
const SHORT_PER_S: f64 = 34.0;
const LONG_PER_S: f64 = 2.7;
const SHORT_TARGET_MS: u64 = 400;
/// The error of forecasts that plans assume, as a share of the target.
const FORECAST_ERROR: f64 = 0.15;

/// The share of callers of short prompts that may be answered late.
const LATE_LIMIT: f64 = 1.0 / 8.0;

/// A request of a caller.
struct Request {
    is_short: bool,
    arrived_ms: u64,
    forecast_ms: f64,
    first_token_ms: Option<u64>,
    parts_left: usize,
}

struct Fleet {
    engine: Engine,
    servers: Servers,
    workload: Workload,
    running: BTreeMap<u64, Running>,
    requests: BTreeMap<JobId, Request>,
    random: StdRng,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let servers = engines::servers(ENGINES, SLOTS);
        let running = servers.all().map(|it| (it.key(), Running::default()));
        let running = running.collect();
        Self {
            engine: engines::engine(SLOTS, MEMORY_TOKENS),
            servers,
            workload: Workload::default(),
            running,
            requests: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn play(&mut self) {
        for millis in 0..PLAYED_MS {
            let factor = if millis % 10_000 < 4_000 {
                WAVE_FACTOR
            } else {
                1.0
            };
            if self.random.random::<f64>() < SHORT_PER_S * factor / 1e3 {
                let tokens = self.random.random_range(500..9_500);
                self.arrive(millis, tokens, SHORT_TARGET_MS, 250);
            }
            if self.random.random::<f64>() < LONG_PER_S / 1e3 {
                let tokens = self.random.random_range(20_000..70_000);
                self.arrive(millis, tokens, 1_500, 600);
            }
            for key in self.running.keys().copied().collect::<Vec<_>>() {
                self.run(millis, key);
            }
        }
    }

    fn arrive(&mut self, millis: u64, prompt_tokens: u64, target_ms: u64, pause_ms: u64) {
        let target = Duration::from_millis(target_ms);
        let need = Need {
            prompt_tokens,
            expected_answer_tokens: 1_500,
            target,
            initial_target: target,
            pause: Some(Duration::from_millis(pause_ms)),
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
        self.send(millis, &need, &plan);
    }

    fn send(&mut self, millis: u64, need: &Need, plan: &Plan) {
        let job = JobId {
            entry: Incarnation(1),
            number: self.requests.len() as u64,
        };
        self.requests.insert(
            job,
            Request {
                is_short: need.target == Duration::from_millis(SHORT_TARGET_MS),
                arrived_ms: millis,
                forecast_ms: plan.first_token.as_secs_f64() * 1e3,
                first_token_ms: None,
                parts_left: plan.parts.len(),
            },
        );
        for (index, part) in plan.parts.iter().enumerate() {
            let running = self.running.get_mut(&part.server).expect("an engine");
            running.waiting.push(Task {
                job,
                rank: 0,
                prefill_ms: f64::from(part.prefill_ms),
                tokens: u64::from(part.tokens),
                passes_left: self.random.random_range(8..38),
                is_helper: index > 0,
            });
        }
        let placed = Placement {
            target_ms: need.target.as_millis() as u32,
            pause_ms: need.pause.map_or(0, |it| it.as_millis() as u32),
            value: need.value as f32,
            timeliness: plan.timeliness,
            parts: plan.parts.clone(),
            passes: Expectation::default(),
            service_ms: Expectation::default(),
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
        for job in pass.read {
            let request = self.requests.get_mut(&job).expect("a request");
            request.parts_left -= 1;
            if request.parts_left == 0 {
                request.first_token_ms = Some(millis);
            }
        }
        self.report(millis, pass.ended);
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
            self.tell(millis, job, Change::Ended);
        }
    }

    fn short(&self) -> impl Iterator<Item = &Request> {
        self.requests.values().filter(|it| it.is_short)
    }
}

/// Returns how long callers waited beyond the forecast, in milliseconds, in ascending order.
fn errors(fleet: &Fleet) -> Vec<f64> {
    let answered = fleet.short().filter_map(|it| {
        let waited = it.first_token_ms? - it.arrived_ms;
        Some(waited as f64 - it.forecast_ms)
    });
    let mut errors: Vec<f64> = answered.collect();
    errors.sort_by(f64::total_cmp);
    errors
}

fn late_share(fleet: &Fleet) -> f64 {
    let is_late = |it: &&Request| {
        let waited = it.first_token_ms.map(|at| at - it.arrived_ms);
        waited.is_none_or(|it| it > SHORT_TARGET_MS)
    };
    fleet.short().filter(is_late).count() as f64 / fleet.short().count() as f64
}

/// Checks the error that plans assume: a forecast that equals the target is late half of the time, and one
/// that is lower by the error times the logarithm of nine is late one time in ten.
#[test]
fn forecasts_of_short_prompts_are_as_good_as_plans_assume() {
    for seed in 1..=4 {
        let mut fleet = Fleet::new(seed);
        fleet.play();
        let errors = errors(&fleet);
        let (median, tenth) = (errors[errors.len() / 2], errors[errors.len() * 9 / 10]);
        let scale = FORECAST_ERROR * SHORT_TARGET_MS as f64;
        assert!(median.abs() <= scale / 2.0, "seed {seed}: {median:.0} ms");
        assert!(tenth <= scale * 9.0_f64.ln(), "seed {seed}: {tenth:.0} ms");
    }
}

/// Most callers of short prompts must be answered in time even though long ones come in the same waves.
#[test]
fn callers_of_short_prompts_are_answered_in_time_in_waves() {
    let mut late = Vec::new();
    for seed in 1..=8 {
        let mut fleet = Fleet::new(seed);
        fleet.play();
        late.push(late_share(&fleet));
    }
    let mean = late.iter().sum::<f64>() / late.len() as f64;
    assert!(mean <= LATE_LIMIT, "{late:.3?}");
}
