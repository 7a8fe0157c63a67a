//! Fair queues: firms and customers get their shares of engine time.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::Moment;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use routing::Job;
use routing::job::Tenant;
use routing::level::Conformance;
use routing::queue::Queue;

fn job(id: u64, firm: &str, customer: &str) -> Job {
    Job {
        id,
        tenant: Tenant {
            firm: firm.to_owned(),
            firm_weight: 1,
            customer: customer.to_owned(),
            customer_weight: 1,
        },
        model: "assistant".to_owned(),
        prompt_tokens: 1_000,
        answer_tokens: 10,
        admitted: Moment::default(),
        deadline: Moment::default() + Duration::from_secs(id),
        prefix: id,
        excluded: Vec::new(),
        failures: 0,
        memory_refusals: 0,
    }
}

/// Pops `count` jobs and returns the number of each firm's jobs among them.
fn pop_counting_firms(queue: &mut Queue, count: usize) -> BTreeMap<String, usize> {
    let mut served = BTreeMap::new();
    for _ in 0..count {
        if let Some(job) = queue.pop(Moment::default()) {
            *served.entry(job.tenant.firm).or_default() += 1;
        }
    }
    served
}

#[test]
fn queue_light_firm_is_not_starved() {
    let mut queue = Queue::default();
    for id in 0..1_000 {
        queue.push(job(id, "heavy", "a"), 1_000);
    }
    for id in 1_000..1_010 {
        queue.push(job(id, "light", "b"), 1_000);
    }
    assert_eq!(pop_counting_firms(&mut queue, 20)["light"], 10);
}

#[test]
fn queue_shares_by_cost_not_job_count() {
    let mut queue = Queue::default();
    for id in 0..100 {
        queue.push(job(id, "long", "a"), 10_000);
        queue.push(job(1_000 + id, "short", "b"), 1_000);
    }
    let served = pop_counting_firms(&mut queue, 55);
    assert!(served["short"] >= 45 && served["long"] >= 4, "{served:?}");
}

#[test]
fn queue_idle_time_earns_no_credit() {
    let mut queue = Queue::default();
    for id in 0..200 {
        queue.push(job(id, "steady", "a"), 1_000);
    }
    assert_eq!(pop_counting_firms(&mut queue, 100)["steady"], 100);
    for id in 1_000..1_100 {
        queue.push(job(id, "returning", "b"), 1_000);
    }
    let served = pop_counting_firms(&mut queue, 20);
    assert!(served["steady"] >= 9, "{served:?}");
}

#[test]
fn queue_customers_of_a_firm_share_equally() {
    let mut queue = Queue::default();
    for id in 0..100 {
        queue.push(job(id, "firm", "loud"), 1_000);
    }
    queue.push(job(500, "firm", "quiet"), 1_000);
    let first: Vec<u64> = (0..2)
        .filter_map(|_| queue.pop(Moment::default()))
        .map(|it| it.id)
        .collect();
    assert!(first.contains(&500), "{first:?}");
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(4), failure_persistence: None, cases: 300, ..Config::default()
    })]

    #[test]
    fn queue_returns_every_job_once(
        steps in prop::collection::vec((0..4_u8, 0..3_u8, 0..5_u8, 1..5_000_u64), 1..120),
    ) {
        let mut queue = Queue::default();
        let mut waiting = std::collections::BTreeSet::new();
        for (id, (operation, firm, customer, cost)) in steps.into_iter().enumerate() {
            let id = id as u64;
            match operation {
                0 => {
                    let peeked = queue.heads(Moment::default()).first().map(|it| it.job.id);
                    let popped = queue.pop(Moment::default()).map(|it| it.id);
                    prop_assert_eq!(peeked, popped);
                    prop_assert!(popped.is_none_or(|it| waiting.remove(&it)));
                }
                1 => {
                    let removed = queue.remove(id / 2).map(|it| it.id);
                    prop_assert!(removed.is_none_or(|it| waiting.remove(&it)));
                }
                _ => {
                    queue.push(job(id, &format!("f{firm}"), &format!("c{customer}")), cost);
                    waiting.insert(id);
                }
            }
            prop_assert_eq!(queue.len(), waiting.len());
        }
        while let Some(job) = queue.pop(Moment::default()) {
            prop_assert!(waiting.remove(&job.id));
        }
        prop_assert!(waiting.is_empty() && queue.is_empty());
    }

    #[test]
    fn queue_firms_get_equal_time(costs in prop::collection::vec(1..2_000_u64, 3)) {
        let mut queue = Queue::default();
        for id in 0..1_000_u64 {
            for (firm, cost) in costs.iter().enumerate() {
                queue.push(job(id * 3 + firm as u64, &format!("{firm}"), "c"), *cost);
            }
        }
        let mut used = vec![0.0; 3];
        for _ in 0..900 {
            let job = queue.pop(Moment::default()).unwrap();
            let firm: usize = job.tenant.firm.parse().unwrap();
            used[firm] += costs[firm] as f64;
        }
        let highest = used.iter().copied().fold(0.0, f64::max);
        let lowest = used.iter().copied().fold(f64::MAX, f64::min);
        let largest = *costs.iter().max().unwrap() as f64;
        prop_assert!(highest - lowest <= 2.0 * largest, "{used:?}");
    }
}

/// Returns the conformance of a firm after `own` of its jobs and `other` jobs of another firm were
/// served.
fn conformance(own: u64, other: u64, cost: u64) -> Conformance {
    let mut queue = Queue::default();
    for id in 0..own + other {
        let firm = if id < own { "own" } else { "other" };
        queue.push(job(id, firm, "c"), cost);
        queue.pop_from_firm(Moment::default(), firm);
    }
    queue.push(job(1_000, "own", "c"), cost);
    queue.heads(Moment::default())[0].conformance
}

#[test]
fn queue_sustained_use_exceeds_the_share_and_one_long_job_does_not() {
    assert_eq!(conformance(1, 0, 1_000_000), Conformance::Conforming);
    assert_eq!(conformance(2, 1, 1_000_000), Conformance::Conforming);
    assert_eq!(conformance(20, 20, 5_000), Conformance::Conforming);
    assert_eq!(conformance(180, 20, 5_000), Conformance::Exceeding);
    assert_eq!(conformance(20, 180, 5_000), Conformance::Conforming);
}
