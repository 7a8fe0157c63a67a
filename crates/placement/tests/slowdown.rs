//! Slow engines are detected by the length of their passes.

use domain::Moment;
use placement::slowdown::Meter;
use placement::slowdown::Slowdowns;

const ENGINE: u64 = 7;

fn moment(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

/// Checks the result after events, each with its time and the expected maximum length of a pass.
fn check(events: &[(u64, f64)], expected: Option<f64>) {
    let mut meter = Meter::default();
    let mut last = None;
    for (millis, pass_ms) in events {
        last = meter.measure(moment(*millis), *pass_ms);
    }
    assert_eq!(last, expected);
}

#[test]
fn measure_passes_in_a_row() {
    let pass = 50.0;
    check(&[(0, pass), (250, pass), (500, pass)], None);
    check(
        &[(0, pass), (250, pass), (500, pass), (750, pass)],
        Some(5.0),
    );
}

#[test]
fn measure_returns_the_shortest_pass() {
    let pass = 50.0;
    check(
        &[(0, pass), (900, pass), (950, pass), (2_000, pass)],
        Some(1.0),
    );
}

#[test]
fn measure_allows_for_pending_prefill() {
    let events = [(0, 200.0), (250, 50.0), (500, 250.0), (750, 50.0)];
    check(&events, Some(1.0));
}

#[test]
fn measure_excludes_the_time_of_the_caller() {
    let mut meter = Meter::default();
    for pass in 0..3 {
        meter.measure(moment(pass * 400), 50.0);
        meter.resume(moment(pass * 400 + 350));
    }
    assert_eq!(meter.measure(moment(1_200), 50.0), Some(1.0));
}

#[test]
fn factor_expires() {
    let mut slowdowns = Slowdowns::default();
    assert_eq!(slowdowns.factor(moment(0), ENGINE), 1.0);
    slowdowns.set(moment(0), ENGINE, 5.0);
    assert_eq!(slowdowns.factor(moment(2_900), ENGINE), 5.0);
    assert_eq!(slowdowns.factor(moment(3_100), ENGINE), 1.0);
}

#[test]
fn factor_of_invalid_measurement_is_bounded() {
    let mut slowdowns = Slowdowns::default();
    for (reported, expected) in [(0.0, 1.0), (-3.0, 1.0), (1e9, 16.0), (f64::INFINITY, 16.0)] {
        slowdowns.set(moment(0), ENGINE, reported);
        assert_eq!(slowdowns.factor(moment(0), ENGINE), expected);
    }
    slowdowns.set(moment(0), ENGINE, f64::NAN);
    assert_eq!(slowdowns.factor(moment(0), ENGINE), 1.0);
}

#[test]
fn should_report_once_and_again_after_a_change_or_an_interval() {
    let mut slowdowns = Slowdowns::default();
    assert!(!slowdowns.should_report(moment(0), ENGINE, 1.5));
    assert!(slowdowns.should_report(moment(0), ENGINE, 5.0));
    slowdowns.set(moment(0), ENGINE, 5.0);
    assert!(!slowdowns.should_report(moment(100), ENGINE, 4.8));
    assert!(slowdowns.should_report(moment(100), ENGINE, 3.0));
    assert!(slowdowns.should_report(moment(100), ENGINE, 1.0));
    assert!(slowdowns.should_report(moment(1_100), ENGINE, 5.0));
}

#[test]
fn overdue_grows_without_an_event() {
    let mut meter = Meter::default();
    assert_eq!(meter.overdue(moment(0)), None);
    meter.measure(moment(0), 500.0);
    assert_eq!(meter.overdue(moment(400)), Some(1.0));
    assert_eq!(meter.overdue(moment(2_000)), Some(4.0));
}
