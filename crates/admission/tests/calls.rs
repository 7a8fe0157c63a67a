//! Plays bursts of calls to a plain service whose servers have few slots, with and without admission.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use admission::Decision;
use admission::Queue;
use admission::decide_call;
use admission::decision::Slot;
use admission::queue::Ahead;
use admission::queue::Rank;
use domain::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The servers of the smaller deployment.
const SERVERS: usize = 3;
const SLOTS: usize = 6;
/// The usual rate keeps less than half of the slots busy; a burst exceeds them by an eighth.
const PER_S: f64 = 65.0;
const BURST_FACTOR: f64 = 2.6;
const SERVICE_MS: (u64, u64) = (60, 180);
const MEAN_SERVICE: Duration = Duration::from_millis(120);
const PLAYED_MS: u64 = 12_000;
/// Bursts last four seconds of every six.
const CYCLE_MS: u64 = 6_000;
const BURST_MS: u64 = 4_000;
const TIME_LIMIT_MS: u64 = 2_000;
const TOLERANCE: f64 = 0.03;
const STARVED_SHARE: f64 = 0.25;
const SEEDS: u64 = 8;

/// The targets of the two kinds, the more urgent one first, in milliseconds.
const TARGET_MS: [u64; 2] = [300, 300];

#[derive(Clone, Debug)]
struct Call {
    at_ms: u64,
    kind: usize,
    service_ms: u64,
    done_ms: Option<u64>,
}

#[derive(Default)]
struct Server {
    waiting: VecDeque<usize>,
    /// The calls that run, and when they end.
    running: Vec<(usize, u64)>,
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000_000 + millis)
}

fn calls(seed: u64) -> Vec<Call> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for at_ms in 0..PLAYED_MS {
        let is_burst = at_ms % CYCLE_MS < BURST_MS;
        let factor = if is_burst { BURST_FACTOR } else { 1.0 };
        if random.random::<f64>() < PER_S * factor / 1e3 {
            calls.push(Call {
                at_ms,
                kind: random.random_range(0..2),
                service_ms: random.random_range(SERVICE_MS.0..SERVICE_MS.1),
                done_ms: None,
            });
        }
    }
    calls
}

/// Plays calls. With a queue, they wait in it as `decide_call` says; without one, they are sent at once to
/// the server with the fewest calls.
fn play(mut calls: Vec<Call>, levels: [u32; 2], mut queue: Option<Queue>) -> Vec<Call> {
    let mut servers: Vec<Server> = (0..SERVERS).map(|_| Server::default()).collect();
    let mut until: BTreeMap<u64, u64> = BTreeMap::new();
    let mut next = 0;
    for millis in 0..PLAYED_MS + TIME_LIMIT_MS {
        let now = at(millis);
        let mut due: Vec<u64> = Vec::new();
        if let Some(queue) = &queue {
            let limit = SLOTS;
            due = queue.due(now, Duration::from_millis(10), limit);
            let ended = until.iter().filter(|it| *it.1 <= millis);
            let ended: Vec<u64> = ended.map(|it| *it.0).collect();
            let ended = ended.into_iter().filter(|it| !due.contains(it));
            let ended: Vec<u64> = ended.collect();
            due.extend(ended);
        }
        let mut due: Vec<(usize, bool)> = due.into_iter().map(|it| (it as usize, false)).collect();
        while calls.get(next).is_some_and(|it| it.at_ms <= millis) {
            due.push((next, true));
            next += 1;
        }
        for (index, is_new) in due {
            let call = &calls[index];
            let placed = |it: &Server| it.waiting.len() + it.running.len();
            let server = servers.iter_mut().min_by_key(|it| placed(it));
            let server = server.expect("a server");
            if let Some(queue) = &mut queue {
                let rank = Rank {
                    level: levels[call.kind],
                    is_returned: false,
                    organisation: 0,
                    arrived: at(call.at_ms),
                    target: Duration::from_millis(TARGET_MS[call.kind]),
                };
                let call = admission::decision::Call {
                    target: now.until(rank.arrived + rank.target),
                    deadline: now.until(rank.arrived + Duration::from_millis(TIME_LIMIT_MS)),
                    latency: MEAN_SERVICE,
                    slot: if placed(server) < SLOTS {
                        Slot::Free
                    } else {
                        Slot::Taken
                    },
                };
                let ahead = match is_new {
                    _ if call.is_late() => queue.ahead_of_late(),
                    true => queue.ahead(now, &rank),
                    false => Ahead::default(),
                };
                let decision = decide_call(now, &call, ahead);
                if let Decision::Wait { until: end, reason } = decision {
                    queue.wait(now, index as u64, rank, reason);
                    until.insert(index as u64, millis + now.until(end).as_millis() as u64);
                    continue;
                }
                queue.leave(now, index as u64);
                until.remove(&(index as u64));
            }
            server.waiting.push_back(index);
        }
        for server in &mut servers {
            for (index, _) in server.running.extract_if(.., |it| it.1 <= millis) {
                calls[index].done_ms = Some(millis);
            }
            while server.running.len() < SLOTS {
                let Some(index) = server.waiting.pop_front() else {
                    break;
                };
                // Callers leave at the end of their time limit.
                if millis < calls[index].at_ms + TIME_LIMIT_MS {
                    server
                        .running
                        .push((index, millis + calls[index].service_ms));
                }
            }
        }
    }
    calls
}

/// Returns the shares of a kind that are in time, and that are answered at all.
fn shares(calls: &[Call], kind: usize) -> (f64, f64) {
    let of: Vec<&Call> = calls.iter().filter(|it| it.kind == kind).collect();
    let waited = |it: &&&Call| it.done_ms.map(|done| done - it.at_ms);
    let in_time = of
        .iter()
        .filter(|it| waited(it).is_some_and(|it| it <= TARGET_MS[kind]));
    let answered = of.iter().filter(|it| waited(it).is_some());
    let total = of.len() as f64;
    (
        in_time.count() as f64 / total,
        answered.count() as f64 / total,
    )
}

/// Plays both ways with these levels, and returns the shares in time of both kinds, at once and admitted.
fn compare(levels: [u32; 2]) -> [[f64; 2]; 2] {
    let mut played = [Vec::new(), Vec::new()];
    for seed in 1..=SEEDS {
        played[0].extend(play(calls(seed), levels, None));
        played[1].extend(play(calls(seed), levels, Some(Queue::default())));
    }
    let shares = [0, 1].map(|way: usize| [0, 1].map(|kind| shares(&played[way], kind)));
    println!("levels {levels:?}: in time and answered, at once and admitted: {shares:.3?}");
    let answered = shares[1].map(|it| it.1);
    let all = (answered[0] + answered[1]) / 2.0;
    assert!(
        answered.iter().all(|it| *it >= all * STARVED_SHARE),
        "{answered:?}"
    );
    shares.map(|it| it.map(|it| it.0))
}

/// Waiting here instead of at a server must not make calls late.
#[test]
fn burst_of_equally_urgent_calls_neither_kind_is_worse() {
    let [at_once, admitted] = compare([0, 0]);
    for kind in 0..2 {
        assert!(admitted[kind] >= at_once[kind] - TOLERANCE);
    }
}

#[test]
fn burst_of_calls_more_urgent_ones_gain() {
    let [at_once, admitted] = compare([0, 2]);
    assert!(admitted[0] > at_once[0], "{at_once:?} {admitted:?}");
}
