//! Orders to run models, protected by fencing numbers.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// An order to run a version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number. It increases with each order that replaces an earlier one.
    pub fencing: u64,
    /// The name of the model.
    pub model: String,
    /// The version to run.
    pub version: u64,
}

/// The orders that an engine has accepted.
#[derive(Clone, Debug, Serialize)]
pub struct Orders {
    #[serde(skip)]
    checks_fencing: bool,
    highest: u64,
    versions: BTreeMap<String, u64>,
}

impl Orders {
    /// Returns the state of an engine without orders.
    pub fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            highest: 0,
            versions: BTreeMap::new(),
        }
    }

    /// Accepts an order. Returns an error message if its fencing number is outdated.
    pub fn accept(&mut self, order: Order) -> Result<(), String> {
        if self.checks_fencing && order.fencing < self.highest {
            return Err(format!(
                "fencing number {} is older than {}",
                order.fencing, self.highest
            ));
        }
        self.highest = self.highest.max(order.fencing);
        self.versions.insert(order.model, order.version);
        Ok(())
    }
}
