//! The members that an entry tells what it places.
//!
//! Those are the members of the subset that callers are directed to, and whoever has told this entry
//! something lately. So an entry outside the subset that still serves callers, or one that others don't
//! yet count in, hears of the others' work as soon as it tells them of its own.

use core::net::SocketAddr;
use std::collections::BTreeMap;
use std::time::Duration;

use domain::Moment;

use crate::Members;

/// The time for which an entry is told of others' work after it told of its own.
const INTEREST_TIME: Duration = Duration::from_secs(5);

/// The peer addresses that an entry tells what it places.
#[derive(Clone, Debug, Default)]
pub struct Audience {
    /// The other members of the subset.
    subset: Vec<SocketAddr>,
    /// Whether this entry belongs to the subset.
    is_in_subset: bool,
    /// When entries last told this one of their work.
    heard: BTreeMap<SocketAddr, Moment>,
    /// When this entry last told others of its work.
    told_at: Option<Moment>,
}

impl Audience {
    /// Adopts the current subset. Returns the addresses that are new in the audience, which don't know
    /// this entry's work yet.
    pub fn refresh(&mut self, now: Moment, members: &Members) -> Vec<SocketAddr> {
        self.heard.retain(|_, it| now.since(*it) < INTEREST_TIME);
        let local = members.local().peer_address;
        let subset = members.subset();
        self.is_in_subset = subset.iter().any(|it| it.peer_address == local);
        let others = subset.iter().map(|it| it.peer_address);
        let others: Vec<SocketAddr> = others.filter(|it| *it != local).collect();
        let is_new = |it: &&SocketAddr| !self.subset.contains(it) && !self.heard.contains_key(it);
        let added = others.iter().filter(is_new).copied().collect();
        self.subset = others;
        added
    }

    /// Records that an entry told this one of its work. Returns whether it is new in the audience. An
    /// address that belongs to no member is ignored, since nothing else may make this entry send to it.
    pub fn record_heard(&mut self, now: Moment, peer: SocketAddr, members: &Members) -> bool {
        if !self.heard.contains_key(&peer) && !members.alive().any(|it| it.peer_address == peer) {
            return false;
        }
        let is_known = self.heard.insert(peer, now).is_some();
        !is_known && !self.subset.contains(&peer)
    }

    /// Records that this entry placed work.
    pub fn record_told(&mut self, now: Moment) {
        self.told_at = Some(now);
    }

    /// Returns whether this entry takes part: it belongs to the subset or placed work lately.
    pub fn is_participant(&self, now: Moment) -> bool {
        let is_recent = |it: Moment| now.since(it) < INTEREST_TIME;
        self.is_in_subset || self.told_at.is_some_and(is_recent)
    }

    /// Returns the addresses to tell of this entry's work.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let heard = self.heard.keys().filter(|it| !self.subset.contains(it));
        self.subset.iter().chain(heard).copied()
    }
}
