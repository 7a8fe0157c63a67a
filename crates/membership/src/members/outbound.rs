//! Datagrams that do not wait for the next probe.

use core::net::SocketAddr;

use rand::Rng;
use rand::seq::SliceRandom;

use super::Members;
use super::probing::MIN_NEAR_COUNT;
use crate::message::Datagram;
use crate::message::Kind;
use crate::message::Message;
use crate::message::Rumour;

impl Members {
    /// Returns datagrams that send an urgent rumour to all members immediately.
    pub fn broadcast(&mut self, rumour: Rumour) -> Vec<Datagram> {
        let targets: Vec<SocketAddr> = self.alive().skip(1).map(|it| it.peer_address).collect();
        let message = Message {
            from: self.local.clone(),
            config_next: self.config_next,
            kind: Kind::Gossip,
            rumours: vec![rumour],
            evacuations: self.evacuations.clone(),
        };
        to_each(targets, &message)
    }

    /// Returns datagrams that send the evacuated data centres to `targets`, or to all members if there are
    /// none, immediately.
    pub fn evacuation_updates(&self, targets: Option<Vec<SocketAddr>>) -> Vec<Datagram> {
        let all = || self.alive().skip(1).map(|it| it.peer_address).collect();
        let targets = targets.unwrap_or_else(all);
        let message = Message {
            from: self.local.clone(),
            config_next: self.config_next,
            kind: Kind::Gossip,
            rumours: Vec::new(),
            evacuations: self.evacuations.clone(),
        };
        to_each(targets, &message)
    }

    /// Returns datagrams that announce this entry's position in the configuration to random members, in its
    /// own data centre if that has enough of them.
    pub fn announcements(&mut self, count: usize, random: &mut impl Rng) -> Vec<Datagram> {
        let own = self.local.data_centre.as_str();
        let near = self.alive().skip(1).filter(|it| it.data_centre == own);
        let mut targets: Vec<SocketAddr> = near.map(|it| it.peer_address).collect();
        if targets.len() < MIN_NEAR_COUNT {
            targets = self.alive().skip(1).map(|it| it.peer_address).collect();
        }
        targets.shuffle(random);
        targets.truncate(count);
        let announce = |to| Datagram {
            to,
            message: self.message(Kind::Gossip),
        };
        targets.into_iter().map(announce).collect()
    }
}

fn to_each(targets: Vec<SocketAddr>, message: &Message) -> Vec<Datagram> {
    let targets = targets.into_iter();
    let datagram = |to| Datagram {
        to,
        message: message.clone(),
    };
    targets.map(datagram).collect()
}
