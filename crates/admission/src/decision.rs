//! Decides whether a request is placed, waits or is rejected.

use std::time::Duration;

use domain::Moment;
use placement::Plan;
use placement::plan::Need;
use placement::workload::Timeliness;

use crate::queue::Ahead;
use crate::queue::Reason;

/// The share of its target that a request keeps in hand when it stops waiting. Forecasts of first
/// tokens are off by 0.15 of the target, and work of others comes between. With 0.3, long prompts were in
/// time less often than if placed at once (0.60 and 0.70 of them beside a burst of short ones); with 0.5,
/// fewer of the short ones are spared.
const MARGIN_SHARE: f64 = 0.4;
/// A request waits if others would lose more than this share of what it gains by being in time. It keeps
/// that gain while it waits, so that even a small harm is worth avoiding. In played bursts, 1.0 was no
/// better than placing at once. The gain counts before priorities, which already weigh the harm: otherwise
/// the less urgent kinds were in time less often than if placed at once.
const HARM_SHARE: f64 = 0.1;
/// The time that a request which is already late keeps in hand until its caller disconnects.
const DISCONNECT_MARGIN: Duration = Duration::from_millis(300);
/// The loss to others up to which a late request counts as harmless, in the value of a short request.
const HARMLESS_LOSS: f64 = 0.05;
/// The share of the value of a request that it gains by being in time.
const TIMELY_SHARE: f64 = 0.75;
/// The latency of calls varies more than forecasts of first tokens. A call stops waiting when this
/// multiple of the latency is left.
const CALL_LATENCY_FACTOR: f64 = 2.0;

/// What limits a decision besides the plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The time after which the caller disconnects if it has received no event.
    pub first_event: Duration,
    /// The slots of each engine that this instance may count on.
    pub slots: usize,
    /// The factor by which the request's priority has reduced its value.
    pub weight: f64,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is placed as planned.
    Place,
    /// It waits at this instance and is planned again by `until` at the latest.
    Wait {
        /// When it is planned again even if nothing has changed.
        until: Moment,
        /// What it waits for.
        reason: Reason,
    },
    /// It can't be served before its caller disconnects. Room is expected after this time.
    Reject {
        /// The time after which a new request would be in time.
        room: Duration,
    },
}

/// Decides on a prompt with this best plan. `ahead` is what waits ahead of it and has not been planned
/// again since the last change.
pub fn decide(now: Moment, need: &Need, plan: &Plan, ahead: Ahead, bounds: Bounds) -> Decision {
    if plan.first_token > bounds.first_event {
        return Decision::Reject {
            room: plan.first_token.saturating_sub(need.initial_target),
        };
    }
    let has_slot = plan.ahead < bounds.slots;
    let wait = |time: Duration, reason| Decision::Wait {
        until: now + time,
        reason,
    };
    if plan.timeliness == Timeliness::Late {
        let is_harmless = plan.loss_to_others <= HARMLESS_LOSS;
        let time = bounds
            .first_event
            .saturating_sub(plan.first_token + DISCONNECT_MARGIN);
        if time.is_zero() || (is_harmless && has_slot && plan.has_room && ahead.in_time == 0) {
            return Decision::Place;
        }
        return wait(time, Reason::Late);
    }
    let margin = need.initial_target.mul_f64(MARGIN_SHARE);
    let slack = need.target.saturating_sub(plan.first_token + margin);
    if slack.is_zero() {
        return Decision::Place;
    }
    if plan.loss_to_others > HARM_SHARE * TIMELY_SHARE * need.value / bounds.weight {
        return wait(slack, Reason::Harm);
    }
    if !plan.has_room {
        return wait(slack, Reason::Room);
    }
    if !has_slot || ahead.in_time > 0 {
        return wait(slack, Reason::Slot);
    }
    Decision::Place
}

/// Decides on a call to a plain service with `target` left until it is late. `has_slot` says whether a
/// server has a free slot, `latency` how long servers take.
pub fn decide_call(
    now: Moment,
    target: Duration,
    latency: Duration,
    has_slot: bool,
    ahead: Ahead,
) -> Decision {
    let slack = target.saturating_sub(latency.mul_f64(CALL_LATENCY_FACTOR));
    if slack.is_zero() || (has_slot && ahead.in_time == 0) {
        return Decision::Place;
    }
    Decision::Wait {
        until: now + slack,
        reason: Reason::Slot,
    }
}
