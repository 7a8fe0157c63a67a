//! Probes of the other members, direct ones and those through others.

use core::net::SocketAddr;

use domain::Moment;
use domain::key::Incarnation;
use rand::Rng;
use rand::RngExt;
use rand::seq::IteratorRandom;
use rand::seq::SliceRandom;

use super::ACK_TIMEOUT;
use super::Members;
use super::Output;
use super::Probe;
use crate::member::State;
use crate::message::Datagram;
use crate::message::Kind;

/// The number of members that are asked to probe another one indirectly.
const HELPER_COUNT: usize = 2;

/// The number of probes at a time while many members are suspect.
const MAX_PROBE_COUNT: usize = 12;

/// The number of other members of the own data centre from which on probes and announcements prefer them.
pub(super) const MIN_NEAR_COUNT: usize = 12;
/// The share of probes that go to members of the own data centre then.
const NEAR_SHARE: f64 = 0.75;

/// The members that were not yet probed in the current rounds, in random order.
#[derive(Debug, Default)]
pub struct Order {
    /// Of the round over all members.
    all: Vec<Incarnation>,
    /// Of the round over those of the own data centre.
    near: Vec<Incarnation>,
}

/// The members among which the next one to be probed is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// All others, in rounds.
    All,
    /// Those of the own data centre, in rounds.
    Near,
    /// Those that callers are directed to. Others take the place of those that are suspect, and may have
    /// failed too, so there are no rounds.
    Subset,
}

impl Members {
    /// Handles the probes that were not acknowledged in time.
    pub(super) fn check_probes(&mut self, now: Moment, random: &mut impl Rng, output: &mut Output) {
        let overdue = self
            .probes
            .iter()
            .filter(|(_, it)| now.since(it.sent) >= ACK_TIMEOUT);
        let overdue: Vec<u64> = overdue.map(|(sequence, _)| *sequence).collect();
        for sequence in overdue {
            let Some(probe) = self.probes.remove(&sequence) else {
                continue;
            };
            let Some(peer) = self.peers.get(&probe.target) else {
                continue;
            };
            let target = peer.member.peer_address;
            if probe.is_indirect {
                self.suspect(now, probe.target, output);
                continue;
            }
            let helpers = self.peers.values().filter(|it| it.state == State::Alive);
            let helpers = helpers.filter(|it| it.member.incarnation != probe.target);
            let mut helpers: Vec<SocketAddr> = helpers.map(|it| it.member.peer_address).collect();
            helpers.shuffle(random);
            for to in helpers.into_iter().take(HELPER_COUNT) {
                let message = self.message(Kind::ProbeFor { sequence, target });
                output.datagrams.push(Datagram { to, message });
            }
            let message = self.message(Kind::Probe { sequence });
            output.datagrams.push(Datagram {
                to: target,
                message,
            });
            self.probes.insert(
                sequence,
                Probe {
                    sent: now,
                    is_indirect: true,
                    ..probe
                },
            );
        }
    }

    /// Probes the next members in random order.
    pub(super) fn probe(&mut self, now: Moment, random: &mut impl Rng, output: &mut Output) {
        let count = self.probe_count();
        if count == 1 {
            let scope = self.usual_scope(random);
            return self.probe_next(now, scope, random, output);
        }
        for index in 0..count {
            let scope = if index % 2 == 0 {
                Scope::All
            } else {
                Scope::Subset
            };
            self.probe_next(now, scope, random, output);
        }
    }

    /// Returns the number of members to probe now. If members are suspect, others may have failed with
    /// them, which is found sooner by more probes.
    fn probe_count(&self) -> usize {
        let suspects = self
            .peers
            .values()
            .filter(|it| it.state == State::Suspect)
            .count();
        (1 + suspects).min(MAX_PROBE_COUNT)
    }

    /// Returns the scope of a probe while no member is suspect: mostly the own data centre if it has many
    /// members, since the rumours on probes between data centres cost most.
    fn usual_scope(&self, random: &mut impl Rng) -> Scope {
        let alive = self.peers.values().filter(|it| it.state != State::Dead);
        let near = alive.filter(|it| it.member.data_centre == self.local.data_centre);
        if near.count() >= MIN_NEAR_COUNT && random.random::<f64>() < NEAR_SHARE {
            return Scope::Near;
        }
        Scope::All
    }

    fn probe_next(
        &mut self,
        now: Moment,
        scope: Scope,
        random: &mut impl Rng,
        output: &mut Output,
    ) {
        let Some(target) = self.next_target(scope, random) else {
            return;
        };
        let Some(to) = self.peers.get(&target).map(|it| it.member.peer_address) else {
            return;
        };
        let sequence = self.next_sequence();
        self.probes.insert(
            sequence,
            Probe {
                target,
                sent: now,
                is_indirect: false,
            },
        );
        let message = self.message(Kind::Probe { sequence });
        output.datagrams.push(Datagram { to, message });
    }

    /// Returns the member to probe next.
    fn next_target(&mut self, scope: Scope, random: &mut impl Rng) -> Option<Incarnation> {
        let own = &self.local;
        let round = match scope {
            Scope::All => &mut self.probe_order.all,
            Scope::Near => &mut self.probe_order.near,
            Scope::Subset => {
                let subset = self.subset().into_iter();
                let others = subset.filter(|it| it.incarnation != own.incarnation);
                return others.choose(random).map(|it| it.incarnation);
            }
        };
        while let Some(target) = round.pop() {
            if self
                .peers
                .get(&target)
                .is_some_and(|it| it.state != State::Dead)
            {
                return Some(target);
            }
        }
        let alive = self.peers.values().filter(|it| it.state != State::Dead);
        let members = alive.map(|it| &it.member);
        let eligible =
            members.filter(|it| scope == Scope::All || it.data_centre == own.data_centre);
        round.extend(eligible.map(|it| it.incarnation));
        round.shuffle(random);
        round.pop()
    }
}
