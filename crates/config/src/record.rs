//! The records that operators append to the log.

use serde::Deserialize;
use serde::Serialize;

use crate::item::Item;
use crate::item::Name;
use crate::item::Version;

/// A group of changes that take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// A random number that identifies the record, so that the author can find it again after the
    /// answer to the append was lost. A second record with the same number has no effect.
    pub nonce: u64,
    /// The operator who published the record.
    pub author: String,
    /// The changes.
    pub changes: Vec<Change>,
}

/// A change of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The item's name.
    pub name: Name,
    /// The version that this change replaces, or zero for an item that never existed.
    pub replaces: Version,
    /// The new value; absent if the change removes the item.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Item>,
}
