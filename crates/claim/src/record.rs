//! Records of a claim stream, each a batch of events from one entry.

use domain::Key;
use serde::Deserialize;
use serde::Serialize;

use crate::Nonce;
use crate::Outcome;

/// A batch of events, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The events.
    pub events: Vec<Event>,
}

/// An event that concerns one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The key.
    #[serde(rename = "k")]
    pub key: Key,
    /// The nonce of the claim that the event belongs to.
    #[serde(rename = "n")]
    pub nonce: Nonce,
    /// What happened.
    #[serde(rename = "e")]
    pub kind: Kind,
}

/// What happened to a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The holder of the nonce requests permission to run the request.
    Claim,
    /// The holder did not run the request and never will.
    Release,
    /// The holder reports the outcome of the request.
    Settle(Outcome),
}
