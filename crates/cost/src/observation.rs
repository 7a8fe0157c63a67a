//! What is known of a request before it runs, and what it took.

/// The least cost that is told apart: a tenth of a token or of a millisecond.
const MIN_COST: f64 = 0.1;

/// A request whose cost is to be estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request<'a> {
    /// The service that runs it.
    pub service: &'a str,
    /// The route that it matched.
    pub route: &'a str,
    /// The organisation that sends it; empty if the route needs no key.
    pub organisation: &'a str,
    /// The cost that the caller expects, if it gave one.
    pub hint: Option<f64>,
    /// The most that it can cost by what it declared: its maximum number of output tokens, or its time
    /// limit in milliseconds.
    pub limit: f64,
}

/// How much of an answer an observation covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// The request was served to its end.
    Whole,
    /// The answer was truncated after it had begun: the cost is a lower bound.
    Truncated,
}

/// A request that was served, with what it cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The service that ran it.
    pub service: String,
    /// The route that it matched.
    pub route: String,
    /// The organisation that sent it; empty if the route needs no key.
    pub organisation: String,
    /// The number of tokens of its prompt; 0 for calls to plain services.
    pub prompt_tokens: u32,
    /// The number of output tokens that the caller expected; 0 if it gave none.
    pub expected_tokens: u32,
    /// The most that it could cost by what it declared.
    pub limit: f32,
    /// The number of output tokens, or the service time in milliseconds.
    pub cost: f32,
    /// Whether that is the whole cost.
    pub extent: Extent,
}

impl Observation {
    /// Returns what was known of the request before it ran.
    pub fn request(&self) -> Request<'_> {
        Request {
            service: &self.service,
            route: &self.route,
            organisation: &self.organisation,
            hint: (self.expected_tokens > 0).then_some(self.expected_tokens.into()),
            limit: self.limit.into(),
        }
    }

    /// Returns whether the cost is a lower bound. An answer that reached its declared maximum is whole.
    pub(crate) fn is_bound(&self) -> bool {
        self.extent == Extent::Truncated && self.cost < self.limit
    }

    /// Returns the logarithm of the most that the request could cost.
    pub(crate) fn log_limit(&self) -> f64 {
        f64::from(self.limit).max(MIN_COST).ln()
    }

    /// Returns the logarithm of the cost, bounded by what the request declared; `None` if the numbers
    /// can't be true.
    pub(crate) fn log_cost(&self) -> Option<f64> {
        let (cost, limit) = (f64::from(self.cost), f64::from(self.limit));
        let is_valid = cost.is_finite() && cost > 0.0 && limit.is_finite() && limit > 0.0;
        is_valid.then(|| cost.min(limit).max(MIN_COST).ln())
    }
}

impl Request<'_> {
    /// Returns the logarithm of the caller's hint, bounded by what the request declared.
    pub(crate) fn log_hint(&self) -> Option<f64> {
        let hint = self.hint.filter(|it| it.is_finite() && *it > 0.0)?;
        Some(hint.min(self.limit).max(MIN_COST).ln())
    }
}
