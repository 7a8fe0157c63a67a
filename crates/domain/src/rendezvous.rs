//! Rendezvous hashing: processes with the same list of members choose the same one, and a member
//! that joins or leaves changes the choice only for its own subjects.

use crate::digest;

/// Returns the weight of `member` for `subject`. The member with the highest weight is chosen.
pub fn weight(subject: &[u8], member: &[u8]) -> u64 {
    digest::seeded(member, digest::fast(subject))
}
