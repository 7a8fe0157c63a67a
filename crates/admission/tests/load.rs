//! Plays bursts at 2.6 times the usual rate on modelled engines, and compares what callers get with what
//! they get if each request is placed at once.

#[allow(dead_code)]
#[path = "play/play.rs"]
mod play;

use play::Fleet;
use play::Policy;
use play::Priorities;
use play::Request;
use play::load::KINDS;
use play::load::Load;
use play::load::ORGANISATIONS;

const ENGINES: usize = 60;
const SEEDS: u64 = 24;
const SHORT: usize = 0;
const MEDIUM: usize = 1;
const LONG: usize = 2;
/// No deployment may be served worse by more than this share.
const TOLERANCE: f64 = 0.03;
/// No organisation and no length is served less often than this share of how often all are.
const STARVED_SHARE: f64 = 0.25;

/// A load that is played with and without admission.
#[derive(Clone, Copy)]
struct Case {
    priorities: Priorities,
    engines: usize,
    burst: Option<usize>,
    flood_share: f64,
    ignores_delay: bool,
}

const USUAL: Case = Case {
    priorities: Priorities::Equal,
    engines: ENGINES,
    burst: None,
    flood_share: 0.0,
    ignores_delay: false,
};

/// The requests of all plays of one case.
struct Played {
    name: String,
    priorities: Priorities,
    at_once: Vec<Request>,
    admitted: Vec<Request>,
}

impl Case {
    fn play(self) -> Played {
        let mut played = Played {
            name: self.burst.map_or("all", |it| KINDS[it].name).to_owned(),
            priorities: self.priorities,
            at_once: Vec::new(),
            admitted: Vec::new(),
        };
        for seed in 1..=SEEDS {
            let load = Load {
                seed,
                played_ms: 9_000,
                burst: self.burst,
                flood_share: self.flood_share,
                ignores_delay: self.ignores_delay,
            };
            let arrivals = load.arrivals();
            let play = |policy| {
                let mut fleet = Fleet::new(policy, self.priorities, self.engines, seed);
                fleet.play(&arrivals);
                fleet.requests
            };
            played.at_once.extend(play(Policy::AtOnce));
            played.admitted.extend(play(Policy::Admission));
        }
        for (kind, terms) in KINDS.iter().enumerate() {
            let of = |it: &Request| it.arrival.kind == kind;
            let [before, after] = played.in_time(of);
            let [served_before, served] = played.served(of);
            println!(
                "burst of {}, {} {:?} on {} engines: in time {before:.3} at once, {after:.3} admitted; served {served_before:.3}, {served:.3}",
                played.name, terms.name, self.priorities, self.engines
            );
        }
        let [before, after] = played.worth(|_| true);
        println!("worth {before:.3} at once, {after:.3} admitted");
        played
    }
}

/// Returns the share of the requests chosen by `of` for which `is_met` holds.
fn share(
    requests: &[Request],
    of: impl Fn(&Request) -> bool,
    is_met: impl Fn(&Request) -> bool,
) -> f64 {
    let chosen = requests.iter().filter(|it| of(it));
    let met = chosen.clone().filter(|it| is_met(it));
    met.count() as f64 / chosen.count().max(1) as f64
}

impl Played {
    /// Returns the share in time of some requests, placed at once and admitted.
    fn in_time(&self, of: impl Fn(&Request) -> bool) -> [f64; 2] {
        [&self.at_once, &self.admitted].map(|it| share(it, &of, Request::is_in_time))
    }

    fn served(&self, of: impl Fn(&Request) -> bool) -> [f64; 2] {
        [&self.at_once, &self.admitted].map(|it| share(it, &of, Request::is_served))
    }

    /// Returns the share of the value of some requests, as priorities weigh it, that their callers got.
    fn worth(&self, of: impl Fn(&Request) -> bool) -> [f64; 2] {
        let value = |it: &Request| it.weighed_value(self.priorities);
        [&self.at_once, &self.admitted].map(|requests| {
            let chosen = requests.iter().filter(|it| of(it));
            let got: f64 = chosen.clone().map(|it| value(it) * it.worth()).sum();
            got / chosen.map(value).sum::<f64>().max(1.0)
        })
    }

    /// Checks that all requests together are worth as much as if they were placed at once.
    fn check_worth_is_not_lower(&self) {
        let [before, after] = self.worth(|_| true);
        assert!(after >= before, "{}: {before:.3}, {after:.3}", self.name);
    }

    fn check_no_kind_is_worse(&self) {
        for (kind, terms) in KINDS.iter().enumerate() {
            let [before, after] = self.in_time(|it| it.arrival.kind == kind);
            assert!(
                after >= before - TOLERANCE,
                "burst of {}, {}: {before:.3} at once, {after:.3} admitted",
                self.name,
                terms.name
            );
            let [before, after] = self.worth(|it| it.arrival.kind == kind);
            assert!(
                after >= before - TOLERANCE,
                "burst of {}, worth of {}: {before:.3} at once, {after:.3} admitted",
                self.name,
                terms.name
            );
        }
    }

    fn check_kind_is_better(&self, kind: usize) {
        let [before, after] = self.in_time(|it| it.arrival.kind == kind);
        assert!(after > before, "{}: {before:.3}, {after:.3}", self.name);
    }

    fn check_nobody_starves(&self) {
        let [_, all] = self.served(|_| true);
        let check = |what: &str, served: f64| {
            assert!(
                served >= all * STARVED_SHARE,
                "{what}: {served:.3}, {all:.3}"
            );
        };
        for (kind, terms) in KINDS.iter().enumerate() {
            check(terms.name, self.served(|it| it.arrival.kind == kind)[1]);
        }
        for organisation in 0..ORGANISATIONS {
            let of = |it: &Request| it.arrival.organisation == organisation;
            check("an organisation", self.served(of)[1]);
        }
    }
}

/// Waiting must not cost callers of any kind, whichever kind bursts.
fn check_burst_with_equal_priorities(burst: Option<usize>) {
    let played = Case { burst, ..USUAL }.play();
    played.check_no_kind_is_worse();
    played.check_worth_is_not_lower();
    played.check_nobody_starves();
}

#[test]
fn burst_of_short_prompts_no_kind_is_worse() {
    check_burst_with_equal_priorities(Some(SHORT));
}

#[test]
fn burst_of_medium_prompts_no_kind_is_worse() {
    check_burst_with_equal_priorities(Some(MEDIUM));
}

#[test]
fn burst_of_long_prompts_no_kind_is_worse() {
    check_burst_with_equal_priorities(Some(LONG));
}

#[test]
fn burst_of_all_prompts_no_kind_is_worse() {
    check_burst_with_equal_priorities(None);
}

/// The most urgent kind gains by waiting of the others, and the others still are served.
#[test]
fn burst_with_priorities_most_urgent_kind_is_better() {
    for burst in [Some(SHORT), Some(MEDIUM), Some(LONG), None] {
        let played = Case {
            priorities: Priorities::ByKind,
            burst,
            ..USUAL
        };
        let played = played.play();
        played.check_kind_is_better(SHORT);
        played.check_nobody_starves();
    }
}

/// Less urgent kinds must not pay for the order with more than what their priority takes.
#[test]
fn burst_with_priorities_no_kind_is_worse() {
    for burst in [Some(SHORT), Some(MEDIUM), Some(LONG), None] {
        let played = Case {
            priorities: Priorities::ByKind,
            burst,
            ..USUAL
        };
        let played = played.play();
        played.check_no_kind_is_worse();
        played.check_worth_is_not_lower();
    }
}

/// An organisation that is more urgent by one level gains, and the others are not starved.
#[test]
fn burst_with_urgent_organisation_it_is_better() {
    let played = Case {
        priorities: Priorities::ByOrganisation,
        flood_share: 0.1,
        ..USUAL
    };
    let played = played.play();
    let [before, after] = played.in_time(|it| it.arrival.organisation == 0);
    println!("the urgent organisation: {before:.3} at once, {after:.3} admitted");
    assert!(after > before, "{before:.3}, {after:.3}");
    played.check_nobody_starves();
}

/// One organisation that sends half of all requests must not take the others' share.
#[test]
fn flood_of_one_organisation_others_are_not_worse() {
    let played = Case {
        flood_share: 0.5,
        ..USUAL
    };
    let played = played.play();
    for organisation in 0..ORGANISATIONS {
        let [before, after] = played.in_time(|it| it.arrival.organisation == organisation);
        println!("organisation {organisation}: {before:.3} at once, {after:.3} admitted");
        assert!(after >= before - TOLERANCE, "{before:.3}, {after:.3}");
    }
    played.check_nobody_starves();
}

/// Callers that come back at once must not make others late.
#[test]
fn callers_that_ignore_the_time_to_come_back_do_no_harm() {
    let played = Case {
        ignores_delay: true,
        ..USUAL
    };
    let played = played.play();
    played.check_no_kind_is_worse();
    played.check_nobody_starves();
}

#[test]
fn half_of_the_engines_gone_no_kind_is_worse() {
    for priorities in [Priorities::Equal, Priorities::ByKind] {
        let played = Case {
            priorities,
            engines: ENGINES / 2,
            burst: Some(LONG),
            ..USUAL
        };
        let played = played.play();
        played.check_no_kind_is_worse();
        played.check_worth_is_not_lower();
        if priorities == Priorities::ByKind {
            played.check_kind_is_better(SHORT);
        }
        played.check_nobody_starves();
    }
}

/// A rejection comes before the caller would disconnect, and coming back as told is worth it.
#[test]
fn rejections_come_in_time_and_name_a_time_that_is_worth_it() {
    let played = Case {
        engines: ENGINES / 2,
        ..USUAL
    };
    let played = played.play();
    let waits = played.admitted.iter().filter_map(|it| {
        let limit = KINDS[it.arrival.kind].silence_ms();
        Some((it.rejected_after_ms?, limit))
    });
    let longest = waits.clone().max().expect("a rejection");
    println!("longest wait of a rejection: {} ms", longest.0);
    for (waited, limit) in waits {
        assert!(waited <= limit, "{waited} ms of {limit} ms");
    }
    let came_back = |it: &Request| it.has_come_back;
    let served = share(&played.admitted, came_back, Request::is_served);
    let before = share(&played.at_once, came_back, Request::is_served);
    println!("served of those who came back: {before:.3} at once, {served:.3} admitted as told");
    let recognised = share(&played.admitted, came_back, |it| it.is_returned);
    assert_eq!(recognised, 1.0);
    assert!(served >= before, "{before:.3}, {served:.3}");
}
