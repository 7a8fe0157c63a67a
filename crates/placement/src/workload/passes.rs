//! The passes of an engine, as far as placements and first tokens show.
//!
//! An engine prefills in a pass what has arrived before the pass begins. What arrives meanwhile is prefilled
//! in the next one.

use std::time::Duration;

use domain::Moment;

/// The share of a pass without prefill after which the next one begins, on average.
const RESIDUAL_SHARE: f64 = 0.5;

/// The pass of an engine that runs, and the prefill that waits for the next one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Passes {
    /// When the pass ends.
    end: Moment,
    /// The prefill in the pass, in milliseconds.
    prefill_ms: f64,
    /// The prefill in the next pass, in milliseconds.
    joining_ms: f64,
}

impl Passes {
    /// Returns the milliseconds of prefill in the pass that further prefill joins.
    pub(super) fn joining_ms(mut self, now: Moment, pass_ms: f64) -> f64 {
        self.advance(now, pass_ms);
        self.joining_ms
    }

    /// Adds prefill to the next pass. `pass_ms` is the length of a pass without prefill.
    pub(super) fn join(&mut self, now: Moment, pass_ms: f64, prefill_ms: f64) {
        self.advance(now, pass_ms);
        if now >= self.end {
            self.end = now + millis(pass_ms * RESIDUAL_SHARE);
            self.prefill_ms = 0.0;
        }
        self.joining_ms += prefill_ms;
    }

    /// Records that a pass has just ended. Returns the milliseconds of prefill in the one that follows.
    pub(super) fn record_end(&mut self, now: Moment, pass_ms: f64) -> f64 {
        self.advance(now, pass_ms);
        if self.joining_ms > 0.0 {
            self.begin(now, pass_ms);
        }
        if now < self.end { self.prefill_ms } else { 0.0 }
    }

    fn advance(&mut self, now: Moment, pass_ms: f64) {
        if self.joining_ms > 0.0 && now >= self.end {
            self.begin(self.end, pass_ms);
        }
    }

    fn begin(&mut self, at: Moment, pass_ms: f64) {
        self.prefill_ms = std::mem::take(&mut self.joining_ms);
        self.end = at + millis(pass_ms + self.prefill_ms);
    }
}

/// Returns zero for times that can't be true, which may come with the placements of other entries.
fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or_default()
}
