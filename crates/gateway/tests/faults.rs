//! Faulty records of servers are reported once, in bounded memory.

use gateway::faults::Fault;
use gateway::faults::Faults;
use gateway::port::DecodeError;

#[test]
fn record_reports_a_fault_once() {
    let mut faults = Faults::default();
    assert!(faults.record("a", Fault::Unreadable));
    assert!((0..100).all(|_| !faults.record("a", Fault::Unreadable)));
    assert!(faults.record("a", Fault::UnknownService));
    assert!(faults.clear("a"));
    assert!(!faults.clear("a"));
    assert!(faults.record("a", Fault::UnknownService));
}

/// The text of an error may differ with each record, since it has the position in the record.
#[test]
fn check_reports_records_that_fail_differently_once() {
    let mut faults = Faults::default();
    let mut check = |column: usize| {
        let error = Err(DecodeError(format!("column {column}")));
        faults.check(None, "a", Some(&error))
    };
    assert!(check(1));
    assert!((2..10).all(|it| !check(it)));
    assert!(!faults.check(None, "a", None));
    assert!(faults.is_empty());
}

/// Guards against memory and log lines that grow with the keys of a log which has only faulty records.
#[test]
fn record_memory_is_bounded() {
    let mut faults = Faults::default();
    let keys = (0..10_000).map(|it| format!("i-{it}"));
    let reported = keys.filter(|it| faults.record(it, Fault::Unreadable));
    assert_eq!(reported.count(), 1_024);
    assert_eq!(faults.len(), 1_024);
}
