//! Compares plans that know what running requests still have to lose with plans that count all of them as
//! on time, under the same requests.

#[allow(dead_code)]
#[path = "prompts/prompts.rs"]
mod prompts;

use prompts::Basis;
use prompts::Fleet;
use prompts::KINDS;
use prompts::Load;
use prompts::Request;

const USUAL_ENGINES: usize = 60;
const FEW_ENGINES: usize = 25;
const SEEDS: u64 = 12;
const SHORT: usize = 0;
const BURST_FACTOR: f64 = 2.6;
const USUAL: Load = Load {
    played_ms: 9_000,
    burst: [1.0; 3],
    burst_ms: (2_000, 7_000),
};

/// The requests of all plays of a load.
fn play(basis: Basis, engines: usize, load: &Load) -> Vec<Request> {
    let plays = (1..=SEEDS).flat_map(|seed| {
        let mut fleet = Fleet::new(basis, engines, seed);
        fleet.play(load, seed);
        fleet.requests
    });
    plays.collect()
}

/// Checks that total worth is not lower, and returns the shares in time before and after.
fn check(name: &str, engines: usize, load: &Load) -> [[f64; 3]; 2] {
    let plays = [Basis::Equal, Basis::OnTime].map(|it| play(it, engines, load));
    let [before, after] = plays.each_ref().map(|it| prompts::in_time(it));
    let worth = plays.each_ref().map(|it| prompts::worth(it));
    let lost = plays.each_ref().map(|it| prompts::lost(it));
    for (kind, terms) in KINDS.iter().enumerate() {
        let (before, after) = (before[kind], after[kind]);
        println!(
            "{name}, {engines} engines, {}: in time {before:.4} before, {after:.4} after",
            terms.name
        );
    }
    println!("{name}, {engines} engines: worth {worth:.4?}, lost {lost:.4?}");
    assert!(worth[1] >= worth[0], "{name}: worth {worth:.4?}");
    [before, after]
}

fn burst(kinds: [f64; 3]) -> Load {
    Load {
        burst: kinds,
        ..USUAL
    }
}

/// Guards against a change that costs callers while there is enough capacity.
#[test]
fn usual_load_worth_is_not_lower() {
    check("usual", USUAL_ENGINES, &USUAL);
}

/// Guards against the same in a burst of short prompts.
#[test]
fn burst_of_short_prompts_worth_is_not_lower() {
    let load = burst([BURST_FACTOR, 1.0, 1.0]);
    check("burst of short", USUAL_ENGINES, &load);
}

/// Guards against the same in a burst of medium prompts.
#[test]
fn burst_of_medium_prompts_worth_is_not_lower() {
    let load = burst([1.0, BURST_FACTOR, 1.0]);
    check("burst of medium", USUAL_ENGINES, &load);
}

/// Guards against the same in a burst of long prompts.
#[test]
fn burst_of_long_prompts_worth_is_not_lower() {
    let load = burst([1.0, 1.0, BURST_FACTOR]);
    check("burst of long", USUAL_ENGINES, &load);
}

/// Guards against the same in a burst of all kinds.
#[test]
fn burst_of_all_prompts_worth_is_not_lower() {
    check("burst of all", USUAL_ENGINES, &burst([BURST_FACTOR; 3]));
}

/// Guards against long prefill that makes the streams of all engines late, rather than those that are late
/// already.
#[test]
fn few_engines_short_prompts_are_in_time_more_often() {
    let [before, after] = check("usual", FEW_ENGINES, &USUAL);
    assert!(after[SHORT] > before[SHORT]);
}
