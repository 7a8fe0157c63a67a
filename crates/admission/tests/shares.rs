//! Compares the order of organisations by what each instance placed itself with the order by what all placed.

#[allow(dead_code)]
#[path = "play/play.rs"]
mod play;

use play::Fleet;
use play::Knowledge;
use play::Policy;
use play::Priorities;
use play::Request;
use play::load::Load;
use play::load::ORGANISATIONS;

const ENGINES: usize = 60;
const SEEDS: u64 = 12;
/// No organisation may be served worse by more than this share.
const TOLERANCE: f64 = 0.03;
/// The organisation that sends half of all requests.
const FLOODING: usize = 0;

/// Plays a burst of all kinds over all instances, half of it sent by one organisation.
fn play(knowledge: Knowledge) -> Vec<Request> {
    let mut requests = Vec::new();
    for seed in 1..=SEEDS {
        let load = Load {
            seed,
            played_ms: 9_000,
            burst: None,
            flood_share: 0.5,
            ignores_delay: false,
        };
        let mut fleet = Fleet::new(Policy::Admission, Priorities::Equal, ENGINES, seed);
        fleet.knowledge = knowledge;
        fleet.play(&load.arrivals());
        requests.append(&mut fleet.requests);
    }
    requests
}

/// Returns the share in time of the requests of an organisation, or of all others.
fn in_time(requests: &[Request], of: impl Fn(usize) -> bool) -> f64 {
    let chosen = requests.iter().filter(|it| of(it.arrival.organisation));
    let in_time = chosen.clone().filter(|it| it.is_in_time());
    in_time.count() as f64 / chosen.count().max(1) as f64
}

/// Instances know only their own use of organisations, and the others must not lose by that.
#[test]
fn flood_over_all_instances_own_use_orders_like_the_use_of_all() {
    let own = play(Knowledge::Own);
    let all = play(Knowledge::All);
    for organisation in 0..ORGANISATIONS {
        let [own, all] = [&own, &all].map(|it| in_time(it, |it| it == organisation));
        println!(
            "organisation {organisation}: in time {own:.3} by own use, {all:.3} by that of all"
        );
        assert!(own >= all - TOLERANCE, "{organisation}: {own:.3}, {all:.3}");
    }
    let others = [&own, &all].map(|it| in_time(it, |it| it != FLOODING));
    println!(
        "others than the flooding one: {:.3}, {:.3}",
        others[0], others[1]
    );
    assert!(others[0] >= others[1] - TOLERANCE, "{others:?}");
}
