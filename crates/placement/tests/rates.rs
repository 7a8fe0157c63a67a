//! The limits that servers name hold for the requests of all entries.

use std::time::Duration;

use domain::Moment;
use placement::Rates;
use placement::rates::Change;
use placement::rates::Statement;

const NOW: Moment = Moment::from_millis(1_000_000);
const SERVER: u64 = 7;
const LIMIT: f64 = 2.0;

fn after(millis: u64) -> Moment {
    NOW + Duration::from_millis(millis)
}

/// Returns the limits after an answer to this entry named one.
fn limited() -> Rates {
    let mut rates = Rates::default();
    let change = rates.record(NOW, SERVER, Statement::Limited(LIMIT));
    assert_eq!(change, Some(Change::Changed));
    rates
}

/// Checks the time until the server takes a request.
fn check(rates: &Rates, millis: u64, expected_ms: u64) {
    let left = rates.left(after(millis), SERVER);
    assert_eq!(left.as_millis() as u64, expected_ms, "after {millis} ms");
}

#[test]
fn server_without_a_limit_is_open() {
    let mut rates = Rates::default();
    (0..100).for_each(|_| rates.record_placed(NOW, SERVER));
    check(&rates, 0, 0);
}

#[test]
fn limit_counts_requests_of_all_entries() {
    let mut rates = limited();
    check(&rates, 0, 0);
    rates.record_placed(NOW, SERVER);
    check(&rates, 0, 500);
    check(&rates, 300, 200);
    check(&rates, 500, 0);
    // Another entry was faster.
    rates.record_placed(after(500), SERVER);
    check(&rates, 500, 500);
    assert!(rates.is_open(after(500), SERVER + 1));
}

#[test]
fn limit_holds_over_every_span() {
    let mut rates = limited();
    let mut sent = Vec::new();
    for millis in 0..20_000 {
        if rates.is_open(after(millis), SERVER) {
            rates.record_placed(after(millis), SERVER);
            sent.push(millis);
        }
    }
    for first in &sent {
        let span = sent
            .iter()
            .filter(|it| (*first..first + 4_000).contains(it));
        assert!(span.count() <= 9);
    }
    assert!(sent.len() >= 40);
}

#[test]
fn requests_beyond_the_limit_are_made_up_for() {
    let mut rates = limited();
    (0..4).for_each(|_| rates.record_placed(NOW, SERVER));
    check(&rates, 0, 2_000);
    // No debt is longer than two seconds at the limit's rate.
    (0..100).for_each(|_| rates.record_placed(NOW, SERVER));
    check(&rates, 0, 2_500);
}

#[test]
fn limit_ends_with_an_answer_to_a_later_request() {
    let mut rates = limited();
    let statement = Statement::Unlimited(NOW);
    assert_eq!(rates.record(after(900), SERVER, statement), None);
    let statement = Statement::Unlimited(after(1));
    let change = rates.record(after(900), SERVER, statement);
    assert_eq!(change, Some(Change::Ended));
    (0..9).for_each(|_| rates.record_placed(after(900), SERVER));
    check(&rates, 900, 0);
}

#[test]
fn limit_of_zero_leaves_requests_that_learn_of_its_end() {
    let mut rates = Rates::default();
    rates.record(NOW, SERVER, Statement::Limited(0.0));
    rates.record_placed(NOW, SERVER);
    check(&rates, 0, 10_000);
}

#[test]
fn report_of_another_entry_expires() {
    let mut rates = Rates::default();
    rates.record_report(NOW, SERVER, LIMIT);
    (0..2).for_each(|_| rates.record_placed(NOW, SERVER));
    check(&rates, 0, 1_000);
    rates.record_report(after(2_000), SERVER, LIMIT);
    (0..9).for_each(|_| rates.record_placed(after(4_999), SERVER));
    check(&rates, 4_999, 2_500);
    check(&rates, 5_000, 0);
}

#[test]
fn report_of_another_entry_does_not_replace_an_answer() {
    let mut rates = limited();
    rates.record_report(after(1), SERVER, 1_000.0);
    rates.record_placed(after(1), SERVER);
    check(&rates, 1, 500);
}

#[test]
fn unchanged_limit_is_reported_again_after_a_second() {
    let mut rates = limited();
    let mut record = |millis, limit| rates.record(after(millis), SERVER, Statement::Limited(limit));
    assert_eq!(record(999, LIMIT), None);
    assert_eq!(record(1_000, LIMIT), Some(Change::Repeated));
    assert_eq!(record(1_001, LIMIT), None);
    assert_eq!(record(1_002, 3.0), Some(Change::Changed));
}

#[test]
fn malformed_rates_are_bounded() {
    for per_s in [f64::NAN, f64::INFINITY, -1.0] {
        let mut rates = Rates::default();
        rates.record_report(NOW, SERVER, per_s);
        rates.record_placed(NOW, SERVER);
        assert!(
            rates.left(NOW, SERVER) <= Duration::from_secs(10),
            "{per_s}"
        );
    }
}

#[test]
fn limit_that_ended_elsewhere_ends_here() {
    let mut rates = limited();
    rates.record_report(after(1_000), SERVER, f64::INFINITY);
    (0..9).for_each(|_| rates.record_placed(after(1_000), SERVER));
    check(&rates, 1_000, 0);
}

#[test]
fn limit_that_rose_elsewhere_rises_here() {
    let mut rates = limited();
    rates.record_report(after(1_000), SERVER, LIMIT * 10.0);
    (0..20).for_each(|_| rates.record_placed(after(1_000), SERVER));
    check(&rates, 1_000, 1_000);
}

#[test]
fn end_of_a_limit_is_reported_again_after_a_second() {
    let mut rates = limited();
    let mut record = |millis| {
        let statement = Statement::Unlimited(after(millis - 20));
        rates.record(after(millis), SERVER, statement)
    };
    assert_eq!(record(100), Some(Change::Ended));
    assert_eq!(record(1_099), None);
    assert_eq!(record(1_100), Some(Change::Repeated));
    assert_eq!(record(59_000), Some(Change::Repeated));
}

#[test]
fn end_of_a_limit_is_forgotten_after_a_minute() {
    let mut rates = limited();
    rates.record(after(100), SERVER, Statement::Unlimited(after(50)));
    rates.expire(after(60_100));
    let statement = Statement::Unlimited(after(60_100));
    assert_eq!(rates.record(after(60_200), SERVER, statement), None);
}

#[test]
fn request_sent_before_a_report_does_not_end_the_limit() {
    let mut rates = Rates::default();
    rates.record_report(after(100), SERVER, LIMIT);
    let statement = Statement::Unlimited(after(50));
    assert_eq!(rates.record(after(200), SERVER, statement), None);
    rates.record_placed(after(200), SERVER);
    check(&rates, 200, 500);
}

#[test]
fn limits_in_force_are_listed_for_an_entry_that_joins() {
    let mut rates = limited();
    rates.record_report(NOW, SERVER + 1, LIMIT);
    rates.record_report(NOW, SERVER + 1, f64::INFINITY);
    let listed: Vec<(u64, f64)> = rates.in_force(after(1)).collect();
    assert_eq!(listed, [(SERVER, LIMIT)]);
}
