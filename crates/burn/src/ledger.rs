//! The ledger: good and bad requests by customer and class, minute by minute.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use domain::Moment;
use serde::Deserialize;
use serde::Serialize;

/// The short window.
pub const SHORT_WINDOW: Duration = Duration::from_secs(5 * 60);
/// The long window.
pub const LONG_WINDOW: Duration = Duration::from_secs(60 * 60);
/// The time that one bucket covers.
const BUCKET: Duration = Duration::from_secs(60);

/// Whose requests, of which class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// The customer.
    pub customer: String,
    /// The class of the prompt by length, or `service`.
    pub class: String,
}

/// Whether a request kept its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grade {
    /// It did.
    Good,
    /// It came late, or failed through no fault of the caller.
    Bad,
}

/// Good and bad requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that kept their objective.
    pub good: u64,
    /// Requests that did not.
    pub bad: u64,
}

/// The counts of one subject over both windows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Whose requests.
    pub subject: Subject,
    /// Over the short window.
    pub short: Counts,
    /// Over the long window.
    pub long: Counts,
}

/// Good and bad requests of one entry.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    buckets: HashMap<Subject, VecDeque<Bucket>>,
    swept: u64,
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
    /// Notes a request.
    pub fn record(&mut self, now: Moment, subject: Subject, grade: Grade) {
        let number = bucket_of(now);
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

    /// Drops what is older than the long window, once in each bucket's time.
    fn sweep(&mut self, number: u64) {
        if self.swept == number {
            return;
        }
        self.swept = number;
        let oldest = number.saturating_sub(buckets_in(LONG_WINDOW));
        for buckets in self.buckets.values_mut() {
            while buckets.front().is_some_and(|it| it.number < oldest) {
                buckets.pop_front();
            }
        }
        self.buckets.retain(|_, buckets| !buckets.is_empty());
    }
}

fn sum(buckets: &VecDeque<Bucket>, now: Moment, window: Duration) -> Counts {
    let oldest = bucket_of(now).saturating_sub(buckets_in(window));
    let mut counts = Counts::default();
    for bucket in buckets
        .iter()
        .filter(|it| it.number > oldest || oldest == 0)
    {
        counts.add(bucket.counts);
    }
    counts
}

fn bucket_of(now: Moment) -> u64 {
    now.since(Moment::default()).as_secs() / BUCKET.as_secs()
}

fn buckets_in(window: Duration) -> u64 {
    window.as_secs() / BUCKET.as_secs()
}
