//! The part of a normal distribution above a bound.

/// From this many standard deviations on, the ratio is computed by its continued fraction.
const FRACTION_FROM: f64 = 3.0;
/// The terms of the fraction; the error is below 1e-6 from `FRACTION_FROM` on.
const FRACTION_TERMS: u32 = 24;
/// The coefficients of the ratio below `FRACTION_FROM` (Abramowitz and Stegun, 26.2.17; absolute error 8e-8).
const RATIO_SCALE: f64 = 0.231_641_9;
const RATIO_TERMS: [f64; 5] = [
    0.319_381_530,
    -0.356_563_782,
    1.781_477_937,
    -1.821_255_978,
    1.330_274_429,
];

/// A normal distribution conditional on exceeding a bound that is above its mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Tail {
    /// The mean above the bound.
    pub(crate) mean: f64,
    /// The variance above the bound.
    pub(crate) variance: f64,
    /// The probability of exceeding the bound.
    pub(crate) share: f64,
}

impl Tail {
    /// Returns the part of a distribution above `bound`, which is at least `mean`.
    pub(crate) fn above(mean: f64, variance: f64, bound: f64) -> Self {
        let deviation = variance.sqrt();
        let distance = ((bound - mean) / deviation).max(0.0);
        let ratio = tail_ratio(distance);
        let hazard = 1.0 / ratio;
        let density = (-distance * distance / 2.0).exp() / std::f64::consts::TAU.sqrt();
        let remaining = 1.0 + distance * hazard - hazard * hazard;
        Self {
            mean: (mean + deviation * hazard).max(bound),
            variance: variance * remaining.clamp(0.0, 1.0),
            share: density * ratio,
        }
    }
}

/// Returns the probability of exceeding `distance` standard deviations, over the density there.
fn tail_ratio(distance: f64) -> f64 {
    if distance >= FRACTION_FROM {
        let fraction = |below: f64, term| distance + f64::from(term) / below;
        return 1.0 / (1..=FRACTION_TERMS).rev().fold(distance, fraction);
    }
    let scale = 1.0 / (1.0 + RATIO_SCALE * distance);
    let terms = RATIO_TERMS.iter().rev();
    terms.fold(0.0, |sum, term| scale * (sum + term))
}
