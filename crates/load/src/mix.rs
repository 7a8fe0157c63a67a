//! Mixes of prompts, and their arrival times. The same seed always gives the same arrivals.

use std::time::Duration;

use domain::Length;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

/// A stream of prompts from one customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stream {
    /// The index of the customer's bearer key.
    pub customer: usize,
    /// The length class of the prompts.
    pub length: Length,
    /// The mean number of arrivals per second.
    pub per_second: f64,
    /// The number of tokens of each answer.
    pub answer_tokens: u64,
}

/// A mix of streams of prompts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mix {
    /// The random seed.
    pub seed: u64,
    /// The period in which prompts arrive.
    #[serde(rename = "time")]
    pub duration: Duration,
    /// The streams.
    pub streams: Vec<Stream>,
}

/// A prompt that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The time since the start of the run.
    pub at: Duration,
    /// The index of the customer's bearer key.
    pub customer: usize,
    /// The length of the prompt, in tokens.
    pub tokens: u64,
    /// The number of tokens of the answer.
    pub answer_tokens: u64,
    /// The seed of the prompt's text, which makes it unique.
    pub seed: u64,
}

impl Mix {
    /// Returns the arrivals in order of time. Each stream is a Poisson process.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for (index, stream) in self.streams.iter().enumerate() {
            // Each stream has its own generator, so that removing one doesn't change the others.
            let mut rng = StdRng::seed_from_u64(self.seed.wrapping_add(index as u64 * 7919));
            let mut at = 0.0;
            if stream.per_second <= 0.0 {
                continue;
            }
            loop {
                at -= (1.0 - rng.random::<f64>()).ln() / stream.per_second;
                if at >= self.duration.as_secs_f64() {
                    break;
                }
                arrivals.push(Arrival {
                    at: Duration::from_secs_f64(at),
                    customer: stream.customer,
                    tokens: tokens(stream.length, &mut rng),
                    answer_tokens: stream.answer_tokens,
                    seed: rng.random(),
                });
            }
        }
        arrivals.sort_by_key(|it| it.at);
        arrivals
    }

    /// Returns the mix without its long and huge prompts.
    pub fn without_long(&self) -> Self {
        let mut mix = self.clone();
        for stream in mix
            .streams
            .iter_mut()
            .filter(|it| it.length >= Length::Long)
        {
            stream.per_second = 0.0;
        }
        mix
    }
}

/// Draws a prompt length from a length class, log-uniformly.
fn tokens(length: Length, rng: &mut StdRng) -> u64 {
    let (min, max) = match length {
        Length::Short => (1_000.0_f64, Length::SHORT_LIMIT as f64),
        Length::Medium => (
            Length::SHORT_LIMIT as f64 + 1.0,
            Length::MEDIUM_LIMIT as f64,
        ),
        Length::Long => (100_000.0, Length::LONG_LIMIT as f64),
        Length::Huge => (Length::LONG_LIMIT as f64 + 1.0, 1_000_000.0),
    };
    (min * (max / min).powf(rng.random::<f64>())) as u64
}
