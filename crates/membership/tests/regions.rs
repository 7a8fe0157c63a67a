//! Tests that callers and relayed requests are directed to members of the right regions.

#[allow(dead_code)]
#[path = "network/network.rs"]
mod network;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use domain::Homes;
use domain::Regions;
use domain::key::Incarnation;
use membership::Member;
use membership::Origin;
use membership::member::Phase;
use network::Network;
use network::address;
use network::member;
use rand::SeedableRng;
use rand::rngs::StdRng;

const START_TIME: Duration = Duration::from_secs(14);
const LIMIT: Duration = Duration::from_secs(2);
/// Two regions with two data centres each, and one data centre whose region is not known.
const DATA_CENTRES: [&str; 5] = ["a1", "a2", "b1", "b2", "x"];

/// Returns members that are spread over the data centres in turn, every second one of each strong, with the
/// regions that `region` gives.
fn fleet(count: usize, region: impl Fn(&str) -> Option<&str>) -> Network {
    fleet_of(count, region, |index| index % 10 < 5)
}

/// The same with members of which those are strong that `is_strong` says.
fn fleet_of(
    count: usize,
    region: impl Fn(&str) -> Option<&str>,
    is_strong: impl Fn(usize) -> bool,
) -> Network {
    let members = (0..count).map(|index| Member {
        data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].to_owned(),
        capacity: if is_strong(index) { 500 } else { 120 },
        relay_address: Some(address(index, 3)),
        ..member(index)
    });
    let mut network = Network::of(members);
    let known = DATA_CENTRES.iter();
    let known = known.filter_map(|it| Some(((*it).to_owned(), region(it)?.to_owned())));
    let regions = Rc::new(Regions::new(known.collect::<BTreeMap<_, _>>()));
    for members in &mut network.members {
        members.set_regions(regions.clone());
    }
    network.run(START_TIME);
    network
}

fn two_regions(data_centre: &str) -> Option<&str> {
    (data_centre != "x").then(|| &data_centre[..1])
}

fn origin(region: &str, data_centre: &str) -> Origin {
    Origin {
        region: Some(region.to_owned()),
        data_centre: Some(data_centre.to_owned()),
    }
}

/// Returns the data centres of the members that a caller is directed to, in order.
fn directed(network: &Network, viewer: usize, origin: &Origin) -> Vec<String> {
    let members = network.members[viewer].directed(origin);
    members.iter().map(|it| it.data_centre.clone()).collect()
}

/// Guards against callers who are directed to another region while theirs serves, or to another data
/// centre first.
#[test]
fn directed_callers_stay_in_their_region_and_start_in_their_data_centre() {
    for count in [10, 25, 60, 200] {
        let network = fleet(count, two_regions);
        for viewer in [0, 3, 4] {
            for own in ["a1", "a2", "b1", "b2"] {
                let names = directed(&network, viewer, &origin(&own[..1], own));
                let inside = names.iter().filter(|it| it[..1] == own[..1]).count();
                assert_eq!(inside, names.len(), "{count}: {own} gets {names:?}");
                let first = names.iter().take_while(|it| *it == own).count();
                let near = names.iter().filter(|it| *it == own).count();
                assert!(first > 0 && first == near, "{count}: {own} gets {names:?}");
            }
        }
    }
}

/// Guards against callers who get no address because their region has no instance left.
#[test]
fn directed_callers_of_a_region_without_members_get_the_others() {
    let mut network = fleet(20, two_regions);
    for index in (0..20).filter(|it| DATA_CENTRES[it % 5].starts_with('b')) {
        let datagrams = network.members[index].announce_phase(network.now, Phase::Isolated);
        network.deliver(index, datagrams);
    }
    network.run(LIMIT);
    let names: BTreeSet<String> = directed(&network, 0, &origin("b", "b1"))
        .into_iter()
        .collect();
    assert!(!names.is_empty());
    assert!(names.iter().all(|it| !it.starts_with('b')), "{names:?}");
    assert!(!directed(&network, 0, &origin("elsewhere", "e1")).is_empty());
}

/// Guards against changes in deployments with one region, or whose settings give none: the members, and
/// their order.
#[test]
fn directed_with_one_region_is_as_without_any() {
    let none = fleet(60, |_| None);
    let one = fleet(60, |it| (it != "x").then_some("a"));
    for viewer in 0..60 {
        let named = |network: &Network, origin: &Origin| -> Vec<String> {
            let members = network.members[viewer].directed(origin);
            members.iter().map(|it| it.name.clone()).collect()
        };
        let before = named(&none, &Origin::default());
        for origin in [Origin::default(), origin("a", "a2"), origin("b", "b1")] {
            assert_eq!(named(&one, &origin), before);
            assert_eq!(named(&none, &origin), before);
        }
        let subset = |network: &Network| -> Vec<String> {
            let members = network.members[viewer].subset();
            members.iter().map(|it| it.name.clone()).collect()
        };
        assert_eq!(subset(&one), subset(&none));
    }
}

/// Guards against members that disagree on whom callers are directed to, and against regions without any.
#[test]
fn subset_has_members_of_each_region_and_is_the_same_everywhere() {
    let network = fleet(200, two_regions);
    let subset = |viewer: usize| -> BTreeSet<String> {
        let members = network.members[viewer].subset();
        members.iter().map(|it| it.data_centre.clone()).collect()
    };
    assert_eq!(subset(0).len(), DATA_CENTRES.len());
    let names = |viewer: usize| -> Vec<&str> {
        let members = network.members[viewer].subset();
        members.iter().map(|it| it.name.as_str()).collect()
    };
    assert!((0..200).all(|it| names(it) == names(0)));
}

/// Guards against a region with weak instances alone whose callers are all directed to other regions, or to a few
/// of its instances.
#[test]
fn subset_of_a_weak_region_is_as_large_as_its_load_needs() {
    let network = fleet_of(100, two_regions, |index| index % 5 < 2);
    let names = directed(&network, 0, &origin("b", "b1"));
    assert!(names.len() >= 6, "{names:?}");
    assert!(names.iter().all(|it| it.starts_with('b')), "{names:?}");
}

/// Returns the data centres of all members to which an instance in `a1` may relay a request.
fn delegates(network: &Network, homes: &[&str]) -> BTreeSet<String> {
    let homes = Homes::new(homes.iter().map(|it| (*it).to_owned()));
    let mut random = StdRng::seed_from_u64(7);
    let mut tried: Vec<Incarnation> = Vec::new();
    let mut names = BTreeSet::new();
    while let Some(peer) = network.members[0].delegate(&tried, &homes, &mut random) {
        names.insert(peer.data_centre.clone());
        tried.push(peer.incarnation);
    }
    names
}

/// Guards against bodies of requests that are passed on to an instance outside the home regions and the
/// caller's region.
#[test]
fn delegate_is_in_a_home_region_or_in_the_own_one() {
    let network = fleet(20, two_regions);
    let check = |homes: &[&str], expected: &[&str]| {
        let names = delegates(&network, homes);
        assert!(names.iter().eq(expected), "{homes:?}: {names:?}");
    };
    check(&[], &DATA_CENTRES);
    check(&["a"], &["a1", "a2"]);
    check(&["b"], &["a1", "a2", "b1", "b2"]);
    check(&["c"], &["a1", "a2"]);
}
