//! Creation of the record that changes the current state into a desired one.

use std::collections::BTreeMap;

use crate::fold::Fold;
use crate::item::Item;
use crate::item::Name;
use crate::record::Change;
use crate::record::Record;

impl Record {
    /// Returns the record that changes the state of `fold` into `desired`.
    pub fn between(
        fold: &Fold,
        desired: &BTreeMap<Name, Item>,
        nonce: u64,
        author: impl Into<String>,
    ) -> Self {
        let mut changes = Vec::new();
        for (name, item) in desired {
            if fold.item(name) != Some(item) {
                let replaces = fold.version(name);
                changes.push(Change {
                    name: name.clone(),
                    replaces,
                    value: Some(item.clone()),
                });
            }
        }
        for (name, _) in fold
            .items()
            .filter(|(name, _)| !desired.contains_key(*name))
        {
            changes.push(Change {
                name: name.clone(),
                replaces: fold.version(name),
                value: None,
            });
        }
        Self {
            nonce,
            author: author.into(),
            changes,
        }
    }
}
