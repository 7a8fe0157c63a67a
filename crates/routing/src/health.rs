//! The circuit breaker of a backend server: an engine, or a server of a plain service.

use std::time::Duration;

use domain::Moment;

/// The number of consecutive failures that opens the breaker.
const FAILURE_LIMIT: u32 = 3;
/// The initial time that the breaker stays open before a trial; it doubles with each further
/// failure.
const INITIAL_OPEN: Duration = Duration::from_millis(500);
/// The longest time that the breaker stays open before a trial.
const LONGEST_OPEN: Duration = Duration::from_secs(10);

/// The circuit breaker of one backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    state: State,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Work is allowed.
    #[default]
    Closed,
    /// No work is allowed until the given moment.
    Open(Moment),
    /// One trial is in progress; no further work is allowed until the given moment.
    Trial(Moment),
}

impl Health {
    /// Returns whether work may be sent now.
    pub fn is_usable(&self, now: Moment) -> bool {
        match self.state {
            State::Closed => true,
            State::Open(until) | State::Trial(until) => now >= until,
        }
    }

    /// Returns whether the next work is a trial.
    pub fn is_on_trial(&self) -> bool {
        self.state != State::Closed
    }

    /// Records that work is sent. While the breaker isn't closed, that work is a trial.
    pub fn on_dispatch(&mut self, now: Moment) {
        if self.is_on_trial() {
            self.state = State::Trial(now + LONGEST_OPEN);
        }
    }

    /// Records a success, which closes the breaker.
    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure caused by the server.
    pub fn on_failure(&mut self, now: Moment) {
        self.failures = self.failures.saturating_add(1);
        let is_trial = matches!(self.state, State::Trial(_));
        if self.failures >= FAILURE_LIMIT || is_trial {
            self.open(now);
        }
    }

    /// Records that the server can't be reached. This opens the breaker at once, unless it is already
    /// open. A trial has failed then.
    pub fn on_unreachable(&mut self, now: Moment) {
        match self.state {
            State::Open(until) if now < until => return,
            State::Trial(_) => self.failures = self.failures.saturating_add(1),
            State::Closed | State::Open(_) => {}
        }
        self.failures = self.failures.max(FAILURE_LIMIT);
        self.open(now);
    }

    fn open(&mut self, now: Moment) {
        let doublings = self.failures.saturating_sub(FAILURE_LIMIT).min(8);
        let duration = (INITIAL_OPEN * 2_u32.pow(doublings)).min(LONGEST_OPEN);
        self.state = State::Open(now + duration);
    }
}
