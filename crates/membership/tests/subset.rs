//! Tests of the subset of the members that callers are directed to, and of who is told of placed work.
//!
//! The fleet is that of a large deployment: three strong instances and many weak ones in each of five
//! data centres.

#[allow(dead_code)]
#[path = "network/network.rs"]
mod network;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use membership::Audience;
use membership::Member;
use membership::Origin;
use membership::member::Phase;
use network::Network;
use network::address;
use network::member;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

const COUNT: usize = 200;
const DATA_CENTRES: usize = 5;
const STRONG_COUNT: usize = 15;
const STRONG: u32 = 500;
const WEAK: u32 = 120;
/// The time between the start of the instances and that of the traffic.
const START_TIME: Duration = Duration::from_secs(14);
/// The time within which callers must be directed to live members only.
const RECOVERY_LIMIT: Duration = Duration::from_secs(5);

fn sized(index: usize, capacity: u32) -> Member {
    Member {
        capacity,
        data_centre: format!("dc-{}", index % DATA_CENTRES),
        ..member(index)
    }
}

fn large(index: usize) -> Member {
    let capacity = if index < STRONG_COUNT { STRONG } else { WEAK };
    sized(index, capacity)
}

fn fleet(members: impl Iterator<Item = Member>) -> Network {
    let mut network = Network::of(members);
    network.run(START_TIME);
    network
}

fn indices<'a>(members: impl IntoIterator<Item = &'a Member>) -> BTreeSet<usize> {
    let indices = members.into_iter().map(|it| it.incarnation.0 as usize - 1);
    indices.collect()
}

fn subset(network: &Network, viewer: usize) -> BTreeSet<usize> {
    indices(network.members[viewer].subset())
}

/// Returns the share of the callers that each member gets if every one of `viewers` answers as many.
fn caller_shares(network: &Network, viewers: impl Iterator<Item = usize>) -> BTreeMap<usize, f64> {
    let viewers: Vec<usize> = viewers.collect();
    let mut shares = BTreeMap::new();
    for viewer in &viewers {
        let directed = indices(network.members[*viewer].directed(&Origin::default()));
        for index in &directed {
            *shares.entry(*index).or_default() += 1.0 / (directed.len() * viewers.len()) as f64;
        }
    }
    shares
}

#[test]
fn small_fleet_uses_all_members() {
    for count in [1, 6, 9, 12] {
        let network = fleet((0..count).map(|it| sized(it, 250)));
        assert!((0..count).all(|it| subset(&network, it).len() == count));
        assert!(
            (0..count).all(|it| network.members[it].directed(&Origin::default()).len() == count)
        );
    }
}

#[test]
fn members_of_unknown_capacity_are_equal() {
    let network = fleet((0..60).map(|it| sized(it, 0)));
    assert_eq!(subset(&network, 0).len(), 12);
    assert_eq!(network.members[0].directed(&Origin::default()).len(), 12);
}

#[test]
fn large_fleet_uses_its_strong_members_and_all_agree() {
    let network = fleet((0..COUNT).map(large));
    let chosen = subset(&network, 0);
    assert!(chosen.iter().all(|it| *it < STRONG_COUNT), "{chosen:?}");
    let data_centres: BTreeSet<usize> = chosen.iter().map(|it| it % DATA_CENTRES).collect();
    assert_eq!(data_centres.len(), DATA_CENTRES);
    assert!((0..COUNT).all(|it| subset(&network, it) == chosen));
    let capacity = chosen.len() as f64 * f64::from(STRONG);
    let total = (STRONG_COUNT as u32 * STRONG + (COUNT - STRONG_COUNT) as u32 * WEAK) as f64;
    assert!(capacity >= 0.2 * total);
}

#[test]
fn subset_grows_with_the_capacity_of_the_fleet() {
    let network = fleet((0..150).map(|it| sized(it, WEAK)));
    assert_eq!(subset(&network, 0).len(), 30);
}

#[test]
fn any_share_of_the_fleet_dies_at_once_and_callers_are_directed_to_the_others() {
    for (seed, share) in [(1, 0.1), (2, 0.5), (3, 0.9)] {
        let mut network = fleet((0..COUNT).map(large));
        network.loss = 0.02;
        let mut order: Vec<usize> = (0..COUNT).collect();
        order.shuffle(&mut StdRng::seed_from_u64(seed));
        let dead: BTreeSet<usize> = order
            .into_iter()
            .take((COUNT as f64 * share) as usize)
            .collect();
        network.isolated.clone_from(&dead);
        network.run(RECOVERY_LIMIT);
        for viewer in (0..COUNT).filter(|it| !dead.contains(it)) {
            let chosen = subset(&network, viewer);
            let lost: Vec<&usize> = chosen.intersection(&dead).collect();
            assert!(
                lost.is_empty(),
                "{share}: {viewer} directs callers to {lost:?}"
            );
            assert!(chosen.len() >= 6.min(COUNT - dead.len()), "{chosen:?}");
        }
    }
}

#[test]
fn loss_of_all_strong_members_is_made_up_by_weak_ones() {
    let mut network = fleet((0..COUNT).map(large));
    network.isolated = (0..STRONG_COUNT).collect();
    network.run(RECOVERY_LIMIT);
    let chosen = subset(&network, 100);
    assert!(chosen.iter().all(|it| *it >= STRONG_COUNT), "{chosen:?}");
    let required = (COUNT - STRONG_COUNT) / 5;
    assert_eq!(chosen.len(), required);
    // The strong ones are back in use once they are reached.
    network.isolated.clear();
    network.list();
    network.run(RECOVERY_LIMIT);
    assert!(subset(&network, 100).iter().all(|it| *it < STRONG_COUNT));
}

#[test]
fn weak_members_of_the_subset_get_fewer_callers() {
    // Four strong members are less than a fifth of the capacity.
    let members = (0..100).map(|it| sized(it, if it < 4 { STRONG } else { WEAK }));
    let network = fleet(members);
    let chosen = subset(&network, 0);
    assert!(chosen.len() > 6, "{chosen:?}");
    let shares = caller_shares(&network, 0..100);
    let strong = shares[&0];
    let weak: Vec<f64> = shares.range(4..).map(|it| *it.1).collect();
    let mean = weak.iter().sum::<f64>() / weak.len() as f64;
    assert!(mean < strong * 0.5, "{mean} {strong}");
}

#[test]
fn each_half_of_a_cut_fleet_shares_half_of_what_all_may_do() {
    let mut network = fleet((0..COUNT).map(large));
    let whole = network.members[100].sharers();
    assert_eq!(whole, subset(&network, 100).len());
    network.isolated = (0..COUNT).filter(|it| it % 2 == 0).collect();
    network.run(RECOVERY_LIMIT * 2);
    let sharers = network.members[101].sharers();
    let users = subset(&network, 101).len();
    assert!(
        sharers as f64 >= users as f64 * 1.8,
        "{sharers} for {users}"
    );
}

fn peer(index: usize) -> SocketAddr {
    address(index, 2)
}

#[test]
fn audience_is_the_subset() {
    let network = fleet((0..COUNT).map(large));
    let chosen = subset(&network, 0);
    for viewer in [0, 100] {
        let mut audience = Audience::default();
        let added = audience.refresh(network.now, &network.members[viewer]);
        let others: BTreeSet<SocketAddr> = chosen
            .iter()
            .filter(|it| **it != viewer)
            .map(|it| peer(*it))
            .collect();
        assert_eq!(audience.addresses().collect::<BTreeSet<_>>(), others);
        assert_eq!(added.into_iter().collect::<BTreeSet<_>>(), others);
        assert_eq!(
            audience.is_participant(network.now),
            chosen.contains(&viewer)
        );
        assert!(
            audience
                .refresh(network.now, &network.members[viewer])
                .is_empty()
        );
    }
}

#[test]
fn entry_outside_the_subset_that_places_work_is_told_for_a_while() {
    let network = fleet((0..COUNT).map(large));
    let now = network.now;
    let stray = peer(100);
    let mut audience = Audience::default();
    audience.refresh(now, &network.members[0]);
    assert!(audience.record_heard(now, stray, &network.members[0]));
    assert!(!audience.record_heard(now, stray, &network.members[0]));
    assert!(audience.addresses().any(|it| it == stray));
    audience.refresh(now + Duration::from_secs(6), &network.members[0]);
    assert!(!audience.addresses().any(|it| it == stray));
}

#[test]
fn entry_outside_the_subset_takes_part_while_it_places_work() {
    let network = fleet((0..COUNT).map(large));
    let now = network.now;
    let mut audience = Audience::default();
    audience.refresh(now, &network.members[100]);
    assert!(!audience.is_participant(now));
    audience.record_told(now);
    assert!(audience.is_participant(now + Duration::from_secs(4)));
    assert!(!audience.is_participant(now + Duration::from_secs(6)));
}

#[test]
fn entries_that_are_starting_have_ranks_of_their_own() {
    let starting = (0..COUNT).map(|it| Member {
        phase: Phase::Starting,
        ..large(it)
    });
    let mut network = Network::of(starting);
    network.run(START_TIME);
    let ranks: BTreeSet<usize> = network.members.iter().map(|it| it.rank()).collect();
    assert_eq!(ranks, (0..COUNT).collect());
    // The duty falls to a strong entry, and to another one when it leaves.
    let first = (0..COUNT).find(|it| network.members[*it].rank() == 0);
    let first = first.expect("a first entry");
    assert!(first < STRONG_COUNT);
    network.members[first].set_phase(Phase::Leaving);
    network.run(RECOVERY_LIMIT);
    assert!(network.members[first].rank() > 0);
    let ranked_first = network.members.iter().filter(|it| it.rank() == 0);
    assert_eq!(ranked_first.count(), 1);
}

#[test]
fn address_of_no_member_is_told_nothing() {
    let network = fleet((0..6).map(|it| sized(it, 250)));
    let mut audience = Audience::default();
    audience.refresh(network.now, &network.members[0]);
    assert!(!audience.record_heard(network.now, peer(COUNT), &network.members[0]));
    assert_eq!(audience.addresses().count(), 5);
}
