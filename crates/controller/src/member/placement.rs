//! Assigns keys, such as ids of fabric domains, to members by rendezvous hashing: each member has a
//! pseudo-random weight for each key, and the member with the greatest weight is responsible. When a
//! member leaves, only its own keys move.

use base::{MemberId, placement_weight};

/// The member with the greatest weight for `key`; `None` if there are no members.
pub fn responsible_member<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a MemberId>,
) -> Option<&'a MemberId> {
    members.into_iter().max_by_key(|member| (placement_weight(key, &member.host), *member))
}

/// Number of members with a greater weight for `key` than `me`; 0 for the responsible member.
pub fn placement_rank<'a>(
    key: &str,
    me: &MemberId,
    members: impl IntoIterator<Item = &'a MemberId>,
) -> usize {
    let order = |member: &MemberId| (placement_weight(key, &member.host), member.clone());
    let own = order(me);
    members.into_iter().filter(|member| order(member) > own).count()
}
