//! The fleet configuration: firms, data centres, backend servers, models and contracts.

use core::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::contract::Contract;

mod check;

pub use check::Problem;

/// The complete configuration, as operators write it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The firms that share the fleet.
    pub firms: Vec<Firm>,
    /// The data centres.
    pub data_centres: Vec<DataCentre>,
    /// The models that engines can serve.
    pub models: Vec<Model>,
    /// The backend servers.
    pub backend_servers: Vec<BackendServer>,
    /// One contract per customer.
    pub contracts: Vec<Contract>,
}

/// A firm that shares the fleet with other firms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Firm {
    /// The firm's name.
    pub name: String,
    /// The weight of the firm in the shared fleet.
    pub share: u64,
}

/// A data centre of a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The data centre's name.
    pub name: String,
    /// The region of the data centre.
    pub region: String,
}

/// A language model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that callers use in requests.
    pub name: String,
    /// The version that engines should run.
    pub version: u64,
    /// The objective for the time to the first token of short prompts, in milliseconds.
    pub first_token_ms: u64,
}

/// A backend server: either one model runner (an engine) or one server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// The backend server's name.
    pub name: String,
    /// The address of its HTTP interface.
    pub address: SocketAddr,
    /// The data centre that the server is in.
    pub data_centre: String,
    /// The kind of server.
    pub kind: Kind,
}

/// The kind of a backend server, with its details.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum Kind {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Service(Service),
}

/// A model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// The models that the engine can serve.
    pub models: Vec<String>,
    /// The size of the KV memory, in tokens.
    pub memory_tokens: u64,
    /// Whether the engine rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The service name in the path `/v1/services/{service}/…`.
    pub service: String,
}

impl BackendServer {
    /// Returns the engine, or `None` for a plain service.
    pub fn engine(&self) -> Option<&Engine> {
        match &self.kind {
            Kind::Engine(engine) => Some(engine),
            Kind::Service(_) => None,
        }
    }

    /// Returns the plain service, or `None` for an engine.
    pub fn service(&self) -> Option<&Service> {
        match &self.kind {
            Kind::Engine(_) => None,
            Kind::Service(service) => Some(service),
        }
    }
}

impl Fleet {
    /// Returns all problems of the configuration as a whole.
    pub fn problems(&self) -> Vec<Problem> {
        check::find_problems(self)
    }
}
