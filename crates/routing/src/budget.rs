//! The retry budget: a sick fleet must not be made worse by retries.

/// Retries that each new request adds to the budget.
const PER_REQUEST: f64 = 0.1;
/// The most retries that are saved up.
const LIMIT: f64 = 20.0;

/// The retries that may still be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    retries: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { retries: LIMIT }
    }
}

impl Budget {
    /// Notes a new request.
    pub fn earn(&mut self) {
        self.retries = (self.retries + PER_REQUEST).min(LIMIT);
    }

    /// Takes one retry, if any is left.
    pub fn spend(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}
