//! Tests of which entries are not asked again.

use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
use gateway::detours::Detours;

const START: Moment = Moment::from_millis(5_000);

fn entry(number: u64) -> Incarnation {
    Incarnation::from_random(number)
}

#[test]
fn fruitless_entry_is_asked_again_after_a_second() {
    let mut detours = Detours::default();
    detours.record_fruitless(START, "app", entry(1));
    let after = |millis| START + Duration::from_millis(millis);
    assert_eq!(detours.fruitless(after(999), "app"), [entry(1)]);
    assert!(detours.fruitless(after(1_000), "app").is_empty());
}

#[test]
fn fruitless_entry_counts_once_for_its_service_only() {
    let mut detours = Detours::default();
    detours.record_fruitless(START, "app", entry(1));
    detours.record_fruitless(START, "app", entry(1));
    detours.record_fruitless(START, "llm", entry(2));
    assert_eq!(detours.fruitless(START, "app"), [entry(1)]);
    assert_eq!(detours.fruitless(START, "llm"), [entry(2)]);
}
