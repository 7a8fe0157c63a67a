//! Placing calls to plain services, which have a few slots and no batches.

use std::time::Duration;

use domain::Moment;
use rand::Rng;
use rand::RngExt;

use crate::Workload;
use crate::servers::State;

/// The time after which a latency says nothing more: a server that was slow then may be fast now,
/// and nobody would find out if it got no work.
const LATENCY_KEPT: Duration = Duration::from_secs(3);
/// The latency that all servers are assumed to have while none has answered; only that it is not
/// zero matters, so that running work counts.
const ASSUMED_LATENCY: Duration = Duration::from_millis(30);
/// Latencies differ at random by about this share.
const LATENCY_NOISE: f64 = 0.2;

/// Chooses the server whose work in progress is likely to end first. Servers in `tried` come last,
/// those whose breaker is open not at all.
pub fn choose<'a>(
    now: Moment,
    servers: impl Iterator<Item = &'a State>,
    workload: &Workload,
    tried: &[u64],
    random: &mut impl Rng,
) -> Option<&'a State> {
    let usable: Vec<&State> = servers.filter(|it| it.health.is_usable(now)).collect();
    let recent = |it: &&State| it.recent_latency(now, LATENCY_KEPT);
    // A server of which nothing is known gets the benefit of the doubt.
    let fastest = usable.iter().filter_map(recent).min();
    let weighed = usable.iter().map(|it| {
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
        (rank, rounds * latency * noise, *it)
    });
    let best = weighed.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    best.map(|it| it.2)
}
