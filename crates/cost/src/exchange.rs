//! Exchange of observations between entries, in batches of bounded size.

use std::collections::HashMap;
use std::collections::VecDeque;

use domain::key::Incarnation;
use rand::Rng;
use rand::RngExt;

use crate::observation::Observation;

/// The maximum number of observations in a batch. Of more, a random sample is sent.
const BATCH_LIMIT: usize = 64;
/// The maximum size of a batch, in bytes, so that it fits into a datagram also if names are long.
const BATCH_BYTES: usize = 32 * 1024;
/// The size of an observation without its names, in bytes.
const OBSERVATION_BYTES: usize = 64;
/// The number of an entry's own observations that it keeps for entries which join.
const RECENT_LIMIT: usize = 32;
/// The maximum number of entries whose batches are told apart.
const ENTRY_LIMIT: usize = 1_024;

/// Observations of one entry, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The entry that made them.
    pub entry: Incarnation,
    /// The number of the next observation after these.
    pub next: u64,
    /// The observations.
    pub observations: Vec<Observation>,
}

/// An entry's own observations, to send.
#[derive(Clone, Debug)]
pub struct Outbox {
    entry: Incarnation,
    pending: Vec<Observation>,
    /// The number of observations since the last batch.
    count: usize,
    recent: VecDeque<Observation>,
    next: u64,
}

/// The batches received from other entries.
#[derive(Clone, Debug, Default)]
pub struct Inbox {
    /// The number of the next observation of each entry.
    next: HashMap<Incarnation, u64>,
}

impl Outbox {
    /// Returns the outbox of an entry that has observed nothing.
    pub fn new(entry: Incarnation) -> Self {
        Self {
            entry,
            pending: Vec::new(),
            count: 0,
            recent: VecDeque::new(),
            next: 0,
        }
    }

    /// Adds an observation.
    pub fn push(&mut self, observation: Observation, random: &mut impl Rng) {
        self.count += 1;
        if self.pending.len() < BATCH_LIMIT {
            self.pending.push(observation);
            return;
        }
        // Each observation is in the sample with the same probability.
        let index = random.random_range(0..self.count);
        if let Some(slot) = self.pending.get_mut(index) {
            *slot = observation;
        }
    }

    /// Takes the observations since the last batch; `None` without any.
    pub fn take_batch(&mut self) -> Option<Batch> {
        if self.pending.is_empty() {
            return None;
        }
        self.count = 0;
        let observations = fitting(std::mem::take(&mut self.pending));
        self.next += observations.len() as u64;
        self.recent.extend(observations.iter().cloned());
        let excess = self.recent.len().saturating_sub(RECENT_LIMIT);
        self.recent.drain(..excess);
        (!observations.is_empty()).then(|| self.batch(observations))
    }

    /// Returns the latest observations that were sent, for an entry that joins; `None` without any.
    pub fn recent(&self) -> Option<Batch> {
        let observations: Vec<Observation> = self.recent.iter().cloned().collect();
        (!observations.is_empty()).then(|| self.batch(observations))
    }

    fn batch(&self, observations: Vec<Observation>) -> Batch {
        Batch {
            entry: self.entry,
            next: self.next,
            observations,
        }
    }
}

impl Inbox {
    /// Returns the observations of a batch that were not received before.
    pub fn accept<'a>(&mut self, batch: &'a Batch) -> &'a [Observation] {
        if self.next.len() >= ENTRY_LIMIT && !self.next.contains_key(&batch.entry) {
            // Entries that left without notice fill the map up. An observation that then counts twice
            // does no harm.
            self.next.clear();
        }
        let next = self.next.entry(batch.entry).or_default();
        let new = batch.next.saturating_sub(*next);
        *next = batch.next.max(*next);
        let new = usize::try_from(new).unwrap_or(usize::MAX);
        let known = batch.observations.len().saturating_sub(new);
        &batch.observations[known..]
    }

    /// Returns the number of entries whose batches are told apart.
    pub fn len(&self) -> usize {
        self.next.len()
    }

    /// Returns whether no batch was received.
    pub fn is_empty(&self) -> bool {
        self.next.is_empty()
    }

    /// Forgets an entry that left or died.
    pub fn forget(&mut self, entry: Incarnation) {
        self.next.remove(&entry);
    }
}

/// Returns as many of the observations as fit into a batch.
fn fitting(mut observations: Vec<Observation>) -> Vec<Observation> {
    let mut size = 0;
    let fits = observations.iter().take_while(|it| {
        let names = it.service.len() + it.route.len() + it.organisation.len();
        size += OBSERVATION_BYTES + names;
        size <= BATCH_BYTES
    });
    let count = fits.count();
    observations.truncate(count);
    observations
}
