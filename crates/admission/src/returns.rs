//! The requests that were rejected with a time to come back, so that they are recognised.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use domain::Moment;

/// A request counts as returned from this time before the one that it was told, which clocks and
/// rounding may take off.
const EARLY_TOLERANCE: Duration = Duration::from_millis(20);
/// A request that comes later than this after the time that it was told is a new one.
const LATE_TOLERANCE: Duration = Duration::from_millis(1_000);
/// The number of rejections that are remembered, about 100 kB. The oldest are forgotten first.
const LIMIT: usize = 2_048;

/// Recent rejections, by the digest of the request.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    told: BTreeMap<u64, Moment>,
    order: VecDeque<u64>,
}

impl Returns {
    /// Records that a request with this digest was told to come back after `delay`.
    pub fn record(&mut self, now: Moment, digest: u64, delay: Duration) {
        if self.told.insert(digest, now + delay).is_none() {
            self.order.push_back(digest);
        }
        while self.order.len() > LIMIT {
            if let Some(oldest) = self.order.pop_front() {
                self.told.remove(&oldest);
            }
        }
    }

    /// Removes a rejection: the request has come back elsewhere.
    pub fn forget(&mut self, digest: u64) {
        if self.told.remove(&digest).is_some() {
            self.order.retain(|it| *it != digest);
        }
    }

    /// Returns whether a request comes back at the time that it was told. Each rejection counts once.
    pub fn take(&mut self, now: Moment, digest: u64) -> bool {
        let Some(told) = self.told.remove(&digest) else {
            return false;
        };
        self.order.retain(|it| *it != digest);
        now + EARLY_TOLERANCE >= told && now <= told + LATE_TOLERANCE
    }
}
