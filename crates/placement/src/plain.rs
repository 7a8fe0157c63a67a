//! Chooses servers of plain services, which have a few slots and no batches.

use std::time::Duration;

use domain::Moment;
use rand::Rng;
use rand::RngExt;

use crate::Workload;
use crate::expectation::Expectation;
use crate::expectation::Work;
use crate::remaining::Remaining;
use crate::servers::State;

/// The time after which a latency expires. A server that was slow may have recovered, which can't
/// be observed while it gets no work.
const LATENCY_LIFETIME: Duration = Duration::from_secs(3);
/// The latency assumed for all servers while none has answered. It only has to be greater than
/// zero, so that running requests count.
const ASSUMED_LATENCY: Duration = Duration::from_millis(30);
/// The relative random variation of latencies.
const LATENCY_NOISE: f64 = 0.2;
/// Servers whose expected times differ by less than this share are similar. The upper quantile of their
/// remaining work decides between them.
const SIMILAR_SHARE: f64 = 0.1;
/// A server's pace counts from this factor on. Below it, a few calls that took long look the same.
const SLOW_THRESHOLD: f64 = 1.25;

/// A server that a call may go to.
struct Candidate<'a> {
    state: &'a State,
    /// Whether it was tried, and whether its slots are taken.
    rank: (bool, bool),
    /// The expected time to the answer, in milliseconds.
    mean_ms: f64,
    /// The 0.9 quantile of that time.
    upper_ms: f64,
}

/// Chooses the server that is expected to answer first. `expected` is the service time of the call, in
/// milliseconds. Servers in `tried` come last; servers with an open circuit breaker are excluded.
pub fn choose<'a>(
    now: Moment,
    servers: impl Iterator<Item = &'a State>,
    workload: &Workload,
    expected: Expectation,
    tried: &[u64],
    random: &mut impl Rng,
) -> Option<&'a State> {
    let is_open = |it: &&State| it.health.is_usable(now) && it.hold(now, workload).is_zero();
    let usable: Vec<&State> = servers.filter(is_open).collect();
    if let Some(work) = expected.work() {
        return choose_by_work(now, &usable, workload, &work, tried, random);
    }
    let recent = |it: &&State| it.recent_latency(now, LATENCY_LIFETIME);
    // A server without a recent latency is assumed to be as fast as the fastest.
    let fastest = usable.iter().filter_map(recent).min();
    let ranked = usable.iter().map(|it| {
        let key = it.key();
        let running = workload.queue(key).map_or(0, |it| it.len());
        let rounds = 1.0 + running as f64 / it.server.slots.max(1) as f64;
        let latency = recent(it)
            .or(fastest)
            .unwrap_or(ASSUMED_LATENCY)
            .as_secs_f64();
        let noise = 1.0 + LATENCY_NOISE * random.random::<f64>();
        let is_full = running >= it.server.slots;
        let rank = (tried.contains(&key), is_full);
        (rank, rounds * latency * noise * cold_factor(now, it), *it)
    });
    let best = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    best.map(|it| it.2)
}

/// Returns the factor by which a warm server goes before a cold one that would answer as fast.
fn cold_factor(now: Moment, server: &State) -> f64 {
    if server.is_cold(now) {
        (1.0 + LATENCY_NOISE) * (1.0 + SIMILAR_SHARE)
    } else {
        1.0
    }
}

/// Returns the pace of the fastest server of those given.
pub fn fastest_pace<'a>(now: Moment, servers: impl Iterator<Item = &'a State>) -> f64 {
    let paces = servers.filter_map(|it| it.recent_pace(now, LATENCY_LIFETIME));
    paces.reduce(f64::min).unwrap_or(1.0)
}

/// Returns how many times longer a server takes than the fastest one.
pub fn pace(now: Moment, server: &State, fastest: f64) -> f64 {
    let recent = server.recent_pace(now, LATENCY_LIFETIME);
    let factor = recent.map_or(1.0, |it| it / fastest);
    if factor >= SLOW_THRESHOLD {
        factor
    } else {
        1.0
    }
}

/// Chooses the server with the least work left, its pace included.
fn choose_by_work<'a>(
    now: Moment,
    usable: &[&'a State],
    workload: &Workload,
    work: &Work,
    tried: &[u64],
    random: &mut impl Rng,
) -> Option<&'a State> {
    let fastest = fastest_pace(now, usable.iter().copied());
    let candidates = usable.iter().map(|it| {
        let key = it.key();
        let slots = it.server.slots.max(1);
        let queue = workload.queue(key);
        let overdue = queue.map_or(1.0, |it| it.overdue_pace(now, slots, work));
        let pace = pace(now, it, fastest).max(overdue);
        let left = queue.map_or(Remaining::default(), |it| {
            it.remaining(now, slots, work, pace)
        });
        let noise = cold_factor(now, it) * (1.0 + LATENCY_NOISE * random.random::<f64>());
        let time = |left_ms: f64| (work.mean() + left_ms / slots as f64) * pace;
        let running = queue.map_or(0, |it| it.len());
        Candidate {
            state: it,
            rank: (tried.contains(&key), running >= it.server.slots),
            mean_ms: time(left.mean_ms) * noise,
            upper_ms: time(left.upper_ms) * noise,
        }
    });
    let candidates: Vec<Candidate<'a>> = candidates.collect();
    let first = candidates
        .iter()
        .min_by(|a, b| a.rank.cmp(&b.rank).then(a.mean_ms.total_cmp(&b.mean_ms)))?;
    let is_similar = |it: &&Candidate<'a>| {
        it.rank == first.rank && it.mean_ms <= first.mean_ms * (1.0 + SIMILAR_SHARE)
    };
    let similar = candidates.iter().filter(is_similar);
    let best = similar.min_by(|a, b| a.upper_ms.total_cmp(&b.upper_ms));
    best.map(|it| it.state)
}
