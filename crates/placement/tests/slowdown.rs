//! Engines that turn slow are found by their passes.

use domain::Moment;
use placement::slowdown::Meter;
use placement::slowdown::Slowdowns;

const ENGINE: u64 = 7;

fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000 + millis)
}

/// Takes events, each with its time and the longest that a pass should be.
fn check(events: &[(u64, f64)], expected: Option<f64>) {
    let mut meter = Meter::default();
    let mut last = None;
    for (millis, pass_ms) in events {
        last = meter.measure(at(*millis), *pass_ms);
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
fn measure_shortest_pass_counts() {
    let pass = 50.0;
    check(
        &[(0, pass), (900, pass), (950, pass), (2_000, pass)],
        Some(1.0),
    );
}

#[test]
fn measure_what_was_to_be_read_may_have_been_read() {
    let events = [(0, 200.0), (250, 50.0), (500, 250.0), (750, 50.0)];
    check(&events, Some(1.0));
}

#[test]
fn measure_time_of_the_caller_does_not_count() {
    let mut meter = Meter::default();
    for pass in 0..3 {
        meter.measure(at(pass * 400), 50.0);
        meter.resume(at(pass * 400 + 350));
    }
    assert_eq!(meter.measure(at(1_200), 50.0), Some(1.0));
}

#[test]
fn factor_is_forgotten_after_a_while() {
    let mut slowdowns = Slowdowns::default();
    assert_eq!(slowdowns.factor(at(0), ENGINE), 1.0);
    slowdowns.set(at(0), ENGINE, 5.0);
    assert_eq!(slowdowns.factor(at(2_900), ENGINE), 5.0);
    assert_eq!(slowdowns.factor(at(3_100), ENGINE), 1.0);
}

#[test]
fn factor_of_nonsense_is_bounded() {
    let mut slowdowns = Slowdowns::default();
    for (told, expected) in [(0.0, 1.0), (-3.0, 1.0), (1e9, 16.0), (f64::INFINITY, 16.0)] {
        slowdowns.set(at(0), ENGINE, told);
        assert_eq!(slowdowns.factor(at(0), ENGINE), expected);
    }
    slowdowns.set(at(0), ENGINE, f64::NAN);
    assert_eq!(slowdowns.factor(at(0), ENGINE), 1.0);
}

#[test]
fn is_news_once_and_again_after_a_change_or_a_while() {
    let mut slowdowns = Slowdowns::default();
    assert!(!slowdowns.should_report(at(0), ENGINE, 1.5));
    assert!(slowdowns.should_report(at(0), ENGINE, 5.0));
    slowdowns.set(at(0), ENGINE, 5.0);
    assert!(!slowdowns.should_report(at(100), ENGINE, 4.8));
    assert!(slowdowns.should_report(at(100), ENGINE, 3.0));
    assert!(slowdowns.should_report(at(100), ENGINE, 1.0));
    assert!(slowdowns.should_report(at(1_100), ENGINE, 5.0));
}

#[test]
fn overdue_by_what_has_not_come() {
    let mut meter = Meter::default();
    assert_eq!(meter.overdue(at(0)), None);
    meter.measure(at(0), 500.0);
    assert_eq!(meter.overdue(at(400)), Some(1.0));
    assert_eq!(meter.overdue(at(2_000)), Some(4.0));
}
