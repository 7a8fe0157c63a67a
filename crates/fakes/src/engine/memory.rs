//! KV memory: what is held, by whom, and until when.
//!
//! The engine gives nothing back by itself but the memory of answers that were sent whole. What an
//! owner leaves behind stays until somebody cancels it, as on the engines that the users have.

use std::collections::BTreeMap;

use domain::Moment;
use domain::key::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// The number of a hold.
pub type Id = u64;

/// Memory that somebody holds.
#[derive(Clone, Copy, Debug)]
pub struct Hold {
    /// Who holds it.
    pub owner: Incarnation,
    /// For which request.
    pub request: u64,
    /// For which attempt.
    pub attempt: u32,
    /// How much, in tokens.
    pub tokens: u64,
    /// When nobody needs it any more.
    pub deadline: Moment,
}

/// A hold as the engine lists it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct HoldStatus {
    /// Who holds it.
    pub owner: Incarnation,
    /// For which request.
    pub request: u64,
    /// For which attempt.
    pub attempt: u32,
    /// How much, in tokens.
    pub tokens: u64,
    /// The time since its deadline, in milliseconds; zero before.
    pub overdue_ms: u64,
}

/// The memory of an engine.
#[derive(Debug)]
pub struct Memory {
    tokens: u64,
    holds: BTreeMap<Id, Hold>,
    next: Id,
}

impl Memory {
    /// Returns empty memory of `tokens` tokens.
    pub fn new(tokens: u64) -> Self {
        Self {
            tokens,
            holds: BTreeMap::new(),
            next: 0,
        }
    }

    /// Holds memory, if enough is free.
    pub fn hold(&mut self, hold: Hold) -> Option<Id> {
        if self.used() + hold.tokens > self.tokens {
            return None;
        }
        self.next += 1;
        self.holds.insert(self.next, hold);
        Some(self.next)
    }

    /// Gives one hold back.
    pub fn release(&mut self, id: Id) {
        self.holds.remove(&id);
    }

    /// Gives back all that one attempt holds.
    pub fn release_attempt(&mut self, owner: Incarnation, request: u64, attempt: u32) {
        let is_meant = |it: &Hold| (it.owner, it.request, it.attempt) == (owner, request, attempt);
        self.holds.retain(|_, it| !is_meant(it));
    }

    /// Returns the memory in use, in tokens.
    pub fn used(&self) -> u64 {
        self.holds.values().map(|it| it.tokens).sum()
    }

    /// Lists the holds.
    pub fn list(&self, now: Moment) -> Vec<HoldStatus> {
        let listed = self.holds.values().map(|it| HoldStatus {
            owner: it.owner,
            request: it.request,
            attempt: it.attempt,
            tokens: it.tokens,
            overdue_ms: now.since(it.deadline).as_millis() as u64,
        });
        listed.collect()
    }
}
