//! Repeats stay within the allowance that all entries share.

use std::time::Duration;

use domain::Moment;
use placement::Allowance;
use placement::allowance::Terms;
use proptest::prelude::*;

const TERMS: Terms = Terms {
    ratio: 0.2,
    extra: 100.0,
    window_s: 10.0,
};

/// Spends all that can be spent at each step, and returns when repeats were sent.
fn spend_all(entries: usize, steps: u64, requests_per_step: usize) -> Vec<u64> {
    let mut allowances = vec![Allowance::new(Moment::default(), &TERMS, entries); entries];
    let mut sent = Vec::new();
    for step in 0..steps {
        let now = Moment::default() + Duration::from_millis(100 * step);
        for allowance in &mut allowances {
            for _ in 0..requests_per_step {
                allowance.earn(&TERMS, entries);
            }
            while allowance.spend(now, &TERMS, entries) {
                sent.push(step);
            }
        }
    }
    sent
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn spend_stays_within_any_window(entries in 1_usize..10, requests in 0_usize..8) {
        let sent = spend_all(entries, 300, requests);
        for start in 0..200 {
            let in_window = sent.iter().filter(|it| (start..start + 100).contains(*it)).count();
            let allowed = TERMS.ratio * (requests * entries * 100) as f64 + TERMS.extra;
            prop_assert!(in_window as f64 <= allowed, "{in_window} of {allowed}");
        }
    }
}

#[test]
fn spend_some_without_any_request() {
    assert!(!spend_all(6, 1, 0).is_empty());
}
