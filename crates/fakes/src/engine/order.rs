//! Orders: which models an engine has been told to load, and by which fencing number.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// An order to run a version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Grows with each order that replaces an earlier one.
    pub fencing: u64,
    /// The model.
    pub model: String,
    /// The version to run.
    pub version: u64,
}

/// What an engine was told.
#[derive(Clone, Debug, Serialize)]
pub struct Orders {
    #[serde(skip)]
    checks_fencing: bool,
    highest: u64,
    versions: BTreeMap<String, u64>,
}

impl Orders {
    /// Returns an engine's state before any order.
    pub fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            highest: 0,
            versions: BTreeMap::new(),
        }
    }

    /// Takes an order, or says why not.
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
