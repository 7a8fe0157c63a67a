//! The member that serves a request in place of this entry, which reaches no backend server.

use domain::Homes;
use domain::key::Incarnation;
use rand::Rng;
use rand::RngExt;

use super::Members;
use crate::member::Member;
use crate::member::Phase;

impl Members {
    /// Returns a random member that can serve a request in place of this entry, other than those in
    /// `tried`: one that callers are directed to if possible, and of the own data centre if possible.
    /// Members with more capacity are chosen more often. A request with home regions is only passed on to
    /// members in these or in the own region.
    pub fn delegate(
        &self,
        tried: &[Incarnation],
        homes: &Homes,
        random: &mut impl Rng,
    ) -> Option<&Member> {
        let is_possible = |it: &&Member| {
            it.phase == Phase::Ready
                && it.relay_address.is_some()
                && it.incarnation != self.local.incarnation
                && !tried.contains(&it.incarnation)
                && (self.is_near(it) || homes.permit(&self.regions, &it.data_centre))
        };
        let mut members: Vec<&Member> = self.subset().into_iter().filter(is_possible).collect();
        if members.is_empty() {
            members = self.responsive().filter(is_possible).collect();
        }
        if members.is_empty() {
            // A suspect may only be slow, since it serves the requests of many others.
            members = self.alive().filter(is_possible).collect();
        }
        let own = self.local.data_centre.as_str();
        if members.iter().any(|it| it.data_centre == own) {
            members.retain(|it| it.data_centre == own);
        }
        let capacity = |it: &Member| u64::from(it.capacity.max(1));
        let total: u64 = members.iter().map(|it| capacity(it)).sum();
        let mut drawn = random.random_range(0..total.max(1));
        members.into_iter().find(|it| {
            let is_drawn = drawn < capacity(it);
            drawn = drawn.saturating_sub(capacity(it));
            is_drawn
        })
    }

    /// Returns whether a member is in the own region.
    fn is_near(&self, member: &Member) -> bool {
        let own = &self.local.data_centre;
        let region = self.regions.region(own);
        member.data_centre == *own
            || region.is_some_and(|it| self.regions.region(&member.data_centre) == Some(it))
    }
}
