//! Straight lines through measured points.

/// A straight line through points.
#[derive(Clone, Debug)]
pub struct Line {
    /// What one more of x adds.
    pub slope: f64,
    /// The value at x = 0.
    pub start: f64,
    /// The largest distance of a point from the line, as a part of the largest value.
    pub residual: f64,
    /// The points.
    pub points: Vec<(f64, f64)>,
}

impl Line {
    /// Returns the least-squares line through `points`.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread = points
            .iter()
            .map(|(x, _)| (x - mean_x).powi(2))
            .sum::<f64>();
        let covariance = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum::<f64>();
        let slope = if spread > 0.0 {
            covariance / spread
        } else {
            0.0
        };
        let start = mean_y - slope * mean_x;
        let largest = points
            .iter()
            .map(|(_, y)| y.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let distance = points.iter().map(|(x, y)| (y - start - slope * x).abs());
        let residual = distance.fold(0.0, f64::max) / largest;
        Self {
            slope,
            start,
            residual,
            points: points.to_vec(),
        }
    }

    /// Returns the value of the line; a negative start, which only the fit makes, counts as none.
    pub fn at(&self, x: f64) -> f64 {
        self.start.max(0.0) + self.slope * x
    }
}
