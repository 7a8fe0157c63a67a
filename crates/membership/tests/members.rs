//! Tests that entries discover each other, detect dead ones in time and readmit those that return.

#[allow(dead_code)]
#[path = "network/network.rs"]
mod network;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use domain::key::Incarnation;
use membership::Member;
use membership::Members;
use membership::member::Phase;
use membership::message::Event;
use membership::message::Rumour;
use network::Network;
use network::STEP;
use network::address;
use network::member;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The time within which a dead entry must no longer be listed as ready.
const DETECTION_LIMIT: Duration = Duration::from_secs(3);

#[test]
fn members_discover_all_listed() {
    let mut network = Network::new(6);
    network.run(Duration::from_secs(3));
    assert!((0..6).all(|viewer| network.ready(viewer).len() == 6));
}

#[test]
fn sample_reaches_all_started_members() {
    let mut network = Network::new(12);
    network.members[3].set_phase(Phase::Starting);
    network.run(Duration::from_secs(10));
    let mut random = StdRng::seed_from_u64(5);
    let drawn = (0..400).flat_map(|_| network.members[7].sample(1, &mut random));
    let drawn: BTreeSet<&str> = drawn.map(|it| it.name.as_str()).collect();
    assert_eq!(drawn.len(), 10, "{drawn:?}");
    assert!(!drawn.contains("entry-7") && !drawn.contains("entry-3"));
    assert_eq!(network.members[7].sample(3, &mut random).len(), 3);
}

#[test]
fn members_listed_ones_discover_each_other_at_once() {
    for count in [6, 86] {
        let network = Network::new(count);
        assert!((0..count).all(|viewer| network.ready(viewer).len() == count));
    }
}

#[test]
fn members_dead_one_is_detected_in_time() {
    for dead in 0..6 {
        let mut network = Network::new(6);
        network.run(Duration::from_secs(5));
        network.isolated.insert(dead);
        network.run(DETECTION_LIMIT);
        for viewer in (0..6).filter(|it| *it != dead) {
            assert!(
                !network.ready(viewer).contains(&(dead as u64 + 1)),
                "{dead} by {viewer}"
            );
        }
    }
}

#[test]
fn members_isolated_one_rejoins_after_gossip_has_ended() {
    let mut network = Network::new(6);
    network.run(Duration::from_secs(5));
    network.isolated.insert(2);
    network.run(Duration::from_secs(40));
    network.isolated.clear();
    network.list();
    network.run(Duration::from_secs(5));
    for viewer in 0..6 {
        assert_eq!(network.ready(viewer).len(), 6, "seen by {viewer}");
    }
    assert!(network.members.iter().all(|it| it.expected() == 6));
}

#[test]
fn members_datagram_loss_causes_no_false_deaths() {
    let mut network = Network::new(6);
    network.run(Duration::from_secs(5));
    network.loss = 0.05;
    for _ in 0..60 {
        network.run(Duration::from_secs(1));
        assert!((0..6).all(|viewer| network.ready(viewer).len() == 6));
    }
}

#[test]
fn members_leaving_one_is_not_ready_anywhere() {
    let mut network = Network::new(6);
    network.run(Duration::from_secs(5));
    network.members[4].set_phase(Phase::Leaving);
    network.run(DETECTION_LIMIT);
    assert!((0..6).all(|viewer| network.ready(viewer).len() == 5));
    assert!((0..6).all(|viewer| network.members[viewer].alive().count() == 6));
}

#[test]
fn members_agree_on_homes_and_successors() {
    let mut network = Network::new(6);
    network.run(Duration::from_secs(5));
    let home = network.members[0].home(b"riders").incarnation;
    assert!(
        network
            .members
            .iter()
            .all(|it| it.home(b"riders").incarnation == home)
    );
    assert!(
        network
            .members
            .iter()
            .all(|it| !it.is_successor(b"riders") || it.local().incarnation != home)
    );
    network.isolated.insert(home.0 as usize - 1);
    network.run(DETECTION_LIMIT);
    let alive = (0..6).filter(|it| *it as u64 + 1 != home.0);
    let next: BTreeSet<u64> = alive
        .map(|it| network.members[it].home(b"riders").incarnation.0)
        .collect();
    assert_eq!(next.len(), 1);
    let next = *next.first().unwrap() as usize - 1;
    assert!(network.members[next].is_successor(b"riders"));
}

#[test]
fn members_rumour_reaches_all() {
    let mut network = Network::new(40);
    network.run(Duration::from_secs(20));
    let rumour = Rumour::ServerLeaving {
        server: "runner-1".to_owned(),
    };
    network.events.clear();
    network.members[7].gossip(rumour.clone());
    // Each receiver gossips the rumour again, as the entry process does.
    for _ in 0..60 {
        network.run(STEP);
        let received: Vec<usize> = network
            .events
            .drain(..)
            .filter(|(_, event)| *event == Event::Rumour(rumour.clone()))
            .map(|(index, _)| index)
            .collect();
        for index in received {
            network.members[index].gossip(rumour.clone());
        }
    }
    let mut received = BTreeSet::new();
    network.run(Duration::from_secs(3));
    received.extend(network.events.iter().map(|(index, _)| *index));
    assert!(received.len() >= 39, "{}", received.len());
}

#[test]
fn members_restarted_entry_replaces_its_earlier_incarnation() {
    let mut network = Network::new(6);
    network.run(Duration::from_secs(3));
    for restart in 0..6 {
        // Some members already suspect the earlier incarnation, and their rumours still circulate.
        network.isolated.insert(2);
        network.run(Duration::from_millis(500 + 300 * restart));
        network.isolated.clear();
        let restarted = Member {
            incarnation: Incarnation(100 + restart),
            ..member(2)
        };
        network.members[2] = Members::new(restarted);
        let listed: Vec<SocketAddr> = (0..6).map(|index| address(index, 2)).collect();
        let probes = network.members[2].set_listed(&listed, &mut network.random);
        network.deliver(2, probes);
        network.run(Duration::from_secs(3));
        network.events.clear();
        network.run(Duration::from_secs(20));
        assert_eq!(network.events, [], "views must be stable");
        for members in &network.members {
            let alive = members.alive().map(|it| it.incarnation);
            let mut alive: Vec<Incarnation> = alive.collect();
            alive.sort();
            let expected = [1, 2, 4, 5, 6, 100 + restart].map(Incarnation);
            assert_eq!(alive, expected);
        }
    }
}

#[test]
fn members_entry_restarted_after_its_death_is_found_without_the_list() {
    let mut network = Network::new(3);
    network.run(Duration::from_secs(3));
    network.isolated.insert(1);
    network.run(DETECTION_LIMIT * 2);
    assert_eq!(network.ready(0), BTreeSet::from([1, 3]));
    network.isolated.remove(&1);
    let restarted = Member {
        incarnation: Incarnation(100),
        ..member(1)
    };
    network.members[1] = Members::new(restarted);
    network.run(DETECTION_LIMIT);
    assert_eq!(network.ready(0), BTreeSet::from([1, 3, 100]));
    assert_eq!(network.ready(1), BTreeSet::from([1, 3, 100]));
}
