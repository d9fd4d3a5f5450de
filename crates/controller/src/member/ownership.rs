//! Takeover and handover of fabric domains between members.

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

/// The fabric domains that `me` should take over: those that never had an owner or whose owner is no
/// longer a member, and for which `me` is the responsible member among those `eligible` to own domains.
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

/// Makes a member the owner of those of the given fabric domains that have no owner in the view.
pub struct TakeoverProposal {
    /// The new owner; nothing changes if it is not in the view any more.
    pub me: MemberId,
    /// Domains to take over; those that have an owner in the view by then are left out.
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

/// Hands over all fabric domains of a member, each to the other member that is responsible for it.
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
