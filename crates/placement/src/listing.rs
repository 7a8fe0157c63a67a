//! What the platform's list says of a server, apart from what an entry knows of it from elsewhere.
//!
//! Entries pass the changes of the list on to each other, and leave out the records that repeat what the list has
//! said before. The server's answers, rumours and the configuration tell an entry nothing of what the others know, so
//! they do not count here.

use std::time::Duration;

use domain::Moment;

use crate::Server;
use crate::cold;

/// The difference between two statements of the end of a cold period from which on they are different. Reports of one
/// period differ by the time until they are read, up to 650 ms.
const PERIOD_TOLERANCE: Duration = Duration::from_secs(1);

/// What the list says of a server.
#[derive(Clone, Debug)]
pub struct Listing {
    server: Server,
    /// Until when it is cold; `None` if it is not, or if the list does not say.
    cold_until: Option<Moment>,
}

impl Listing {
    /// Returns what a record says that has just arrived.
    pub fn new(now: Moment, server: Server) -> Self {
        let cold_until = server.cold_left.and_then(|it| cold::end(now, it));
        Self { server, cold_until }
    }

    /// Returns whether a record that has just arrived says something else.
    pub fn is_changed_by(&self, now: Moment, server: &Server) -> bool {
        !server.is_same_statement(&self.server) || self.is_period_changed_by(now, server)
    }

    fn is_period_changed_by(&self, now: Moment, server: &Server) -> bool {
        let Some(left) = server.cold_left else {
            return false;
        };
        if self.server.cold_left.is_none() {
            return true;
        }
        match (self.cold_until, cold::end(now, left)) {
            (Some(known), Some(until)) => {
                known.since(until).max(until.since(known)) > PERIOD_TOLERANCE
            }
            (known, until) => known.is_some() != until.is_some(),
        }
    }
}
