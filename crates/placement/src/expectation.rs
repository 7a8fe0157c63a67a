//! How much of a request's work remains, given how much it was expected to take and has taken.
//!
//! A request's work is taken as log-logistic. That distribution is close to a lognormal one, and its
//! survival function has a closed form.

use std::f64::consts::PI;

/// The odds that work ends below its 0.9 quantile.
const UPPER_ODDS: f64 = 9.0;
/// The bounds of the distribution's shape. Below 2, the ratio of the quantile to the mean falls again; with
/// 20, all work is nearly equal.
const SHAPE_BOUNDS: (f64, f64) = (2.0, 20.0);
/// The number of halvings that find the shape.
const SHAPE_STEPS: usize = 12;

/// What a request is expected to take, in passes or milliseconds. All zero if that is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Expectation {
    /// The mean.
    pub mean: f32,
    /// The 0.9 quantile.
    pub upper: f32,
}

/// The distribution of the work of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    mean: f64,
    median: f64,
    /// Twice the shape. Powers of halves are cheap; a plan takes thousands of them.
    shape_halves: i32,
}

impl Expectation {
    /// Returns the distribution of the work; `None` if nothing is known of it.
    pub fn work(&self) -> Option<Work> {
        let (mean, upper) = (f64::from(self.mean), f64::from(self.upper));
        let is_known = mean.is_finite() && upper.is_finite() && mean > 0.0;
        is_known.then(|| Work::new(mean, upper.max(mean)))
    }
}

impl Work {
    /// Returns the distribution with this mean and 0.9 quantile.
    fn new(mean: f64, upper: f64) -> Self {
        // The ratio of the quantile to the mean falls with the shape in this range.
        let (mut low, mut high) = SHAPE_BOUNDS;
        let ratio = upper / mean;
        for _ in 0..SHAPE_STEPS {
            let middle = (low + high) / 2.0;
            if UPPER_ODDS.powf(1.0 / middle) / mean_ratio(middle) > ratio {
                low = middle;
            } else {
                high = middle;
            }
        }
        let shape_halves = (low + high).round();
        Self {
            mean,
            median: mean / mean_ratio(shape_halves / 2.0),
            shape_halves: shape_halves as i32,
        }
    }

    /// Returns the mean.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the probability that work of which `done` is done takes more than `more` beyond that.
    pub fn survival(&self, done: f64, more: f64) -> f64 {
        (1.0 + self.odds(done)) / (1.0 + self.odds(done + more))
    }

    /// Returns the odds that the work takes no more than `amount`.
    fn odds(&self, amount: f64) -> f64 {
        let root = (amount.max(0.0) / self.median).sqrt();
        root.powi(self.shape_halves)
    }

    fn shape(&self) -> f64 {
        f64::from(self.shape_halves) / 2.0
    }

    /// Returns the expected work in total, of which `done` is done. It grows once more is done than was
    /// likely.
    pub fn total(&self, done: f64) -> f64 {
        self.mean.max(done + done / (self.shape() - 1.0))
    }

    /// Returns the 0.9 quantile of the work that remains after `done`.
    pub fn upper_remaining(&self, done: f64) -> f64 {
        let upper_odds = (UPPER_ODDS + 1.0) * (1.0 + self.odds(done)) - 1.0;
        self.median * upper_odds.powf(1.0 / self.shape()) - done.max(0.0)
    }
}

/// Returns the mean of the distribution with median 1.
fn mean_ratio(shape: f64) -> f64 {
    let angle = PI / shape;
    angle / angle.sin()
}
