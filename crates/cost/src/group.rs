//! The decayed distribution of costs in one group of requests.
//!
//! Costs are kept as logarithms: they spread over orders of magnitude, and a factor means the same for
//! short and for long answers. The caller's hint is weighted by a regression of the cost on the hint, so
//! that a hint which says nothing about the cost gets no weight.

use std::collections::VecDeque;

use crate::tail::Tail;

/// The time constant of the decay, in observations: those more than 200 observations ago have less than
/// 5 % of the weight, so that a change of behaviour is followed within 200 observations.
const DECAY_OBSERVATIONS: f64 = 64.0;
/// The weight of the assumption that hints are right, in observations, and the variance of hints that goes
/// with it. Few observations say little about how good hints are.
const HINT_PRIOR_WEIGHT: f64 = 10.0;
const HINT_PRIOR_VARIANCE: f64 = 0.25;
/// The bounds of a variance of logarithms. The lower one stands for costs that never differ.
const VARIANCE_BOUNDS: (f64, f64) = (1e-4, 4.0);
/// The upper quantile that is estimated.
pub const UPPER_QUANTILE: f64 = 0.9;
/// The number of standard deviations from the median to that quantile, of a lognormal distribution.
const NORMAL_DEVIATIONS: f64 = 1.2816;
/// The bounds of that number for other distributions.
const DEVIATION_BOUNDS: (f64, f64) = (0.2, 4.0);
/// The step by which that number follows the observations.
const DEVIATION_STEP: f64 = 0.05;
/// The weight from which a group's own forecast is compared with its observations.
const MIN_WEIGHT: f64 = 8.0;
/// Observations count in the groups of the route and of the service up to this many standard deviations
/// from their mean, so that no caller moves them at once.
const OUTLIER_DEVIATIONS: f64 = 3.0;
/// The least such bound, as a logarithm: a factor of two. Without it, a route whose costs never differed would
/// follow a change too slowly.
const MIN_OUTLIER_BOUND: f64 = std::f64::consts::LN_2;

/// The least weight with which a lower bound counts.
const MIN_BOUND_WEIGHT: f64 = 0.01;
/// The number of organisations of a route whose forecasts are compared.
const ORGANISATION_LIMIT: usize = 9;

/// The distribution of costs in a group.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    /// All requests; without hints.
    all: Moments,
    /// The requests with a hint.
    hinted: Moments,
    /// The number of standard deviations from the median to the upper quantile.
    deviations: f64,
    /// The mean cost that was last reported as changed.
    pub(crate) reported: Option<f64>,
    /// The number of the last use.
    pub(crate) used: u64,
    /// The keys of the organisations of a route that were observed lately.
    organisations: VecDeque<u64>,
}

/// The forecast of a cost, as the distribution of its logarithm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Forecast {
    pub(crate) mean: f64,
    pub(crate) variance: f64,
    /// The number of standard deviations to the upper quantile.
    pub(crate) deviations: f64,
    /// The number of observations that it rests on.
    pub(crate) weight: f64,
}

/// Decayed moments of pairs of a hint and a cost, both as logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct Moments {
    weight: f64,
    /// The part of the weight that lower bounds have.
    bounds: f64,
    hint: f64,
    cost: f64,
    hint_variance: f64,
    covariance: f64,
    cost_variance: f64,
}

impl Default for Group {
    fn default() -> Self {
        Self {
            all: Moments::default(),
            hinted: Moments::default(),
            deviations: NORMAL_DEVIATIONS,
            reported: None,
            used: 0,
            organisations: VecDeque::new(),
        }
    }
}

impl Group {
    /// Returns the number of observations that the group rests on.
    pub(crate) fn weight(&self) -> f64 {
        self.all.weight
    }

    /// Records that an organisation was observed on this route.
    pub(crate) fn record_organisation(&mut self, key: u64) {
        if self.organisations.contains(&key) {
            return;
        }
        if self.organisations.len() == ORGANISATION_LIMIT {
            self.organisations.pop_front();
        }
        self.organisations.push_back(key);
    }

    /// Returns the organisations that were observed on this route.
    pub(crate) fn organisations(&self) -> impl Iterator<Item = u64> + '_ {
        self.organisations.iter().copied()
    }

    /// Returns the forecast for all requests of the group.
    pub(crate) fn overall(&self) -> Forecast {
        self.all.forecast(0.0, self.deviations)
    }

    /// Returns the forecast for a request with this hint.
    pub(crate) fn forecast(&self, hint: Option<f64>) -> Forecast {
        match hint {
            Some(hint) => self.hinted.forecast(hint, self.deviations),
            None => self.overall(),
        }
    }

    /// Adds an observation.
    pub(crate) fn observe(&mut self, weight: f64, hint: Option<f64>, cost: f64) {
        let forecast = self.forecast(hint);
        if forecast.weight >= MIN_WEIGHT {
            let below = if cost <= forecast.upper() { 1.0 } else { 0.0 };
            self.follow_quantile(weight, below);
        }
        self.all.add(weight, 0.0, cost);
        if let Some(hint) = hint {
            self.hinted.add(weight, hint, cost);
        }
    }

    /// Adds an observation, bounded by those before it.
    pub(crate) fn observe_bounded(&mut self, weight: f64, hint: Option<f64>, cost: f64) {
        let overall = self.overall();
        if overall.weight < MIN_WEIGHT {
            return self.observe(weight, hint, cost);
        }
        let most = self.outlier_bound();
        let cost = cost.clamp(overall.mean - most, overall.mean + most);
        self.observe(weight, hint, cost);
    }

    /// Returns the weight that a lower bound may have besides the whole observations; 0 if it is below the
    /// median or too little was observed.
    pub(crate) fn bound_weight(&self, hint: Option<f64>, bound: f64) -> f64 {
        match hint {
            Some(hint) => self.hinted.bound_weight(hint, bound),
            None => self.all.bound_weight(0.0, bound),
        }
    }

    /// Adds a lower bound of a cost that is at most `limit`.
    pub(crate) fn observe_bound(&mut self, weight: f64, hint: Option<f64>, bound: f64, limit: f64) {
        let forecast = self.forecast(hint);
        if forecast.weight >= MIN_WEIGHT && bound > forecast.mean {
            let tail = Tail::above(forecast.mean, forecast.variance, bound);
            // The probability that the cost is below the quantile although it exceeds the bound.
            let below = (1.0 - (1.0 - UPPER_QUANTILE) / tail.share).max(0.0);
            self.follow_quantile(weight, below);
        }
        self.all.add_bound(weight, 0.0, bound, limit);
        if let Some(hint) = hint {
            self.hinted.add_bound(weight, hint, bound, limit);
        }
    }

    /// Adds a lower bound, bounded by the observations before it.
    pub(crate) fn observe_bound_bounded(
        &mut self,
        weight: f64,
        hint: Option<f64>,
        bound: f64,
        limit: f64,
    ) {
        let most = self.overall().mean + self.outlier_bound();
        self.observe_bound(weight, hint, bound.min(most), limit.min(most));
    }

    /// Returns how far from the mean an observation counts.
    fn outlier_bound(&self) -> f64 {
        let deviation = self.overall().variance.sqrt();
        (OUTLIER_DEVIATIONS * deviation).max(MIN_OUTLIER_BOUND)
    }

    /// Adapts the upper quantile to a cost that is below it with probability `below`.
    fn follow_quantile(&mut self, weight: f64, below: f64) {
        let step = weight * DEVIATION_STEP * (UPPER_QUANTILE - below);
        let (least, most) = DEVIATION_BOUNDS;
        self.deviations = (self.deviations + step).clamp(least, most);
    }
}

impl Forecast {
    /// Returns the logarithm of the upper quantile.
    pub(crate) fn upper(&self) -> f64 {
        self.mean + self.deviations * self.variance.sqrt()
    }

    /// Returns the forecast for a request that belongs to either of two distributions.
    pub(crate) fn middle(&self, other: &Self) -> Self {
        let mut middle = self.mixed(other, 0.5);
        middle.variance += ((other.mean - self.mean) / 2.0).powi(2);
        middle
    }

    /// Returns the forecast in which `other` has the share `share`.
    pub(crate) fn mixed(&self, other: &Self, share: f64) -> Self {
        let mix = |own: f64, other: f64| (1.0 - share) * own + share * other;
        Self {
            mean: mix(self.mean, other.mean),
            variance: mix(self.variance, other.variance),
            deviations: mix(self.deviations, other.deviations),
            weight: self.weight.max(other.weight),
        }
    }
}

impl Moments {
    fn add(&mut self, weight: f64, hint: f64, cost: f64) {
        let kept = 1.0 - weight / DECAY_OBSERVATIONS;
        self.weight = self.weight * kept + weight;
        self.bounds *= kept;
        let share = weight / self.weight;
        let (from_hint, from_cost) = (hint - self.hint, cost - self.cost);
        self.hint += share * from_hint;
        self.cost += share * from_cost;
        let decay = |before: f64, product: f64| (1.0 - share) * (before + share * product);
        self.hint_variance = decay(self.hint_variance, from_hint * from_hint);
        self.covariance = decay(self.covariance, from_hint * from_cost);
        self.cost_variance = decay(self.cost_variance, from_cost * from_cost);
    }

    /// Adds a lower bound as the part of the forecast distribution above it.
    fn add_bound(&mut self, weight: f64, hint: f64, bound: f64, limit: f64) {
        let weight = weight.min(self.bound_weight(hint, bound));
        if weight <= 0.0 {
            return;
        }
        let forecast = self.forecast(hint, NORMAL_DEVIATIONS);
        let tail = Tail::above(forecast.mean, forecast.variance, bound);
        self.add(weight, hint, tail.mean.min(limit));
        self.bounds += weight;
        self.cost_variance += weight / self.weight * tail.variance;
    }

    /// Returns the weight that a lower bound may have, so that bounds together weigh at most as much as
    /// whole observations; 0 if it is below the median or too little was observed.
    fn bound_weight(&self, hint: f64, bound: f64) -> f64 {
        let is_above = bound > self.forecast(hint, NORMAL_DEVIATIONS).mean;
        if self.weight < MIN_WEIGHT || !is_above {
            return 0.0;
        }
        let left = self.weight - 2.0 * self.bounds;
        if left < MIN_BOUND_WEIGHT {
            return 0.0;
        }
        (left / (1.0 + left / DECAY_OBSERVATIONS)).min(1.0)
    }

    fn forecast(&self, hint: f64, deviations: f64) -> Forecast {
        let trust = self.hint_trust();
        let variance =
            self.cost_variance - 2.0 * trust * self.covariance + trust * trust * self.hint_variance;
        let (least, most) = VARIANCE_BOUNDS;
        Forecast {
            mean: self.cost + trust * (hint - self.hint),
            variance: variance.clamp(least, most),
            deviations,
            weight: self.weight,
        }
    }

    /// Returns the weight of hints, 0 to 1: by how much the cost changes with the hint.
    fn hint_trust(&self) -> f64 {
        let prior = HINT_PRIOR_WEIGHT * HINT_PRIOR_VARIANCE;
        let along = self.weight * self.covariance + prior;
        (along / (self.weight * self.hint_variance + prior)).clamp(0.0, 1.0)
    }
}
