//! Orders: each requests that an engine run one version of a model, and has a fencing number.
//!
//! The desired state is part of the configuration and therefore of the log. Its versions only
//! increase, and so does the fencing number, which is derived from them: a delayed order always has
//! a lower number than later ones. Engines that check the number reject it. For engines that don't,
//! the deviation is detected when their state is read back, and is corrected by a new order.

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
    /// The fencing number, which increases with each change of the desired state.
    pub fencing: u64,
    /// The model.
    pub model: String,
    /// The version to run.
    pub version: u64,
}

/// The models that an engine reports as running.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The version of each model.
    pub versions: BTreeMap<String, u64>,
}

/// Returns the desired state of an engine as orders.
pub fn desired(fold: &Fold, server: &BackendServer) -> Vec<Order> {
    let Some(engine) = server.engine() else {
        return Vec::new();
    };
    let server_version = fold.version(&Name::backend_server(&server.name));
    let order = |model: &String| {
        let name = Name::model(model);
        let Some(Item::Model(item)) = fold.item(&name) else {
            return None;
        };
        let fencing = server_version.max(fold.version(&name));
        Some(Order {
            fencing,
            model: model.clone(),
            version: item.version,
        })
    };
    engine.models.iter().filter_map(order).collect()
}

/// Returns the orders of `desired` that the running versions don't match.
pub fn missing(desired: &[Order], running: &Running) -> Vec<Order> {
    let is_missing = |it: &&Order| running.versions.get(&it.model) != Some(&it.version);
    desired.iter().filter(is_missing).cloned().collect()
}
