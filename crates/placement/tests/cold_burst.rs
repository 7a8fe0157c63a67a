//! Plays bursts of short prompts on instances that each decide by their own view, while servers are cold.
//! Guards against a cold server that gets more requests in a second than all instances together may send.

#[path = "fleet/fleet.rs"]
mod fleet;

use fleet::BURST_MS;
use fleet::Fleet;
use fleet::Scenario;
use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

/// What a cold server takes in a second, by the platform's rule: 18 x 1.5 + 5.
const BOUND: usize = 32;
/// The share of updates that an instance misses.
const LOSS: f64 = 0.02;

const USUAL: Scenario = Scenario {
    instances: 12,
    alone: 0,
    servers: 60,
    cold: 20,
    join_ms: None,
    loss: LOSS,
    response_ms: 1_500,
    seed: 0,
};

/// Plays a scenario with some seeds, checks the bound, and returns the lowest share of callers that were
/// placed in time.
fn check(name: &str, scenario: Scenario) -> f64 {
    let mut lowest = f64::INFINITY;
    for seed in 1..=5 {
        let mut fleet = Fleet::new(Scenario { seed, ..scenario });
        fleet.play();
        let share = fleet.in_time_share();
        println!(
            "{name}, seed {seed}: at most {} in a second, {share:.3} in time, {} withdrawn, {} refused",
            fleet.highest(),
            fleet.withdrawn,
            fleet.refused
        );
        assert!(fleet.highest() <= BOUND, "seed {seed}: {}", fleet.highest());
        lowest = lowest.min(share);
    }
    lowest
}

#[test]
fn burst_on_servers_that_return_together_stays_within_the_bound() {
    let share = check("burst", USUAL);
    assert!(share >= 0.95, "{share}");
}

#[test]
fn burst_beside_instances_that_are_cut_off_stays_within_the_bound() {
    let share = check(
        "cut off",
        Scenario {
            instances: 63,
            alone: 19,
            ..USUAL
        },
    );
    assert!(share >= 0.9, "{share}");
}

#[test]
fn burst_while_an_instance_joins_stays_within_the_bound() {
    check(
        "join",
        Scenario {
            join_ms: Some(700),
            ..USUAL
        },
    );
    check(
        "cut off and join",
        Scenario {
            instances: 62,
            alone: 19,
            join_ms: Some(700),
            ..USUAL
        },
    );
}

/// The plans of all instances prefer the few servers that are idle.
#[test]
fn burst_on_few_cold_servers_among_full_ones_stays_within_the_bound() {
    for cold in [1, 3] {
        check(
            "few",
            Scenario {
                cold,
                response_ms: 200,
                ..USUAL
            },
        );
    }
}

/// All instances compete for the few servers that exist, all of which are cold.
#[test]
fn burst_on_cold_servers_alone_stays_within_the_bound() {
    for cold in [1, 4] {
        let servers = cold;
        check(
            "cold alone",
            Scenario {
                servers,
                cold,
                ..USUAL
            },
        );
        check(
            "cold alone and cut off",
            Scenario {
                instances: 63,
                alone: 19,
                servers,
                cold,
                ..USUAL
            },
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 32,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(18),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn burst_with_any_joins_and_losses_stays_within_the_bound(
        instances in 2_usize..40,
        alone_share in 0.0_f64..0.3,
        servers in 1_usize..40,
        cold_share in 0.2_f64..1.0,
        join_ms in proptest::option::of(1_u64..BURST_MS),
        loss in 0.0_f64..0.1,
        response_ms in 100_u64..2_000,
        seed in 0_u64..1_000,
    ) {
        let mut fleet = Fleet::new(Scenario {
            instances,
            alone: (instances as f64 * alone_share) as usize,
            servers,
            cold: (servers as f64 * cold_share).ceil() as usize,
            join_ms,
            loss,
            response_ms,
            seed,
        });
        fleet.play();
        prop_assert!(fleet.highest() <= BOUND, "{}", fleet.highest());
    }
}
