//! Data centres that operators have evacuated: their backend servers get no new work.

use std::collections::BTreeSet;

/// The evacuated data centres as of a position in the operator's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Set {
    /// The position in the list, as in [`crate::position`], as of which the set is known.
    pub position: u64,
    /// The data centres that are evacuated according to the list.
    pub listed: BTreeSet<String>,
    /// Data centres that are not on the list, since the store came back from an older copy, and that
    /// count as evacuated until the operator has had time to write them again.
    pub held: BTreeSet<String>,
}

impl Set {
    /// Returns all data centres that count as evacuated.
    pub fn data_centres(&self) -> BTreeSet<String> {
        self.listed.union(&self.held).cloned().collect()
    }
}
