//! A request that its engine left out of its passes is stalled; one on a busy or slow engine is not.

#[allow(dead_code)]
#[path = "engines/engines.rs"]
mod engines;

use std::collections::HashMap;
use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
use engines::Running;
use engines::at;
use engines::engine;
use placement::Expectation;
use placement::JobId;
use placement::Snapshot;
use placement::Update;
use placement::Workload;
use placement::stall::Attempt;
use placement::stall::Observer;
use placement::stall::Progress;
use placement::stall::Stall;
use placement::workload::Change;
use placement::workload::Part;
use placement::workload::Placement;
use placement::workload::Timeliness;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const ENGINE: u64 = 7;
const OTHER_ENGINE: u64 = 8;
const SLOTS: usize = 12;
const MEMORY: u64 = 197_200;
/// The request that is observed.
const OWN: u64 = 1;
const FORECAST: Duration = Duration::from_millis(200);

fn job(number: u64) -> JobId {
    JobId {
        entry: Incarnation(1),
        number,
    }
}

fn placement(prefill_ms: f32, timeliness: Timeliness, value: f32) -> Placement {
    Placement {
        target_ms: 300,
        pause_ms: 250,
        value,
        timeliness,
        parts: vec![Part {
            server: ENGINE,
            prefill_ms,
            tokens: 6_000,
        }],
        passes: Expectation::default(),
        service_ms: Expectation::default(),
    }
}

fn usual() -> Placement {
    placement(25.0, Timeliness::OnTime, 1.5)
}

/// A workload, and the observer of the request `OWN` that was placed and sent at 0.
struct Play {
    workload: Workload,
    observer: Observer,
    progress: Progress,
}

impl Play {
    fn new(own: Placement) -> Self {
        let mut play = Self {
            workload: Workload::default(),
            observer: Observer::new(Attempt {
                job: job(OWN),
                engine_key: ENGINE,
                sent_at: at(0),
                forecast: FORECAST,
            }),
            progress: Progress::NotBegun,
        };
        play.apply(0, OWN, Change::Placed(own));
        play
    }

    /// The same for a request whose last event came at 100.
    fn begun() -> Self {
        let mut play = Self::new(usual());
        play.apply(50, OWN, Change::Started);
        play.progress = Progress::Awaiting(at(100));
        play
    }

    fn apply(&mut self, millis: u64, number: u64, change: Change) {
        let job = job(number);
        self.workload.apply(at(millis), &Update { job, change });
    }

    /// Places a request at this time, which begins 30 ms later.
    fn serve(&mut self, millis: u64, number: u64, placement: Placement) {
        self.apply(millis, number, Change::Placed(placement));
        self.apply(millis + 30, number, Change::Started);
    }

    /// Returns the evidence if the request has been silent for too long.
    fn observe(&mut self, millis: u64) -> Option<Stall> {
        let engine = engine(SLOTS, MEMORY);
        self.observer
            .observe(at(millis), &engine, &self.workload, self.progress)
            .filter(Stall::is_due)
    }
}

/// Guards against a request that gets nothing until its caller's time limit while its engine serves others.
#[test]
fn observe_begun_request_left_out_is_stalled_after_silence() {
    let mut play = Play::begun();
    play.serve(200, 2, usual());
    play.serve(300, 3, usual());
    assert_eq!(play.observe(1_200), None);
    let stall = play.observe(1_201).expect("a stall");
    assert_eq!(stall.witnesses, [job(2), job(3)]);
    assert_eq!(stall.limit, Duration::from_millis(1_100));
    assert_eq!(stall.silence, Duration::from_millis(1_101));
}

/// Guards against a verdict by a single update, which may have been lost or late.
#[test]
fn observe_begun_request_needs_two_witnesses() {
    let mut play = Play::begun();
    play.serve(200, 2, usual());
    assert_eq!(play.observe(15_000), None);
}

/// Guards against streams that an engine loses because it is slow, or prefills a long prompt: requests that
/// were placed before the last event may have begun in the same pass.
#[test]
fn observe_silent_engine_is_not_stalled() {
    let mut play = Play::begun();
    for number in 2..8 {
        play.serve(60, number, usual());
        play.apply(200, 10 + number, Change::Placed(usual()));
    }
    assert_eq!(play.observe(15_000), None);
}

/// Guards against the evidence of another engine.
#[test]
fn observe_requests_of_other_engines_are_no_witnesses() {
    let mut play = Play::begun();
    let mut helped = usual();
    helped.parts[0].server = OTHER_ENGINE;
    helped.parts.extend(usual().parts);
    for number in 2..6 {
        play.serve(200, number, helped.clone());
    }
    assert_eq!(play.observe(15_000), None);
}

/// Guards against too short a limit while the engine has a long prompt to prefill, or is slow.
#[test]
fn observe_allows_twice_the_longest_pass() {
    let mut play = Play::begun();
    play.serve(200, 2, usual());
    play.serve(300, 3, usual());
    play.apply(
        400,
        4,
        Change::Placed(placement(1_000.0, Timeliness::OnTime, 20.0)),
    );
    let queue = play.workload.queue(ENGINE).expect("a queue");
    let pass_ms = queue.longest_pass_ms(&engine(SLOTS, MEMORY));
    assert!(pass_ms > 1_100.0, "{pass_ms}");
    let limit = 100 + (2.0 * pass_ms) as u64;
    assert_eq!(play.observe(limit), None);
    assert!(play.observe(limit + 1).is_some());
    // The measurement of a slow engine counts for 3 s.
    play.apply(limit, OWN, Change::Slowed(2.0));
    assert_eq!(play.observe(limit + 1), None);
}

/// Guards against streams that lose their place because an engine which holds a part of their memory, and takes
/// part in each of their passes, has a long prompt to prefill.
#[test]
fn observe_allows_twice_the_longest_pass_of_an_engine_that_holds_memory() {
    let mut own = usual();
    own.parts.push(Part {
        server: OTHER_ENGINE,
        ..own.parts[0]
    });
    let mut play = Play::new(own);
    play.apply(50, OWN, Change::Started);
    play.progress = Progress::Awaiting(at(100));
    play.serve(200, 2, usual());
    play.serve(300, 3, usual());
    let mut long = placement(1_000.0, Timeliness::OnTime, 20.0);
    long.parts[0].server = OTHER_ENGINE;
    play.apply(400, 4, Change::Placed(long));
    let queue = play.workload.queue(OTHER_ENGINE).expect("a queue");
    let pass_ms = queue.longest_pass_ms(&engine(SLOTS, MEMORY));
    assert!(pass_ms > 1_100.0, "{pass_ms}");
    let limit = 100 + (2.0 * pass_ms) as u64;
    assert_eq!(play.observe(limit), None);
    assert!(play.observe(limit + 1).is_some());
}

/// Guards against evidence that is lost because short answers end before the silence is long enough.
#[test]
fn observe_witnesses_that_ended_still_count() {
    let mut play = Play::begun();
    for number in [2, 3] {
        play.serve(200 * number, number, usual());
        assert_eq!(play.observe(200 * number + 50), None);
        play.apply(200 * number + 60, number, Change::Ended);
    }
    assert!(play.observe(1_201).is_some());
}

/// Guards against evidence from before an event that came after all.
#[test]
fn observe_event_clears_the_evidence() {
    let mut play = Play::begun();
    play.serve(200, 2, usual());
    play.serve(300, 3, usual());
    assert_eq!(play.observe(1_000), None);
    play.progress = Progress::Awaiting(at(1_050));
    assert_eq!(play.observe(15_000), None);
}

/// Guards against streams that are ended because their callers read slowly.
#[test]
fn observe_events_being_passed_on_are_no_silence() {
    let mut play = Play::begun();
    play.serve(200, 2, usual());
    play.serve(300, 3, usual());
    play.progress = Progress::PassingOn;
    assert_eq!(play.observe(15_000), None);
}

/// Guards against an instance that takes all work which it learns of by a snapshot for new.
#[test]
fn observe_requests_known_by_a_snapshot_are_no_witnesses() {
    let mut play = Play::begun();
    let numbers = [2, 3, 4];
    let placed = numbers.map(|number| Update {
        job: JobId {
            entry: Incarnation(2),
            number,
        },
        change: Change::Placed(usual()),
    });
    let snapshot = Snapshot {
        entry: Incarnation(2),
        placed: placed.to_vec(),
        started: numbers.to_vec(),
    };
    play.workload.reconcile(at(500), &snapshot);
    assert_eq!(play.observe(15_000), None);
}

/// Guards against a request that is never served while later ones like it are.
#[test]
fn observe_request_not_begun_is_stalled_once_overdue() {
    let mut play = Play::new(usual());
    play.serve(100, 2, usual());
    play.serve(200, 3, placement(900.0, Timeliness::Late, 20.0));
    assert_eq!(play.observe(1_400), None);
    let stall = play.observe(1_401).expect("a stall");
    assert_eq!(stall.progress, Progress::NotBegun);
    assert_eq!(stall.limit, Duration::from_millis(1_400));
}

/// Checks that requests like `other` are evidence, or not, for a request `own` that has not begun.
fn check_evidence(own: Placement, other: &Placement, expected: Expected) {
    let mut play = Play::new(own);
    play.serve(100, 2, other.clone());
    play.serve(200, 3, other.clone());
    let is_stalled = play.observe(15_000).is_some();
    assert_eq!(is_stalled, expected == Expected::Stalled, "{other:?}");
}

#[derive(PartialEq)]
enum Expected {
    Stalled,
    Nothing,
}

/// Guards against a long prompt that loses its turn because shorter ones fit in before it.
#[test]
fn observe_smaller_prompts_are_no_witnesses() {
    let own = || placement(100.0, Timeliness::OnTime, 2.0);
    let smaller = placement(99.0, Timeliness::OnTime, 2.0);
    check_evidence(own(), &smaller, Expected::Nothing);
    let mut split = own();
    split.parts[0].prefill_ms = 50.0;
    split.parts.push(Part {
        server: OTHER_ENGINE,
        ..split.parts[0]
    });
    check_evidence(own(), &split, Expected::Stalled);
}

/// Guards against a late request that is ended because the engine serves more urgent ones first.
#[test]
fn observe_more_urgent_requests_are_no_witnesses() {
    let late = |value| placement(25.0, Timeliness::Late, value);
    check_evidence(late(1.5), &usual(), Expected::Nothing);
    check_evidence(late(1.5), &late(3.0), Expected::Nothing);
    check_evidence(late(1.5), &late(1.5), Expected::Stalled);
    check_evidence(late(1.5), &late(0.75), Expected::Stalled);
    check_evidence(usual(), &late(0.75), Expected::Stalled);
}

/// A request at the played engine.
struct Caller {
    observer: Observer,
    progress: Progress,
}

/// Plays an engine under overload that serves all its requests, `slowdown` times slower than published, and
/// checks that no request counts as stalled.
fn check_nothing_stalls(seed: u64, slowdown: f64) {
    let mut random = StdRng::seed_from_u64(seed);
    let published = engine(SLOTS, MEMORY);
    let mut actual = published.clone();
    actual.step_ms *= slowdown;
    let mut workload = Workload::default();
    let mut running = Running::default();
    let mut callers: HashMap<JobId, Caller> = HashMap::new();
    let (mut next, mut begun) = (0, 0);
    for millis in 0..120_000 {
        let apply = |workload: &mut Workload, job, change| {
            workload.apply(at(millis), &Update { job, change });
        };
        let pass = running.run(millis, &actual).unwrap_or_default();
        for it in &pass.read {
            begun += 1;
            apply(&mut workload, *it, Change::Started);
        }
        for it in pass.read.iter().chain(&pass.wrote) {
            let caller = callers.get_mut(it).expect("a caller");
            caller.progress = Progress::Awaiting(at(millis));
        }
        for it in &pass.ended {
            callers.remove(it);
            apply(&mut workload, *it, Change::Ended);
        }
        if random.random::<f64>() < 0.012 / slowdown {
            next += 1;
            let job = job(next);
            let tokens = if random.random::<f64>() < 0.05 {
                random.random_range(60_000..180_000)
            } else {
                4_960
            };
            let prefill_ms = published.prefill_ms(tokens);
            let is_late = random.random::<f64>() < 0.4;
            let level = random.random_range(0..3_u8);
            let value = (1.0 + tokens as f64 / 10_000.0) * 0.5_f64.powi(level.into());
            let timeliness = if is_late {
                Timeliness::Late
            } else {
                Timeliness::OnTime
            };
            let placed = placement(prefill_ms as f32, timeliness, value as f32);
            apply(&mut workload, job, Change::Placed(placed));
            running.waiting.push(engines::Task {
                job,
                rank: if is_late { 7 + level } else { 3 },
                prefill_ms: prefill_ms * slowdown,
                tokens,
                passes_left: random.random_range(1..30),
                is_helper: false,
            });
            let observer = Observer::new(Attempt {
                job,
                engine_key: ENGINE,
                sent_at: at(millis),
                // Engines take longer, which makes the check stricter.
                forecast: Duration::from_secs_f64(prefill_ms / 1e3),
            });
            let progress = Progress::NotBegun;
            callers.insert(job, Caller { observer, progress });
        }
        if millis % 100 == 0 {
            for (job, it) in &mut callers {
                let stall = it
                    .observer
                    .observe(at(millis), &published, &workload, it.progress);
                assert_eq!(stall, None, "{job:?}, seed {seed}, slowdown {slowdown}");
            }
        }
    }
    assert!(begun > 20, "{begun} have begun");
}

/// Guards against streams that are taken from engines which are merely slow, busy or prefill long prompts.
#[test]
fn observe_requests_of_a_working_engine_are_never_stalled() {
    for seed in 1..=6 {
        for slowdown in [1.0, 4.0, 12.0] {
            check_nothing_stalls(seed, slowdown);
        }
    }
}

/// The moment type has no negative differences: a request that is observed before it was sent is not silent.
#[test]
fn observe_before_sending_is_not_stalled() {
    let mut play = Play::new(usual());
    play.observer = Observer::new(Attempt {
        job: job(OWN),
        engine_key: ENGINE,
        sent_at: Moment::from_millis(9_000_000),
        forecast: FORECAST,
    });
    play.serve(100, 2, usual());
    play.serve(200, 3, usual());
    assert_eq!(play.observe(15_000), None);
}
