//! Placing calls to plain services, which have a few slots and no batches.

use std::time::Duration;

use domain::Moment;
use rand::Rng;
use rand::RngExt;

use crate::Board;
use crate::servers::Known;

/// The latency that a server is assumed to have before it has answered.
const ASSUMED_LATENCY: Duration = Duration::from_millis(30);

/// Chooses the server whose work in progress is likely to end first. Servers in `tried` come last,
/// those whose breaker is open not at all.
pub fn choose<'a>(
    now: Moment,
    servers: impl Iterator<Item = &'a Known>,
    board: &Board,
    tried: &[u64],
    random: &mut impl Rng,
) -> Option<&'a Known> {
    let usable = servers.filter(|it| it.health.is_usable(now));
    let weighed = usable.map(|it| {
        let key = it.server.key();
        let running = board.queue(key).map_or(0, |it| it.len());
        let rounds = 1.0 + running as f64 / it.server.slots.max(1) as f64;
        let latency = it.latency.unwrap_or(ASSUMED_LATENCY).as_secs_f64();
        let jitter = 1.0 + 0.1 * random.random::<f64>();
        let is_full = running >= it.server.slots;
        (tried.contains(&key), is_full, rounds * latency * jitter, it)
    });
    let best = weighed.min_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
    best.map(|it| it.3)
}
