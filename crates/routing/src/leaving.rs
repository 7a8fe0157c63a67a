//! Whether a backend server is leaving, by several sources that may be stale or contradictory.

/// Whether a backend server is leaving. The mark stays until the server restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leaving {
    is_marked: bool,
    incarnation: u64,
}

impl Leaving {
    /// Returns whether the server is leaving.
    pub fn is_marked(self) -> bool {
        self.is_marked
    }

    /// Marks the server as leaving. Returns whether the mark is new.
    pub fn mark(&mut self) -> bool {
        !std::mem::replace(&mut self.is_marked, true)
    }

    /// Records a report by the server itself. A report from a new incarnation replaces the mark,
    /// one from the same incarnation can only set it.
    pub fn record_report(&mut self, incarnation: u64, is_leaving: bool) {
        let is_restarted = incarnation != self.incarnation;
        self.is_marked = is_leaving || (self.is_marked && !is_restarted);
        self.incarnation = incarnation;
    }
}
