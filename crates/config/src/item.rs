//! Items, the parts of a configuration that are versioned separately.

use std::collections::BTreeMap;
use std::fmt;

use domain::Contract;
use domain::Fleet;
use domain::fleet::BackendServer;
use domain::fleet::DataCentre;
use domain::fleet::Firm;
use domain::fleet::Model;
use serde::Deserialize;
use serde::Serialize;

/// The version of an item, which is the log offset of the record that set it plus one.
pub type Version = u64;

/// The unique name of an item, for example `contract/clinica-norte`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(String);

impl Name {
    fn new(kind: &str, name: &str) -> Self {
        Self(format!("{kind}/{name}"))
    }

    /// Returns the item name of a model.
    pub fn model(name: &str) -> Self {
        Self::new("model", name)
    }

    /// Returns the item name of a backend server.
    pub fn backend_server(name: &str) -> Self {
        Self::new("backend_server", name)
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// One part of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A firm.
    Firm(Firm),
    /// A data centre.
    DataCentre(DataCentre),
    /// A model.
    Model(Model),
    /// A backend server.
    BackendServer(BackendServer),
    /// A customer's contract.
    Contract(Contract),
}

impl Item {
    /// Returns the item's name, which is unique in a configuration.
    pub fn name(&self) -> Name {
        match self {
            Self::Firm(it) => Name::new("firm", &it.name),
            Self::DataCentre(it) => Name::new("data_centre", &it.name),
            Self::Model(it) => Name::model(&it.name),
            Self::BackendServer(it) => Name::backend_server(&it.name),
            Self::Contract(it) => Name::new("contract", &it.customer),
        }
    }
}

/// Splits a configuration into its items.
pub fn split(fleet: &Fleet) -> BTreeMap<Name, Item> {
    let firms = fleet.firms.iter().cloned().map(Item::Firm);
    let data_centres = fleet.data_centres.iter().cloned().map(Item::DataCentre);
    let models = fleet.models.iter().cloned().map(Item::Model);
    let servers = fleet
        .backend_servers
        .iter()
        .cloned()
        .map(Item::BackendServer);
    let contracts = fleet.contracts.iter().cloned().map(Item::Contract);
    let items = firms
        .chain(data_centres)
        .chain(models)
        .chain(servers)
        .chain(contracts);
    items.map(|item| (item.name(), item)).collect()
}

/// Assembles a configuration from its items.
pub fn join<'a>(items: impl IntoIterator<Item = &'a Item>) -> Fleet {
    let mut fleet = Fleet::default();
    for item in items {
        match item.clone() {
            Item::Firm(it) => fleet.firms.push(it),
            Item::DataCentre(it) => fleet.data_centres.push(it),
            Item::Model(it) => fleet.models.push(it),
            Item::BackendServer(it) => fleet.backend_servers.push(it),
            Item::Contract(it) => fleet.contracts.push(it),
        }
    }
    fleet
}
