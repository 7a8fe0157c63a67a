//! The cost curve: the engine time of a prefill by prompt length, learned from measured prefills.

use std::time::Duration;

/// The number of buckets, one per power of two, up to 2^21 tokens.
const BUCKETS: usize = 22;
/// The prior prefill time per token of a short prompt, in microseconds.
const PRIOR_MICROS_PER_TOKEN: f64 = 10.0;
/// The growth of the time per token with each further token of the prompt, in microseconds.
const PRIOR_GROWTH_MICROS: f64 = 1e-4;
/// The largest distance, in buckets, from a measured bucket at which a length counts as measured.
const MEASURED_DISTANCE: usize = 1;
/// The weight of a new measurement in the moving average.
const LEARNING_RATE: f64 = 0.2;

/// Engine time as a function of the prompt's length.
///
/// Each bucket keeps the ratio of measured to prior time. A bucket without measurements uses the
/// ratio of the nearest measured one, which keeps the shape of the prior there.
#[derive(Clone, Debug)]
pub struct Curve {
    ratios: [Option<f64>; BUCKETS],
}

impl Default for Curve {
    fn default() -> Self {
        Self {
            ratios: [None; BUCKETS],
        }
    }
}

impl Curve {
    /// Returns the estimated engine time for the prefill of `tokens` tokens.
    pub fn cost(&self, tokens: u64) -> Duration {
        let micros = prior_micros(tokens) * self.ratio(bucket(tokens));
        Duration::from_micros(micros as u64)
    }

    /// Updates the curve with a prefill that took `measured` of engine time.
    pub fn observe(&mut self, tokens: u64, measured: Duration) {
        let prior = prior_micros(tokens);
        if prior <= 0.0 {
            return;
        }
        let ratio = measured.as_micros() as f64 / prior;
        let entry = &mut self.ratios[bucket(tokens)];
        *entry = Some(match entry {
            Some(old) => *old + LEARNING_RATE * (ratio - *old),
            None => ratio,
        });
    }

    /// Returns whether prompts of about `tokens` tokens have been measured. Only then may a request
    /// be refused because of its estimated cost.
    pub fn is_measured(&self, tokens: u64) -> bool {
        let bucket = bucket(tokens);
        let is_near = |index: &usize| index.abs_diff(bucket) <= MEASURED_DISTANCE;
        (0..BUCKETS)
            .filter(is_near)
            .any(|it| self.ratios[it].is_some())
    }

    fn ratio(&self, bucket: usize) -> f64 {
        let distance = |index: &usize| index.abs_diff(bucket);
        let nearest = (0..BUCKETS)
            .filter(|it| self.ratios[*it].is_some())
            .min_by_key(distance);
        nearest.and_then(|it| self.ratios[it]).unwrap_or(1.0)
    }
}

fn prior_micros(tokens: u64) -> f64 {
    let tokens = tokens as f64;
    PRIOR_MICROS_PER_TOKEN * tokens + PRIOR_GROWTH_MICROS * tokens * tokens
}

fn bucket(tokens: u64) -> usize {
    (tokens.max(1).ilog2() as usize).min(BUCKETS - 1)
}
