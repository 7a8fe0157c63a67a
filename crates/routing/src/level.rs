//! Levels: the order in which engines take prefill work.
//!
//! Shorter classes go first. Within a class, firms that keep to their share go before those that use
//! more, so that what a firm sends beyond its share waits on the engines too, and not only before
//! them.

use domain::Length;

/// The number of levels.
pub const LEVELS: usize = Length::ALL.len() * 2;

/// The place of a job in the order of an engine; the first level goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Level(usize);

/// How a firm's recent use of a lane compares with its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conformance {
    /// It keeps to its share.
    Conforming,
    /// It uses more.
    Exceeding,
}

impl Level {
    /// The last level.
    pub const LAST: Self = Self(LEVELS - 1);

    /// Returns the level of a job.
    pub fn new(length: Length, conformance: Conformance) -> Self {
        Self(length as usize * 2 + usize::from(conformance == Conformance::Exceeding))
    }

    /// Returns the number of the level, from zero for the first.
    pub fn index(self) -> usize {
        self.0
    }

    /// Returns the priority by which an engine is told of the level; higher goes first.
    pub fn priority(self) -> u8 {
        (LEVELS - 1 - self.0) as u8
    }
}
