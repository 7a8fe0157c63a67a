//! Estimates follow what requests cost, and no caller distorts those of others.

use cost::Estimate;
use cost::Estimator;
use cost::Extent;
use cost::Observation;
use cost::Request;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The spread of answers and of hints, as standard deviations of logarithms.
const ANSWER_SPREAD: f64 = 0.7;
const HINT_SPREAD: f64 = 0.5;
const MAX_TOKENS: f32 = 60_000.0;
/// Observations within which a change of behaviour is followed.
const FOLLOWED_WITHIN: usize = 200;

fn normal(random: &mut StdRng) -> f64 {
    let (a, b): (f64, f64) = (random.random(), random.random());
    (-2.0 * (1.0 - a).ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

fn observation(route: &str, organisation: &str, hint: f64, cost: f64) -> Observation {
    Observation {
        service: "llm".to_owned(),
        route: route.to_owned(),
        organisation: organisation.to_owned(),
        prompt_tokens: 5_000,
        expected_tokens: hint as u32,
        limit: MAX_TOKENS,
        cost: cost as f32,
        extent: Extent::Whole,
    }
}

/// Returns an answer of a lognormal distribution around `median`.
fn answer(random: &mut StdRng, median: f64) -> f64 {
    median * (ANSWER_SPREAD * normal(random)).exp()
}

/// Returns an answer around `median`, with a hint that is right at the median.
fn hinted(random: &mut StdRng, route: &str, organisation: &str, median: f64) -> Observation {
    let tokens = answer(random, median);
    let hint = tokens * (HINT_SPREAD * normal(random)).exp();
    observation(route, organisation, hint, tokens)
}

fn estimate(estimator: &mut Estimator, observation: &Observation) -> Option<Estimate> {
    estimator.estimate(&observation.request())
}

/// Returns the mean relative error of estimates of the logarithm of the cost, before and after learning;
/// before it, the hint is the estimate.
fn errors(next: &mut impl FnMut(&mut StdRng) -> Observation, seed: u64) -> (f64, f64, Estimator) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut estimator = Estimator::default();
    for _ in 0..FOLLOWED_WITHIN {
        estimator.observe(&next(&mut random));
    }
    let (mut before, mut after) = (0.0, 0.0);
    const ASKED: usize = 4_000;
    for _ in 0..ASKED {
        let it = next(&mut random);
        let cost = f64::from(it.cost);
        let learned = estimate(&mut estimator, &it).expect("an estimate").mean;
        before += (f64::from(it.expected_tokens) - cost).powi(2);
        after += (learned - cost).powi(2);
        estimator.observe(&it);
    }
    let root = |it: f64| (it / ASKED as f64).sqrt();
    (root(before), root(after), estimator)
}

/// Guards against estimates that are worse than the callers' hints, or than their share that is right.
#[test]
fn estimate_error_by_route_is_smaller_than_that_of_hints() {
    for (route, median) in [("short", 700.0), ("medium", 1_500.0), ("long", 2_500.0)] {
        let mut next = |random: &mut StdRng| hinted(random, route, "org", median);
        let (before, after, _) = errors(&mut next, 1);
        println!("{route}: root mean square error {before:.0} tokens by hints, {after:.0} learned");
        assert!(after < 0.8 * before, "{route}: {before:.0} {after:.0}");
    }
}

/// The other reading of hints: answers spread around the hint, which itself varies between requests. The
/// hint then is the best median, and only the mean is above it.
#[test]
fn estimate_of_answers_around_hints_is_no_worse_than_hints() {
    let mut next = |random: &mut StdRng| {
        let hint = 1_500.0 * (HINT_SPREAD * normal(random)).exp();
        observation("chat", "org", hint, answer(random, hint))
    };
    let (before, after, _) = errors(&mut next, 2);
    println!("root mean square error {before:.0} tokens by hints, {after:.0} learned");
    assert!(after < before, "{before:.0} {after:.0}");
}

/// A hint of callers who always name the same number must not count; neither must one without any relation
/// to the answer.
#[test]
fn estimate_gives_useless_hints_no_weight() {
    let mut random = StdRng::seed_from_u64(3);
    let mut estimator = Estimator::default();
    for _ in 0..FOLLOWED_WITHIN {
        let hint = 1_500.0 * (1.5 * normal(&mut random)).exp();
        let tokens = answer(&mut random, 1_500.0);
        estimator.observe(&observation("chat", "org", hint, tokens));
    }
    let mut ask = |hint| estimate(&mut estimator, &observation("chat", "org", hint, 1.0));
    let (low, high) = (
        ask(150.0).expect("known").mean,
        ask(15_000.0).expect("known").mean,
    );
    println!("a hint of 150: {low:.0}, of 15,000: {high:.0}");
    assert!(high < 2.5 * low, "{low} {high}");
}

#[test]
fn estimate_quantile_covers_nine_of_ten() {
    let mut random = StdRng::seed_from_u64(4);
    // Calls of 60 ms, one in a hundred takes five times as long, and answers of a usual spread.
    let mut call = |random: &mut StdRng| {
        let tail = if random.random::<f64>() < 0.01 {
            5.0
        } else {
            1.0
        };
        observation("call", "", 0.0, 60.0 * tail * random.random_range(0.8..1.2))
    };
    let mut prompt = |random: &mut StdRng| hinted(random, "chat", "org", 1_500.0);
    let kinds: [&mut dyn FnMut(&mut StdRng) -> Observation; 2] = [&mut call, &mut prompt];
    for next in kinds {
        let mut estimator = Estimator::default();
        let (mut covered, mut sum, mut costs) = (0, 0.0, 0.0);
        for index in 0..5_000 {
            let it = next(&mut random);
            if index >= 1_000 {
                let estimate = estimate(&mut estimator, &it).expect("an estimate");
                covered += usize::from(f64::from(it.cost) <= estimate.upper);
                sum += estimate.mean;
                costs += f64::from(it.cost);
            }
            estimator.observe(&it);
        }
        let (share, bias) = (covered as f64 / 4_000.0, sum / costs);
        println!("{share:.3} are below the quantile, the mean is {bias:.3} of the cost");
        assert!((0.87..0.93).contains(&share), "{share}");
        assert!((0.9..1.1).contains(&bias), "{bias}");
    }
}

/// Two organisations on one route that differ by a factor of four must not get the route's mean.
#[test]
fn estimate_tells_organisations_of_one_route_apart() {
    let mut random = StdRng::seed_from_u64(5);
    let mut estimator = Estimator::default();
    let medians = [("terse", 500.0), ("verbose", 2_000.0)];
    let (mut by_route, mut learned, mut count) = (0.0, 0.0, 0.0);
    for index in 0..2_000 {
        for (organisation, median) in medians {
            let tokens = answer(&mut random, median);
            let it = observation("chat", organisation, 0.0, tokens);
            let unknown = observation("chat", "new", 0.0, tokens);
            if index >= FOLLOWED_WITHIN {
                let mean = |estimate: Option<Estimate>| estimate.expect("an estimate").mean;
                let log_error = |mean: f64| {
                    let expected = median * (ANSWER_SPREAD * ANSWER_SPREAD / 2.0).exp();
                    (mean / expected).ln().abs()
                };
                learned += log_error(mean(estimate(&mut estimator, &it)));
                by_route += log_error(mean(estimate(&mut estimator, &unknown)));
                count += 1.0;
            }
            estimator.observe(&it);
        }
    }
    let (by_route, learned) = (by_route / count, learned / count);
    println!(
        "error of the mean as a logarithm: {by_route:.2} by route, {learned:.2} by organisation"
    );
    assert!(
        learned < 0.2 && learned < by_route / 3.0,
        "{by_route} {learned}"
    );
}

#[test]
fn estimate_follows_a_change_within_200_observations() {
    for factor in [0.25, 4.0] {
        let mut random = StdRng::seed_from_u64(6);
        let mut estimator = Estimator::default();
        let expected = 1_000.0 * (ANSWER_SPREAD * ANSWER_SPREAD / 2.0).exp();
        for _ in 0..1_000 {
            let tokens = answer(&mut random, 1_000.0);
            estimator.observe(&observation("chat", "org", 0.0, tokens));
        }
        for _ in 0..FOLLOWED_WITHIN {
            let tokens = answer(&mut random, 1_000.0 * factor);
            estimator.observe(&observation("chat", "org", 0.0, tokens));
        }
        let asked = observation("chat", "org", 0.0, 1.0);
        let mean = estimate(&mut estimator, &asked).expect("an estimate").mean;
        let off = mean / (expected * factor);
        println!("a change by a factor of {factor}: the mean is {off:.2} of the new one");
        assert!((0.7..1.4).contains(&off), "{off}");
    }
}

/// Guards against a bound of outliers that keeps what others get of a route from following a change, if its
/// costs never differed before.
#[test]
fn estimate_by_route_follows_a_change_of_constant_costs() {
    let mut estimator = Estimator::default();
    let mut report = None;
    for index in 0..2 * FOLLOWED_WITHIN {
        let cost = if index < FOLLOWED_WITHIN {
            250.0
        } else {
            1_000.0
        };
        let shift = estimator.observe(&observation("chat", "org", 0.0, cost));
        report = report.or(shift.map(|_| index - FOLLOWED_WITHIN));
    }
    let asked = observation("chat", "new", 0.0, 1.0);
    let mean = estimate(&mut estimator, &asked).expect("an estimate").mean;
    println!("reported after {report:?} observations; by route {mean:.0} after 200");
    assert!((700.0..1_400.0).contains(&mean), "{mean}");
    assert!(report.is_some_and(|it| it < FOLLOWED_WITHIN), "{report:?}");
}

/// An organisation that names huge hints and causes extreme costs must not change the estimate of another
/// one, nor much that of one of which nothing is known, with a hint or without.
#[test]
fn estimate_of_others_is_not_distorted_by_one_organisation() {
    let play = |is_lying: bool| {
        let mut random = StdRng::seed_from_u64(7);
        let mut estimator = Estimator::default();
        for _ in 0..400 {
            for organisation in ["a", "b", "c"] {
                estimator.observe(&hinted(&mut random, "chat", organisation, 1_000.0));
            }
            for _ in 0..10 {
                let it = hinted(&mut random, "chat", "liar", 1_000.0);
                let lie = observation("chat", "liar", 4e9, 4e9);
                estimator.observe(if is_lying { &lie } else { &it });
            }
        }
        let mut ask = |organisation, hint| {
            let asked = observation("chat", organisation, hint, 1.0);
            estimate(&mut estimator, &asked).expect("an estimate")
        };
        [1_000.0, 0.0].map(|hint| (ask("a", hint), ask("new", hint).mean))
    };
    for (honest, lying) in play(false).into_iter().zip(play(true)) {
        assert_eq!(honest.0, lying.0);
        println!(
            "one that is new: {:.0} without the liar, {:.0} with it",
            honest.1, lying.1
        );
        assert!((lying.1 / honest.1).ln().abs() < 1.3_f64.ln());
    }
}

#[test]
fn estimate_without_observations_of_the_service_is_none() {
    let mut random = StdRng::seed_from_u64(8);
    let mut estimator = Estimator::default();
    let asked = hinted(&mut random, "chat", "org", 1_000.0);
    assert_eq!(estimate(&mut estimator, &asked), None);
    for _ in 0..7 {
        estimator.observe(&hinted(&mut random, "chat", "org", 1_000.0));
    }
    assert_eq!(estimate(&mut estimator, &asked), None);
    let other = Request {
        service: "other",
        ..asked.request()
    };
    for _ in 0..100 {
        estimator.observe(&hinted(&mut random, "chat", "org", 1_000.0));
    }
    assert_eq!(estimator.estimate(&other), None);
    assert!(estimate(&mut estimator, &asked).is_some());
}

/// A route and an organisation without observations get what is known of the wider group.
#[test]
fn estimate_falls_back_to_the_wider_group() {
    let mut random = StdRng::seed_from_u64(9);
    let mut estimator = Estimator::default();
    for _ in 0..300 {
        let (short, long) = (answer(&mut random, 500.0), answer(&mut random, 3_000.0));
        estimator.observe(&observation("short", "org", 0.0, short));
        estimator.observe(&observation("long", "org", 0.0, long));
    }
    let mut ask = |route, organisation| {
        let asked = observation(route, organisation, 0.0, 1.0);
        estimate(&mut estimator, &asked).expect("an estimate").mean
    };
    let (own, by_route) = (ask("long", "org"), ask("long", "new"));
    assert!((by_route / own).ln().abs() < 0.4, "{own} {by_route}");
    let by_service = ask("new", "new");
    assert!(
        by_service > ask("short", "org") && by_service < own,
        "{by_service}"
    );
}

#[test]
fn observe_numbers_that_cannot_be_true_is_ignored() {
    let mut estimator = Estimator::default();
    for cost in [f64::NAN, f64::INFINITY, 0.0, -3.0] {
        estimator.observe(&observation("chat", "org", 100.0, cost));
    }
    assert!(estimator.is_empty());
}

#[test]
fn observe_a_million_groups_keeps_memory_bounded_and_those_in_use() {
    let mut random = StdRng::seed_from_u64(10);
    let mut estimator = Estimator::default();
    for index in 0..1_000_000 {
        let organisation = format!("org-{index}");
        estimator.observe(&observation("chat", &organisation, 0.0, 9_000.0));
        if index % 500 == 0 {
            let tokens = answer(&mut random, 300.0);
            estimator.observe(&observation("chat", "steady", 0.0, tokens));
        }
    }
    assert!(estimator.len() <= 4_096, "{}", estimator.len());
    let asked = observation("chat", "steady", 0.0, 1.0);
    let mean = estimate(&mut estimator, &asked).expect("an estimate").mean;
    assert!(mean < 600.0, "{mean}");
}

#[test]
fn observe_reports_a_changed_route_once() {
    let mut random = StdRng::seed_from_u64(11);
    let mut estimator = Estimator::default();
    let mut shifts = Vec::new();
    for index in 0..3_000 {
        let median = if index < 1_500 { 1_000.0 } else { 4_000.0 };
        let tokens = answer(&mut random, median);
        shifts.extend(estimator.observe(&observation("chat", "org", 0.0, tokens)));
    }
    println!("{shifts:.0?}");
    assert!((1..=8).contains(&shifts.len()), "{shifts:?}");
    let last = shifts.last().expect("a change");
    assert!(last.after > 2_500.0, "{last:?}");
}
