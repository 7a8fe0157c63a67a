//! What requests cost: the observations of all entries, and the estimates that follow from them.

use cost::Batch;
use cost::Estimator;
use cost::Inbox;
use cost::Observation;
use cost::Outbox;
use cost::Shift;
use domain::key::Incarnation;
use rand::Rng;

/// The observations of all entries.
#[derive(Clone, Debug)]
pub struct Costs {
    /// The estimates.
    pub estimator: Estimator,
    /// The observations of this entry, to send.
    pub outbox: Outbox,
    /// The batches of other entries.
    pub inbox: Inbox,
}

impl Costs {
    /// Returns the costs of an entry that has observed nothing.
    pub fn new(entry: Incarnation) -> Self {
        Self {
            estimator: Estimator::default(),
            outbox: Outbox::new(entry),
            inbox: Inbox::default(),
        }
    }

    /// Adds an observation of this entry, and returns whether it changes the estimates. One that does not
    /// is not sent either, so that callers who disconnect early don't displace other observations.
    pub fn record(&mut self, observation: Observation, random: &mut impl Rng) -> bool {
        if !self.estimator.counts(&observation) {
            return false;
        }
        self.observe(&observation);
        self.outbox.push(observation, random);
        true
    }

    /// Adds the observations of another entry that were not received before, and returns their number.
    pub fn apply(&mut self, batch: &Batch) -> usize {
        let new = self.inbox.accept(batch);
        for it in new {
            log_shift(it, self.estimator.observe(it));
        }
        new.len()
    }

    fn observe(&mut self, observation: &Observation) {
        log_shift(observation, self.estimator.observe(observation));
    }
}

fn log_shift(observation: &Observation, shift: Option<Shift>) {
    if let Some(shift) = shift {
        log::info!(
            target: "cost",
            service = observation.service.as_str(),
            route = observation.route.as_str(),
            before = shift.before,
            after = shift.after;
            "the mean cost of a route's requests has changed, in output tokens or milliseconds"
        );
    }
}
