//! Rendezvous hashing: every process that sees the same members picks the same one, and a member
//! that comes or goes moves only its own share.

use crate::digest;

/// Returns the weight of `member` for `subject`. The member with the highest weight is its home.
pub fn weight(subject: &[u8], member: &[u8]) -> u64 {
    digest::seeded(member, digest::fast(subject))
}

/// Returns the member with the highest weight for `subject`, or `None` without any members.
pub fn home<T: AsRef<[u8]>>(subject: &[u8], members: impl IntoIterator<Item = T>) -> Option<T> {
    members
        .into_iter()
        .max_by_key(|member| weight(subject, member.as_ref()))
}

/// Returns the members in falling order of their weight for `subject`.
pub fn ranking<T: AsRef<[u8]>>(subject: &[u8], members: impl IntoIterator<Item = T>) -> Vec<T> {
    let mut ranked: Vec<(u64, T)> = members
        .into_iter()
        .map(|member| (weight(subject, member.as_ref()), member))
        .collect();
    ranked.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    ranked.into_iter().map(|(_, member)| member).collect()
}
