//! Home regions of routes and organisations.

use std::collections::BTreeMap;
use std::time::Duration;

use domain::Homes;
use domain::Regions;
use route::Kind;
use route::Organisation;
use route::Route;

fn homes(names: &[&str]) -> Homes {
    Homes::new(names.iter().map(|it| (*it).to_owned()))
}

fn regions() -> Regions {
    let regions = [("a1", "north"), ("a2", "north"), ("b1", "south")];
    let regions = regions.map(|it| (it.0.to_owned(), it.1.to_owned()));
    Regions::new(BTreeMap::from(regions))
}

/// Checks in which data centres the requests of a route and of an organisation with these home regions may be
/// served. The region of `x` is unknown.
fn check(route: &[&str], organisation: Option<&[&str]>, expected: &[&str]) {
    let route = Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Idempotent,
        time_limit: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        pause_target: None,
        priority: 1,
        services: Vec::new(),
        attempts: 1,
        is_public: false,
        homes: homes(route),
    };
    let organisation = organisation.map(|it| Organisation {
        name: "org".to_owned(),
        priority: None,
        homes: homes(it),
    });
    let both = route.homes_of(organisation.as_ref());
    let regions = regions();
    let mut permitted = vec!["a1", "a2", "b1", "x"];
    permitted.retain(|it| both.permit(&regions, it));
    assert_eq!(permitted, expected, "{route:?} {organisation:?}");
}

const ALL: [&str; 4] = ["a1", "a2", "b1", "x"];

/// Guards against restrictions where none is set.
#[test]
fn homes_absent_permit_all() {
    check(&[], None, &ALL);
    check(&[], Some(&[]), &ALL);
}

/// Guards against servers whose region is not known, and which may be anywhere.
#[test]
fn homes_permit_their_regions_and_exclude_unknown_ones() {
    check(&["north"], None, &["a1", "a2"]);
    check(&[], Some(&["south"]), &["b1"]);
    check(&["north", "south"], None, &["a1", "a2", "b1"]);
    check(&["east"], None, &[]);
}

/// Guards against an organisation's home regions that replace those of the route, or the reverse.
#[test]
fn homes_of_route_and_organisation_both_apply() {
    check(&["north", "south"], Some(&["south", "east"]), &["b1"]);
    check(&["north"], Some(&["south"]), &[]);
    check(&["north"], Some(&[]), &["a1", "a2"]);
}

/// Guards against deployments that stop serving because their settings give no regions.
#[test]
fn homes_without_any_known_region_have_no_effect() {
    assert!(homes(&["north"]).permit(&Regions::default(), "a1"));
}

#[test]
fn regions_has_several_counts_regions_and_not_data_centres() {
    let one = ["a1", "a2"].map(|it| (it.to_owned(), "north".to_owned()));
    assert!(!Regions::new(BTreeMap::from(one)).has_several());
    assert!(!Regions::default().has_several());
    assert!(regions().has_several());
}
