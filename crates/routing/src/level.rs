//! Priority levels: the order in which engines take prefill work.
//!
//! Shorter length classes go first. Within a class, firms within their share go before those that
//! exceed it, so the excess work of a firm also waits in the queues of the engines, and not only in
//! the entry's lanes.

use domain::Length;

/// The number of levels.
pub const LEVELS: usize = Length::ALL.len() * 2;

/// The priority level of a job on an engine. The lowest index goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Level(usize);

/// How a firm's recent use of a lane compares with its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conformance {
    /// The firm keeps to its share.
    Conforming,
    /// The firm uses more than its share.
    Exceeding,
}

impl Level {
    /// The level that goes last.
    pub const LAST: Self = Self(LEVELS - 1);

    /// Returns the level of a job.
    pub fn new(length: Length, conformance: Conformance) -> Self {
        Self(length as usize * 2 + usize::from(conformance == Conformance::Exceeding))
    }

    /// Returns the index of the level, with zero for the first.
    pub fn index(self) -> usize {
        self.0
    }

    /// Returns the priority that requests to an engine carry for the level. Higher goes first.
    pub fn priority(self) -> u8 {
        (LEVELS - 1 - self.0) as u8
    }
}
