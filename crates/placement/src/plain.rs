//! Chooses servers of plain services, which have a few slots and no batches.

use std::time::Duration;

use domain::Moment;
use rand::Rng;
use rand::RngExt;

use crate::Workload;
use crate::servers::State;

/// The time after which a latency expires. A server that was slow may have recovered, which can't
/// be observed while it gets no work.
const LATENCY_LIFETIME: Duration = Duration::from_secs(3);
/// The latency assumed for all servers while none has answered. It only has to be greater than
/// zero, so that running requests count.
const ASSUMED_LATENCY: Duration = Duration::from_millis(30);
/// The relative random variation of latencies.
const LATENCY_NOISE: f64 = 0.2;

/// Chooses the server that is expected to answer first. Servers in `tried` come last; servers with
/// an open circuit breaker are excluded.
pub fn choose<'a>(
    now: Moment,
    servers: impl Iterator<Item = &'a State>,
    workload: &Workload,
    tried: &[u64],
    random: &mut impl Rng,
) -> Option<&'a State> {
    let is_open = |it: &&State| it.health.is_usable(now) && it.hold(now, workload).is_zero();
    let usable: Vec<&State> = servers.filter(is_open).collect();
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
        // A warm server goes before a cold one that would answer as fast.
        let cold_factor = if it.is_cold(now) {
            1.0 + LATENCY_NOISE
        } else {
            1.0
        };
        let is_full = running >= it.server.slots;
        let rank = (tried.contains(&key), is_full);
        (rank, rounds * latency * noise * cold_factor, *it)
    });
    let best = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    best.map(|it| it.2)
}
