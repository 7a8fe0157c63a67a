//! Which engines prefill prompts and decode answers.

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
use placement::workload::Placement;
use placement::workload::Timeliness;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::ColdStart;
use route::Engine;

const ENGINES: usize = 8;

/// Engines and their workload.
struct Fleet {
    engine: Engine,
    servers: Servers,
    workload: Workload,
    now: Moment,
    last_job: u64,
    random: StdRng,
}

impl Fleet {
    fn new() -> Self {
        Self::of(ENGINES)
    }

    fn of(engines: usize) -> Self {
        let now = Moment::from_millis(1_000);
        let mut servers = Servers::default();
        for index in 0..engines {
            let server = Server {
                id: format!("i-{index}"),
                started_ms: 1,
                service: "llm".to_owned(),
                address: ([10, 0, 0, index as u8], 80).into(),
                data_centre: "dc".to_owned(),
                sequence: 1,
                slots: 16,
                is_leaving: false,
                cold_left: None,
            };
            servers.add(now, server);
        }
        let engine = Engine {
            slots: 16,
            memory_tokens: 232_000,
            steps_per_pass: 43,
            step_ms: 1.02,
            sequence_ms: 0.002_26,
            context_ms_per_k: 0.004_31,
            prefill_tokens_per_ms: 206.0,
            pairs_ms_per_m: 0.138,
            prefill_chunk: 2_048,
            usual_answer_tokens: 1_303,
        };
        Self {
            engine,
            servers,
            workload: Workload::default(),
            now,
            last_job: 0,
            random: StdRng::seed_from_u64(5),
        }
    }

    fn choose(&mut self, need: &Need, tried: &[u64]) -> Plan {
        let servers = self.servers.usable(self.now, "llm");
        let plan = plan::choose(
            self.now,
            &self.engine,
            servers,
            &self.workload,
            need,
            tried,
            &mut self.random,
        );
        plan.expect("a plan")
    }

    /// Places a request and reports its first token.
    fn start(&mut self, need: &Need) -> Plan {
        let plan = self.choose(need, &[]);
        let job = self.place(need, &plan);
        self.apply(job, Change::Started);
        plan
    }

    fn place(&mut self, need: &Need, plan: &Plan) -> JobId {
        self.last_job += 1;
        let job = JobId {
            entry: Incarnation(1),
            number: self.last_job,
        };
        let pause_ms = need.pause.map_or(0, |it| it.as_millis() as u32);
        let placed = Placement {
            target_ms: need.target.as_millis() as u32,
            pause_ms,
            value: need.value as f32,
            timeliness: plan.timeliness,
            parts: plan.parts.clone(),
            passes: Expectation::default(),
            service_ms: Expectation::default(),
        };
        self.apply(job, Change::Placed(placed));
        job
    }

    fn apply(&mut self, job: JobId, change: Change) {
        self.workload.apply(self.now, &Update { job, change });
    }

    /// Returns the number of engines that decode requests with tight pause limits.
    fn tight_engines(&self) -> usize {
        let queues = self
            .servers
            .all()
            .map(|it| self.workload.queue(it.server.key()));
        let is_tight = |pause: Option<f64>| pause.is_some_and(|it| it < 400.0);
        let tight = queues.flatten().filter(|queue| {
            let mut decoding = queue.tasks().iter().filter(|it| !it.is_helper);
            decoding.any(|it| is_tight(it.pause_ms))
        });
        tight.count()
    }
}

fn need(prompt_tokens: u64, target_ms: u64, pause_ms: u64) -> Need {
    Need {
        prompt_tokens,
        expected_answer_tokens: 1_300,
        target: Duration::from_millis(target_ms),
        initial_target: Duration::from_millis(target_ms),
        pause: Some(Duration::from_millis(pause_ms)),
        value: 1.0 + prompt_tokens as f64 / 10_000.0,
    }
}

fn short() -> Need {
    need(5_000, 300, 250)
}

fn long(prompt: u64) -> Need {
    need(prompt, 3_000, 1_000)
}

#[test]
fn choose_short_requests_share_few_engines() {
    let mut fleet = Fleet::new();
    for _ in 0..10 {
        fleet.start(&short());
    }
    assert!(fleet.tight_engines() <= 2, "{}", fleet.tight_engines());
}

#[test]
fn choose_all_engines_before_short_requests_are_late() {
    let mut fleet = Fleet::new();
    for _ in 0..120 {
        let plan = fleet.start(&short());
        assert!(plan.first_token < Duration::from_millis(300));
    }
    assert_eq!(fleet.tight_engines(), ENGINES);
}

#[test]
fn choose_long_prompts_avoid_engines_of_short_requests() {
    let mut fleet = Fleet::new();
    for _ in 0..10 {
        fleet.start(&short());
    }
    let tight = fleet.tight_engines();
    for _ in 0..3 {
        let plan = fleet.choose(&long(130_000), &[]);
        fleet.place(&long(130_000), &plan);
        for part in &plan.parts {
            let queue = fleet.workload.queue(part.server).expect("work");
            let decoding = queue.tasks().iter().filter(|it| it.is_decoding);
            assert_eq!(decoding.count(), 0);
        }
    }
    assert_eq!(fleet.tight_engines(), tight);
}

/// Guards against a very long prompt that occupies all engines of an idle fleet: short requests
/// that arrive during its prefill must not be late.
#[test]
fn choose_very_long_prompt_leaves_engines_free() {
    let mut fleet = Fleet::new();
    let plan = fleet.choose(&long(361_000), &[]);
    fleet.place(&long(361_000), &plan);
    for _ in 0..20 {
        let plan = fleet.start(&short());
        assert!(plan.first_token < Duration::from_millis(300), "{plan:?}");
    }
}

#[test]
fn choose_prompt_beyond_one_memory_is_split() {
    let mut fleet = Fleet::new();
    let plan = fleet.choose(&long(400_000), &[]);
    assert!(plan.has_room);
    let held: u64 = plan.parts.iter().map(|it| u64::from(it.tokens)).sum();
    assert!(held + plan.parts.len() as u64 >= 401_300, "{held}");
    assert!(plan.parts.iter().all(|it| it.tokens < 232_000));
    assert!(plan.first_token < Duration::from_secs(4), "{plan:?}");
}

#[test]
fn choose_prompt_beyond_one_memory_uses_every_engine_if_needed() {
    let mut fleet = Fleet::of(2);
    let plan = fleet.choose(&long(300_000), &[]);
    assert!(plan.has_room);
    assert_eq!(plan.parts.len(), 2);
}

#[test]
fn choose_prompt_beyond_all_memory_has_no_room() {
    let mut fleet = Fleet::new();
    assert!(!fleet.choose(&long(2_000_000), &[]).has_room);
}

#[test]
fn choose_late_prompt_costs_no_more_than_another() {
    let mut fleet = Fleet::new();
    for _ in 0..100 {
        fleet.start(&short());
    }
    let late = Need {
        target: Duration::ZERO,
        ..long(130_000)
    };
    let on_time = fleet.choose(&long(130_000), &[]);
    let late = fleet.choose(&late, &[]);
    assert_eq!(late.timeliness, Timeliness::Late);
    // It loses at most its own value and what a request that is on time would cost others.
    assert!(
        late.loss < on_time.loss + 15.0,
        "{} {}",
        late.loss,
        on_time.loss
    );
}

#[test]
fn choose_engines_that_are_not_slow() {
    let mut fleet = Fleet::new();
    let first = fleet.choose(&short(), &[]);
    let job = fleet.place(&short(), &first);
    fleet.apply(job, Change::Started);
    fleet.apply(job, Change::Slowed(5.0));
    for _ in 0..20 {
        let plan = fleet.start(&short());
        assert_ne!(plan.parts[0].server, first.parts[0].server);
    }
    let long = fleet.choose(&long(130_000), &[]);
    let servers = long.parts.iter().map(|it| it.server);
    assert!(!servers.collect::<Vec<_>>().contains(&first.parts[0].server));
}

#[test]
fn choose_other_engines_than_those_tried() {
    let mut fleet = Fleet::new();
    let first = fleet.choose(&short(), &[]).parts[0].server;
    assert_ne!(fleet.choose(&short(), &[first]).parts[0].server, first);
    let all: Vec<u64> = fleet.servers.all().map(|it| it.server.key()).collect();
    assert_eq!(fleet.choose(&short(), &all).parts.len(), 1);
}

#[test]
fn choose_late_requests_do_not_delay_one_on_time() {
    let mut fleet = Fleet::new();
    for _ in 0..ENGINES * 16 {
        fleet.start(&short());
    }
    // All slots are in use, so that some of the next requests are late.
    let mut late = 0;
    for _ in 0..ENGINES * 8 {
        let plan = fleet.choose(&short(), &[]);
        late += usize::from(plan.timeliness == Timeliness::Late);
        fleet.place(&short(), &plan);
    }
    assert!(late > 0);
    let plan = fleet.choose(&short(), &[]);
    let soonest = plan.first_token;
    for _ in 0..ENGINES * 8 {
        let plan = fleet.choose(&short(), &[]);
        fleet.place(&short(), &plan);
    }
    let urgent = need(5_000, 3_000, 250);
    assert!(fleet.choose(&urgent, &[]).first_token <= soonest * 2);
}

/// Guards against a burst of long prompts that makes a steady flow of short ones late.
#[test]
fn choose_burst_of_long_prompts_leaves_short_ones_on_time() {
    let mut fleet = Fleet::new();
    let mut late = 0;
    let mut count = 0;
    let mut ends: Vec<(u64, JobId)> = Vec::new();
    for step in 0..200_u64 {
        fleet.now = fleet.now + Duration::from_millis(50);
        let now = step * 50;
        let (over, left): (Vec<_>, Vec<_>) = ends.into_iter().partition(|it| it.0 <= now);
        ends = left;
        for (_, job) in over {
            fleet.apply(job, Change::Ended);
        }
        if step % 2 == 0 {
            let plan = fleet.choose(&short(), &[]);
            count += 1;
            late += usize::from(plan.first_token > Duration::from_millis(300));
            let job = fleet.place(&short(), &plan);
            fleet.apply(job, Change::Started);
            ends.push((now + 2_000, job));
        }
        if step % 10 == 0 {
            let plan = fleet.choose(&long(130_000), &[]);
            let job = fleet.place(&long(130_000), &plan);
            ends.push((now + plan.first_token.as_millis() as u64 + 1_000, job));
        }
    }
    assert!(late * 20 < count, "{late} of {count}");
}

/// Makes the engines of these indices cold, and returns their keys.
fn make_cold(fleet: &mut Fleet, indices: std::ops::Range<usize>) -> Vec<u64> {
    let cold_start = ColdStart {
        duration: Duration::from_secs(3),
        per_s: 1.0,
    };
    let cold_starts = [("llm".to_owned(), cold_start)];
    fleet.servers.set_cold_starts(cold_starts.into());
    let keys: Vec<u64> = fleet.servers.all().map(|it| it.key()).collect();
    let cold = keys[indices].to_vec();
    for key in &cold {
        let state = fleet.servers.get_mut(*key).expect("an engine");
        let left = Duration::from_secs(3);
        state.cold.record_response(fleet.now, left);
    }
    fleet.workload.window_mut().enable(Moment::from_millis(1));
    fleet.workload.window_mut().set_share(1, 1);
    fleet.now = fleet.now + Duration::from_millis(1_500);
    cold
}

#[test]
fn choose_warm_engine_before_an_equal_cold_one() {
    let mut fleet = Fleet::new();
    let cold = make_cold(&mut fleet, 0..ENGINES - 1);
    for _ in 0..20 {
        let plan = fleet.choose(&short(), &[]);
        assert!(!cold.contains(&plan.parts[0].server));
    }
}

/// Guards against parts of prompts that do not count, and against engines beyond their bounds as helpers.
#[test]
fn choose_cold_engines_within_their_bounds_only() {
    let mut fleet = Fleet::new();
    let cold = make_cold(&mut fleet, 0..ENGINES - 2);
    let first = fleet.choose(&long(150_000), &[]);
    let used: Vec<u64> = first.parts.iter().map(|it| it.server).collect();
    let has_used = |it: &u64| cold.contains(it) && used.contains(it);
    assert!(cold.iter().any(has_used));
    // The engines are idle again, but those that are cold have had their request of this second.
    let job = fleet.place(&long(150_000), &first);
    fleet.apply(job, Change::Ended);
    for need in [short(), long(150_000)] {
        for _ in 0..20 {
            let plan = fleet.choose(&need, &[]);
            assert!(!plan.parts.iter().any(|it| has_used(&it.server)));
        }
    }
    fleet.now = fleet.now + Duration::from_millis(1_050);
    let plan = fleet.choose(&long(150_000), &[]);
    assert!(plan.parts.iter().any(|it| has_used(&it.server)));
}
