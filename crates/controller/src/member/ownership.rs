//! Takeover of fabric domains without an owner, and handover of a member's domains to others.

use {
    crate::{
        member::placement::responsible_member,
        state::{
            change::StateChange,
            reader::ReadError,
            writer::{ChangeProposal, ProposalDecision},
        },
    },
    async_trait::async_trait,
    base::{FabricDomainId, MemberId},
    infra::{HostEntry, HostRole},
    peer::ClusterState,
    std::collections::BTreeSet,
};

/// The distinct fabric domains of the engine hosts in the host list, sorted by id.
pub fn listed_domains(hosts: &[HostEntry]) -> Vec<FabricDomainId> {
    let domains: BTreeSet<&FabricDomainId> = hosts
        .iter()
        .filter_map(|entry| match &entry.role {
            HostRole::Engine { fabric_domain, .. } => Some(fabric_domain),
            _ => None,
        })
        .collect();
    domains.into_iter().cloned().collect()
}

/// Those of `domains` that `me` should take over.
///
/// Such a domain never had an owner, or its owner has left the view; and of the `eligible` members,
/// rendezvous hashing selects `me` for it.
pub fn domains_to_take(
    state: &ClusterState,
    domains: &[FabricDomainId],
    eligible: &[MemberId],
    me: &MemberId,
) -> Vec<FabricDomainId> {
    let is_mine =
        |domain: &&FabricDomainId| responsible_member(domain.as_str(), eligible) == Some(me);
    let ownerless = |domain: &&FabricDomainId| {
        let owner = state.owners.iter().find(|row| row.domain == **domain);
        owner.is_none_or(|row| state.view.position(&row.owner).is_none())
    };
    domains.iter().filter(ownerless).filter(is_mine).cloned().collect()
}

/// Makes a member the owner of fabric domains that have no owner in the view.
pub struct TakeoverProposal {
    /// The new owner; if it has left the view, nothing changes.
    pub me: MemberId,
    /// Domains to take over, selected from an earlier state. A domain that has an owner in the view
    /// when the change is decided is skipped.
    pub domains: Vec<FabricDomainId>,
}

#[async_trait]
impl ChangeProposal for TakeoverProposal {
    type Outcome = ();

    async fn decide(&mut self, state: &ClusterState) -> Result<ProposalDecision<()>, ReadError> {
        if state.view.position(&self.me).is_none() {
            return Ok(ProposalDecision::Done(()));
        }
        let eligible = [self.me.clone()];
        let domains = domains_to_take(state, &self.domains, &eligible, &self.me);
        if domains.is_empty() {
            return Ok(ProposalDecision::Done(()));
        }
        let mut change = StateChange::on(state);
        for domain in &domains {
            change.own(domain, &self.me);
        }
        Ok(ProposalDecision::Commit(Box::new(change)))
    }
}

/// Hands over all fabric domains of a member. For each, rendezvous hashing selects the new owner
/// from the other eligible members.
pub struct HandoverProposal {
    /// The member that hands over its domains.
    pub me: MemberId,
    /// Members that may become owners. Those that have left the view, and `me`, are ignored; if none
    /// remain, nothing changes.
    pub eligible: Vec<MemberId>,
}

#[async_trait]
impl ChangeProposal for HandoverProposal {
    type Outcome = ();

    async fn decide(&mut self, state: &ClusterState) -> Result<ProposalDecision<()>, ReadError> {
        let eligible: Vec<&MemberId> = self
            .eligible
            .iter()
            .filter(|member| **member != self.me && state.view.position(member).is_some())
            .collect();
        let owned: Vec<&FabricDomainId> =
            state.owners.iter().filter(|row| row.owner == self.me).map(|row| &row.domain).collect();
        if eligible.is_empty() || owned.is_empty() {
            return Ok(ProposalDecision::Done(()));
        }
        let mut change = StateChange::on(state);
        for domain in owned {
            let new_owner = responsible_member(domain.as_str(), eligible.iter().copied());
            change.own(domain, new_owner.expect("`eligible` is not empty"));
        }
        Ok(ProposalDecision::Commit(Box::new(change)))
    }
}
