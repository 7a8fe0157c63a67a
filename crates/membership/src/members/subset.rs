//! The subset of the members that callers are directed to.
//!
//! Each member that serves callers tells all others that do what it places, so the traffic between them
//! grows with the square of their number. A large fleet therefore directs callers to as few members as
//! its load needs, those with the most processor capacity. The others stay ready: they replace members
//! of the subset as soon as these are suspect, leave or die. All members with the same view choose the
//! same subset, so nobody decides for the others.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use domain::key::Incarnation;
use domain::rendezvous;

use super::Members;
use crate::member::Member;
use crate::member::Origin;
use crate::member::Phase;

/// The least share of the fleet's processor capacity in the subset.
const CAPACITY_SHARE: f64 = 0.2;
/// The least number of members in the subset. Fleets up to this size use all their members.
const MIN_COUNT: usize = 12;
/// The same if the members that would be added have less than half of the capacity of the others.
const MIN_STRONG_COUNT: usize = 6;
/// The least number of addresses in an answer to a caller.
const MIN_ADDRESSES: usize = 4;
/// The subject of the rendezvous weights that rank members with equal capacity.
const SUBJECT: &[u8] = b"subset";

impl Members {
    /// Returns the members that callers are directed to. Each region has its own, since callers are directed to
    /// members of their region.
    pub fn subset(&self) -> Vec<&Member> {
        let ranked = in_order(self.responsive());
        if !self.regions.has_several() {
            return strongest(ranked);
        }
        let mut groups: BTreeMap<Option<&str>, Vec<&Member>> = BTreeMap::new();
        for member in ranked {
            let region = self.regions.region(&member.data_centre);
            groups.entry(region).or_default().push(member);
        }
        in_order(groups.into_values().flat_map(strongest))
    }

    /// Returns the members of the subset to name in an answer to a caller. Callers choose among them
    /// with equal probability, so members with less capacity are in fewer answers. The answers of one
    /// member agree with each other, so that callers can keep their connections. If the caller's region has a
    /// member that serves callers, only its members are named, those of the caller's data centre first.
    pub fn directed(&self, origin: &Origin) -> Vec<&Member> {
        let mut subset = self.subset();
        let own_region = origin.region.as_deref();
        if let Some(region) = own_region.filter(|_| self.regions.has_several()) {
            let is_near = |it: &&Member| self.regions.region(&it.data_centre) == Some(region);
            if subset.iter().any(is_near) {
                subset.retain(is_near);
            }
            // The sort is stable.
            subset.sort_by_key(|it| origin.data_centre.as_ref() != Some(&it.data_centre));
        }
        let strongest = subset.iter().map(|it| capacity(it)).fold(0.0, f64::max);
        let is_named = |it: &Member| {
            let drawn = weight(self.local.name.as_bytes(), it) as f64 / u64::MAX as f64;
            drawn * strongest < capacity(it)
        };
        let rest = subset.split_off(subset.len().min(MIN_ADDRESSES));
        subset.extend(rest.into_iter().filter(|it| is_named(it)));
        subset
    }

    /// Returns whether callers are directed to a member.
    pub fn is_directed_to(&self, incarnation: Incarnation) -> bool {
        let subset = self.subset();
        subset.iter().any(|it| it.incarnation == incarnation)
    }

    /// Returns the number of members that share what the whole fleet may do, such as retries: those in
    /// the subset, and as many more as the members that this one does not reach may use.
    pub fn sharers(&self) -> usize {
        let alive = self.alive().count();
        (self.subset().len().max(1) * self.expected()).div_ceil(alive)
    }

    /// Returns the rank of this entry among those that can do a duty for all, from 0: those with the most
    /// capacity come first. Entries that are starting count, so that the ranks differ from the start.
    pub fn rank(&self) -> usize {
        let staying = self.unsuspected().filter(|it| it.phase != Phase::Leaving);
        let ordered = in_order(staying);
        let own = self.local.incarnation;
        let position = ordered.iter().position(|it| it.incarnation == own);
        position.unwrap_or(ordered.len())
    }
}

/// Returns the first of the members, in their order, that have enough capacity for the load of all of them.
fn strongest(mut ranked: Vec<&Member>) -> Vec<&Member> {
    let required = CAPACITY_SHARE * ranked.iter().map(|it| capacity(it)).sum::<f64>();
    let strongest = ranked.first().map_or(0.0, |it| capacity(it));
    let mut sum = 0.0;
    let is_enough = |index: usize, sum: f64, next: &Member| {
        let is_weak = capacity(next) < strongest / 2.0;
        let min_count = if is_weak { MIN_STRONG_COUNT } else { MIN_COUNT };
        index >= min_count && sum >= required
    };
    let size = ranked.iter().enumerate().position(|(index, member)| {
        let is_complete = is_enough(index, sum, member);
        sum += capacity(member);
        is_complete
    });
    ranked.truncate(size.unwrap_or(ranked.len()));
    ranked
}

/// Sorts members, those with the most capacity first. Among equal ones the data centres take turns.
fn in_order<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
    let mut ordered: Vec<&Member> = members.collect();
    ordered.sort_by_cached_key(|it| (Reverse(it.capacity), weight(SUBJECT, it)));
    let mut turns: BTreeMap<(u32, &str), usize> = BTreeMap::new();
    let mut in_turn: Vec<(usize, &Member)> = Vec::with_capacity(ordered.len());
    for member in ordered {
        let turn = turns.entry((member.capacity, member.data_centre.as_str()));
        let turn = turn.or_default();
        *turn += 1;
        in_turn.push((*turn, member));
    }
    // The sort is stable.
    in_turn.sort_by_key(|(turn, member)| (Reverse(member.capacity), *turn));
    in_turn.into_iter().map(|it| it.1).collect()
}

/// Returns the capacity of a member in thousandths of a core. Members that do not know theirs count as
/// equal.
fn capacity(member: &Member) -> f64 {
    f64::from(member.capacity.max(1))
}

/// Returns the rendezvous weight of a member, which a restart of its instance does not change.
fn weight(subject: &[u8], member: &Member) -> u64 {
    rendezvous::weight(subject, member.name.as_bytes())
}
