//! The pause that a backend server asked for, in which it takes no work.

use std::time::Duration;

use domain::Moment;

/// The longest pause. A malformed value must not exclude a server for good.
const LONGEST: Duration = Duration::from_secs(3_600);

/// The pause of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pause {
    until: Option<Moment>,
}

impl Pause {
    /// Records that the server asked for a pause of this length. A longer one stays in force.
    pub fn extend(&mut self, now: Moment, length: Duration) {
        let until = now + length.min(LONGEST);
        self.until = self.until.max(Some(until));
    }

    /// Returns the time left, or zero if there is no pause.
    pub fn left(self, now: Moment) -> Duration {
        self.until.map_or(Duration::ZERO, |it| now.until(it))
    }

    /// Returns whether there is no pause.
    pub fn is_over(self, now: Moment) -> bool {
        self.left(now).is_zero()
    }
}
