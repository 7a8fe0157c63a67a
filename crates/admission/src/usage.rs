//! The engine time that organisations have used recently.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::Moment;

/// The half-life of recorded engine time: about the length of a burst.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// The number of organisations that are recorded. Those that have used least are forgotten first.
const LIMIT: usize = 1_024;

/// The engine time of each organisation, by the digest of its name.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    records: BTreeMap<u64, Record>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    /// Milliseconds of engine time, decayed to `at`.
    cost_ms: f64,
    at: Moment,
}

impl Record {
    fn decayed(&self, now: Moment) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.cost_ms * 0.5_f64.powf(half_lives)
    }
}

impl Usage {
    /// Records engine time of an organisation.
    pub fn add(&mut self, now: Moment, organisation: u64, cost_ms: f64) {
        let cost_ms = self.of(now, organisation) + cost_ms;
        if self.records.len() >= LIMIT && !self.records.contains_key(&organisation) {
            let least = self
                .records
                .iter()
                .min_by(|a, b| a.1.decayed(now).total_cmp(&b.1.decayed(now)));
            if let Some(least) = least.map(|it| *it.0) {
                self.records.remove(&least);
            }
        }
        self.records
            .insert(organisation, Record { cost_ms, at: now });
    }

    /// Returns the recent engine time of an organisation, in milliseconds.
    pub fn of(&self, now: Moment, organisation: u64) -> f64 {
        let record = self.records.get(&organisation);
        record.map_or(0.0, |it| it.decayed(now))
    }
}
