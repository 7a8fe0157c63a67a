//! Retries stay within the budget that all entries share.

use std::time::Duration;

use domain::Moment;
use placement::Budget;
use placement::budget::Policy;
use proptest::prelude::*;

const POLICY: Policy = Policy {
    ratio: 0.2,
    extra: 100.0,
    window_s: 10.0,
};

/// Spends the whole budget at each step, and returns the steps of the retries.
fn spend_all(entries: usize, steps: u64, requests_per_step: usize) -> Vec<u64> {
    let mut budgets = vec![Budget::new(Moment::default(), &POLICY, entries); entries];
    let mut sent = Vec::new();
    for step in 0..steps {
        let now = Moment::default() + Duration::from_millis(100 * step);
        for budget in &mut budgets {
            for _ in 0..requests_per_step {
                budget.earn(&POLICY, entries);
            }
            while budget.spend(now, &POLICY, entries) {
                sent.push(step);
            }
        }
    }
    sent
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn spend_stays_within_any_window(entries in 1_usize..70, requests in 0_usize..8) {
        let sent = spend_all(entries, 300, requests);
        for start in 0..200 {
            let in_window = sent.iter().filter(|it| (start..start + 100).contains(*it)).count();
            let allowed = POLICY.ratio * (requests * entries * 100) as f64 + POLICY.extra;
            prop_assert!(in_window as f64 <= allowed, "{in_window} of {allowed}");
        }
    }
}

#[test]
fn spend_without_any_request() {
    assert!(!spend_all(6, 1, 0).is_empty());
}

#[test]
fn spend_in_a_large_fleet() {
    assert_eq!(spend_all(50, 1, 0).len(), 50);
    let large = Policy {
        extra: 460.0,
        ..POLICY
    };
    let mut budget = Budget::new(Moment::default(), &large, 195);
    assert!(budget.spend(Moment::default(), &large, 195));
    assert!(!budget.spend(Moment::default(), &large, 195));
}
