//! Tests of the decision whether an entry reaches backend servers: it must be made within 2 s of a
//! partition, and not because a few servers die or fall silent.

use std::collections::BTreeSet;
use std::time::Duration;

use domain::Moment;
use placement::Reach;
use placement::reach::Candidate;
use placement::reach::Failure;
use placement::reach::Transition;
use rand::SeedableRng;
use rand::rngs::StdRng;

const STEP: Duration = Duration::from_millis(50);
/// The time after which a probe that nobody answers fails.
const PROBE_TIME: Duration = Duration::from_millis(400);
/// The longest time from a partition to the verdict.
const VERDICT_LIMIT: Duration = Duration::from_secs(2);
/// The longest time from the end of a partition to its detection.
const RETURN_LIMIT: Duration = Duration::from_secs(2);

/// An entry and servers, with simulated time.
struct Network {
    reach: Reach,
    keys: Vec<u64>,
    /// The number of servers of the first service, a plain one.
    plain: usize,
    /// The servers that accept connections.
    open: BTreeSet<u64>,
    /// Probes in progress, with the moment at which those to closed servers fail.
    probes: Vec<(u64, Moment)>,
    probe_count: usize,
    now: Moment,
    random: StdRng,
}

impl Network {
    fn new(count: u64, plain: usize) -> Self {
        let keys: Vec<u64> = (1..=count).collect();
        Self {
            reach: Reach::default(),
            open: keys.iter().copied().collect(),
            keys,
            plain,
            probes: Vec::new(),
            probe_count: 0,
            now: Moment::from_millis(10_000),
            random: StdRng::seed_from_u64(3),
        }
    }

    fn with_candidates<T>(
        &mut self,
        call: impl FnOnce(&mut Reach, &[Candidate<'_>], &mut StdRng, Moment) -> T,
    ) -> T {
        let candidates = self.keys.iter().enumerate().map(|(index, key)| Candidate {
            key: *key,
            service: if index < self.plain {
                "plain"
            } else {
                "engines"
            },
            data_centre: ["dc-1", "dc-2", "dc-3"][index % 3],
        });
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        call(&mut self.reach, &candidates, &mut self.random, self.now)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        if !self.probes.is_empty() {
            let (done, waiting): (Vec<_>, Vec<_>) = self
                .probes
                .drain(..)
                .partition(|it| self.open.contains(&it.0) || now >= it.1);
            self.probes = waiting;
            for (key, _) in done {
                self.reach.record_probe(now, key, self.open.contains(&key));
            }
            if self.probes.is_empty() {
                self.with_candidates(|reach, servers, _, now| reach.finish_round(now, servers));
            }
        }
        if self.probes.is_empty() {
            let targets = self
                .with_candidates(|reach, servers, random, now| reach.probe(now, servers, random));
            self.probe_count += targets.len();
            self.probes = targets
                .into_iter()
                .map(|it| (it, now + PROBE_TIME))
                .collect();
        }
    }

    /// Returns how long it takes until `condition` is met, at most `limit`.
    fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Reach) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            self.step();
            if condition(&self.reach) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    fn fail(&mut self, key: u64, failure: Failure) {
        self.reach.record_failure(self.now, key, failure);
    }

    fn isolate(&mut self) {
        self.open.clear();
        self.reach.record_begin(self.now);
        let verdict = self.run_until(VERDICT_LIMIT, Reach::is_isolated);
        assert!(verdict.is_some(), "not isolated in time");
    }
}

#[test]
fn silence_of_all_servers_isolates_in_time() {
    for count in [1, 2, 3, 60] {
        let mut network = Network::new(count, 1);
        network.isolate();
        assert!(network.probe_count <= 3, "{}", network.probe_count);
        assert!(network.reach.is_silent());
    }
}

#[test]
fn refused_connections_isolate_at_once() {
    for count in [2, 3, 60] {
        let mut network = Network::new(count, 0);
        network.open.clear();
        network.reach.record_begin(network.now);
        for key in 1..=count.min(3) {
            network.fail(key, Failure::Unconnected);
        }
        let verdict = network.run_until(PROBE_TIME * 2, Reach::is_isolated);
        assert!(verdict.is_some(), "{count} servers");
    }
}

#[test]
fn refused_connections_isolate_although_earlier_ones_answer() {
    let mut network = Network::new(60, 7);
    network.open.clear();
    network.reach.record_begin(network.now);
    let start = network.now;
    while !network.reach.is_isolated() {
        network.reach.record_answer(network.now);
        let key = 1 + network.now.since(start).as_millis() as u64 % 60;
        network.fail(key, Failure::Unconnected);
        network.step();
        assert!(network.now.since(start) < VERDICT_LIMIT);
    }
    // The connections that live on are not given up.
    assert!(!network.reach.is_silent());
}

#[test]
fn one_silent_server_does_not_isolate() {
    for count in [2, 3, 60] {
        let mut network = Network::new(count, 0);
        network.open.remove(&1);
        network.reach.record_begin(network.now);
        for _ in 0..200 {
            network.fail(1, Failure::Unanswered);
            network.step();
            assert!(!network.reach.is_isolated(), "{count} servers");
        }
        // A silent server is probed for, but rarely.
        assert!(network.probe_count <= 3 * 10, "{}", network.probe_count);
    }
}

#[test]
fn death_of_a_small_plain_service_does_not_isolate() {
    for seed in 0..50 {
        let mut network = Network::new(48, 3);
        network.random = StdRng::seed_from_u64(seed);
        network.open.retain(|it| *it > 3);
        for _ in 0..100 {
            network.reach.record_begin(network.now);
            (1..=3).for_each(|it| network.fail(it, Failure::Unconnected));
            network.step();
            network.reach.record_end();
            assert!(!network.reach.is_isolated(), "seed {seed}");
        }
    }
}

#[test]
fn dead_servers_are_probed_for_rarely() {
    let mut network = Network::new(48, 3);
    network.open.retain(|it| *it > 3);
    network.reach.record_begin(network.now);
    for _ in 0..600 {
        network.reach.record_answer(network.now);
        (1..=3).for_each(|it| network.fail(it, Failure::Unconnected));
        network.step();
    }
    // Three probes each time, in 30 s.
    assert!(network.probe_count <= 3 * 4, "{}", network.probe_count);
    // A partition that follows is still found.
    network.isolate();
}

#[test]
fn silent_requests_at_all_servers_of_few_do_not_isolate() {
    for count in [1, 2, 3] {
        let mut network = Network::new(count, 0);
        network.reach.record_begin(network.now);
        for _ in 0..100 {
            (1..=count).for_each(|it| network.fail(it, Failure::Unanswered));
            network.step();
            assert!(!network.reach.is_isolated(), "{count} servers");
        }
    }
}

#[test]
fn one_answering_server_of_few_prevents_isolation() {
    for count in [2, 3] {
        let mut network = Network::new(count, 0);
        network.open = BTreeSet::from([count]);
        network.reach.record_begin(network.now);
        for _ in 0..100 {
            (1..count).for_each(|it| network.fail(it, Failure::Unconnected));
            network.step();
            assert!(!network.reach.is_isolated(), "{count} servers");
        }
    }
}

#[test]
fn long_prompt_without_other_traffic_is_probed_for_rarely() {
    let mut network = Network::new(60, 7);
    network.reach.record_begin(network.now);
    network.run_until(Duration::from_secs(30), Reach::is_isolated);
    assert!(network.probe_count <= 3 * 6, "{}", network.probe_count);
    // Another request is a reason to look again soon.
    network.isolate();
}

#[test]
fn nothing_is_probed_without_suspicion() {
    let mut network = Network::new(60, 7);
    // Idle, then with answers, then with single failures.
    network.run_until(Duration::from_secs(5), |_| false);
    network.reach.record_begin(network.now);
    for index in 0..100 {
        network.reach.record_answer(network.now);
        if index % 40 == 0 {
            network.fail(5, Failure::Unconnected);
        }
        network.step();
    }
    assert_eq!(network.probe_count, 0);
    assert!(network.reach.take_transitions().is_empty());
}

#[test]
fn partition_of_an_idle_entry_is_found_with_its_next_requests() {
    let mut network = Network::new(60, 7);
    network.open.clear();
    assert_eq!(
        network.run_until(Duration::from_secs(20), Reach::is_isolated),
        None
    );
    assert_eq!(network.probe_count, 0);
    network.isolate();
}

#[test]
fn end_of_a_partition_is_found_in_time() {
    for count in [1, 2, 3, 60] {
        let mut network = Network::new(count, 1);
        network.isolate();
        network.run_until(Duration::from_secs(7), |_| false);
        assert!(network.reach.is_isolated());
        network.open = network.keys.iter().copied().collect();
        let connected = network.run_until(RETURN_LIMIT, |it| !it.is_isolated());
        assert!(connected.is_some(), "{count} servers");
        let last = network.reach.take_transitions().pop();
        assert!(matches!(last, Some(Transition::Connected(_))), "{last:?}");
    }
}

#[test]
fn single_success_does_not_end_the_isolation() {
    let mut network = Network::new(60, 0);
    network.isolate();
    for _ in 0..10 {
        network.reach.record_probe(network.now, 1, true);
        // The next rounds have no success.
        network.run_until(Duration::from_secs(3), |_| false);
        assert!(network.reach.is_isolated());
    }
}

#[test]
fn few_servers_that_are_left_end_the_isolation() {
    let mut network = Network::new(60, 0);
    network.isolate();
    network.open = BTreeSet::from([7, 8, 9]);
    let connected = network.run_until(Duration::from_secs(60), |it| !it.is_isolated());
    assert!(connected.is_some());
}

#[test]
fn probes_during_isolation_are_few() {
    let mut network = Network::new(60, 0);
    network.isolate();
    let before = network.probe_count;
    network.run_until(Duration::from_secs(10), |_| false);
    let probes = network.probe_count - before;
    assert!((20..=40).contains(&probes), "{probes} in 10 s");
}

#[test]
fn transitions_name_the_evidence() {
    let mut network = Network::new(60, 0);
    network.isolate();
    let transitions = network.reach.take_transitions();
    let [Transition::Suspected(first), Transition::Isolated(second)] = transitions[..] else {
        panic!("{transitions:?}");
    };
    assert_eq!((first.failed_servers, second.failed_servers), (0, 3));
    assert!(first.silence >= Duration::from_millis(500));
    assert_eq!(second.attempts, 1);
}
