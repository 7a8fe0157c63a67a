//! Estimates what a request will cost from the requests that were served before.

use std::collections::BTreeMap;
use std::collections::HashMap;

use domain::digest;

use crate::group::Forecast;
use crate::group::Group;
use crate::observation::Observation;
use crate::observation::Request;

/// The maximum number of groups. They take about 1.5 MB; the smallest instances have 160 MB.
const GROUP_LIMIT: usize = 4_096;
/// The number of observations of a service from which its requests are estimated.
const MIN_OBSERVATIONS: f64 = 8.0;
/// The number of observations from which a group's own distribution counts alone. With fewer ones, the
/// wider group counts for the rest.
const FULL_OBSERVATIONS: f64 = 20.0;
/// The observations of an organisation count fully in the groups of its route and its service up to
/// this number, and less beyond it, so that the busiest organisation does not decide for all.
const FAIR_OBSERVATIONS: f64 = 16.0;
/// The factor by which a route's mean cost has to change to be reported.
const REPORTED_FACTOR: f64 = 1.5;

/// What a request is expected to cost, in tokens or milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// The 0.9 quantile, at least the mean.
    pub upper: f64,
}

/// A route's mean cost that changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shift {
    /// The mean cost that was reported before.
    pub before: f64,
    /// The mean cost now.
    pub after: f64,
}

/// The costs of requests by service, route and organisation.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    groups: HashMap<u64, Group>,
    /// The groups by the number of their last use.
    uses: BTreeMap<u64, u64>,
    use_count: u64,
}

/// The keys of the groups that a request belongs to.
#[derive(Clone, Copy, Debug)]
struct Keys {
    service: u64,
    route: u64,
    organisation: u64,
}

impl Keys {
    fn of(request: &Request<'_>) -> Self {
        let service = digest::fast(request.service.as_bytes());
        let route = digest::seeded(request.route.as_bytes(), service);
        let organisation = digest::seeded(request.organisation.as_bytes(), route);
        Self {
            service,
            route,
            organisation,
        }
    }
}

impl Estimator {
    /// Adds an observation. Returns the change of the mean cost of its route, if that should be
    /// reported.
    pub fn observe(&mut self, observation: &Observation) -> Option<Shift> {
        let cost = observation.log_cost()?;
        if observation.is_bound() {
            return self.observe_bound(observation, cost);
        }
        let request = observation.request();
        let hint = request.log_hint();
        let keys = Keys::of(&request);
        let organisation = self.group(keys.organisation);
        organisation.observe(1.0, hint, cost);
        let weight = (FAIR_OBSERVATIONS / organisation.weight()).min(1.0);
        self.group(keys.service).observe_bounded(weight, hint, cost);
        let route = self.group(keys.route);
        route.record_organisation(keys.organisation);
        route.observe_bounded(weight, hint, cost);
        report(route)
    }

    /// Returns whether an observation changes the estimates. A lower bound does not if it is below the
    /// estimated median, or if its organisation has too few whole observations.
    pub fn counts(&mut self, observation: &Observation) -> bool {
        let Some(cost) = observation.log_cost() else {
            return false;
        };
        !observation.is_bound() || self.bound_weight(&observation.request(), cost) > 0.0
    }

    /// Adds a lower bound.
    fn observe_bound(&mut self, observation: &Observation, bound: f64) -> Option<Shift> {
        let request = observation.request();
        let weight = self.bound_weight(&request, bound);
        if weight <= 0.0 {
            return None;
        }
        let (hint, limit) = (request.log_hint(), observation.log_limit());
        let keys = Keys::of(&request);
        let organisation = self.group(keys.organisation);
        organisation.observe_bound(weight, hint, bound, limit);
        let weight = weight * (FAIR_OBSERVATIONS / organisation.weight()).min(1.0);
        let service = self.group(keys.service);
        service.observe_bound_bounded(weight, hint, bound, limit);
        let route = self.group(keys.route);
        route.observe_bound_bounded(weight, hint, bound, limit);
        report(route)
    }

    /// Returns the weight of a lower bound in the group of its organisation; 0 if it changes nothing.
    fn bound_weight(&mut self, request: &Request<'_>, bound: f64) -> f64 {
        let forecast = self.distribution(request);
        if forecast.is_none_or(|it| bound <= it.mean) {
            return 0.0;
        }
        let organisation = self.groups.get(&Keys::of(request).organisation);
        organisation.map_or(0.0, |it| it.bound_weight(request.log_hint(), bound))
    }

    /// Returns what a request is expected to cost; `None` while too little is known of its service.
    pub fn estimate(&mut self, request: &Request<'_>) -> Option<Estimate> {
        let forecast = self.distribution(request)?;
        let mean = mean_cost(&forecast).min(request.limit);
        let upper = forecast.upper().exp().min(request.limit).max(mean);
        Some(Estimate { mean, upper })
    }

    /// Returns the distribution of the cost of a request; `None` while too little is known of its service.
    fn distribution(&mut self, request: &Request<'_>) -> Option<Forecast> {
        let hint = request.log_hint();
        let keys = Keys::of(request);
        let service = self.forecast(keys.service, hint);
        let mut forecast = service.filter(|it| it.weight >= MIN_OBSERVATIONS)?;
        let own = self.forecast(keys.organisation, hint);
        let is_own_enough = own.is_some_and(|it| it.weight >= FULL_OBSERVATIONS);
        let route = if is_own_enough {
            None
        } else {
            self.route_forecast(keys.route, hint)
        };
        for narrower in [route, own].into_iter().flatten() {
            let share = (narrower.weight / FULL_OBSERVATIONS).min(1.0);
            forecast = forecast.mixed(&narrower, share);
        }
        Some(forecast)
    }

    /// Returns the number of groups.
    pub fn len(&self) -> usize {
        self.groups.len()
    }

    /// Returns whether nothing was observed.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Returns the forecast for an organisation of which nothing is known on this route: the median of
    /// those of the others, which one that lies or has extreme costs does not move.
    fn route_forecast(&mut self, key: u64, hint: Option<f64>) -> Option<Forecast> {
        let route = self.forecast(key, hint)?;
        let organisations = self.groups.get(&key)?.organisations();
        let known = organisations.filter_map(|it| Some(self.groups.get(&it)?.forecast(hint)));
        let mut known: Vec<Forecast> = known.filter(|it| it.weight >= MIN_OBSERVATIONS).collect();
        known.sort_by(|a, b| a.mean.total_cmp(&b.mean));
        let Some(last) = known.len().checked_sub(1) else {
            return Some(route);
        };
        let (lower, upper) = (known[last / 2], known[last - last / 2]);
        Some(Forecast {
            weight: route.weight,
            ..lower.middle(&upper)
        })
    }

    fn forecast(&mut self, key: u64, hint: Option<f64>) -> Option<Forecast> {
        self.groups.contains_key(&key).then(|| {
            let group = self.group(key);
            group.forecast(hint)
        })
    }

    /// Returns a group, as the most recently used one. A new one replaces the least recently used one
    /// if there are too many.
    fn group(&mut self, key: u64) -> &mut Group {
        if self.groups.len() >= GROUP_LIMIT
            && !self.groups.contains_key(&key)
            && let Some((_, oldest)) = self.uses.pop_first()
        {
            self.groups.remove(&oldest);
        }
        self.use_count += 1;
        let group = self.groups.entry(key).or_default();
        self.uses.remove(&group.used);
        group.used = self.use_count;
        self.uses.insert(self.use_count, key);
        group
    }
}

fn report(route: &mut Group) -> Option<Shift> {
    if route.weight() < FULL_OBSERVATIONS {
        return None;
    }
    let after = mean_cost(&route.overall());
    let before = *route.reported.get_or_insert(after);
    let factor = (after / before).max(before / after);
    if factor <= REPORTED_FACTOR {
        return None;
    }
    route.reported = Some(after);
    Some(Shift { before, after })
}

/// Returns the mean of a lognormal distribution.
fn mean_cost(forecast: &Forecast) -> f64 {
    (forecast.mean + forecast.variance / 2.0).exp()
}
