//! Health: a circuit breaker for each engine.

use std::time::Duration;

use domain::Moment;

/// Failures in a row that open the breaker.
const FAILURE_LIMIT: u32 = 3;
/// The first pause before a trial.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause before a trial.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// The circuit breaker of one engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures: u32,
    state: State,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Work flows.
    #[default]
    Closed,
    /// No work until the given moment.
    Open(Moment),
    /// One trial is out; no more work until the given moment.
    Trial(Moment),
}

impl Health {
    /// Tells whether work may be sent now.
    pub fn is_usable(&self, now: Moment) -> bool {
        match self.state {
            State::Closed => true,
            State::Open(until) | State::Trial(until) => now >= until,
        }
    }

    /// Notes that work is sent. After a pause, the first piece of work is the trial.
    pub fn record_dispatch(&mut self, now: Moment) {
        if self.state != State::Closed {
            self.state = State::Trial(now + LONGEST_PAUSE);
        }
    }

    /// Notes a sign of good health.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure that the engine is to blame for.
    pub fn record_failure(&mut self, now: Moment) {
        self.failures = self.failures.saturating_add(1);
        let is_trial = matches!(self.state, State::Trial(_));
        if self.failures >= FAILURE_LIMIT || is_trial {
            self.open(now);
        }
    }

    /// Notes that the engine can't be reached at all.
    pub fn record_unreachable(&mut self, now: Moment) {
        self.failures = self.failures.max(FAILURE_LIMIT);
        if self.is_usable(now) {
            self.open(now);
        }
    }

    fn open(&mut self, now: Moment) {
        let doublings = self.failures.saturating_sub(FAILURE_LIMIT).min(8);
        let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
        self.state = State::Open(now + pause);
    }
}
