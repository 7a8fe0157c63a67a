//! Queries of the members as this entry sees them.

use domain::key::Incarnation;
use domain::rendezvous;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::Members;
use super::Peer;
use crate::member::Member;
use crate::member::Phase;
use crate::member::State;

impl Members {
    /// Returns the expected number of entries, which is the larger of the numbers of listed and of
    /// alive entries.
    pub fn expected(&self) -> usize {
        self.listed.len().max(self.alive().count())
    }

    /// Returns the number of entries that are neither dead nor suspect, this one included. An entry that is
    /// cut off has fewer of them sooner than if suspects counted.
    pub fn responding(&self) -> usize {
        self.unsuspected().count()
    }

    /// Returns all members that are not dead, including suspects, this entry first.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        let others = self.peers.values().filter(|it| it.state != State::Dead);
        std::iter::once(&self.local).chain(others.map(|it| &it.member))
    }

    /// Returns the members that are ready for callers, this entry first if it is ready.
    pub fn ready(&self) -> impl Iterator<Item = &Member> {
        self.alive().filter(|it| it.phase == Phase::Ready)
    }

    /// Returns the members that are ready for callers and not suspect, this entry first if it is
    /// ready. If there are none, isolated ones take their place: no other member would serve better.
    pub fn responsive(&self) -> impl Iterator<Item = &Member> {
        let is_ready = |it: &Member| it.phase == Phase::Ready;
        let phase = match self.unsuspected().any(is_ready) {
            true => Phase::Ready,
            false => Phase::Isolated,
        };
        self.unsuspected().filter(move |it| it.phase == phase)
    }

    /// Returns whether the member with this incarnation is not dead.
    pub fn is_alive(&self, incarnation: Incarnation) -> bool {
        self.alive().any(|it| it.incarnation == incarnation)
    }

    /// Returns whether the member with this incarnation is neither dead nor suspect.
    pub fn is_unsuspected(&self, incarnation: Incarnation) -> bool {
        self.unsuspected().any(|it| it.incarnation == incarnation)
    }

    /// Returns the members that are neither dead nor suspect, this entry first.
    pub(super) fn unsuspected(&self) -> impl Iterator<Item = &Member> {
        let is_alive = |it: &&Peer| it.state == State::Alive;
        let others = self.peers.values().filter(is_alive).map(|it| &it.member);
        std::iter::once(&self.local).chain(others)
    }

    /// Returns up to `count` random other members that have started and are not dead.
    pub fn sample(&self, count: usize, random: &mut impl Rng) -> Vec<&Member> {
        let others = self.alive().skip(1);
        others
            .filter(|it| it.phase != Phase::Starting)
            .sample(random, count)
    }

    /// Returns the member with this incarnation if it is not dead.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        self.alive().find(|it| it.incarnation == incarnation)
    }

    /// Returns whether this entry is the one of those alive that rendezvous hashing chooses for a
    /// subject. Entries with different views may each be the one.
    pub fn is_owner(&self, subject: u64) -> bool {
        let weight = |it: &Member| rendezvous::weight(&subject.to_le_bytes(), it.name.as_bytes());
        let own = weight(&self.local);
        self.alive().all(|it| weight(it) <= own)
    }
}
