//! A list of instances whose changes become visible after a delay.

use std::collections::VecDeque;
use std::time::Duration;

use domain::Moment;
use platform::Instance;

/// A list of instances in which each change becomes visible after a delay.
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

    /// Replaces the list. The first version is visible at once.
    pub fn replace(&mut self, now: Moment, instances: Vec<Instance>) {
        let visible_from = if self.versions.is_empty() {
            now
        } else {
            now + self.lag
        };
        self.versions.push_back((visible_from, instances));
        while self
            .versions
            .get(1)
            .is_some_and(|(visible_from, _)| *visible_from <= now)
        {
            self.versions.pop_front();
        }
    }

    /// Returns the version that is visible at `now`.
    pub fn visible(&self, now: Moment) -> Vec<Instance> {
        let visible = self
            .versions
            .iter()
            .rev()
            .find(|(visible_from, _)| *visible_from <= now);
        visible
            .map(|(_, instances)| instances.clone())
            .unwrap_or_default()
    }
}
