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
/// that gain while it waits, so that even a small harm is worth avoiding. In played bursts, 1.0 was
/// hardly better than placing at once. The gain counts before priorities, which already weigh the harm: otherwise
/// the less urgent kinds were in time less often than if placed at once.
const HARM_SHARE: f64 = 0.1;
/// The time that a request which is already late keeps in hand until its caller disconnects.
const DISCONNECT_MARGIN: Duration = Duration::from_millis(300);
/// The loss to others up to which a late request counts as harmless, in the value of a short request.
const HARMLESS_LOSS: f64 = 0.05;
/// The share of the value of a request that it gains by being in time.
const TIMELY_SHARE: f64 = 0.75;
/// The share of its value that a late request still gains.
const LATE_SHARE: f64 = 1.0 - TIMELY_SHARE;
/// A late call is sent at the latest when this multiple of the latency is left to its deadline, since it may
/// then wait at a server.
const LAST_START_LATENCIES: f64 = 4.0;

/// What limits a decision besides the plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The time after which the caller disconnects if it has received no event.
    pub first_event: Duration,
    /// The slots of each engine that this instance may count on.
    pub slots: usize,
    /// All slots of each engine, of which late requests may use any: by then, the others had their time.
    pub all_slots: usize,
    /// The factor by which the request's priority has reduced its value.
    pub weight: f64,
    /// Whether it was retried as instructed, or sent before, so that it is not rejected for being late.
    pub is_last_chance: bool,
    /// The loss of its plan when it began to wait because others would lose too much.
    pub harm_loss: Option<f64>,
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
    /// It is late and not worth what others would lose by it, or its caller would disconnect before it is
    /// served. Room is expected after this time.
    Reject {
        /// The time after which a new request would be in time.
        room: Duration,
    },
}

/// Decides on a prompt with this best plan. `ahead` is what waits ahead of it and has not been planned
/// again since the last change.
pub fn decide(now: Moment, need: &Need, plan: &Plan, ahead: Ahead, bounds: Bounds) -> Decision {
    let rejected = Decision::Reject {
        room: plan.first_token.saturating_sub(need.initial_target),
    };
    if plan.first_token > bounds.first_event {
        return rejected;
    }
    let has_slot = match plan.timeliness {
        Timeliness::OnTime => plan.ahead < bounds.slots,
        Timeliness::Late => plan.ahead < bounds.all_slots,
    };
    let wait = |time: Duration, reason| Decision::Wait {
        until: now + time,
        reason,
    };
    let disconnect_slack = bounds
        .first_event
        .saturating_sub(plan.first_token + DISCONNECT_MARGIN);
    if plan.timeliness == Timeliness::Late {
        let is_unopposed = has_slot && plan.has_room && ahead.in_time == 0;
        let is_harmless = is_unopposed && plan.loss_to_others <= HARMLESS_LOSS;
        // Others that wait for the slot or the memory lose more than a late request gains.
        let is_worth = is_unopposed && plan.loss_to_others <= LATE_SHARE * need.value;
        if is_harmless {
            return Decision::Place;
        }
        if !is_worth && !bounds.is_last_chance {
            return rejected;
        }
        if disconnect_slack.is_zero() {
            return Decision::Place;
        }
        return wait(disconnect_slack, Reason::Late);
    }
    let margin = need.initial_target.mul_f64(MARGIN_SHARE);
    let slack = need.target.saturating_sub(plan.first_token + margin);
    let harm_limit = HARM_SHARE * TIMELY_SHARE * need.value / bounds.weight;
    if slack.is_zero() {
        // One that is not rejected again can wait for a plan that harms little.
        let last_limit = match bounds.is_last_chance {
            true => harm_limit,
            false => need.value,
        };
        if plan.loss_to_others <= last_limit || disconnect_slack.is_zero() {
            return Decision::Place;
        }
        return wait(disconnect_slack, Reason::Late);
    }
    // While the load rises, each plan is worse than the one before, for the request or for others.
    let is_improving = bounds.harm_loss.is_none_or(|it| plan.loss < it);
    if plan.loss_to_others > harm_limit && is_improving {
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

/// A call to a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// The time left to its target.
    pub target: Duration,
    /// The time left to its deadline.
    pub deadline: Duration,
    /// The time that servers take for an answer.
    pub latency: Duration,
    /// Whether a server has a free slot.
    pub slot: Slot,
}

/// Whether a server of a plain service has a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// One does.
    Free,
    /// One does, but beyond the slots that this instance may count on.
    BeyondShare,
    /// None does.
    Taken,
}

impl Call {
    /// Returns whether it can no longer be in time.
    pub fn is_late(&self) -> bool {
        self.latency > self.target
    }
}

/// Decides on a call to a plain service. Late calls give way to those that can be in time; at servers, which
/// take calls as they come, they would make the others late too.
pub fn decide_call(now: Moment, call: &Call, ahead: Ahead) -> Decision {
    let reason = if call.is_late() {
        Reason::Late
    } else {
        Reason::Slot
    };
    let has_slot = match call.slot {
        Slot::Free => true,
        Slot::BeyondShare => call.is_late(),
        Slot::Taken => false,
    };
    let last_start = call.latency.mul_f64(LAST_START_LATENCIES);
    let left = call.deadline.saturating_sub(last_start);
    if left.is_zero() || (has_slot && ahead.in_time == 0) {
        return Decision::Place;
    }
    let time = if call.is_late() {
        left
    } else {
        // It is decided on again once it is late.
        (call.target - call.latency).min(left) + Duration::from_millis(1)
    };
    Decision::Wait {
        until: now + time,
        reason,
    }
}
