//! Route lookup, selection of a service by weight, and the timing figures of an engine.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use domain::Homes;
use route::Engine;
use route::Kind;
use route::Limits;
use route::Match;
use route::Organisation;
use route::Route;
use route::Table;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "A.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        time_limit: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        pause_target: None,
        priority: 1,
        services: vec![("s1".to_owned(), 90), ("s2".to_owned(), 10)],
        attempts: 2,
        is_public: name == "public",
        homes: Homes::default(),
    }
}

fn table() -> Table {
    let routes = vec![
        route("short", "/a/"),
        route("long", "/a/b/"),
        route("public", "/p/"),
    ];
    let organisation = Rc::new(Organisation {
        name: "org1".to_owned(),
        priority: None,
        homes: Homes::default(),
    });
    let keys = HashMap::from([("k1".to_owned(), organisation)]);
    Table::new(1, routes, Vec::new(), Some(keys), Limits::default())
}

/// Checks the result of a lookup: the name of the route, `-` for none, or `?` for an unknown key.
fn check_lookup(host: &str, path: &str, key: Option<&str>, expected: &str) {
    let matched = match table().find(host, path, key) {
        Match::Found { route, .. } => route.name.clone(),
        Match::NoRoute => "-".to_owned(),
        Match::UnknownKey => "?".to_owned(),
    };
    assert_eq!(matched, expected, "{host} {path} {key:?}");
}

#[test]
fn find_longest_prefix_of_the_host() {
    check_lookup("a.example", "/a/x", Some("k1"), "short");
    check_lookup("a.example:8080", "/a/b/x", Some("k1"), "long");
    check_lookup("a.EXAMPLE", "/a/bx", Some("k1"), "short");
    check_lookup("a.example", "/a", Some("k1"), "-");
    check_lookup("a.example", "/A/x", Some("k1"), "-");
    check_lookup("a.example", "//a/x", Some("k1"), "-");
    check_lookup("b.example", "/a/x", Some("k1"), "-");
}

#[test]
fn find_needs_a_known_key() {
    check_lookup("a.example", "/a/x", None, "?");
    check_lookup("a.example", "/a/x", Some("k2"), "?");
    check_lookup("a.example", "/p/x", None, "public");
    check_lookup("a.example", "/none/", None, "-");
}

/// Guards against weights whose sum overflows.
#[test]
fn service_with_largest_weights_follows_them() {
    let mut route = route("short", "/a/");
    route.services = vec![("s1".to_owned(), u32::MAX), ("s2".to_owned(), u32::MAX)];
    assert_eq!(route.service(0.4), Some("s1"));
    assert_eq!(route.service(0.6), Some("s2"));
}

#[test]
fn service_follows_the_weights() {
    let route = route("short", "/a/");
    let count = |name: &str| {
        let points = (0..1_000).map(|it| f64::from(it) / 1_000.0);
        points.filter(|it| route.service(*it) == Some(name)).count()
    };
    assert_eq!((count("s1"), count("s2")), (900, 100));
    assert_eq!(route.service(1.0), Some("s2"));
}

/// Returns the levels of two routes with these priorities, for an organisation with `own` and for one
/// without a priority.
fn levels(priorities: [u32; 2], own: Option<u32>) -> [[u32; 2]; 2] {
    let routes = priorities.map(|priority| Route {
        priority,
        ..route("short", "/a/")
    });
    let organisation = |priority| Organisation {
        name: "org".to_owned(),
        priority,
        homes: Homes::default(),
    };
    let keys = [("k1", own), ("k2", None)];
    let keys = keys.map(|it| (it.0.to_owned(), Rc::new(organisation(it.1))));
    let table = Table::new(
        1,
        routes.to_vec(),
        Vec::new(),
        Some(HashMap::from(keys)),
        Limits::default(),
    );
    [own, None].map(|it| {
        let organisation = organisation(it);
        [0, 1].map(|it| table.level("s1", &routes[it], Some(&organisation)))
    })
}

/// Nothing changes for services whose routes are equally urgent.
#[test]
fn level_equal_priorities_have_none() {
    assert_eq!(levels([4, 4], None), [[0, 0], [0, 0]]);
    assert_eq!(levels([4, 4], Some(4)), [[0, 0], [0, 0]]);
}

#[test]
fn level_is_relative_to_the_most_urgent_and_organisations_go_first() {
    assert_eq!(levels([1, 3], None), [[0, 2], [0, 2]]);
    assert_eq!(levels([1, 3], Some(2)), [[1, 1], [0, 2]]);
    assert_eq!(levels([1, 3], Some(0)), [[0, 0], [1, 3]]);
}

/// Guards against services without priorities that are served as if they had some.
#[test]
fn has_priorities_if_the_routes_of_a_service_differ() {
    assert!(!table().has_priorities("s1"));
    let urgent = Route {
        priority: 0,
        services: vec![("s1".to_owned(), 1)],
        ..route("urgent", "/u/")
    };
    let routes = vec![route("short", "/a/"), urgent];
    let table = Table::new(1, routes, Vec::new(), None, Limits::default());
    let services = ["s1", "s2", "s3"].map(|it| table.has_priorities(it));
    assert_eq!(services, [true, false, false]);
}

#[test]
fn engine_prefill_time_grows_faster_than_the_prompt() {
    let engine = Engine {
        slots: 16,
        memory_tokens: 232_000,
        steps_per_pass: 43,
        step_ms: 1.02,
        sequence_ms: 0.002_26,
        context_ms_per_k: 0.004_31,
        prefill_tokens_per_ms: 206.0,
        pairs_ms_per_m: 0.138,
        prefill_chunk: 2_048,
        usual_answer_tokens: 1_303,
    };
    // 133,000 tokens take 0.65 s of linear prefill time and 1.22 s for token pairs.
    assert_eq!(engine.prefill_ms(133_000).round(), 1_866.0);
    assert_eq!(engine.prefill_ms(5_000).round(), 26.0);
    assert_eq!(engine.pass_ms(0, 0).round(), 44.0);
    assert!(engine.pass_ms(16, 100_000) < 70.0);
}

/// Guards against requests that are given up before, or kept after, their callers disconnect.
#[test]
fn silence_limit_is_the_longest_of_three() {
    let check = |target_ms, pause_ms: Option<u64>, expected_ms| {
        let route = Route {
            latency_target: Duration::from_millis(target_ms),
            pause_target: pause_ms.map(Duration::from_millis),
            ..route("r", "/")
        };
        assert_eq!(route.silence_limit(), Duration::from_millis(expected_ms));
    };
    check(250, None, 2_000);
    check(250, Some(250), 2_000);
    check(1_500, Some(600), 6_000);
    check(600, Some(1_000), 8_000);
}
