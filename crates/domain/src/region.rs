//! Regions: each consists of data centres. Home regions: those in which requests may be served.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The region of each data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions {
    by_data_centre: BTreeMap<String, String>,
}

impl Regions {
    /// Returns the regions of data centres. None are known if the map is empty.
    pub fn new(by_data_centre: BTreeMap<String, String>) -> Self {
        Self { by_data_centre }
    }

    /// Returns the region of a data centre; `None` if it is not known.
    pub fn region(&self, data_centre: &str) -> Option<&str> {
        self.by_data_centre.get(data_centre).map(String::as_str)
    }

    /// Returns whether no data centre's region is known.
    pub fn is_empty(&self) -> bool {
        self.by_data_centre.is_empty()
    }

    /// Returns whether there is more than one region.
    pub fn has_several(&self) -> bool {
        let names: BTreeSet<&String> = self.by_data_centre.values().collect();
        names.len() > 1
    }
}

/// The regions in which requests may be served.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    /// The names of the regions; `None` if any region will do.
    names: Option<Rc<BTreeSet<String>>>,
}

impl Homes {
    /// Returns the home regions with these names. Without any name, any region will do.
    pub fn new(names: impl IntoIterator<Item = String>) -> Self {
        let names: BTreeSet<String> = names.into_iter().collect();
        Self {
            names: (!names.is_empty()).then(|| Rc::new(names)),
        }
    }

    /// Returns whether requests may be served in any region.
    pub fn is_any(&self) -> bool {
        self.names.is_none()
    }

    /// Returns the regions that are in both sets. There may be none, and then no server may be used.
    pub fn intersection(&self, other: &Self) -> Self {
        let (Some(own), Some(others)) = (&self.names, &other.names) else {
            let names = self.names.as_ref().or(other.names.as_ref());
            return Self {
                names: names.cloned(),
            };
        };
        let both = own.intersection(others).cloned().collect();
        Self {
            names: Some(Rc::new(both)),
        }
    }

    /// Returns whether requests may be served in a data centre. Where home regions are set, a data centre
    /// whose region is unknown is excluded, unless no regions are known at all.
    pub fn permit(&self, regions: &Regions, data_centre: &str) -> bool {
        let Some(names) = self.names.as_ref().filter(|_| !regions.is_empty()) else {
            return true;
        };
        let region = regions.region(data_centre);
        region.is_some_and(|it| names.contains(it))
    }

    /// Returns the names of the regions, separated by commas, for logs; `any` if any region will do.
    pub fn names(&self) -> String {
        let Some(names) = &self.names else {
            return "any".to_owned();
        };
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        names.join(",")
    }
}
