//! Tests of the report's table and chart.

use std::time::Duration;

use burn::Ledger;
use burn::Report;
use burn::ledger::Grade;
use burn::ledger::Subject;
use burn::picture;
use domain::Moment;

/// Records numbers of good and bad requests of a customer in one minute.
fn record(ledger: &mut Ledger, minute: u64, customer: &str, good: u64, bad: u64) {
    let now = Moment::default() + Duration::from_secs(minute * 60);
    let subject = Subject {
        customer: customer.to_owned(),
        class: "short".to_owned(),
    };
    for index in 0..good + bad {
        let grade = if index < good {
            Grade::Good
        } else {
            Grade::Bad
        };
        ledger.record(now, subject.clone(), grade);
    }
}

fn report() -> Report {
    let mut ledger = Ledger::default();
    record(&mut ledger, 10, "forgotten", 0, 5);
    record(&mut ledger, 80, "recovered", 60, 40);
    record(&mut ledger, 100, "recovered", 100, 0);
    record(&mut ledger, 100, "riders", 50, 50);
    record(&mut ledger, 100, "forum", 99, 1);
    Report::new(ledger.summaries(Moment::default() + Duration::from_secs(100 * 60)))
}

#[test]
fn table_sorts_by_long_burn() {
    insta::assert_snapshot!(report().table(), @r"
    customer                 class     requests  short burn  long burn  state
    riders                   short          100       10.00      10.00  alert
    recovered                short          200        0.00       4.00  warn
    forum                    short          100        0.20       0.20  good
    ");
}

#[test]
fn draw_two_bars_per_row() {
    let svg = picture::draw(&report());
    assert_eq!(svg.matches("<rect").count(), report().rows.len() * 2);
}
