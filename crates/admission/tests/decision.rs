//! Decisions on single requests.

use std::time::Duration;

use admission::Decision;
use admission::RetryTime;
use admission::Returns;
use admission::decide;
use admission::decide_call;
use admission::decision::Bounds;
use admission::decision::Call;
use admission::decision::Slot;
use admission::queue::Ahead;
use admission::queue::Reason;
use domain::Moment;
use placement::Plan;
use placement::plan::Load;
use placement::plan::Need;
use placement::workload::Timeliness;

const NOW: Moment = Moment::from_millis(10_000);
const SLOTS: usize = 12;

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Returns a request with a target of a second that has just arrived.
fn need() -> Need {
    Need {
        prompt_tokens: 10_000,
        expected_answer_tokens: 100,
        target: millis(1_000),
        initial_target: millis(1_000),
        pause: None,
        value: 2.0,
    }
}

fn plan(first_token_ms: u64) -> Plan {
    Plan {
        parts: Vec::new(),
        first_token: millis(first_token_ms),
        timeliness: Timeliness::OnTime,
        loss: 0.0,
        loss_to_others: 0.0,
        ahead: 0,
        wait: Duration::ZERO,
        has_room: true,
        load: Load::default(),
    }
}

fn bounds() -> Bounds {
    Bounds {
        first_event: millis(4_000),
        slots: SLOTS,
        all_slots: SLOTS,
        weight: 1.0,
        is_last_chance: false,
        harm_loss: None,
    }
}

fn check(plan: &Plan, ahead: usize, expected: Decision) {
    let ahead = Ahead { in_time: ahead };
    let decision = decide(NOW, &need(), plan, ahead, bounds());
    assert_eq!(decision, expected);
}

fn wait(until_ms: u64, reason: Reason) -> Decision {
    Decision::Wait {
        until: NOW + millis(until_ms),
        reason,
    }
}

#[test]
fn decide_harmless_with_a_slot_is_placed() {
    check(&plan(200), 0, Decision::Place);
}

#[test]
fn decide_harm_waits_until_it_would_be_late() {
    let mut plan = plan(200);
    plan.loss_to_others = 1.6;
    check(&plan, 0, wait(400, Reason::Harm));
    plan.first_token = millis(600);
    check(&plan, 0, Decision::Place);
}

#[test]
fn decide_without_slot_or_room_waits() {
    let mut full = plan(200);
    full.ahead = SLOTS;
    check(&full, 0, wait(400, Reason::Slot));
    let mut crowded = plan(200);
    crowded.has_room = false;
    check(&crowded, 0, wait(400, Reason::Room));
}

#[test]
fn decide_others_ahead_go_first() {
    check(&plan(200), 1, wait(400, Reason::Slot));
}

/// Waiting must not go on while it makes a request late that could have been in time.
#[test]
fn decide_harm_waits_only_while_the_plan_gets_better() {
    let mut plan = plan(200);
    plan.loss_to_others = 1.6;
    plan.loss = 1.8;
    let decide_after = |harm_loss| {
        let bounds = Bounds {
            harm_loss: Some(harm_loss),
            ..bounds()
        };
        decide(NOW, &need(), &plan, Ahead::default(), bounds)
    };
    assert_eq!(decide_after(1.9), wait(400, Reason::Harm));
    assert_eq!(decide_after(1.7), Decision::Place);
}

/// Long prompts were placed at the end of their wait although others lost more than they are worth.
#[test]
fn decide_harm_beyond_its_value_waits_as_late() {
    let mut plan = plan(600);
    plan.loss_to_others = 2.1;
    check(&plan, 0, wait(3_100, Reason::Late));
    plan.first_token = millis(3_800);
    check(&plan, 0, Decision::Place);
}

/// Long prompts that came back were placed at once although others lost more than they are worth.
#[test]
fn decide_in_time_that_was_returned_waits_for_little_harm() {
    let mut plan = plan(600);
    let bounds = Bounds {
        is_last_chance: true,
        ..bounds()
    };
    plan.loss_to_others = 0.2;
    let decide_returned = |plan: &Plan| decide(NOW, &need(), plan, Ahead::default(), bounds);
    assert_eq!(decide_returned(&plan), wait(3_100, Reason::Late));
    plan.loss_to_others = 0.1;
    assert_eq!(decide_returned(&plan), Decision::Place);
}

fn late(loss_to_others: f64, first_token_ms: u64) -> Plan {
    Plan {
        timeliness: Timeliness::Late,
        loss_to_others,
        ..plan(first_token_ms)
    }
}

#[test]
fn decide_late_that_is_harmless_is_placed() {
    check(&late(0.0, 2_000), 0, Decision::Place);
}

/// A late request that others pay for less than it gains waits for a better moment, and is then placed.
#[test]
fn decide_late_that_is_worth_its_harm_is_placed_at_the_end() {
    check(&late(0.4, 2_000), 0, wait(1_700, Reason::Late));
    check(&late(0.4, 3_900), 0, Decision::Place);
}

/// Late requests made others late, and callers learned only at the end of the wait that nothing would come.
#[test]
fn decide_late_that_is_not_worth_its_harm_is_rejected_at_once() {
    let rejected = |room_ms| Decision::Reject {
        room: millis(room_ms),
    };
    check(&late(0.6, 2_000), 0, rejected(1_000));
    check(&late(0.6, 3_900), 0, rejected(2_900));
    check(&late(0.0, 2_000), 1, rejected(1_000));
    let mut full = late(0.0, 2_000);
    full.ahead = SLOTS;
    check(&full, 0, rejected(1_000));
}

/// A caller that came back as told was rejected again, and got nothing.
#[test]
fn decide_late_that_was_returned_is_not_rejected_again() {
    let decide_returned = |plan: &Plan| {
        let bounds = Bounds {
            is_last_chance: true,
            ..bounds()
        };
        decide(NOW, &need(), plan, Ahead { in_time: 1 }, bounds)
    };
    assert_eq!(
        decide_returned(&late(9.0, 2_000)),
        wait(1_700, Reason::Late)
    );
    assert_eq!(decide_returned(&late(9.0, 3_900)), Decision::Place);
    let room = millis(3_500);
    assert_eq!(
        decide_returned(&late(9.0, 4_500)),
        Decision::Reject { room }
    );
}

#[test]
fn decide_after_the_caller_would_leave_is_rejected() {
    let mut late = plan(4_500);
    late.timeliness = Timeliness::Late;
    check(
        &late,
        0,
        Decision::Reject {
            room: millis(3_500),
        },
    );
}

/// A cut-off instance counts on its share of the slots.
#[test]
fn decide_with_a_share_of_the_slots_waits_earlier() {
    let mut busy = plan(200);
    busy.ahead = 4;
    let bounds = Bounds {
        slots: 4,
        ..bounds()
    };
    let decision = decide(NOW, &need(), &busy, Ahead::default(), bounds);
    assert_eq!(decision, wait(400, Reason::Slot));
}

/// Checks what is decided on a call with `target` left of its target and 2 s of its deadline.
fn check_call(target: u64, slot: Slot, ahead: usize, expected: Decision) {
    let call = Call {
        target: millis(target),
        deadline: millis(2_000),
        latency: millis(50),
        slot,
    };
    let ahead = Ahead { in_time: ahead };
    assert_eq!(decide_call(NOW, &call, ahead), expected);
}

#[test]
fn decide_call_waits_without_a_slot_or_for_others() {
    check_call(300, Slot::Free, 0, Decision::Place);
    check_call(300, Slot::Free, 1, wait(251, Reason::Slot));
    check_call(300, Slot::Taken, 0, wait(251, Reason::Slot));
    check_call(300, Slot::BeyondShare, 0, wait(251, Reason::Slot));
}

/// Late calls must not take the slots of those that can be in time, but are sent before their deadline.
#[test]
fn decide_call_late_ones_give_way() {
    check_call(20, Slot::Free, 0, Decision::Place);
    check_call(20, Slot::BeyondShare, 0, Decision::Place);
    check_call(20, Slot::Free, 1, wait(1_800, Reason::Late));
    check_call(20, Slot::Taken, 0, wait(1_800, Reason::Late));
    let last = Call {
        target: Duration::ZERO,
        deadline: millis(200),
        latency: millis(50),
        slot: Slot::Taken,
    };
    assert_eq!(
        decide_call(NOW, &last, Ahead { in_time: 3 }),
        Decision::Place
    );
}

/// Callers don't come back if they are told more than a third of the time that they have left.
#[test]
fn retry_time_is_honoured_by_the_caller() {
    for (room, drain, left) in [
        (0, 0, 900),
        (5_000, 0, 900),
        (5_000, 9_000, 900),
        (200, 50, 9),
    ] {
        let retry = RetryTime::new(millis(room), millis(drain), millis(left));
        assert!(retry.delay(1.0) <= millis(left) / 3, "{retry:?}");
        assert!(retry.spread > Duration::ZERO);
    }
    let retry = RetryTime::new(millis(400), millis(300), millis(4_000));
    assert_eq!((retry.earliest, retry.spread), (millis(400), millis(300)));
}

#[test]
fn returns_are_recognised_once_and_only_at_their_time() {
    let mut returns = Returns::default();
    returns.record(NOW, 1, millis(500));
    assert!(!returns.take(NOW + millis(100), 1), "too early");
    returns.record(NOW, 1, millis(500));
    assert!(returns.take(NOW + millis(520), 1));
    assert!(!returns.take(NOW + millis(521), 1), "only once");
    returns.record(NOW, 1, millis(500));
    assert!(!returns.take(NOW + millis(2_000), 1), "too late");
}

/// A request that came back at one instance was recognised a second time at another one.
#[test]
fn returns_that_are_forgotten_count_as_new() {
    let mut returns = Returns::default();
    returns.record(NOW, 1, millis(500));
    returns.record(NOW, 2, millis(500));
    returns.forget(1);
    assert!(!returns.take(NOW + millis(500), 1));
    assert!(returns.take(NOW + millis(500), 2));
}

#[test]
fn returns_use_bounded_memory() {
    let mut returns = Returns::default();
    for digest in 0..10_000 {
        returns.record(NOW, digest, millis(500));
    }
    let known = (0..10_000).filter(|it| returns.take(NOW + millis(500), *it));
    let known: Vec<u64> = known.collect();
    assert_eq!(known.len(), 2_048);
    assert_eq!(known.last(), Some(&9_999));
}
