//! Detects members that stopped without leaving the view.
//!
//! Contact with a member is a report that it sent to this node, or one that it sent to another member
//! and that this node knows of from that member's reports. A member is unresponsive if its last
//! contact is older than a limit.

use {
    base::{MemberId, Tick},
    infra::{HostEntry, HostRole, HostStanding},
    peer::{ClusterState, LeaveReason, LeftMember},
    std::{collections::BTreeMap, time::Duration},
};

/// A member without contact for this long is removed from the view.
pub const CONTACT_LIMIT: Duration = Duration::from_secs(10);
/// The same limit for a member whose host is no longer in the host list.
const UNLISTED_LIMIT: Duration = Duration::from_secs(3);
/// A member counts as connected to this node if its last contact is not older than this.
const CONNECTED_LIMIT: Duration = Duration::from_secs(5);

/// Whether a member's host is in the host list as an entry host. A list without any entry host, as
/// before the first read, is no evidence, and every member counts as listed.
pub fn is_listed(hosts: &[HostEntry], member: &MemberId) -> bool {
    let mut entries = hosts.iter().filter(|entry| entry.role == HostRole::Entry).peekable();
    entries.peek().is_none() || entries.any(|entry| entry.host == member.host)
}

/// Whether the host list marks a member's host as leaving the deployment.
pub fn is_leaving(hosts: &[HostEntry], member: &MemberId) -> bool {
    let entry = hosts.iter().find(|entry| entry.host == member.host);
    entry.is_some_and(|entry| entry.standing == HostStanding::Leaving)
}

/// When each member of the view was last in contact with this node, directly or through reports of
/// other members.
#[derive(Debug, Default)]
pub struct ContactLog {
    last_contacts: BTreeMap<MemberId, Tick>,
}

impl ContactLog {
    /// Applies the reports of peers, and drops members that have left the view. A member that is new
    /// to the log counts as in contact at `now`.
    pub fn update(
        &mut self,
        state: &ClusterState,
        now: Tick,
        last_report_tick: impl Fn(&MemberId) -> Option<Tick>,
    ) {
        self.last_contacts.retain(|member, _| state.view.position(member).is_some());
        for row in &state.view.members {
            let contact = self.last_contacts.entry(row.member.clone()).or_insert(now);
            *contact = (*contact).max(last_report_tick(&row.member).unwrap_or_default());
        }
    }

    /// Records that a member answered a request of this node that was sent at `tick`. Members not in
    /// the log are ignored.
    pub fn record_contact(&mut self, member: &MemberId, tick: Tick) {
        if let Some(contact) = self.last_contacts.get_mut(member) {
            *contact = tick.max(*contact);
        }
    }

    /// The last contact with a member; `None` if it was not in the view at the last update.
    pub fn last(&self, member: &MemberId) -> Option<Tick> {
        self.last_contacts.get(member).copied()
    }

    /// Members whose last contact is older than the limit that applies to them.
    ///
    /// Empty if this node is not connected to a majority of the members itself: then it is more likely
    /// that this node is cut off than that the others stopped.
    pub fn unresponsive(
        &self,
        state: &ClusterState,
        hosts: &[HostEntry],
        me: &MemberId,
        now: Tick,
    ) -> Vec<UnresponsiveMember> {
        let connected = self.is_connected_to_majority(state, me, now);
        let others = state.view.members.iter().map(|row| &row.member).filter(|m| *m != me);
        others
            .filter_map(|member| {
                let since_contact = now.since(self.last(member).unwrap_or(now));
                let (reason, limit) = match is_listed(hosts, member) {
                    true => (LeaveReason::Silent, CONTACT_LIMIT),
                    false => (LeaveReason::Gone, UNLISTED_LIMIT),
                };
                let overdue = since_contact.checked_sub(limit)?;
                let left = LeftMember { member: member.clone(), reason };
                connected.then_some(UnresponsiveMember { left, overdue })
            })
            .collect()
    }

    fn is_connected_to_majority(&self, state: &ClusterState, me: &MemberId, now: Tick) -> bool {
        let members = state.view.members.iter().map(|row| &row.member);
        let is_connected = |member: &&MemberId| {
            *member == me || self.last(member).is_some_and(|t| now.since(t) <= CONNECTED_LIMIT)
        };
        members.filter(is_connected).count() >= state.view.majority()
    }
}

/// A member to be removed from the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnresponsiveMember {
    /// The member, and the reason that is written into the view's changes.
    pub left: LeftMember,
    /// How long the time without contact exceeds the limit. Each node that detects the unresponsive
    /// member waits until this reaches a delay of its own, so that not all write the same removal.
    pub overdue: Duration,
}
