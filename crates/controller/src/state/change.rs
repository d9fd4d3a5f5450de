//! Changes of the durable state, each as the next state and the transaction that writes its rows.
//!
//! Each change gives the state head the next number and commits in one transaction, which expects the
//! version of the head row that the change is based on. So of several concurrent changes only one
//! takes effect.

use {
    crate::state::rows::{
        HEAD_KEY, VIEW_KEY, incarnation_key, member_key, object_key, owner_key, row_text,
        submission_key, ticket_key,
    },
    base::{HeadNumber, MemberId, RowVersion, Term, TicketNumber},
    conf::ticket::{AcceptedTicket, ChangeTicket, ObjectName},
    infra::Transaction,
    peer::{ClusterState, DomainOwner, LeaveReason, LeftMember, MemberRow, ViewChange},
};

/// A change of the durable state, computed from one state and only valid on top of it.
#[derive(Clone, Debug)]
pub struct StateChange {
    /// The state after the change.
    pub next: ClusterState,
    writes: Transaction,
    /// Whether the change makes a new view, so that the row with the view's changes is written too.
    members_changed: bool,
}

impl StateChange {
    /// Creates a change based on `state` that only increases the head's number.
    pub fn on(state: &ClusterState) -> Self {
        let mut next = state.clone();
        next.head.number = next.head.number.next();
        Self { next, writes: Transaction::default(), members_changed: false }
    }

    /// Builds the transaction. `version` is that of the head row that the base state was read with.
    ///
    /// Heads up to `in_force` are known to be in force, so no node is current on a view that was
    /// replaced by then. If the members changed, such views are dropped from the chain of changes.
    pub fn transaction(&mut self, version: RowVersion, in_force: HeadNumber) -> Transaction {
        if self.members_changed {
            self.forget_views(in_force);
        }
        let mut writes = self.writes.clone().expect(HEAD_KEY, version);
        if self.members_changed {
            writes = writes.put(VIEW_KEY, row_text(&self.next.chain));
        }
        writes.put(HEAD_KEY, row_text(&self.next.head))
    }

    /// Accepts a ticket under the next number, which it returns, and applies it to the desired state.
    /// The ticket must have a submission id.
    pub fn accept_ticket(&mut self, ticket: ChangeTicket) -> TicketNumber {
        let number = self.next.head.ticket.next();
        self.next.head.ticket = number;
        let submission = ticket.submission.clone().expect("checked before");
        let key = submission_key(&submission);
        let accepted = AcceptedTicket { number, submission, ticket };
        self.next.desired.apply(&accepted);
        self.edit(|writes| {
            writes
                .expect_absent(key.clone())
                .put(key, row_text(&number))
                .put(ticket_key(number), row_text(&accepted))
        });
        self.put_objects(&accepted.ticket);
        number
    }

    /// Adds a member to the view, and removes an earlier incarnation of its host.
    ///
    /// `nonce` identifies the process that joins, and `version` is that of the host's incarnation row
    /// as last read.
    pub fn join(&mut self, row: MemberRow, nonce: &str, version: RowVersion) {
        let host = row.member.host.clone();
        let earlier = self.remove_rows(|other| other.member.host == host);
        // A member removed as unresponsive may still run. Once its host joins with a new incarnation,
        // the old one is known to have ended.
        let removed = self.next.chain.changes.iter().flat_map(|change| &change.left);
        let ended = removed
            .filter(|left| left.member.host == host && !left.reason.has_ended())
            .map(|left| left.member.clone())
            .collect();
        let left = earlier
            .into_iter()
            .map(|member| LeftMember { member, reason: LeaveReason::Replaced })
            .collect();
        let incarnation = crate::state::rows::IncarnationRow {
            incarnation: row.member.incarnation,
            nonce: nonce.into(),
        };
        self.edit(|writes| {
            writes
                .expect(incarnation_key(&host), version)
                .put(incarnation_key(&host), row_text(&incarnation))
                .put(member_key(&host), row_text(&row))
        });
        let joined = vec![row.member.clone()];
        self.next.view.members.push(row);
        self.change_view(joined, left, ended);
    }

    /// Removes members from the view, and ignores those that are not in it.
    pub fn remove(&mut self, left: Vec<LeftMember>) {
        let removed = self.remove_rows(|row| left.iter().any(|l| l.member == row.member));
        for member in &removed {
            self.edit(|writes| writes.delete(member_key(&member.host)));
        }
        let left = left.into_iter().filter(|l| removed.contains(&l.member)).collect();
        self.change_view(Vec::new(), left, Vec::new());
    }

    /// Makes `owner` the owner of a fabric domain under the next term. The first term is 1.
    pub fn own(&mut self, domain: &base::FabricDomainId, owner: &MemberId) {
        let owners = &mut self.next.owners;
        let position = owners.binary_search_by(|row| row.domain.cmp(domain));
        let term = position.map_or(Term(1), |index| owners[index].term.next());
        let since = self.next.head.number;
        let row = DomainOwner { domain: domain.clone(), owner: owner.clone(), term, since };
        let text = row_text(&row);
        match position {
            Ok(index) => owners[index] = row,
            Err(index) => owners.insert(index, row),
        }
        self.next.head.ownership += 1;
        self.edit(|writes| writes.put(owner_key(domain), text));
    }

    fn edit(&mut self, step: impl FnOnce(Transaction) -> Transaction) {
        self.writes = step(std::mem::take(&mut self.writes));
    }

    fn remove_rows(&mut self, ends: impl Fn(&MemberRow) -> bool) -> Vec<MemberId> {
        let rows = &mut self.next.view.members;
        let removed = rows.iter().filter(|row| ends(row)).map(|row| row.member.clone()).collect();
        rows.retain(|row| !ends(row));
        removed
    }

    fn change_view(&mut self, joined: Vec<MemberId>, left: Vec<LeftMember>, ended: Vec<MemberId>) {
        let number = self.next.head.view.next();
        self.next.head.view = number;
        self.next.view.number = number;
        self.next.view.members.sort_by(|a, b| a.member.cmp(&b.member));
        let since = self.next.head.number;
        self.next.chain.changes.push(ViewChange { view: number, since, joined, left, ended });
        self.members_changed = true;
    }

    fn forget_views(&mut self, in_force: HeadNumber) {
        let chain = &mut self.next.chain;
        let known = chain.changes.iter().take_while(|change| change.since <= in_force).count();
        if let Some(last) = chain.changes.drain(..known).next_back() {
            chain.oldest = last.since;
        }
    }

    fn put_objects(&mut self, ticket: &ChangeTicket) {
        for name in &ticket.removed {
            self.edit(|writes| writes.delete(object_key(name)));
        }
        for spec in &ticket.group_sets {
            self.put_object(&ObjectName::GroupSet(spec.name.clone()), row_text(spec));
        }
        for spec in &ticket.workspaces {
            self.put_object(&ObjectName::Workspace(spec.name.clone()), row_text(spec));
        }
        for spec in &ticket.services {
            self.put_object(&ObjectName::Service(spec.name.clone()), row_text(spec));
        }
        if let Some(flags) = &ticket.flags {
            self.put_object(&ObjectName::Flags, row_text(flags));
        }
    }

    fn put_object(&mut self, name: &ObjectName, text: String) {
        self.edit(|writes| writes.put(object_key(name), text));
    }
}
