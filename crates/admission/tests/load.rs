//! Plays loads beyond the engines' capacity.

#[allow(dead_code)]
#[path = "play/play.rs"]
mod play;

use play::Fleet;
use play::Policy;
use play::load::KINDS;
use play::load::Load;

#[test]
fn explore() {
    let names = ["short", "medium", "long", "all"];
    let engines: usize = std::env::var("E")
        .ok()
        .and_then(|it| it.parse().ok())
        .unwrap_or(60);
    for burst in 0..4 {
        for seed in 1..=2 {
            let load = Load {
                seed,
                played_ms: 9_000,
                burst: (burst < 3).then_some(burst),
                flood_share: 0.0,
                ignores_delay: false,
            };
            let arrivals = load.arrivals();
            for policy in [Policy::AtOnce, Policy::Admission] {
                let start = std::time::Instant::now();
                let mut fleet = Fleet::new(policy, engines, seed);
                fleet.play(&arrivals);
                let mut line = String::new();
                let mut worth = 0.0;
                let mut all = 0.0;
                for kind in 0..3 {
                    let of = || {
                        fleet
                            .requests
                            .iter()
                            .filter(move |it| it.arrival.kind == kind)
                    };
                    let n = of().count() as f64;
                    let v = |it: &&play::Request| 1.0 + it.arrival.tokens as f64 / 1e4;
                    worth += of()
                        .map(|it| {
                            v(&it)
                                * if it.is_in_time() {
                                    1.0
                                } else if it.is_served() {
                                    0.25
                                } else {
                                    0.0
                                }
                        })
                        .sum::<f64>();
                    all += of().map(|it| v(&it)).sum::<f64>();
                    line += &format!(
                        " {} {:.3}/{:.3}/{:.2}",
                        KINDS[kind].name,
                        of().filter(|it| it.is_in_time()).count() as f64 / n,
                        of().filter(|it| it.is_served()).count() as f64 / n,
                        of().filter(|it| it.was_rejected).count() as f64 / n
                    );
                }
                println!(
                    "{} {seed} {policy:?} worth {:.3}{line} plans {} of {} in {:?}",
                    names[burst],
                    worth / all,
                    fleet.plans,
                    fleet.requests.len(),
                    start.elapsed()
                );
            }
        }
    }
}
