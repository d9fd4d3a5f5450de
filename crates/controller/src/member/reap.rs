//! Which members have ended without saying so.

use {
    base::{MemberId, Tick},
    infra::{HostEntry, HostRole, HostStanding},
    peer::{ClusterState, LeaveReason, LeftMember},
    std::{collections::BTreeMap, time::Duration},
};

/// Silence towards everybody after which a member is taken out of the view.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(10);
/// Silence after which a member whose host the host list dropped is taken out of the view.
const GONE_LIMIT: Duration = Duration::from_secs(3);
/// Age of a word that still shows that its member is well connected to this node.
const CONNECTED_LIMIT: Duration = Duration::from_secs(5);

/// Whether an entry host is alive by the host list; true where the list shows no entry hosts.
pub fn is_listed(hosts: &[HostEntry], member: &MemberId) -> bool {
    let mut entries = hosts.iter().filter(|entry| entry.role == HostRole::Entry).peekable();
    entries.peek().is_none() || entries.any(|entry| entry.host == member.host)
}

/// Whether the host list shows that an entry host is about to leave.
pub fn is_leaving(hosts: &[HostEntry], member: &MemberId) -> bool {
    let entry = hosts.iter().find(|entry| entry.host == member.host);
    entry.is_some_and(|entry| entry.standing == HostStanding::Leaving)
}

/// When each member was last heard, directly or through others.
#[derive(Debug, Default)]
pub struct HearingLog {
    heard: BTreeMap<MemberId, Tick>,
}

impl HearingLog {
    /// Takes in that a member was alive at `tick`; a member seen for the first time counts as heard
    /// at `now`.
    pub fn update(
        &mut self,
        state: &ClusterState,
        now: Tick,
        last_report_tick: impl Fn(&MemberId) -> Option<Tick>,
    ) {
        self.heard.retain(|member, _| state.view.position(member).is_some());
        for row in &state.view.members {
            let heard = self.heard.entry(row.member.clone()).or_insert(now);
            *heard = (*heard).max(last_report_tick(&row.member).unwrap_or_default());
        }
    }

    /// Takes in a direct answer of a member.
    pub fn heard(&mut self, member: &MemberId, tick: Tick) {
        if let Some(heard) = self.heard.get_mut(member) {
            *heard = tick.max(*heard);
        }
    }

    /// When a member was last heard.
    pub fn last(&self, member: &MemberId) -> Option<Tick> {
        self.heard.get(member).copied()
    }

    /// Members to take out of the view, with how long each has been due.
    ///
    /// A node that does not hear a majority itself finds nobody silent: it is the one cut off.
    pub fn ended(
        &self,
        state: &ClusterState,
        hosts: &[HostEntry],
        me: &MemberId,
        now: Tick,
    ) -> Vec<EndedMember> {
        let connected = self.hears_majority(state, me, now);
        let others = state.view.members.iter().map(|row| &row.member).filter(|m| *m != me);
        others
            .filter_map(|member| {
                let silent = now.since(self.last(member).unwrap_or(now));
                let (reason, limit) = match is_listed(hosts, member) {
                    true => (LeaveReason::Silent, SILENCE_LIMIT),
                    false => (LeaveReason::Gone, GONE_LIMIT),
                };
                let due = silent.checked_sub(limit)?;
                let left = LeftMember { member: member.clone(), reason };
                connected.then_some(EndedMember { left, due })
            })
            .collect()
    }

    fn hears_majority(&self, state: &ClusterState, me: &MemberId, now: Tick) -> bool {
        let members = state.view.members.iter().map(|row| &row.member);
        let hears = |member: &&MemberId| {
            *member == me || self.last(member).is_some_and(|t| now.since(t) <= CONNECTED_LIMIT)
        };
        members.filter(hears).count() >= state.view.majority()
    }
}

/// A member that has ended, and for how long that has been known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedMember {
    /// The member and why it leaves.
    pub left: LeftMember,
    /// Time since it was due to leave.
    pub due: Duration,
}
