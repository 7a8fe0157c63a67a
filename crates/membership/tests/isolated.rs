//! Tests that callers are not directed to members that reach no backend server, unless none does.

#[allow(dead_code)]
#[path = "network/network.rs"]
mod network;

use std::collections::BTreeSet;
use std::time::Duration;

use domain::Homes;
use domain::key::Incarnation;
use membership::Member;
use membership::Origin;
use membership::member::Phase;
use network::Network;
use network::address;
use network::member;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The sizes of the fleets of the deployments.
const COUNTS: [usize; 4] = [6, 24, 63, 195];
const START_TIME: Duration = Duration::from_secs(14);
/// The time from the verdict within which callers must not be directed to an isolated member.
const LIMIT: Duration = Duration::from_secs(2);

fn fleet(count: usize) -> Network {
    let members = (0..count).map(|index| Member {
        data_centre: format!("dc-{}", index % 3),
        capacity: if index % 10 == 0 { 500 } else { 120 },
        relay_address: Some(address(index, 3)),
        ..member(index)
    });
    let mut network = Network::of(members);
    network.run(START_TIME);
    network
}

/// Changes the phase of a member and broadcasts it, as instances do.
fn change(network: &mut Network, index: usize, phase: Phase) {
    let datagrams = network.members[index].announce_phase(network.now, phase);
    network.deliver(index, datagrams);
}

fn directed(network: &Network, viewer: usize) -> BTreeSet<usize> {
    let members = network.members[viewer].directed(&Origin::default());
    let indices = members.iter().map(|it| it.incarnation.0 as usize - 1);
    indices.collect()
}

fn check_left_out(network: &Network, isolated: &BTreeSet<usize>) {
    for viewer in 0..network.members.len() {
        let named = directed(network, viewer);
        assert!(!named.is_empty());
        let wrong: Vec<&usize> = named.intersection(isolated).collect();
        assert!(wrong.is_empty(), "{viewer} directs callers to {wrong:?}");
    }
}

#[test]
fn isolated_members_leave_the_addresses_in_time_and_come_back() {
    for count in COUNTS {
        for share in [0.1, 0.5, 0.9] {
            let mut network = fleet(count);
            network.loss = 0.02;
            let before: Vec<_> = (0..count).map(|it| directed(&network, it)).collect();
            // The strong members are among the isolated ones.
            let isolated: BTreeSet<usize> = (0..(count as f64 * share) as usize).collect();
            for index in &isolated {
                change(&mut network, *index, Phase::Isolated);
            }
            network.run(LIMIT);
            check_left_out(&network, &isolated);
            for index in &isolated {
                change(&mut network, *index, Phase::Ready);
            }
            network.run(LIMIT);
            let after: Vec<_> = (0..count).map(|it| directed(&network, it)).collect();
            assert_eq!(before, after, "{count} members");
        }
    }
}

#[test]
fn all_isolated_members_are_named_as_if_none_were() {
    for count in [1, 6, 24] {
        let mut network = fleet(count);
        let before: Vec<_> = (0..count).map(|it| directed(&network, it)).collect();
        for index in 0..count {
            change(&mut network, index, Phase::Isolated);
        }
        network.run(LIMIT);
        let after: Vec<_> = (0..count).map(|it| directed(&network, it)).collect();
        assert_eq!(before, after);
        // Nobody is left to relay requests to.
        let mut random = StdRng::seed_from_u64(1);
        assert!(
            network.members[0]
                .delegate(&[], &Homes::default(), &mut random)
                .is_none()
        );
    }
}

#[test]
fn isolated_members_keep_their_duties() {
    let mut network = fleet(24);
    let before: Vec<usize> = network.members.iter().map(|it| it.rank()).collect();
    change(&mut network, 0, Phase::Isolated);
    network.run(LIMIT);
    let after: Vec<usize> = network.members.iter().map(|it| it.rank()).collect();
    assert_eq!(before, after);
}

#[test]
fn delegate_is_ready_untried_and_of_the_own_data_centre() {
    let mut network = fleet(24);
    for index in [1, 3] {
        change(&mut network, index, Phase::Isolated);
    }
    network.run(LIMIT);
    let mut random = StdRng::seed_from_u64(2);
    let mut tried: Vec<Incarnation> = Vec::new();
    let mut names = BTreeSet::new();
    for _ in 0..22 {
        let peer = network.members[3].delegate(&tried, &Homes::default(), &mut random);
        let peer = peer.expect("a member that is left");
        assert_eq!(peer.phase, Phase::Ready);
        assert!(names.insert(peer.name.clone()), "{} again", peer.name);
        tried.push(peer.incarnation);
    }
    assert!(
        network.members[3]
            .delegate(&tried, &Homes::default(), &mut random)
            .is_none()
    );
    let first = tried[0].0 as usize - 1;
    assert_eq!(first % 3, 0, "of the data centre of member 3");
}
