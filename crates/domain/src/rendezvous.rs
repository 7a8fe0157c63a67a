//! Rendezvous hashing: every process that sees the same members picks the same one, and a member
//! that comes or goes moves only its own share.

use crate::digest;

/// Returns the weight of `member` for `subject`. The member with the highest weight is its home.
pub fn weight(subject: &[u8], member: &[u8]) -> u64 {
    digest::seeded(member, digest::fast(subject))
}
