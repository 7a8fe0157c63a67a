//! Servers' records that name no server to use, so that each is reported once and not with each
//! repetition of the record.

use std::collections::BTreeMap;

use placement::Server;
use route::Table;

use crate::port::DecodeError;

/// The records that are remembered. Faults of further ones are not reported.
const MAX_RECORDS: usize = 1_024;

/// Why a record names no server to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It can't be decoded.
    Unreadable,
    /// The configuration in force doesn't have its service.
    UnknownService,
}

/// The records that name no server to use, by their keys.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    records: BTreeMap<String, Fault>,
}

impl Faults {
    /// Checks what a record was decoded to, `None` if it has no value, and logs a fault that is new or has
    /// ended. Returns whether it is new.
    pub fn check(
        &mut self,
        table: Option<&Table>,
        key: &str,
        decoded: Option<&Result<Server, DecodeError>>,
    ) -> bool {
        let is_unknown =
            |it: &Server| table.is_some_and(|table| table.service(&it.service).is_none());
        match decoded {
            Some(Err(error)) => {
                let is_new = self.record(key, Fault::Unreadable);
                if is_new {
                    log::warn!(target: "server", server = key, error:% = error; "can't decode a server's record; the server is removed");
                }
                is_new
            }
            Some(Ok(server)) if is_unknown(server) => {
                let is_new = self.record(key, Fault::UnknownService);
                if is_new {
                    log::warn!(target: "server", server = key, service = server.service.as_str(); "a server is listed for a service that the configuration does not have; it gets no work");
                }
                is_new
            }
            Some(Ok(_)) => {
                if self.clear(key) {
                    log::info!(target: "server", server = key; "a server's record is valid again");
                }
                false
            }
            None => {
                self.clear(key);
                false
            }
        }
    }

    /// Records what is wrong with a record. Returns whether that has changed and should be reported.
    pub fn record(&mut self, key: &str, fault: Fault) -> bool {
        if let Some(known) = self.records.get_mut(key) {
            return std::mem::replace(known, fault) != fault;
        }
        if self.records.len() >= MAX_RECORDS {
            return false;
        }
        self.records.insert(key.to_owned(), fault);
        true
    }

    /// Records that a record is valid or was removed. Returns whether it was faulty before.
    pub fn clear(&mut self, key: &str) -> bool {
        self.records.remove(key).is_some()
    }

    /// Returns the number of records that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no record is faulty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
