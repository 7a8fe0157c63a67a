//! The retry budget, which keeps retries from overloading a fleet that is already failing.

/// The fraction of a retry that each new request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// The maximum number of retries in the budget.
const RETRY_LIMIT: f64 = 20.0;

/// The number of retries that are still allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    retries: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            retries: RETRY_LIMIT,
        }
    }
}

impl Budget {
    /// Records a new request, which adds to the budget.
    pub fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(RETRY_LIMIT);
    }

    /// Takes one retry from the budget. Returns whether one was left.
    pub fn spend(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}
