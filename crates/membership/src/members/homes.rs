//! Homes: the member that is responsible for a subject, chosen by rendezvous hashing.

use std::cmp::Reverse;

use domain::key::Incarnation;
use domain::rendezvous;

use super::Members;
use crate::member::Member;
use crate::member::Phase;
use crate::member::State;

impl Members {
    /// Returns the home of `subject`. All members with the same view choose the same one.
    pub fn home(&self, subject: &[u8]) -> &Member {
        self.alive()
            .max_by_key(|it| weight(subject, it))
            .unwrap_or(&self.local)
    }

    /// Returns the home of `subject` among the members of a data centre, or among all members if
    /// there is none in the data centre.
    pub fn home_in(&self, data_centre: &str, subject: &[u8]) -> &Member {
        let near = self.alive().filter(|it| it.data_centre == data_centre);
        near.max_by_key(|it| weight(subject, it))
            .unwrap_or_else(|| self.home(subject))
    }

    /// Returns the members that may have taken over the state of `stopped`, the most likely one
    /// first.
    pub fn successors(&self, stopped: Incarnation) -> Vec<&Member> {
        let subject = stopped.0.to_be_bytes();
        let mut successors: Vec<&Member> = self.alive().collect();
        successors.retain(|it| it.phase != Phase::Leaving);
        successors.sort_by_key(|it| Reverse(weight(&subject, it)));
        successors
    }

    /// Returns whether this entry is the home of `subject` only because another one died recently.
    pub fn is_successor(&self, subject: &[u8]) -> bool {
        let own_weight = weight(subject, &self.local);
        let dead = self.peers.values().filter(|it| it.state == State::Dead);
        dead.map(|it| weight(subject, &it.member))
            .any(|it| it > own_weight)
    }
}

/// Returns the rendezvous weight of a member for `subject`. A restarted instance is another member.
fn weight(subject: &[u8], member: &Member) -> u64 {
    rendezvous::weight(subject, &member.incarnation.0.to_be_bytes())
}
