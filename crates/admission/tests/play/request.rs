//! A request of a played caller, and what became of it.

use super::load::Arrival;
use super::load::KINDS;
use super::load::Kind;

/// The share of the value of a request that a late response keeps.
const LATE_WORTH: f64 = 0.25;

/// The priorities of the kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priorities {
    Equal,
    ByKind,
    /// The first organisation is more urgent than the others by one level.
    ByOrganisation,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Request {
    pub arrival: Arrival,
    /// When this attempt of the caller arrived, later than `arrival.at_ms` if it was rejected before.
    pub(super) came_ms: u64,
    pub is_returned: bool,
    /// Whether the caller came back after a rejection.
    pub has_come_back: bool,
    pub(super) first_token_ms: Option<u64>,
    pub(super) longest_pause_ms: u64,
    pub(super) parts: Vec<u64>,
    pub(super) parts_left: usize,
    pub has_left: bool,
    /// How long it had waited when it was rejected for good.
    pub rejected_after_ms: Option<u64>,
    pub was_rejected: bool,
    pub(super) is_placed: bool,
    pub(super) harm_loss: Option<f64>,
}

impl Request {
    pub(super) fn kind(&self) -> &'static Kind {
        &KINDS[self.arrival.kind]
    }

    /// Returns whether the caller got events before it disconnected.
    pub fn is_served(&self) -> bool {
        self.first_token_ms.is_some()
    }

    /// Returns what the caller got, as a share of the value of the request.
    pub fn worth(&self) -> f64 {
        match (self.is_in_time(), self.is_served()) {
            (true, _) => 1.0,
            (false, true) => LATE_WORTH,
            (false, false) => 0.0,
        }
    }

    /// Returns the value of the request by its length.
    pub fn value(&self) -> f64 {
        1.0 + self.arrival.tokens as f64 / 1e4
    }

    /// Returns the levels by which the request is less urgent than the most urgent ones.
    pub(super) fn level(&self, priorities: Priorities) -> u32 {
        match priorities {
            Priorities::Equal => 0,
            Priorities::ByKind => self.kind().level,
            Priorities::ByOrganisation => u32::from(self.arrival.organisation > 0),
        }
    }

    /// Returns the value of the request, which each level of priority halves.
    pub fn weighed_value(&self, priorities: Priorities) -> f64 {
        self.value() * admission::weight(self.level(priorities))
    }

    /// Returns whether the caller got its first event within its target.
    pub fn is_first_in_time(&self) -> bool {
        let target_at = self.came_ms + self.kind().target_ms;
        self.first_token_ms.is_some_and(|it| it <= target_at)
    }

    /// Returns whether the caller got its answer within the targets.
    pub fn is_in_time(&self) -> bool {
        let kind = self.kind();
        let target_at = self.came_ms + kind.target_ms;
        self.first_token_ms.is_some_and(|it| it <= target_at)
            && self.longest_pause_ms <= kind.pause_ms
    }
}
