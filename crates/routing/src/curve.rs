//! The cost curve: engine time for the prefill of a prompt, learned from what engines measure.

use std::time::Duration;

/// Classes of length by powers of two: up to 2^21 tokens.
const BUCKETS: usize = 22;
/// Prefill time of one token in a short prompt before anything was measured, in microseconds.
const PRIOR_LINEAR_MICROS: f64 = 10.0;
/// Growth of that time with each further token of the prompt, in microseconds.
const PRIOR_GROWTH_MICROS: f64 = 1e-4;
/// A length counts as measured if a measured bucket is at most so many buckets away.
const MEASURED_DISTANCE: usize = 1;
/// The weight of a new measurement.
const LEARNING_RATE: f64 = 0.2;

/// Engine time as a function of the prompt's length.
///
/// Each bucket keeps the ratio of measured to prior time. Unmeasured buckets use the ratio of the
/// nearest measured one, so that the curve keeps the shape of the prior where nothing is known.
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
    /// Returns the estimated engine time of a prefill of `tokens` tokens.
    pub fn cost(&self, tokens: u64) -> Duration {
        let micros = prior(tokens) * self.ratio(bucket(tokens));
        Duration::from_micros(micros as u64)
    }

    /// Learns from a prefill that took `took` of engine time.
    pub fn observe(&mut self, tokens: u64, took: Duration) {
        let prior = prior(tokens);
        if prior <= 0.0 {
            return;
        }
        let ratio = took.as_micros() as f64 / prior;
        let known = &mut self.ratios[bucket(tokens)];
        *known = Some(match known {
            Some(old) => *old + LEARNING_RATE * (ratio - *old),
            None => ratio,
        });
    }

    /// Tells whether prompts of about `tokens` tokens were measured, so that a refusal may rest on
    /// their cost.
    pub fn is_measured(&self, tokens: u64) -> bool {
        let bucket = bucket(tokens);
        let near = |index: &usize| index.abs_diff(bucket) <= MEASURED_DISTANCE;
        (0..BUCKETS)
            .filter(near)
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

fn prior(tokens: u64) -> f64 {
    let tokens = tokens as f64;
    PRIOR_LINEAR_MICROS * tokens + PRIOR_GROWTH_MICROS * tokens * tokens
}

fn bucket(tokens: u64) -> usize {
    (tokens.max(1).ilog2() as usize).min(BUCKETS - 1)
}
