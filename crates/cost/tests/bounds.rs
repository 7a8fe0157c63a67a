//! Answers that were truncated count as lower bounds, and nobody distorts estimates by disconnecting early.

use cost::Estimate;
use cost::Estimator;
use cost::Extent;
use cost::Observation;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The spread of answers and of hints, as standard deviations of logarithms.
const ANSWER_SPREAD: f64 = 0.7;
const HINT_SPREAD: f64 = 0.5;
const MEDIAN: f64 = 1_000.0;
const MAX_TOKENS: f32 = 60_000.0;
/// The cost of an answer whose caller disconnects at its first event.
const FIRST_EVENT: f64 = 68.0;
/// The most that whole answers weigh together, since older ones count less.
const WHOLE_WEIGHT: usize = 64;

fn normal(random: &mut StdRng) -> f64 {
    let (a, b): (f64, f64) = (random.random(), random.random());
    (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

fn answer(random: &mut StdRng) -> f64 {
    MEDIAN * (ANSWER_SPREAD * normal(random)).exp()
}

fn observation(organisation: &str, hint: f64, cost: f64, extent: Extent) -> Observation {
    Observation {
        service: "llm".to_owned(),
        route: "chat".to_owned(),
        organisation: organisation.to_owned(),
        prompt_tokens: 5_000,
        expected_tokens: hint as u32,
        limit: MAX_TOKENS,
        cost: cost as f32,
        extent,
    }
}

fn whole(organisation: &str, cost: f64) -> Observation {
    observation(organisation, 0.0, cost, Extent::Whole)
}

fn truncated(organisation: &str, cost: f64) -> Observation {
    observation(organisation, 0.0, cost, Extent::Truncated)
}

fn estimate(estimator: &mut Estimator, organisation: &str, hint: f64) -> Estimate {
    let asked = observation(organisation, hint, 1.0, Extent::Whole);
    let estimate = estimator.estimate(&asked.request());
    estimate.expect("an estimate")
}

/// Returns an estimator with 200 whole observations of each of these organisations.
fn learned(organisations: &[&str]) -> Estimator {
    let mut random = StdRng::seed_from_u64(21);
    let mut estimator = Estimator::default();
    for _ in 0..200 {
        for it in organisations {
            let cost = answer(&mut random);
            estimator.observe(&whole(it, cost));
        }
    }
    estimator
}

/// What is done with truncated answers.
#[derive(Clone, Copy, PartialEq)]
enum Truncated {
    Ignored,
    Observed,
}

/// Returns the mean error of the estimated mean, as a logarithm, if answers are truncated at `limit`.
fn error(limit: f64, hint_spread: Option<f64>, truncations: Truncated) -> f64 {
    let mut random = StdRng::seed_from_u64(22);
    let mut estimator = Estimator::default();
    let expected = MEDIAN * (ANSWER_SPREAD * ANSWER_SPREAD / 2.0).exp();
    let (mut sum, mut count) = (0.0, 0.0);
    for index in 0..10_000 {
        let tokens = answer(&mut random);
        let noise = normal(&mut random);
        let hint = hint_spread.map_or(0.0, |it| tokens * (it * noise).exp());
        if tokens <= limit {
            estimator.observe(&observation("org", hint, tokens, Extent::Whole));
        } else if truncations == Truncated::Observed {
            estimator.observe(&observation("org", hint, limit, Extent::Truncated));
        }
        if index >= 1_000 {
            // With a hint, the estimate for requests on average is that of the usual hint.
            let mean = match hint_spread {
                Some(_) => estimate(&mut estimator, "org", hint).mean / tokens * expected,
                None => estimate(&mut estimator, "org", 0.0).mean,
            };
            sum += (mean / expected).ln();
            count += 1.0;
        }
    }
    sum / count
}

/// Guards against estimates that are too low where time limits or callers truncate long answers.
#[test]
fn observe_truncated_answers_corrects_the_mean() {
    // 10 %, 25 % and 40 % of the answers are longer than these limits.
    for (share, deviations) in [(0.1, 1.2816_f64), (0.25, 0.6745), (0.4, 0.2533)] {
        let limit = MEDIAN * (ANSWER_SPREAD * deviations).exp();
        let without = error(limit, None, Truncated::Ignored);
        let with = error(limit, None, Truncated::Observed);
        println!(
            "{share} truncated: error of the mean as a logarithm {without:.3} without, {with:.3} with"
        );
        assert!(with.abs() < without.abs() / 2.0, "{without} {with}");
        assert!(with.abs() < 0.15, "{with}");
    }
}

/// The same for requests whose callers name a hint that is right at the median.
#[test]
fn observe_truncated_answers_with_hints_corrects_the_mean() {
    let limit = MEDIAN * (ANSWER_SPREAD * 0.6745).exp();
    let unbiased = error(f64::INFINITY, Some(HINT_SPREAD), Truncated::Observed);
    let without = error(limit, Some(HINT_SPREAD), Truncated::Ignored) - unbiased;
    let with = error(limit, Some(HINT_SPREAD), Truncated::Observed) - unbiased;
    println!("0.25 truncated, with hints: {without:.3} without, {with:.3} with");
    assert!(with.abs() < without.abs() / 2.0, "{without} {with}");
}

/// Guards against an organisation that disconnects immediately from every response.
#[test]
fn observe_immediate_disconnects_change_no_estimate() {
    let others = ["a", "b", "new", "unknown"];
    let mut estimator = learned(&["a", "b", "leaver"]);
    let ask = |estimator: &mut Estimator| others.map(|it| estimate(estimator, it, 0.0));
    let before = ask(&mut estimator);
    let own_before = estimate(&mut estimator, "leaver", 0.0).mean;
    for _ in 0..2_000 {
        estimator.observe(&truncated("leaver", FIRST_EVENT));
        estimator.observe(&observation("leaver", 4e9, FIRST_EVENT, Extent::Truncated));
        estimator.observe(&observation("unknown", 0.0, FIRST_EVENT, Extent::Truncated));
    }
    assert_eq!(ask(&mut estimator), before);
    let own = estimate(&mut estimator, "leaver", 0.0).mean;
    println!("its own estimate: {own_before:.0} before, {own:.0} after");
    assert!((own / own_before).ln().abs() < 0.1, "{own_before} {own}");
}

/// Guards against an organisation that disconnects from every response once it exceeds the median, so that each
/// counts: its bounds weigh at most as much as its whole answers.
#[test]
fn observe_late_disconnects_change_no_other_estimate() {
    let mut estimator = learned(&["a", "b", "c", "leaver"]);
    let ask = |estimator: &mut Estimator| ["a", "b", "c"].map(|it| estimate(estimator, it, 0.0));
    let others = ask(&mut estimator);
    let own_before = estimate(&mut estimator, "leaver", 0.0).mean;
    let new_before = estimate(&mut estimator, "new", 0.0).mean;
    let mut counted = 0;
    for _ in 0..2_000 {
        let bound = truncated("leaver", 50_000.0);
        counted += usize::from(estimator.counts(&bound));
        estimator.observe(&bound);
    }
    println!("{counted} of 2,000 bounds counted");
    assert!(counted > 0 && counted <= WHOLE_WEIGHT, "{counted}");
    assert_eq!(ask(&mut estimator), others);
    let new = estimate(&mut estimator, "new", 0.0).mean;
    println!("one that is new: {new_before:.0} before, {new:.0} after");
    assert!((new / new_before).ln().abs() < 1.3_f64.ln());
    let own = estimate(&mut estimator, "leaver", 0.0).mean;
    println!("its own estimate: {own_before:.0} before, {own:.0} after");
    assert!(own > own_before);
    // Once its answers are whole again, the estimate returns.
    let mut random = StdRng::seed_from_u64(23);
    for _ in 0..200 {
        let cost = answer(&mut random);
        estimator.observe(&whole("leaver", cost));
    }
    let own = estimate(&mut estimator, "leaver", 0.0).mean;
    assert!((own / own_before).ln().abs() < 0.4, "{own_before} {own}");
}

/// Guards against a bound that changes what others get of the service although most of their answers are longer.
#[test]
fn observe_bound_below_the_median_of_the_service_changes_its_own_estimate_only() {
    let mut random = StdRng::seed_from_u64(24);
    let mut estimator = Estimator::default();
    for _ in 0..200 {
        let cost = answer(&mut random);
        estimator.observe(&whole("terse", 0.3 * cost));
        estimator.observe(&whole("verbose", 10.0 * cost));
    }
    // Of a route without observations, the estimate is that of the service.
    let of_service = |estimator: &mut Estimator| {
        let mut asked = whole("new", 1.0);
        asked.route = "other".to_owned();
        estimator.estimate(&asked.request())
    };
    let before = (
        of_service(&mut estimator),
        estimate(&mut estimator, "terse", 0.0),
    );
    for _ in 0..20 {
        estimator.observe(&truncated("terse", 0.6 * MEDIAN));
    }
    assert_eq!(of_service(&mut estimator), before.0);
    assert!(estimate(&mut estimator, "terse", 0.0).mean > before.1.mean);
}

/// Guards against bounds that count although nothing was served whole: they show no distribution.
#[test]
fn observe_bounds_alone_are_ignored() {
    let mut estimator = Estimator::default();
    for _ in 0..100 {
        estimator.observe(&truncated("org", 20_000.0));
    }
    assert!(estimator.is_empty());
    let mut estimator = learned(&["a"]);
    let before = estimate(&mut estimator, "a", 0.0);
    let groups = estimator.len();
    for _ in 0..100 {
        assert!(!estimator.counts(&truncated("org", 20_000.0)));
        estimator.observe(&truncated("org", 20_000.0));
    }
    assert_eq!(estimate(&mut estimator, "a", 0.0), before);
    assert_eq!(estimator.len(), groups);
}

#[test]
fn counts_whole_answers_and_bounds_above_the_median() {
    let mut estimator = learned(&["a"]);
    assert!(estimator.counts(&whole("a", FIRST_EVENT)));
    assert!(estimator.counts(&whole("new", FIRST_EVENT)));
    assert!(!estimator.counts(&truncated("a", 0.5 * MEDIAN)));
    assert!(estimator.counts(&truncated("a", 2.0 * MEDIAN)));
    assert!(!estimator.counts(&truncated("a", f64::NAN)));
    // The estimate of an organisation of which little is known lies between its own median and the others'.
    for _ in 0..10 {
        estimator.observe(&whole("few", 0.2 * MEDIAN));
    }
    assert!(!estimator.counts(&truncated("few", 0.25 * MEDIAN)));
    assert!(estimator.counts(&truncated("few", 2.0 * MEDIAN)));
}

/// Guards against numbers that are not finite if a bound lies far outside of what was observed, and against
/// estimates beyond what a request declared.
#[test]
fn observe_bound_far_from_constant_costs_is_finite() {
    let mut estimator = Estimator::default();
    for _ in 0..100 {
        estimator.observe(&whole("org", 250.0));
    }
    for _ in 0..60 {
        estimator.observe(&truncated("org", 50_000.0));
        let it = estimate(&mut estimator, "org", 0.0);
        assert!(it.mean.is_finite() && it.upper.is_finite(), "{it:?}");
        assert!((249.0..=60_000.0).contains(&it.mean), "{it:?}");
    }
}

/// Guards against an answer of the declared length that counts as a longer one.
#[test]
fn observe_truncated_at_the_declared_maximum_is_whole() {
    let mut estimator = Estimator::default();
    for _ in 0..100 {
        estimator.observe(&truncated("org", MAX_TOKENS.into()));
    }
    let mean = estimate(&mut estimator, "org", 0.0).mean;
    assert!((mean / f64::from(MAX_TOKENS)).ln().abs() < 0.01, "{mean}");
}
