//! The callers of a played load: kinds of prompts, organisations and bursts.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Instances that callers choose among.
pub const INSTANCES: usize = 24;
/// Organisations that callers belong to.
pub const ORGANISATIONS: usize = 8;
/// A burst of one kind begins at this time, in milliseconds, and lasts as long as bursts do.
const BURST_START_MS: u64 = 2_000;
const BURST_END_MS: u64 = 7_000;
/// How many times the usual rate a burst has.
pub const BURST_FACTOR: f64 = 2.6;

/// A kind of prompts, as specified for the larger deployment.
#[derive(Debug)]
pub struct Kind {
    pub name: &'static str,
    pub level: u32,
    pub per_s: f64,
    tokens: (u64, u64),
    pub target_ms: u64,
    pub pause_ms: u64,
}

pub const KINDS: [Kind; 3] = [
    Kind {
        name: "short",
        level: 0,
        per_s: 74.9,
        tokens: (420, 9_500),
        target_ms: 250,
        pause_ms: 250,
    },
    Kind {
        name: "medium",
        level: 1,
        per_s: 8.85,
        tokens: (20_000, 70_000),
        target_ms: 1_500,
        pause_ms: 600,
    },
    Kind {
        name: "long",
        level: 2,
        per_s: 3.15,
        tokens: (120_000, 260_000),
        target_ms: 6_000,
        pause_ms: 1_000,
    },
];

impl Kind {
    /// Returns how long a caller waits for an event.
    pub fn silence_ms(&self) -> u64 {
        2_000.max(self.target_ms * 4).max(self.pause_ms * 8)
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub kind: usize,
    pub tokens: u64,
    pub passes: u32,
    pub organisation: usize,
    pub instance: usize,
    pub ignores_delay: bool,
}

/// A load: which kind bursts, and what else is unusual about its callers.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub seed: u64,
    pub played_ms: u64,
    /// The kind that bursts; all if there is no such kind.
    pub burst: Option<usize>,
    /// The share of requests of the first organisation.
    pub flood_share: f64,
    pub ignores_delay: bool,
}

impl Load {
    /// Returns the requests in the order of their arrival.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut arrivals = Vec::new();
        for at_ms in 0..self.played_ms {
            for (kind, terms) in KINDS.iter().enumerate() {
                let is_burst = (BURST_START_MS..BURST_END_MS).contains(&at_ms)
                    && self.burst.is_none_or(|it| it == kind);
                let factor = if is_burst { BURST_FACTOR } else { 1.0 };
                if random.random::<f64>() >= terms.per_s * factor / 1e3 {
                    continue;
                }
                let organisation = match random.random::<f64>() < self.flood_share {
                    true => 0,
                    false => random.random_range(0..ORGANISATIONS),
                };
                arrivals.push(Arrival {
                    at_ms,
                    kind,
                    tokens: random.random_range(terms.tokens.0..terms.tokens.1),
                    passes: random.random_range(8..38),
                    organisation,
                    instance: random.random_range(0..INSTANCES),
                    ignores_delay: self.ignores_delay,
                });
            }
        }
        arrivals
    }
}
