//! What the head rule needs of a copy of the durable state.

use {
    base::MemberId,
    freshness::{HeldHead, MemberSet},
    peer::{ClusterState, ViewChange},
};

/// Works out the views that may still be in use by undoing the chain of changes.
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
            Some(before) => chain.changes[before].since,
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
    let gone = left.filter(|left| left.reason.is_end()).map(|left| &left.member);
    let ended = chain.changes.iter().flat_map(|change| &change.ended);
    gone.chain(ended).cloned().collect()
}
