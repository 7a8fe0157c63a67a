//! The addresses on the platform's list, and probes to those at which no member is known to be alive.

use core::net::SocketAddr;
use std::collections::BTreeSet;

use rand::Rng;
use rand::seq::SliceRandom;

use super::Members;
use crate::member::State;
use crate::message::Datagram;
use crate::message::Kind;

/// The maximum number of listed addresses that are probed at once. In a larger fleet the replies
/// name the other members. An entry joins once, so this adds nothing to the steady traffic.
const JOIN_PROBE_LIMIT: usize = 96;

impl Members {
    /// Sets the addresses of the entries on the platform's list, including this one's. Returns
    /// probes to those without a known alive member. Without these probes, after a restart of the
    /// whole fleet each entry would place work without the others' load until it discovered them.
    pub fn set_listed(&mut self, addresses: &[SocketAddr], random: &mut impl Rng) -> Vec<Datagram> {
        self.listed = addresses.iter().copied().collect();
        let alive = self.peers.values().filter(|it| it.state != State::Dead);
        let alive: BTreeSet<SocketAddr> = alive.map(|it| it.member.peer_address).collect();
        // Dead members are probed again while they are listed, because after a network partition
        // each side considers the other dead.
        let is_silent = |it: &&SocketAddr| **it != self.local.peer_address && !alive.contains(*it);
        let mut silent: Vec<SocketAddr> = addresses.iter().filter(is_silent).copied().collect();
        silent.shuffle(random);
        let targets = silent[..silent.len().min(JOIN_PROBE_LIMIT)].to_vec();
        self.silent = silent.into();
        targets.into_iter().map(|to| self.join_probe(to)).collect()
    }

    /// Returns a probe to the next address at which no member is known to be alive. An earlier probe may
    /// have been lost, or sent before the other entry was listening. Probing goes on, because an entry
    /// that starts while the platform is unavailable knows no others.
    pub(super) fn probe_next_silent(&mut self) -> Option<Datagram> {
        let to = self.silent.pop_front()?;
        self.silent.push_back(to);
        Some(self.join_probe(to))
    }

    /// Lets an address at which a member died be probed, if it is on the platform's list.
    pub(super) fn probe_if_listed(&mut self, address: SocketAddr) {
        if self.listed.contains(&address) && !self.silent.contains(&address) {
            self.silent.push_back(address);
        }
    }

    /// Returns a probe to an address, so that a member there describes itself in its reply.
    fn join_probe(&mut self, to: SocketAddr) -> Datagram {
        let sequence = self.next_sequence();
        let message = self.message(Kind::Probe { sequence });
        Datagram { to, message }
    }
}
