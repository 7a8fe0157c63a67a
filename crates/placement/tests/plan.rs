//! Where prompts are read and answers written.

use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
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
use route::Engine;

const ENGINES: usize = 8;

/// Engines, and what is placed on them.
struct Fleet {
    engine: Engine,
    servers: Servers,
    workload: Workload,
    now: Moment,
    jobs: u64,
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
            jobs: 0,
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

    /// Places a request and lets its first token come.
    fn write(&mut self, need: &Need) -> Plan {
        let plan = self.choose(need, &[]);
        let job = self.place(need, &plan);
        self.tell(job, Change::Started);
        plan
    }

    fn place(&mut self, need: &Need, plan: &Plan) -> JobId {
        self.jobs += 1;
        let job = JobId {
            entry: Incarnation(1),
            number: self.jobs,
        };
        let pause_ms = need.pause.map_or(0, |it| it.as_millis() as u32);
        let placed = Placement {
            target_ms: need.target.as_millis() as u32,
            pause_ms,
            value: need.value as f32,
            timeliness: plan.timeliness,
            parts: plan.parts.clone(),
        };
        self.tell(job, Change::Placed(placed));
        job
    }

    fn tell(&mut self, job: JobId, change: Change) {
        self.workload.apply(self.now, &Update { job, change });
    }

    /// Returns the engines that write for callers of tight pauses.
    fn tight_engines(&self) -> usize {
        let queues = self
            .servers
            .all()
            .map(|it| self.workload.queue(it.server.key()));
        let is_tight = |pause: Option<f64>| pause.is_some_and(|it| it < 400.0);
        let tight = queues.flatten().filter(|queue| {
            let mut writers = queue.tasks().iter().filter(|it| !it.is_helper);
            writers.any(|it| is_tight(it.pause_ms))
        });
        tight.count()
    }
}

fn need(prompt_tokens: u64, target_ms: u64, pause_ms: u64) -> Need {
    Need {
        prompt_tokens,
        output_tokens: 1_300,
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
fn choose_short_requests_stay_together() {
    let mut fleet = Fleet::new();
    for _ in 0..10 {
        fleet.write(&short());
    }
    assert!(fleet.tight_engines() <= 2, "{}", fleet.tight_engines());
}

#[test]
fn choose_short_requests_use_all_engines_before_they_are_late() {
    let mut fleet = Fleet::new();
    for _ in 0..120 {
        let plan = fleet.write(&short());
        assert!(plan.first_token < Duration::from_millis(300));
    }
    assert_eq!(fleet.tight_engines(), ENGINES);
}

#[test]
fn choose_long_prompts_keep_off_short_writers() {
    let mut fleet = Fleet::new();
    for _ in 0..10 {
        fleet.write(&short());
    }
    let tight = fleet.tight_engines();
    for _ in 0..3 {
        let plan = fleet.choose(&long(130_000), &[]);
        fleet.place(&long(130_000), &plan);
        for part in &plan.parts {
            let queue = fleet.workload.queue(part.server).expect("work");
            let writers = queue.tasks().iter().filter(|it| it.is_decoding);
            assert_eq!(writers.count(), 0);
        }
    }
    assert_eq!(fleet.tight_engines(), tight);
}

/// The load that this answers: a very long prompt meets an idle fleet. Whoever comes while it is
/// read must not be late.
#[test]
fn choose_very_long_prompt_leaves_engines_open() {
    let mut fleet = Fleet::new();
    let plan = fleet.choose(&long(361_000), &[]);
    fleet.place(&long(361_000), &plan);
    for _ in 0..20 {
        let plan = fleet.write(&short());
        assert!(plan.first_token < Duration::from_millis(300), "{plan:?}");
    }
}

#[test]
fn choose_prompt_beyond_one_memory_is_spread() {
    let mut fleet = Fleet::new();
    let plan = fleet.choose(&long(400_000), &[]);
    assert!(plan.has_room);
    let held: u64 = plan.parts.iter().map(|it| u64::from(it.tokens)).sum();
    assert!(held + plan.parts.len() as u64 >= 401_300, "{held}");
    assert!(plan.parts.iter().all(|it| it.tokens < 232_000));
    assert!(plan.first_token < Duration::from_secs(4), "{plan:?}");
}

#[test]
fn choose_prompt_beyond_one_memory_takes_every_engine_if_it_must() {
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
fn choose_prompt_past_its_target_harms_no_more_than_another() {
    let mut fleet = Fleet::new();
    for _ in 0..100 {
        fleet.write(&short());
    }
    let late = Need {
        target: Duration::ZERO,
        ..long(130_000)
    };
    let in_time = fleet.choose(&long(130_000), &[]);
    let late = fleet.choose(&late, &[]);
    assert_eq!(late.timeliness, Timeliness::Late);
    // It can't lose more than its own value and what one in time would cost others.
    assert!(
        late.loss < in_time.loss + 15.0,
        "{} {}",
        late.loss,
        in_time.loss
    );
}

#[test]
fn choose_engines_that_are_not_slow() {
    let mut fleet = Fleet::new();
    let first = fleet.choose(&short(), &[]);
    let job = fleet.place(&short(), &first);
    fleet.tell(job, Change::Started);
    fleet.tell(job, Change::Slowed(5.0));
    for _ in 0..20 {
        let plan = fleet.write(&short());
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
fn choose_late_request_does_not_hold_up_one_in_time() {
    let mut fleet = Fleet::new();
    for _ in 0..ENGINES * 16 {
        fleet.write(&short());
    }
    // All slots are taken: some of the next ones can't be in time.
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

/// The load that this answers: a wave of long prompts beside a steady flow of short ones. Callers
/// of short ones must not be late because of it.
#[test]
fn load_wave_of_long_prompts_leaves_short_ones_in_time() {
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
            fleet.tell(job, Change::Ended);
        }
        if step % 2 == 0 {
            let plan = fleet.choose(&short(), &[]);
            count += 1;
            late += usize::from(plan.first_token > Duration::from_millis(300));
            let job = fleet.place(&short(), &plan);
            fleet.tell(job, Change::Started);
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
