//! The view, which is the configuration indexed for the lookups that serve a request.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;

use domain::Contract;
use domain::fleet::BackendServer;
use domain::fleet::Firm;
use domain::fleet::Model;

use crate::fold::Fold;
use crate::item::Item;

/// A configuration indexed for lookups.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The offset of the next log record at the time when this view was built.
    pub next: u64,
    /// The firms by name.
    pub firms: BTreeMap<String, Firm>,
    /// The models by name.
    pub models: BTreeMap<String, Model>,
    /// The backend servers by name.
    pub backend_servers: BTreeMap<String, Rc<BackendServer>>,
    contracts: BTreeMap<String, Rc<Contract>>,
    by_key_hash: HashMap<String, Rc<Contract>>,
}

impl View {
    /// Builds the view of a fold's state.
    pub fn new(fold: &Fold) -> Self {
        let mut view = Self {
            next: fold.next(),
            ..Self::default()
        };
        for (_, item) in fold.items() {
            view.add(item);
        }
        view
    }

    /// Returns the contract that lists this digest of a bearer key.
    pub fn contract_by_key_hash(&self, hash: &str) -> Option<&Rc<Contract>> {
        self.by_key_hash.get(hash)
    }

    /// Returns a customer's contract.
    pub fn contract(&self, customer: &str) -> Option<&Rc<Contract>> {
        self.contracts.get(customer)
    }

    /// Returns the number of contracts.
    pub fn contract_count(&self) -> usize {
        self.contracts.len()
    }

    fn add(&mut self, item: &Item) {
        match item {
            Item::Firm(it) => {
                self.firms.insert(it.name.clone(), it.clone());
            }
            Item::DataCentre(_) => {}
            Item::Model(it) => {
                self.models.insert(it.name.clone(), it.clone());
            }
            Item::BackendServer(it) => {
                self.backend_servers
                    .insert(it.name.clone(), Rc::new(it.clone()));
            }
            Item::Contract(it) => {
                let contract = Rc::new(it.clone());
                for hash in &it.key_hashes {
                    self.by_key_hash.insert(hash.clone(), contract.clone());
                }
                self.contracts.insert(it.customer.clone(), contract);
            }
        }
    }
}
