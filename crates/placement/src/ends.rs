//! When a server that runs requests in their order began each of them, as far as the ends of others show.

use std::collections::VecDeque;

use domain::Moment;

/// The number of ends that are kept. Requests that wait behind more are late anyway.
const END_LIMIT: usize = 64;

/// The ends of requests at one server.
#[derive(Clone, Debug, Default)]
pub struct Ends {
    /// When the latest requests ended, in order.
    latest: VecDeque<Moment>,
    /// The number of requests that ended.
    count: usize,
}

/// The place of a request in the order of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The number of requests that had ended when it was placed.
    ended_before: usize,
    /// The number of those in progress then.
    ahead: usize,
}

impl Ends {
    /// Records the end of a request.
    pub fn record(&mut self, now: Moment) {
        if self.latest.len() == END_LIMIT {
            self.latest.pop_front();
        }
        self.latest.push_back(now);
        self.count += 1;
    }

    /// Returns the place of a request that comes after `ahead` others.
    pub fn place(&self, ahead: usize) -> Place {
        Place {
            ended_before: self.count,
            ahead,
        }
    }

    /// Returns when a request that was placed at `placed_at` got one of the server's slots; `None` if it
    /// waits for one.
    pub fn began(&self, placed_at: Moment, place: Place, slots: usize) -> Option<Moment> {
        if place.ahead < slots {
            return Some(placed_at);
        }
        let end = place.ended_before + place.ahead - slots;
        if end >= self.count {
            return None;
        }
        let forgotten = self.count - self.latest.len();
        let at = end
            .checked_sub(forgotten)
            .and_then(|it| self.latest.get(it));
        Some(at.copied().unwrap_or(placed_at))
    }
}
