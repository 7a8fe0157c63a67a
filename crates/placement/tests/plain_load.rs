//! Plays calls of two routes whose costs differ by a factor of five on modelled servers of a plain service,
//! and compares the choice by the number of calls with that by what they cost, in the same run.

use std::collections::BTreeMap;
use std::collections::VecDeque;
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
use placement::plain;
use placement::workload::Change;
use placement::workload::Part;
use placement::workload::Placement;
use placement::workload::Timeliness;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SERVERS: usize = 7;
const SLOTS: usize = 6;
const PLAYED_MS: u64 = 120_000;
const LEARNED_MS: u64 = 10_000;
/// One call in a hundred takes this many times as long.
const TAIL_FACTOR: f64 = 5.0;

/// A route.
struct Route {
    name: &'static str,
    /// The time of a call, in milliseconds.
    call_ms: f64,
    target_ms: u64,
    /// The share of the servers' time that its calls take.
    share: f64,
}

const ROUTES: [Route; 2] = [
    Route {
        name: "light",
        call_ms: 60.0,
        target_ms: 300,
        share: 0.35,
    },
    Route {
        name: "heavy",
        call_ms: 300.0,
        target_ms: 600,
        share: 0.35,
    },
];
/// A server that is slow takes this many times as long, in the middle third of the play.
const SLOW_FACTOR: f64 = 5.0;

/// How much the servers have to do.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// The calls as a multiple of the usual ones.
    load: f64,
    /// Every ten seconds, a burst of four seconds brings this many times as many.
    burst: f64,
    /// Whether one of the servers is slow for a while.
    has_slow_server: bool,
}

const SCENARIOS: [Scenario; 3] = [
    Scenario {
        name: "calm",
        load: 0.5,
        burst: 1.0,
        has_slow_server: false,
    },
    Scenario {
        name: "bursts",
        load: 1.0,
        burst: 1.5,
        has_slow_server: false,
    },
    Scenario {
        name: "slow server",
        load: 0.7,
        burst: 1.0,
        has_slow_server: true,
    },
];

/// The number of plays, each with other requests.
const SEEDS: u64 = 4;

#[derive(Clone, Copy, PartialEq)]
enum Chooser {
    ByCount,
    ByCost,
}

#[derive(Clone, Copy)]
struct Call {
    job: JobId,
    route: usize,
    arrived_ms: u64,
    /// Whether the server's slots were taken when it was sent.
    has_waited: bool,
    service_ms: u64,
    expected: Option<f64>,
}

#[derive(Default)]
struct Running {
    waiting: VecDeque<Call>,
    /// The calls that run, and when each ends.
    running: Vec<(u64, Call)>,
}

struct Play {
    chooser: Chooser,
    scenario: Scenario,
    servers: Servers,
    workload: Workload,
    estimator: Estimator,
    running: BTreeMap<u64, Running>,
    random: StdRng,
    count: u64,
    /// The times to the answer, by route, in milliseconds.
    times: [Vec<u64>; 2],
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000_000 + millis)
}

impl Play {
    fn new(chooser: Chooser, scenario: Scenario) -> Self {
        let mut servers = Servers::default();
        let mut running = BTreeMap::new();
        for index in 0..SERVERS {
            let server = Server {
                id: format!("i-{index}"),
                started_ms: 1,
                service: "app".to_owned(),
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
        Self {
            chooser,
            scenario,
            servers,
            workload: Workload::default(),
            estimator: Estimator::default(),
            running,
            random: StdRng::seed_from_u64(1),
            count: 0,
            times: Default::default(),
        }
    }

    /// Plays the same calls for each chooser.
    fn play(mut self, seed: u64) -> Self {
        let mut load = StdRng::seed_from_u64(seed);
        for millis in 0..PLAYED_MS {
            self.end(millis);
            let factor = if millis % 10_000 < 4_000 {
                self.scenario.load * self.scenario.burst
            } else {
                self.scenario.load
            };
            for (index, route) in ROUTES.iter().enumerate() {
                let mean_ms = route.call_ms * (0.99 + 0.01 * TAIL_FACTOR);
                let per_ms = route.share * (SERVERS * SLOTS) as f64 / mean_ms;
                let draws: [f64; 3] = [load.random(), load.random(), load.random()];
                if draws[0] >= per_ms * factor {
                    continue;
                }
                let tail = if draws[1] < 0.01 { TAIL_FACTOR } else { 1.0 };
                let service_ms = route.call_ms * tail * (0.8 + 0.4 * draws[2]);
                self.arrive(millis, index, service_ms as u64);
            }
            self.begin(millis);
        }
        self
    }

    fn request(route: usize) -> Observation {
        Observation {
            service: "app".to_owned(),
            route: ROUTES[route].name.to_owned(),
            organisation: "org".to_owned(),
            prompt_tokens: 0,
            expected_tokens: 0,
            limit: 4_000.0,
            cost: 1.0,
            extent: Extent::Whole,
        }
    }

    fn arrive(&mut self, millis: u64, route: usize, service_ms: u64) {
        let estimate = match self.chooser {
            Chooser::ByCount => None,
            Chooser::ByCost => self.estimator.estimate(&Self::request(route).request()),
        };
        let expected = estimate.map_or(Expectation::default(), |it| Expectation {
            mean: it.mean as f32,
            upper: it.upper as f32,
        });
        let usable = self.servers.usable(at(millis), "app");
        let chosen = plain::choose(
            at(millis),
            usable,
            &self.workload,
            expected,
            &[],
            &mut self.random,
        );
        let key = chosen.expect("a server").key();
        self.count += 1;
        let job = JobId {
            entry: Incarnation(1),
            number: self.count,
        };
        let placed = self.workload.queue(key).map_or(0, |it| it.len());
        let placement = Placement {
            target_ms: ROUTES[route].target_ms as u32,
            pause_ms: 0,
            value: 1.0,
            timeliness: Timeliness::OnTime,
            parts: vec![Part {
                server: key,
                prefill_ms: 0.0,
                tokens: 0,
            }],
            passes: Expectation::default(),
            service_ms: expected,
        };
        self.tell(millis, job, Change::Placed(placement));
        let running = self.running.get_mut(&key).expect("a server");
        running.waiting.push_back(Call {
            job,
            route,
            arrived_ms: millis,
            has_waited: placed >= SLOTS,
            service_ms,
            expected: estimate.map(|it| it.mean),
        });
    }

    fn tell(&mut self, millis: u64, job: JobId, change: Change) {
        self.workload.apply(at(millis), &Update { job, change });
    }

    fn begin(&mut self, millis: u64) {
        let is_slow_time = (PLAYED_MS / 3..PLAYED_MS * 2 / 3).contains(&millis);
        let is_slow_time = is_slow_time && self.scenario.has_slow_server;
        for (index, it) in self.running.values_mut().enumerate() {
            let pace = if index == 0 && is_slow_time {
                SLOW_FACTOR
            } else {
                1.0
            };
            while it.running.len() < SLOTS
                && let Some(call) = it.waiting.pop_front()
            {
                let length = (call.service_ms as f64 * pace) as u64;
                it.running.push((millis + length, call));
            }
        }
    }

    fn end(&mut self, millis: u64) {
        let mut ended = Vec::new();
        for (key, it) in &mut self.running {
            let over = it.running.extract_if(.., |it| it.0 <= millis);
            ended.extend(over.map(|it| (*key, it.1)));
        }
        for (key, call) in ended {
            self.tell(millis, call.job, Change::Ended);
            let took = millis - call.arrived_ms;
            if call.arrived_ms >= LEARNED_MS {
                self.times[call.route].push(took);
            }
            let state = self.servers.get_mut(key).expect("a server");
            state.record_latency(at(millis), Duration::from_millis(took));
            if call.has_waited {
                continue;
            }
            if let Some(expected) = call.expected {
                state.record_pace(at(millis), took as f64 / expected);
            }
            let usable = self.servers.usable(at(millis), "app");
            let fastest = plain::fastest_pace(at(millis), usable);
            let state = self.servers.get_mut(key).expect("a server");
            let pace = plain::pace(at(millis), state, fastest);
            self.estimator.observe(&Observation {
                cost: (took as f64 / pace) as f32,
                ..Self::request(call.route)
            });
        }
    }

    /// Returns the share of calls in time, and the 95th percentile of their times, by route.
    fn result(&self) -> [(f64, f64); 2] {
        std::array::from_fn(|index| {
            let mut times = self.times[index].clone();
            times.sort_unstable();
            let in_time = times.partition_point(|it| *it <= ROUTES[index].target_ms);
            let count = times.len();
            (
                in_time as f64 / count as f64,
                times[count * 95 / 100] as f64,
            )
        })
    }
}

/// Returns the mean results of all plays of a scenario.
fn results(chooser: Chooser, scenario: Scenario) -> [(f64, f64); 2] {
    let mut sums = [(0.0, 0.0); 2];
    for seed in 1..=SEEDS {
        let result = Play::new(chooser, scenario).play(seed).result();
        for (sum, it) in sums.iter_mut().zip(result) {
            sum.0 += it.0 / SEEDS as f64;
            sum.1 += it.1 / SEEDS as f64;
        }
    }
    sums
}

/// Guards against a choice by cost that serves any kind of call worse than a choice by count.
#[test]
fn choose_by_cost_serves_no_kind_of_call_worse_and_all_together_better() {
    let mut sums = [(0.0, 0.0); 2];
    for scenario in SCENARIOS {
        let choosers = [Chooser::ByCount, Chooser::ByCost];
        let [by_count, by_cost] = choosers.map(|it| results(it, scenario));
        for (Route { name, .. }, (count, cost)) in ROUTES.iter().zip(by_count.iter().zip(&by_cost))
        {
            println!(
                "{}, {name}: in time {:.5} by count, {:.5} by cost; 95th percentile {:.0} ms, {:.0} ms",
                scenario.name, count.0, cost.0, count.1, cost.1
            );
            for (sum, it) in sums.iter_mut().zip([count, cost]) {
                sum.0 += it.0;
                sum.1 += it.1;
            }
        }
        for (Route { name, .. }, (count, cost)) in ROUTES.iter().zip(by_count.iter().zip(&by_cost))
        {
            assert!(cost.0 >= count.0, "{}, {name}", scenario.name);
            assert!(cost.1 <= count.1, "{}, {name}", scenario.name);
        }
    }
    let [by_count, by_cost] = sums;
    assert!(by_cost.0 > by_count.0 && by_cost.1 < by_count.1);
}
