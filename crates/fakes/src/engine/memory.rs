//! KV memory: the holds on it, their owners and their deadlines.
//!
//! The engine releases only the memory of answers that were sent completely. Memory of an abandoned
//! request stays held until the attempt is cancelled, as on the users' engines.

use std::collections::BTreeMap;

use domain::Moment;
use domain::key::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// The ID of a hold.
pub type Id = u64;

/// Memory that is held for an attempt of a request.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    /// The entry that holds it.
    pub owner: Incarnation,
    /// The number of the request.
    pub request: u64,
    /// The number of the attempt.
    pub attempt: u32,
    /// The amount of memory, in tokens.
    pub tokens: u64,
    /// When the owner no longer needs it.
    pub deadline: Moment,
}

/// A hold in the list that the engine returns.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct HoldStatus {
    /// The entry that holds it.
    pub owner: Incarnation,
    /// The number of the request.
    pub request: u64,
    /// The number of the attempt.
    pub attempt: u32,
    /// The amount of memory, in tokens.
    pub tokens: u64,
    /// The time since its deadline, in milliseconds; zero before the deadline.
    pub overdue_ms: u64,
}

/// The KV memory of an engine.
#[derive(Debug)]
pub struct Memory {
    capacity: u64,
    holds: BTreeMap<Id, Hold>,
    last_id: Id,
}

impl Memory {
    /// Returns free memory of `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            holds: BTreeMap::new(),
            last_id: 0,
        }
    }

    /// Holds memory. Returns `None` if not enough is free.
    pub fn hold(&mut self, hold: Hold) -> Option<Id> {
        if self.used() + hold.tokens > self.capacity {
            return None;
        }
        self.last_id += 1;
        self.holds.insert(self.last_id, hold);
        Some(self.last_id)
    }

    /// Releases a hold.
    pub fn release(&mut self, id: Id) {
        self.holds.remove(&id);
    }

    /// Releases all holds of one attempt.
    pub fn release_attempt(&mut self, owner: Incarnation, request: u64, attempt: u32) {
        let is_match = |it: &Hold| (it.owner, it.request, it.attempt) == (owner, request, attempt);
        self.holds.retain(|_, it| !is_match(it));
    }

    /// Returns the memory in use, in tokens.
    pub fn used(&self) -> u64 {
        self.holds.values().map(|it| it.tokens).sum()
    }

    /// Returns all holds.
    pub fn list(&self, now: Moment) -> Vec<HoldStatus> {
        let statuses = self.holds.values().map(|it| HoldStatus {
            owner: it.owner,
            request: it.request,
            attempt: it.attempt,
            tokens: it.tokens,
            overdue_ms: now.since(it.deadline).as_millis() as u64,
        });
        statuses.collect()
    }
}
