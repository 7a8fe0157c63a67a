//! Tests that the circuit breaker of a backend server opens and admits trials in time.

use std::time::Duration;

use domain::Moment;
use routing::health::Health;

const START: Moment = Moment::from_millis(5_000);

fn at(ms: u64) -> Moment {
    START + Duration::from_millis(ms)
}

/// Returns a breaker that was opened at `START` and admitted a trial at 500 ms.
fn on_trial() -> Health {
    let mut health = Health::default();
    health.on_unreachable(START);
    assert!(!health.is_usable(at(499)));
    assert!(health.is_usable(at(500)));
    health.on_dispatch(at(500));
    assert!(!health.is_usable(at(501)));
    health
}

/// Ends a trial at 600 ms by `fail`, and checks that the next one comes after twice the time.
fn check_failed_trial(fail: impl Fn(&mut Health, Moment)) {
    let mut health = on_trial();
    fail(&mut health, at(600));
    assert!(!health.is_usable(at(1_599)));
    assert!(health.is_usable(at(1_600)));
}

#[test]
fn on_unreachable_ends_trial() {
    check_failed_trial(Health::on_unreachable);
}

#[test]
fn on_failure_ends_trial() {
    check_failed_trial(Health::on_failure);
}

#[test]
fn on_unreachable_while_open_changes_nothing() {
    let mut health = Health::default();
    health.on_unreachable(START);
    health.on_unreachable(at(400));
    assert!(health.is_usable(at(500)));
}

#[test]
fn on_success_ends_trial() {
    let mut health = on_trial();
    health.on_success();
    assert!(health.is_usable(at(600)));
}
