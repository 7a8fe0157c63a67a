//! Usage: the engine time that each firm was given lately, against its share.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::Moment;

use crate::job::Tenant;
use crate::level::Conformance;

/// The time in which a use counts half.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// The time after which a firm's use is forgotten.
const RETENTION: Duration = Duration::from_secs(20);
/// The part of its share from which a firm counts as heavy.
const TOLERANCE: f64 = 1.25;
/// The jobs that a firm may be above that, so that one long job makes nobody heavy.
const TOLERATED_JOBS: f64 = 4.0;
/// The same for a firm with several jobs that wait. A firm that is alone and has a backlog counts as
/// heavy, so that one that comes finds room.
const TOLERANCE_WITH_BACKLOG: f64 = 0.99;

/// The recent use of one lane by each firm.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    firms: BTreeMap<String, Use>,
}

#[derive(Clone, Copy, Debug)]
struct Use {
    cost: f64,
    share: f64,
    at: Moment,
}

impl Usage {
    /// Notes that a job of a tenant that costs `cost` was given an engine.
    pub fn add(&mut self, now: Moment, tenant: &Tenant, cost: f64) {
        self.firms.retain(|_, it| now.since(it.at) < RETENTION);
        let share = tenant.firm_weight.max(1) as f64;
        let known = self
            .firms
            .get(&tenant.firm)
            .map_or(0.0, |it| it.at_moment(now));
        let newest = Use {
            cost: known + cost,
            share,
            at: now,
        };
        self.firms.insert(tenant.firm.clone(), newest);
    }

    /// Tells how a firm with so many waiting jobs, of which the first costs `cost`, stands among
    /// those that used the lane lately.
    pub fn conformance(&self, now: Moment, firm: &str, waiting: usize, cost: f64) -> Conformance {
        let total: f64 = self.firms.values().map(|it| it.at_moment(now)).sum();
        let shares: f64 = self.firms.values().map(|it| it.share).sum();
        let Some(own) = self.firms.get(firm) else {
            return Conformance::Conforming;
        };
        let fair = total * own.share / shares;
        let limit = match waiting {
            0 | 1 => fair * TOLERANCE + cost * TOLERATED_JOBS,
            _ => fair * TOLERANCE_WITH_BACKLOG,
        };
        if own.at_moment(now) > limit {
            Conformance::Exceeding
        } else {
            Conformance::Conforming
        }
    }
}

impl Use {
    fn at_moment(&self, now: Moment) -> f64 {
        let halvings = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.cost * 0.5_f64.powf(halvings)
    }
}
