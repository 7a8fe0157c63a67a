//! Tests that all entries learn of evacuations in time, also if those that read of them die.

#[allow(dead_code)]
#[path = "network/network.rs"]
mod network;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use domain::evacuation::Set;
use domain::key::Incarnation;
use membership::Member;
use membership::Members;
use network::Network;
use network::STEP;
use network::address;
use network::member;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The number of entries of the larger deployment, which are in three data centres.
const COUNT: usize = 63;
/// The number of entries that read the operator's list for all.
const READERS: usize = 12;
/// The time within which all entries have to know of an evacuation that one of them has read.
const LIMIT: Duration = Duration::from_secs(3);
/// The share of datagrams that are lost.
const LOSS: f64 = 0.02;

/// Returns the deployment after its entries have found each other.
fn network(seed: u64) -> Network {
    let members = (0..COUNT).map(|index| Member {
        data_centre: format!("dc-{}", index % 3),
        ..member(index)
    });
    let mut network = Network::of(members);
    network.random = StdRng::seed_from_u64(seed);
    network.loss = LOSS;
    network.run(Duration::from_secs(5));
    network
}

fn set(position: u64) -> Rc<Set> {
    Rc::new(Set {
        position,
        listed: ["dc-1".to_owned()].into(),
        ..Set::default()
    })
}

/// Returns the time until `count` entries know of the evacuations as of `position`, at most twice `LIMIT`.
fn time_until_informed(network: &mut Network, count: usize, position: u64) -> Duration {
    let start = network.now;
    while network.informed(position) < count && network.now.since(start) < LIMIT * 2 {
        network.run(STEP);
    }
    network.now.since(start)
}

/// Guards against members that miss the datagrams of the entry that read of the evacuation.
#[test]
fn evacuation_reaches_all_members_in_time_despite_loss() {
    for seed in 0..20 {
        let mut network = network(seed);
        network.know(0, &set(7));
        let updates = network.members[0].evacuation_updates(None);
        network.deliver(0, updates);
        let time = time_until_informed(&mut network, COUNT, 7);
        assert!(time <= LIMIT, "{time:?} with seed {seed}");
    }
}

/// Guards against updates that are lost with the readers, which die after they sent one datagram.
#[test]
fn evacuation_reaches_all_others_in_time_if_readers_die_after_one_message() {
    for seed in 0..20 {
        let mut network = network(seed);
        network.know(0, &set(7));
        let mut updates = network.members[0].evacuation_updates(None);
        updates.retain(|it| it.to == address(READERS + seed as usize, 2));
        assert_eq!(updates.len(), 1);
        network.loss = 0.0;
        network.isolated.extend(1..READERS);
        network.deliver(0, updates);
        network.isolated.insert(0);
        network.loss = LOSS;
        assert!(network.informed(7) >= 2);
        let time = time_until_informed(&mut network, COUNT - READERS + 1, 7);
        assert!(time <= LIMIT, "{time:?} with seed {seed}");
    }
}

/// Guards against updates that depend on being forwarded at once: probes alone carry them to all.
#[test]
fn evacuation_reaches_all_members_by_probes_alone() {
    for seed in 0..20 {
        let mut network = network(seed);
        network.forwards = 0;
        network.know(40, &set(7));
        let time = time_until_informed(&mut network, COUNT, 7);
        assert!(time <= LIMIT, "{time:?} with seed {seed}");
    }
}

/// Guards against answers to probes without the evacuations.
#[test]
fn evacuation_is_known_to_restarted_member_after_first_answer() {
    let mut network = network(1);
    network.know(0, &set(7));
    let updates = network.members[0].evacuation_updates(None);
    network.deliver(0, updates);
    network.run(LIMIT);
    let restarted = Member {
        incarnation: Incarnation(1_000),
        ..member(9)
    };
    network.members[9] = Members::new(restarted);
    network.evacuations[9] = None;
    let listed: Vec<SocketAddr> = (0..COUNT).map(|index| address(index, 2)).collect();
    let probes = network.members[9].set_listed(&listed[..1], &mut network.random);
    network.loss = 0.0;
    network.deliver(9, probes);
    assert_eq!(network.informed(7), COUNT);
}

/// Guards against updates that are only sent while they are new.
#[test]
fn evacuation_and_its_end_are_known_to_member_that_was_cut_off() {
    let mut network = network(2);
    let update = |network: &mut Network, set: Set| {
        network.know(0, &Rc::new(set));
        let updates = network.members[0].evacuation_updates(None);
        network.deliver(0, updates);
    };
    update(&mut network, (*set(7)).clone());
    network.run(LIMIT);
    assert_eq!(network.informed(7), COUNT);
    network.isolated.insert(30);
    let end = Set {
        position: 8,
        ..Set::default()
    };
    update(&mut network, end);
    // Long enough that each side counts the other as dead.
    network.run(Duration::from_secs(20));
    assert_eq!(network.informed(8), COUNT - 1);
    network.isolated.clear();
    network.list();
    let time = time_until_informed(&mut network, COUNT, 8);
    assert!(time <= LIMIT, "{time:?}");
}
