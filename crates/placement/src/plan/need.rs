//! What a request needs, and what it loses if its first token or a pause is late.

use std::time::Duration;

use crate::lateness::LATE_LOSS;
use crate::lateness::PAUSE_SPREAD;
use crate::lateness::late_probability;
use crate::workload::Timeliness;

/// The relative error of first-token forecasts, as a share of the target. A request whose forecast
/// equals its target is late half of the time.
pub(super) const FIRST_TOKEN_SPREAD: f64 = 0.15;
/// A request counts as on time while its forecast is below this multiple of its target. Beyond it,
/// nine of ten requests are late.
const ON_TIME_MARGIN: f64 = 1.3;
/// The loss of waiting for the length of the full target, in the value of a short request. It
/// breaks ties in favour of the earlier answer.
const WAIT_COST: f64 = 0.05;

/// The size, the time limits and the value of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// The expected number of tokens in its answer.
    pub expected_answer_tokens: u64,
    /// The time left until the deadline of its first token.
    pub target: Duration,
    /// The time that it had for its first token on arrival.
    pub initial_target: Duration,
    /// The longest pause between two events that is still on time; `None` without a limit.
    pub pause: Option<Duration>,
    /// Its value to the caller; a short request has the value 1.
    pub value: f64,
}

/// The forecast for the first token.
pub(super) struct Forecast {
    /// The time until it, in milliseconds.
    pub(super) first_token_ms: f64,
    /// Whether it is expected in time.
    pub(super) timeliness: Timeliness,
}

impl Need {
    /// Returns the forecast for the first token, given the time that it takes if the request is
    /// scheduled as on time, ahead of late ones, and if it is scheduled as late.
    pub(super) fn forecast(&self, on_time_ms: f64, late_ms: f64) -> Forecast {
        let target_ms = self.target.as_secs_f64() * 1e3;
        if on_time_ms <= target_ms * ON_TIME_MARGIN {
            return Forecast {
                first_token_ms: on_time_ms,
                timeliness: Timeliness::OnTime,
            };
        }
        Forecast {
            first_token_ms: late_ms,
            timeliness: Timeliness::Late,
        }
    }

    /// Returns the loss of this request by its pauses on an engine whose passes last `pass_ms`.
    pub(super) fn pause_loss(&self, pass_ms: f64) -> f64 {
        let late = self.pause.map_or(0.0, |limit| {
            late_probability(pass_ms, limit.as_secs_f64() * 1e3, PAUSE_SPREAD)
        });
        LATE_LOSS * self.value * late
    }

    /// Returns the loss of this request if its first token comes after `first_token_ms`.
    pub(super) fn first_token_loss(&self, first_token_ms: f64) -> f64 {
        let target_ms = self.target.as_secs_f64() * 1e3;
        LATE_LOSS * self.value * late_probability(first_token_ms, target_ms, FIRST_TOKEN_SPREAD)
            + WAIT_COST * first_token_ms / (self.initial_target.as_secs_f64() * 1e3).max(1.0)
    }
}
