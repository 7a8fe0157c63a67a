//! The contract's limits hold over all entries, also when homes die or are cut off.

use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
use limit::Allotment;
use limit::Home;
use limit::Terms;
use limit::home::Origin;

const ENTRIES: usize = 6;
const RATE: f64 = 1_000.0;
const STEP: Duration = Duration::from_millis(5);
const PROMPT: u64 = 10;
/// The window of the promise on failures.
const WINDOW: Duration = Duration::from_secs(10);

/// A network of entries, of which some can't reach others.
struct Network {
    allotments: Vec<Allotment>,
    homes: Vec<Home>,
    /// The group of each entry; entries of different groups can't reach each other. A group of
    /// `None` is dead.
    groups: Vec<Option<usize>>,
    /// The home that each group agrees on, and whether it is a successor.
    home_of: Vec<(usize, Origin)>,
    now: Moment,
    taken: Vec<(Moment, u64)>,
}

fn terms() -> Terms {
    Terms {
        tokens_per_second: RATE,
        burst_tokens: RATE * 3.0,
        requests_per_second: 1e9,
        burst_requests: 1e9,
        concurrent_requests: 1e9,
    }
}

impl Network {
    fn new() -> Self {
        Self {
            allotments: vec![Allotment::default(); ENTRIES],
            homes: vec![Home::default(); ENTRIES],
            groups: vec![Some(0); ENTRIES],
            home_of: vec![(0, Origin::First)],
            now: Moment::default(),
            taken: Vec::new(),
        }
    }

    /// Lets `entry` try to admit one prompt.
    fn attempt(&mut self, entry: usize) {
        let Some(group) = self.groups[entry] else {
            return;
        };
        let allotment = &mut self.allotments[entry];
        let mut admitted = allotment.take(self.now, PROMPT);
        if !admitted {
            let incarnation = Incarnation(entry as u64);
            let ask = allotment.ask(incarnation, "customer", PROMPT);
            let (home, start) = self.home_of[group];
            if self.groups[home] == Some(group) {
                let reachable = self.groups.iter().filter(|it| **it == Some(group)).count();
                let part = terms().share(reachable, ENTRIES);
                let grant = self.homes[home].grant(self.now, part, &ask, start);
                admitted = allotment.receive(self.now, grant, PROMPT).is_ok();
            } else {
                admitted = allotment
                    .take_share(self.now, terms(), ENTRIES, PROMPT)
                    .is_ok();
            }
        }
        if admitted {
            self.allotments[entry].ended();
            self.taken.push((self.now, PROMPT));
        }
    }

    /// Offers load for some time: `load` times the contract, spread over `entries`.
    fn run(&mut self, time: Duration, load: f64, entries: &[usize]) {
        let end = self.now + time;
        let mut owed = 0.0;
        let mut turn = 0;
        while self.now < end {
            self.now = self.now + STEP;
            owed += RATE * load * STEP.as_secs_f64() / PROMPT as f64;
            while owed >= 1.0 {
                self.attempt(entries[turn % entries.len()]);
                turn += 1;
                owed -= 1.0;
            }
        }
    }

    /// Forgets the time before, in which the customer used its burst.
    fn settle(&mut self) {
        let start = self.now.since(Moment::default() + Duration::from_secs(10));
        self.taken
            .retain(|(at, _)| *at >= Moment::default() + start);
    }

    fn taken_between(&self, from: Moment, to: Moment) -> f64 {
        let within = self.taken.iter().filter(|(at, _)| *at > from && *at <= to);
        within.map(|(_, tokens)| *tokens as f64).sum()
    }

    /// Returns the most that was taken in any window, as a part of the contract.
    fn worst_window(&self) -> f64 {
        let allowed = RATE * WINDOW.as_secs_f64();
        let ends = self
            .taken
            .iter()
            .map(|(at, _)| *at)
            .filter(|at| *at >= Moment::default() + WINDOW);
        let ends: Vec<Moment> = ends.step_by(20).collect();
        let starts = ends
            .iter()
            .map(|end| Moment::default() + end.since(Moment::default() + WINDOW));
        let used = starts
            .zip(&ends)
            .map(|(start, end)| self.taken_between(start, *end));
        used.fold(0.0, f64::max) / allowed
    }
}

const ALL: [usize; ENTRIES] = [0, 1, 2, 3, 4, 5];

#[test]
fn limits_steady_load_over_six_entries_is_within_five_percent() {
    let mut network = Network::new();
    network.run(Duration::from_secs(5), 1.5, &ALL);
    let from = network.now;
    network.run(Duration::from_secs(30), 1.5, &ALL);
    let used = network.taken_between(from, network.now) / (RATE * 30.0);
    assert!((0.95..=1.05).contains(&used), "{used}");
}

#[test]
fn limits_lone_entry_reaches_ninety_percent() {
    for entry in [0, 3] {
        let mut network = Network::new();
        network.run(Duration::from_secs(20), 1.5, &[entry]);
        let from = network.now;
        network.run(Duration::from_secs(30), 1.2, &[entry]);
        let used = network.taken_between(from, network.now) / (RATE * 30.0);
        assert!((0.90..=1.05).contains(&used), "{used}");
    }
}

#[test]
fn limits_home_dies_stays_below_120_percent() {
    let mut network = Network::new();
    network.run(Duration::from_secs(20), 2.0, &ALL);
    network.settle();
    network.groups[0] = None;
    // Nobody knows yet: the static share holds.
    network.run(Duration::from_secs(8), 3.0, &ALL);
    network.home_of = vec![(1, Origin::Successor { entries: ENTRIES })];
    network.run(Duration::from_secs(30), 2.0, &ALL);
    let worst = network.worst_window();
    assert!(worst <= 1.2, "{worst}");
}

#[test]
fn limits_home_cut_off_stays_below_120_percent() {
    for cut in [vec![0], vec![0, 1, 2]] {
        let mut network = Network::new();
        network.run(Duration::from_secs(20), 2.0, &ALL);
        network.settle();
        for entry in &cut {
            network.groups[*entry] = Some(1);
        }
        network.home_of = vec![
            (5, Origin::Successor { entries: ENTRIES }),
            (0, Origin::First),
        ];
        // The load moves to the side that is cut off, which would tempt it to give all twice.
        network.run(Duration::from_secs(15), 4.0, &ALL);
        network.run(Duration::from_secs(15), 4.0, &cut);
        let worst = network.worst_window();
        assert!(worst <= 1.2, "{worst}");
    }
}

#[test]
fn limits_concurrency_counts_over_entries() {
    let mut home = Home::default();
    let terms = Terms {
        concurrent_requests: 3.0,
        ..terms()
    };
    let now = Moment::from_millis(1);
    let mut allotments = vec![Allotment::default(); 4];
    let admitted: Vec<bool> = allotments
        .iter_mut()
        .enumerate()
        .map(|(entry, allotment)| {
            let ask = allotment.ask(Incarnation(entry as u64), "customer", 1);
            let grant = home.grant(now, terms, &ask, Origin::First);
            allotment.receive(now, grant, 1).is_ok()
        })
        .collect();
    assert_eq!(admitted, [true, true, true, false]);
    allotments[0].ended();
    let report = allotments[0].report(Incarnation(0), "customer");
    home.grant(now, terms, &report, Origin::First);
    let ask = allotments[3].ask(Incarnation(3), "customer", 1);
    assert!(
        home.grant(now, terms, &ask, Origin::First)
            .refusal
            .is_none()
    );
}
