//! What operators append to the log.

use serde::Deserialize;
use serde::Serialize;

use crate::item::Item;
use crate::item::Name;
use crate::item::Version;

/// A group of changes that come into force together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// A random number by which the author finds the record again when the answer to the append
    /// was lost. A second record with the same number is skipped.
    pub nonce: u64,
    /// Who published it.
    pub author: String,
    /// The changes.
    pub changes: Vec<Change>,
}

/// A change of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The item's name.
    pub name: Name,
    /// The version that this change replaces; zero for an item that never existed.
    pub replaces: Version,
    /// The new value; absent to remove the item.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Item>,
}
