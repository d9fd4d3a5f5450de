//! Derives from a copy of the durable state what the freshness rule uses of it: the head's number and
//! the views.

use {
    base::MemberId,
    freshness::{HeldHead, MemberSet},
    peer::{ClusterState, ViewChange},
};

/// Returns the held head with all views that some node may still be current on. The earlier views are
/// reconstructed from the present one, by undoing the chain of changes from the newest to the oldest.
pub fn held_head(state: &ClusterState) -> HeldHead {
    let chain = &state.chain;
    let mut members: Vec<MemberId> =
        state.view.members.iter().map(|row| row.member.clone()).collect();
    members.sort();
    let mut views = vec![MemberSet {
        number: state.view.number,
        since: chain.changes.last().map_or(chain.oldest, |change| change.since),
        members,
    }];
    for (index, change) in chain.changes.iter().enumerate().rev() {
        let since = match index.checked_sub(1) {
            Some(previous) => chain.changes[previous].since,
            None => chain.oldest,
        };
        let after = views.last().expect("never empty");
        views.push(view_before(after, change, since));
    }
    let view = views.remove(0);
    views.reverse();
    HeldHead { number: state.head.number, view, older: views, ended: ended_members(chain) }
}

fn view_before(after: &MemberSet, change: &ViewChange, since: base::HeadNumber) -> MemberSet {
    let kept = after.members.iter().filter(|member| !change.joined.contains(member));
    let left = change.left.iter().map(|left| &left.member);
    let mut members: Vec<MemberId> = kept.chain(left).cloned().collect();
    members.sort();
    MemberSet { number: base::ViewNumber(change.view.0.saturating_sub(1)), since, members }
}

fn ended_members(chain: &peer::ViewChain) -> Vec<MemberId> {
    let left = chain.changes.iter().flat_map(|change| &change.left);
    let ended_at_removal = left.filter(|left| left.reason.has_ended()).map(|left| &left.member);
    let ended_later = chain.changes.iter().flat_map(|change| &change.ended);
    ended_at_removal.chain(ended_later).cloned().collect()
}
