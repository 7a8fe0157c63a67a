//! Datagrams that do not wait for the next probe.

use core::net::SocketAddr;
use std::time::Duration;

use domain::Moment;
use rand::Rng;
use rand::seq::SliceRandom;

use super::Members;
use super::probing::MIN_NEAR_COUNT;
use crate::member::Phase;
use crate::member::State;
use crate::message::Datagram;
use crate::message::Kind;
use crate::message::Message;
use crate::message::Rumour;

/// The number of times that a change of this entry's phase is broadcast again, and the interval. If most of
/// 195 members change at once and 2 % of the datagrams are lost, gossip alone takes longer than 2 s.
const REPEAT_COUNT: u32 = 3;
const REPEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Broadcasts of a phase that are still to be sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Repeats {
    left: u32,
    next: Moment,
}

impl Members {
    /// Sets the phase of this entry, and returns datagrams that tell all members immediately. Later ticks
    /// repeat them, since some may be lost.
    pub fn announce_phase(&mut self, now: Moment, phase: Phase) -> Vec<Datagram> {
        self.set_phase(phase);
        self.repeats = Repeats {
            left: REPEAT_COUNT,
            next: now + REPEAT_INTERVAL,
        };
        self.broadcast_local()
    }

    /// Returns the datagrams of a repetition that is due.
    pub(super) fn repeat_phase(&mut self, now: Moment) -> Vec<Datagram> {
        if self.repeats.left == 0 || now < self.repeats.next {
            return Vec::new();
        }
        self.repeats.left -= 1;
        self.repeats.next = now + REPEAT_INTERVAL;
        self.broadcast_local()
    }

    fn broadcast_local(&mut self) -> Vec<Datagram> {
        let member = self.local.clone();
        let state = State::Alive;
        self.broadcast(Rumour::Member { member, state })
    }

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
