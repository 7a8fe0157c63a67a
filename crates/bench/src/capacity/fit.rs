//! Linear regression through measured points.

/// A straight line fitted through points.
#[derive(Clone, Debug)]
pub struct Line {
    /// The increase of y for each unit of x.
    pub slope: f64,
    /// The value of y at x = 0.
    pub intercept: f64,
    /// The largest vertical distance of a point from the line, relative to the largest absolute y.
    pub residual: f64,
    /// The points that the line is fitted through.
    pub points: Vec<(f64, f64)>,
}

impl Line {
    /// Returns the least-square_sum line through `points`.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let square_sum = points
            .iter()
            .map(|(x, _)| (x - mean_x).powi(2))
            .sum::<f64>();
        let product_sum = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum::<f64>();
        let slope = if square_sum > 0.0 {
            product_sum / square_sum
        } else {
            0.0
        };
        let intercept = mean_y - slope * mean_x;
        let largest = points
            .iter()
            .map(|(_, y)| y.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let distance = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).abs());
        let residual = distance.fold(0.0, f64::max) / largest;
        Self {
            slope,
            intercept,
            residual,
            points: points.to_vec(),
        }
    }

    /// Returns the value at `x`. A negative intercept is an artefact of the fit and counts as zero.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept.max(0.0) + self.slope * x
    }
}
