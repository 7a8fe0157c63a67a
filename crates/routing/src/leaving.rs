//! Whether a backend server is leaving, from sources that lag and contradict one another.

/// Whether a backend server is leaving. A mark holds until the server has been restarted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leaving {
    is_marked: bool,
    incarnation: u64,
}

impl Leaving {
    /// Tells whether the server is leaving.
    pub fn is_marked(self) -> bool {
        self.is_marked
    }

    /// Marks the server. Returns whether that is news.
    pub fn mark(&mut self) -> bool {
        !std::mem::replace(&mut self.is_marked, true)
    }

    /// Takes the word of the server itself, from the life that `incarnation` names.
    pub fn record_report(&mut self, incarnation: u64, is_leaving: bool) {
        let is_restarted = incarnation != self.incarnation;
        self.is_marked = is_leaving || (self.is_marked && !is_restarted);
        self.incarnation = incarnation;
    }
}
