//! The table service: holds the newest state and changes it only by conditional writes.

use {
    base::{HeadNumber, HostId, Incarnation, MemberId},
    freshness::{HeldHead, MemberSet},
    std::sync::Arc,
};

/// A change of the state that a process writes.
#[derive(Clone, Debug)]
pub(crate) enum Change {
    /// An operator's ticket; leaves the members as they are.
    Ticket,
    /// A new process on a host becomes a member and replaces the host's earlier one.
    Join { host: HostId },
    /// A member has ended and never answers again.
    End { member: MemberId },
    /// A member is considered dead and removed, but may still be running.
    DeclareDead { member: MemberId },
}

/// A write that is committed only if the state's number is still `expects`.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub(crate) expects: HeadNumber,
    /// The newest head that the writer has found in force.
    pub(crate) in_force: HeadNumber,
    pub(crate) change: Change,
}

/// The durable state, and the last incarnation of each host.
pub(crate) struct Table {
    state: Arc<HeldHead>,
    incarnations: Vec<(HostId, Incarnation)>,
}

impl Table {
    /// Creates a state with one member for each host.
    pub(crate) fn new(hosts: &[HostId]) -> Self {
        let first = Incarnation(1);
        let members = hosts.iter().map(|host| member(host, first)).collect();
        let since = HeadNumber(1);
        let view = MemberSet { number: base::ViewNumber(1), since, members };
        let state = HeldHead { number: since, view, older: Vec::new(), ended: Vec::new() };
        let incarnations = hosts.iter().map(|host| (host.clone(), first)).collect();
        Self { state: Arc::new(state), incarnations }
    }

    pub(crate) fn state(&self) -> &Arc<HeldHead> {
        &self.state
    }

    /// Commits the write if the state is still the one it expects, and returns the member that joined
    /// by it, if any. `None` if the write failed.
    pub(crate) fn commit(&mut self, write: &Write) -> Option<Option<MemberId>> {
        if write.expects != self.state.number {
            return None;
        }
        let mut next = HeldHead::clone(&self.state);
        next.number = next.number.next();
        let joined = match &write.change {
            Change::Ticket => None,
            Change::Join { host } => Some(self.join(&mut next, host, write.in_force)),
            Change::End { member } => {
                leave(&mut next, member, write.in_force);
                next.ended.push(member.clone());
                None
            }
            Change::DeclareDead { member } => {
                leave(&mut next, member, write.in_force);
                None
            }
        };
        self.state = Arc::new(next);
        Some(joined)
    }

    fn join(&mut self, next: &mut HeldHead, host: &HostId, in_force: HeadNumber) -> MemberId {
        let entry = self.incarnations.iter_mut().find(|(known, _)| known == host);
        let entry = entry.expect("every host has an entry");
        let before = member(host, entry.1);
        entry.1 = entry.1.next();
        let after = member(host, entry.1);
        change_view(next, in_force, |members| {
            members.retain(|member| member.host != *host);
            members.push(after.clone());
        });
        next.ended.push(before);
        after
    }
}

fn leave(next: &mut HeldHead, member: &MemberId, in_force: HeadNumber) {
    change_view(next, in_force, |members| members.retain(|known| known != member));
}

fn change_view(next: &mut HeldHead, in_force: HeadNumber, change: impl FnOnce(&mut Vec<MemberId>)) {
    let before = next.view.clone();
    change(&mut next.view.members);
    next.view.members.sort();
    next.view.number = before.number.next();
    next.view.since = next.number;
    next.older.push(before);
    // A view is dropped once its successor is known to be in force.
    let since: Vec<HeadNumber> = next.views().skip(1).map(|view| view.since).collect();
    let known = since.iter().take_while(|since| **since <= in_force).count();
    next.older.drain(..known);
    let HeldHead { older, ended, .. } = next;
    ended.retain(|member| older.iter().any(|view| view.position(member).is_some()));
}

pub(crate) fn member(host: &HostId, incarnation: Incarnation) -> MemberId {
    MemberId { host: host.clone(), incarnation }
}
