//! Servers outside the home regions of a request are chosen for no part of it.

#[allow(dead_code)]
#[path = "engines/engines.rs"]
mod engines;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use domain::Homes;
use domain::Moment;
use domain::Regions;
use placement::Expectation;
use placement::Server;
use placement::Servers;
use placement::Workload;
use placement::plain;
use placement::plan;
use placement::plan::Need;
use placement::servers::Scope;
use rand::SeedableRng;
use rand::rngs::StdRng;

const NOW: Moment = Moment::from_millis(10_000);
/// Two data centres in each of two regions, and one whose region is not known.
const DATA_CENTRES: [&str; 5] = ["a1", "a2", "b1", "b2", "x"];
/// Engines in each data centre.
const ENGINES: usize = 4;
const CHOICES: usize = 200;

/// Returns servers of the service `app` and engines of `llm` in each data centre, with the data centre as the
/// beginning of the id.
fn servers() -> Servers {
    let mut servers = Servers::default();
    let pairs = DATA_CENTRES.iter().filter(|it| **it != "x");
    let regions = pairs.map(|it| ((*it).to_owned(), it[..1].to_owned()));
    servers.set_regions(Rc::new(Regions::new(regions.collect::<BTreeMap<_, _>>())));
    for data_centre in DATA_CENTRES {
        for index in 0..=ENGINES {
            let service = if index == 0 { "app" } else { "llm" };
            let server = Server {
                id: format!("{data_centre}-{index}"),
                started_ms: 1,
                service: service.to_owned(),
                address: ([10, 0, 0, 1], 80).into(),
                data_centre: data_centre.to_owned(),
                sequence: 1,
                slots: 16,
                is_leaving: false,
                cold_left: None,
            };
            servers.add(NOW, server);
        }
    }
    servers
}

fn scope<'a>(service: &'a str, homes: &[&str]) -> Scope<'a> {
    Scope {
        service,
        homes: Homes::new(homes.iter().map(|it| (*it).to_owned())),
    }
}

/// Returns the data centres that calls with these home regions go to, in repeated choices.
fn chosen_for_calls(servers: &Servers, homes: &[&str], tried: &[u64]) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(3);
    let chosen = (0..CHOICES).filter_map(|_| {
        plain::choose(
            NOW,
            servers.usable(NOW, scope("app", homes)),
            &Workload::default(),
            Expectation::default(),
            tried,
            &mut random,
        )
    });
    let chosen: BTreeSet<String> = chosen.map(|it| it.server.data_centre.clone()).collect();
    chosen.into_iter().collect()
}

/// Returns the data centres of all parts of prompts of this size, in repeated choices, and the largest
/// number of parts.
fn chosen_for_prompts(servers: &Servers, homes: &[&str], tokens: u64) -> (Vec<String>, usize) {
    let engine = engines::engine(16, 232_000);
    let need = Need {
        prompt_tokens: tokens,
        expected_answer_tokens: 1_303,
        target: Duration::from_millis(3_000),
        initial_target: Duration::from_millis(3_000),
        pause: Some(Duration::from_millis(1_000)),
        value: 1.0 + tokens as f64 / 10_000.0,
    };
    let mut random = StdRng::seed_from_u64(5);
    let mut data_centres = BTreeSet::new();
    let mut most = 0;
    for _ in 0..CHOICES {
        let usable = servers.usable(NOW, scope("llm", homes));
        let workload = Workload::default();
        let plan = plan::choose(NOW, &engine, usable, &workload, &need, &[], &mut random);
        for part in plan.iter().flat_map(|it| &it.parts) {
            let state = servers.get(part.server).expect("a server");
            data_centres.insert(state.server.data_centre.clone());
        }
        most = most.max(plan.map_or(0, |it| it.parts.len()));
    }
    (data_centres.into_iter().collect(), most)
}

/// Guards against calls that leave their home regions.
#[test]
fn choose_calls_stay_in_their_home_regions() {
    let servers = servers();
    assert_eq!(chosen_for_calls(&servers, &[], &[]), DATA_CENTRES);
    assert_eq!(chosen_for_calls(&servers, &["a"], &[]), ["a1", "a2"]);
    assert_eq!(
        chosen_for_calls(&servers, &["a", "b"], &[]),
        ["a1", "a2", "b1", "b2"]
    );
    assert!(chosen_for_calls(&servers, &["c"], &[]).is_empty());
}

/// Guards against retries that leave the home regions rather than use a server for a second time.
#[test]
fn choose_retries_stay_in_their_home_regions() {
    let servers = servers();
    let home = servers.usable(NOW, scope("app", &["a"]));
    let tried: Vec<u64> = home.map(|it| it.key()).collect();
    assert_eq!(tried.len(), 2);
    assert_eq!(chosen_for_calls(&servers, &["a"], &tried), ["a1", "a2"]);
}

/// Guards against helpers outside the home regions, of which a long prompt would use many.
#[test]
fn choose_all_parts_of_prompts_in_their_home_regions() {
    let servers = servers();
    for tokens in [1_000, 200_000, 600_000] {
        let (data_centres, _) = chosen_for_prompts(&servers, &["b"], tokens);
        assert_eq!(data_centres, ["b1", "b2"], "{tokens}");
    }
    let (_, parts) = chosen_for_prompts(&servers, &["b"], 600_000);
    assert!(parts > ENGINES, "both data centres help");
    let (data_centres, _) = chosen_for_prompts(&servers, &[], 600_000);
    assert_eq!(data_centres, DATA_CENTRES);
}

/// Guards against a retry delay by servers that the request can't use.
#[test]
fn pause_of_all_counts_servers_in_the_home_regions_only() {
    let mut servers = servers();
    let workload = Workload::default();
    let pause = Duration::from_millis(500);
    for state in servers.all_mut() {
        if state.server.data_centre.starts_with('a') {
            state.pause.extend(NOW, pause);
        }
    }
    let left = |homes: &[&str]| servers.pause_of_all(NOW, scope("app", homes), &workload);
    assert_eq!(left(&["a"]), Some(pause));
    assert_eq!(left(&["a", "b"]), None);
    assert_eq!(left(&[]), None);
}
