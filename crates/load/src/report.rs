//! Reports: the results of a run by length class and customer.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::Length;
use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// The number of significant digits of recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The results of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// The results by length class, for all customers together.
    pub classes: BTreeMap<Length, Summary>,
    /// The results by index of the customer's bearer key, for all classes together.
    pub customers: BTreeMap<usize, Summary>,
}

/// The results of a group of prompts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Summary {
    /// The number of prompts that were sent.
    pub sent: u64,
    /// The number of prompts with a complete answer.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// The number of failures by kind.
    pub failures: BTreeMap<String, u64>,
    /// The time to first token.
    pub first_token: Percentiles,
}

/// Percentiles of a distribution of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
}

/// The result of one prompt.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The index of the customer's bearer key.
    pub customer: usize,
    /// The length class of the prompt.
    pub length: Length,
    /// The time to the first token, or the kind of the failure.
    pub result: Result<Duration, String>,
}

impl Report {
    /// Summarises samples.
    pub fn new(samples: &[Sample]) -> Self {
        let mut report = Self::default();
        for length in Length::ALL {
            let samples_of_class = samples.iter().filter(|it| it.length == length);
            if samples_of_class.clone().next().is_some() {
                report
                    .classes
                    .insert(length, Summary::new(samples_of_class));
            }
        }
        for sample in samples {
            report.customers.entry(sample.customer).or_default();
        }
        for (customer, summary) in &mut report.customers {
            *summary = Summary::new(samples.iter().filter(|it| it.customer == *customer));
        }
        report
    }

    /// Returns the time to first token of a class.
    pub fn first_token(&self, length: Length) -> Percentiles {
        self.classes
            .get(&length)
            .map(|it| it.first_token)
            .unwrap_or_default()
    }

    /// Returns the report as a table.
    pub fn table(&self) -> String {
        let mut table = format!(
            "{:<8} {:>7} {:>7} {:>10} {:>10} {:>10}\n",
            "class", "sent", "whole", "p50 ms", "p95 ms", "p99 ms"
        );
        for (length, class) in &self.classes {
            let times = class.first_token;
            table += &format!(
                "{:<8} {:>7} {:>7} {:>10.1} {:>10.1} {:>10.1}\n",
                length, class.sent, class.complete, times.p50_ms, times.p95_ms, times.p99_ms
            );
        }
        table
    }
}

impl Summary {
    fn new<'a>(samples: impl Iterator<Item = &'a Sample>) -> Self {
        let mut summary = Self::default();
        let mut times = Vec::new();
        for sample in samples {
            summary.sent += 1;
            match &sample.result {
                Ok(time) => {
                    summary.complete += 1;
                    times.push(*time);
                }
                Err(kind) => *summary.failures.entry(kind.clone()).or_default() += 1,
            }
        }
        summary.first_token = Percentiles::new(times);
        summary
    }
}

impl Percentiles {
    /// Computes the percentiles of times.
    pub fn new(times: impl IntoIterator<Item = Duration>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new(SIGNIFICANT_DIGITS) else {
            return Self::default();
        };
        for time in times {
            let _ = histogram.record(time.as_micros() as u64);
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
        }
    }
}
