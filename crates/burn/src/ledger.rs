//! The ledger: counts of good and bad requests per customer and class, in buckets of one minute.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use domain::Moment;
use serde::Deserialize;
use serde::Serialize;

/// The short window for burn rates.
pub const SHORT_WINDOW: Duration = Duration::from_secs(5 * 60);
/// The long window for burn rates.
pub const LONG_WINDOW: Duration = Duration::from_secs(60 * 60);
/// The length of one bucket.
const BUCKET_LENGTH: Duration = Duration::from_secs(60);

/// A group of requests: those of one customer and one class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// The customer.
    pub customer: String,
    /// The length class of the prompt, or `service`.
    pub class: String,
}

/// Whether a request met its service level objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grade {
    /// The request met its objective.
    Good,
    /// The request was late, or failed for a reason that the caller didn't cause.
    Bad,
}

/// Numbers of good and bad requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that met their objective.
    pub good: u64,
    /// Requests that missed their objective.
    pub bad: u64,
}

/// The counts of one subject over both windows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The group of requests.
    pub subject: Subject,
    /// The counts over the short window.
    pub short: Counts,
    /// The counts over the long window.
    pub long: Counts,
}

/// Counts of the good and bad requests of one entry.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    buckets: HashMap<Subject, VecDeque<Bucket>>,
    last_sweep: u64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    number: u64,
    counts: Counts,
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.good += other.good;
        self.bad += other.bad;
    }
}

impl Ledger {
    /// Counts a request.
    pub fn record(&mut self, now: Moment, subject: Subject, grade: Grade) {
        let number = bucket_number(now);
        self.sweep(number);
        let buckets = self.buckets.entry(subject).or_default();
        if buckets.back().is_none_or(|it| it.number != number) {
            buckets.push_back(Bucket {
                number,
                counts: Counts::default(),
            });
        }
        let Some(bucket) = buckets.back_mut() else {
            return;
        };
        match grade {
            Grade::Good => bucket.counts.good += 1,
            Grade::Bad => bucket.counts.bad += 1,
        }
    }

    /// Returns the counts of all subjects over both windows.
    pub fn summaries(&self, now: Moment) -> Vec<Summary> {
        let summaries = self.buckets.iter().map(|(subject, buckets)| Summary {
            subject: subject.clone(),
            short: sum(buckets, now, SHORT_WINDOW),
            long: sum(buckets, now, LONG_WINDOW),
        });
        summaries.collect()
    }

    /// Drops buckets that are older than the long window, at most once per bucket length.
    fn sweep(&mut self, number: u64) {
        if self.last_sweep == number {
            return;
        }
        self.last_sweep = number;
        let oldest = number.saturating_sub(bucket_count(LONG_WINDOW));
        for buckets in self.buckets.values_mut() {
            while buckets.front().is_some_and(|it| it.number < oldest) {
                buckets.pop_front();
            }
        }
        self.buckets.retain(|_, buckets| !buckets.is_empty());
    }
}

fn sum(buckets: &VecDeque<Bucket>, now: Moment, window: Duration) -> Counts {
    let oldest = bucket_number(now).saturating_sub(bucket_count(window));
    let mut counts = Counts::default();
    for bucket in buckets
        .iter()
        .filter(|it| it.number > oldest || oldest == 0)
    {
        counts.add(bucket.counts);
    }
    counts
}

fn bucket_number(now: Moment) -> u64 {
    now.since(Moment::default()).as_secs() / BUCKET_LENGTH.as_secs()
}

fn bucket_count(window: Duration) -> u64 {
    window.as_secs() / BUCKET_LENGTH.as_secs()
}
