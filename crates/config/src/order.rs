//! Orders: which version of each model an engine should run, and by which fencing number.
//!
//! The desired state stands in the configuration, and so in the log. Its versions only grow, and
//! so does the fencing number that is made of them: an order that was held up somewhere always has
//! a lower one than those that came after. Engines that check the number refuse it. For those that
//! don't, the difference is found when their state is read back, and ordered away.

use std::collections::BTreeMap;

use domain::fleet::BackendServer;
use serde::Deserialize;
use serde::Serialize;

use crate::fold::Fold;
use crate::item::Item;
use crate::item::Name;

/// An order to run a version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Grows with each change of what the engine should run.
    pub fencing: u64,
    /// The model.
    pub model: String,
    /// The version to run.
    pub version: u64,
}

/// What an engine says that it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The version of each model.
    pub versions: BTreeMap<String, u64>,
}

/// Returns the orders that make up the desired state of an engine.
pub fn desired(fold: &Fold, server: &BackendServer) -> Vec<Order> {
    let Some(engine) = server.engine() else {
        return Vec::new();
    };
    let own = fold.version(&Name::backend_server(&server.name));
    let order = |model: &String| {
        let name = Name::model(model);
        let Some(Item::Model(item)) = fold.item(&name) else {
            return None;
        };
        let fencing = own.max(fold.version(&name));
        Some(Order {
            fencing,
            model: model.clone(),
            version: item.version,
        })
    };
    engine.models.iter().filter_map(order).collect()
}

/// Returns the orders of `desired` that an engine does not follow.
pub fn missing(desired: &[Order], running: &Running) -> Vec<Order> {
    let is_missing = |it: &&Order| running.versions.get(&it.model) != Some(&it.version);
    desired.iter().filter(is_missing).cloned().collect()
}
