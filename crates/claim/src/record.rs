//! Records of a claim stream: a batch of what one entry had to say.

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

/// One event of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The key.
    #[serde(rename = "k")]
    pub key: Key,
    /// The claim that the event belongs to.
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
    /// Somebody wants to run the request.
    Claim,
    /// The holder did not run the request and never will.
    Release,
    /// The holder tells how the request ended.
    Settle(Outcome),
}
