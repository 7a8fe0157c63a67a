//! Recent engine time of each firm in a lane, compared with the firm's share.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::Moment;

use crate::job::Tenant;
use crate::level::Conformance;

/// The half-life of recorded engine time.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// The time after its last job for which a firm's record is kept.
const RETENTION: Duration = Duration::from_secs(20);
/// The multiple of its fair share above which a firm counts as exceeding it.
const TOLERANCE: f64 = 1.25;
/// The additional allowance, in jobs, so that a single long job doesn't exceed the share.
const TOLERANCE_JOBS: f64 = 4.0;
/// The multiple for a firm with several waiting jobs. It is below 1, so that a firm that is alone
/// and has a backlog counts as exceeding its share, and a firm that arrives later goes first.
const TOLERANCE_WITH_BACKLOG: f64 = 0.99;

/// The recent engine time of each firm in one lane.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    firms: BTreeMap<String, Record>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    /// The engine time in microseconds, decayed to `last_update`.
    cost: f64,
    weight: f64,
    last_update: Moment,
}

impl Usage {
    /// Records that a job of a tenant was placed on an engine. `cost` is its engine time in
    /// microseconds.
    pub fn add(&mut self, now: Moment, tenant: &Tenant, cost: f64) {
        self.firms
            .retain(|_, it| now.since(it.last_update) < RETENTION);
        let weight = tenant.firm_weight.max(1) as f64;
        let previous = self
            .firms
            .get(&tenant.firm)
            .map_or(0.0, |it| it.decayed_cost(now));
        let updated = Record {
            cost: previous + cost,
            weight,
            last_update: now,
        };
        self.firms.insert(tenant.firm.clone(), updated);
    }

    /// Returns whether a firm keeps to its share among the recent users of the lane. `waiting` is
    /// the number of its waiting jobs, and `cost` the engine time of the first in microseconds.
    pub fn conformance(&self, now: Moment, firm: &str, waiting: usize, cost: f64) -> Conformance {
        let total: f64 = self.firms.values().map(|it| it.decayed_cost(now)).sum();
        let total_weight: f64 = self.firms.values().map(|it| it.weight).sum();
        let Some(own) = self.firms.get(firm) else {
            return Conformance::Conforming;
        };
        let fair_cost = total * own.weight / total_weight;
        let limit = match waiting {
            0 | 1 => fair_cost * TOLERANCE + cost * TOLERANCE_JOBS,
            _ => fair_cost * TOLERANCE_WITH_BACKLOG,
        };
        if own.decayed_cost(now) > limit {
            Conformance::Exceeding
        } else {
            Conformance::Conforming
        }
    }
}

impl Record {
    fn decayed_cost(&self, now: Moment) -> f64 {
        let halvings = now.since(self.last_update).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.cost * 0.5_f64.powf(halvings)
    }
}
