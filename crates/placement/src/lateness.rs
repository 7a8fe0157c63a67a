//! How likely forecasts turn out late, and what responses lose if a pass of their engine becomes longer.

/// The share of a request's value that is lost if it is late, as the users specify.
pub(crate) const LATE_LOSS: f64 = 0.75;
/// The relative error of pause forecasts, as a share of the limit.
pub(crate) const PAUSE_SPREAD: f64 = 0.1;
/// The silence after which callers disconnect, as a multiple of the pause limit, and the least, in
/// milliseconds. Routes with longer first-token limits have a longer one, which placements do not state.
const SILENCE_FACTOR: f64 = 8.0;
const SHORTEST_SILENCE_MS: f64 = 2_000.0;
/// The largest exponent that is evaluated. Beyond it, a probability is 0 or 1.
const MAX_EXPONENT: f64 = 300.0;

/// Returns the probability that a time with the forecast `ms` exceeds `limit_ms`, if the error of
/// forecasts is the share `spread` of the limit.
pub(crate) fn late_probability(ms: f64, limit_ms: f64, spread: f64) -> f64 {
    let limit_ms = limit_ms.max(1.0);
    let distance = (ms - limit_ms) / (spread * limit_ms);
    1.0 / (1.0 + (-distance).exp())
}

/// A pass of an engine that becomes longer by further prefill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Pass {
    /// Its length as it was, in milliseconds.
    pub(crate) before_ms: f64,
    /// Its new length, in milliseconds.
    pub(crate) after_ms: f64,
}

impl Pass {
    /// Returns the probability that an event comes within `limit_ms` still, if it would have come within
    /// that time before.
    pub(crate) fn in_time(self, limit_ms: f64) -> f64 {
        let [before, after] = [self.before_ms, self.after_ms].map(|ms| {
            let distance = (ms - limit_ms) / (PAUSE_SPREAD * limit_ms.max(1.0));
            1.0 + distance.min(MAX_EXPONENT).exp()
        });
        (before / after).min(1.0)
    }

    /// Returns the share of its value that a response loses which counts as on time.
    pub(crate) fn late(self, pause_ms: f64) -> f64 {
        let late = |ms| late_probability(ms, pause_ms, PAUSE_SPREAD);
        LATE_LOSS * (late(self.after_ms) - late(self.before_ms))
    }

    /// Returns the share of its value that a response loses. `on_time` is the probability that it is on time
    /// if the pass stays as it was.
    pub(crate) fn loss(self, pause_ms: f64, on_time: f64) -> f64 {
        // The value that is left, as long as the caller does not disconnect.
        let before = 1.0 - LATE_LOSS * (1.0 - on_time);
        let after = 1.0 - LATE_LOSS * (1.0 - on_time * self.in_time(pause_ms));
        let silence_ms = silence_ms(pause_ms);
        let gone = |ms| late_probability(ms, silence_ms, PAUSE_SPREAD);
        before * (1.0 - gone(self.before_ms)) - after * (1.0 - gone(self.after_ms))
    }
}

/// Returns the silence after which the caller of a stream disconnects, in milliseconds.
fn silence_ms(pause_ms: f64) -> f64 {
    (pause_ms * SILENCE_FACTOR).max(SHORTEST_SILENCE_MS)
}
