//! A list of instances that lags behind.

use std::collections::VecDeque;
use std::time::Duration;

use domain::Moment;
use platform::Instance;

/// A list that shows each change only after a while.
#[derive(Debug)]
pub struct List {
    lag: Duration,
    versions: VecDeque<(Moment, Vec<Instance>)>,
}

impl List {
    /// Returns an empty list.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            versions: VecDeque::new(),
        }
    }

    /// Replaces the list. The first one shows at once.
    pub fn replace(&mut self, now: Moment, instances: Vec<Instance>) {
        let from = if self.versions.is_empty() {
            now
        } else {
            now + self.lag
        };
        self.versions.push_back((from, instances));
        while self.versions.get(1).is_some_and(|(from, _)| *from <= now) {
            self.versions.pop_front();
        }
    }

    /// Returns the list as it shows now.
    pub fn visible(&self, now: Moment) -> Vec<Instance> {
        let shown = self.versions.iter().rev().find(|(from, _)| *from <= now);
        shown
            .map(|(_, instances)| instances.clone())
            .unwrap_or_default()
    }
}
