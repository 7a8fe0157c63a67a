//! Who there is, as one entry sees it.

use domain::key::Incarnation;

use super::Known;
use super::Members;
use crate::member::Member;
use crate::member::Phase;
use crate::member::State;

impl Members {
    /// Returns the number of entries that there should be: those listed or those alive, whichever
    /// is more.
    pub fn expected(&self) -> usize {
        self.listed.max(self.alive().count())
    }

    /// Returns all members that are not held dead, this entry first.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        let others = self.known.values().filter(|it| it.state != State::Dead);
        std::iter::once(&self.local).chain(others.map(|it| &it.member))
    }

    /// Returns the members that callers may be sent to, this entry first.
    pub fn ready(&self) -> impl Iterator<Item = &Member> {
        self.alive().filter(|it| it.phase == Phase::Ready)
    }

    /// Returns the members that callers may be sent to and that answered lately, this entry first.
    pub fn responsive(&self) -> impl Iterator<Item = &Member> {
        let answer = |it: &&Known| it.state == State::Alive;
        let others = self.known.values().filter(answer).map(|it| &it.member);
        let all = std::iter::once(&self.local).chain(others);
        all.filter(|it| it.phase == Phase::Ready)
    }

    /// Returns a member that is not held dead.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        self.alive().find(|it| it.incarnation == incarnation)
    }

    /// Returns the place of this entry among those that answer, 0 for the first.
    pub fn rank(&self) -> usize {
        let own = self.local.incarnation;
        let others = self.responsive().filter(|it| it.incarnation < own);
        others.count()
    }
}
