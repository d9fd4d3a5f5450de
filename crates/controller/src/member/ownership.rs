//! Who owns which fabric domain.

use {
    crate::{
        member::placement::responsible_member,
        state::{
            change::StateChange,
            reader::ReadError,
            writer::{ChangeProposal, Draft},
        },
    },
    async_trait::async_trait,
    base::{FabricDomainId, MemberId},
    infra::{HostEntry, HostRole},
    peer::ClusterState,
    std::collections::BTreeSet,
};

/// The fabric domains of the host list, in order.
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

/// The fabric domains that `me` should take over: their owner is no member any more, or they never
/// had one, and they fall to `me` among the members that are `able` to own.
pub fn domains_to_take(
    state: &ClusterState,
    domains: &[FabricDomainId],
    able: &[MemberId],
    me: &MemberId,
) -> Vec<FabricDomainId> {
    let falls_to_me =
        |domain: &&FabricDomainId| responsible_member(domain.as_str(), able) == Some(me);
    let ownerless = |domain: &&FabricDomainId| {
        let owner = state.owners.iter().find(|row| row.domain == **domain);
        owner.is_none_or(|row| state.view.position(&row.owner).is_none())
    };
    domains.iter().filter(ownerless).filter(falls_to_me).cloned().collect()
}

/// Takes fabric domains over whose owner is no member any more.
pub struct TakeoverProposal {
    /// The new owner.
    pub me: MemberId,
    /// The fabric domains.
    pub domains: Vec<FabricDomainId>,
}

#[async_trait]
impl ChangeProposal for TakeoverProposal {
    type Outcome = ();

    async fn draft(&mut self, state: &ClusterState) -> Result<Draft<()>, ReadError> {
        if state.view.position(&self.me).is_none() {
            return Ok(Draft::Done(()));
        }
        let able = [self.me.clone()];
        let domains = domains_to_take(state, &self.domains, &able, &self.me);
        if domains.is_empty() {
            return Ok(Draft::Done(()));
        }
        let mut change = StateChange::on(state);
        for domain in &domains {
            change.own(domain, &self.me);
        }
        Ok(Draft::Commit(Box::new(change)))
    }
}

/// Gives all fabric domains of a member to the others.
pub struct HandoverProposal {
    /// The present owner.
    pub me: MemberId,
    /// Members that are able to own.
    pub able: Vec<MemberId>,
}

#[async_trait]
impl ChangeProposal for HandoverProposal {
    type Outcome = ();

    async fn draft(&mut self, state: &ClusterState) -> Result<Draft<()>, ReadError> {
        let able: Vec<&MemberId> = self
            .able
            .iter()
            .filter(|member| **member != self.me && state.view.position(member).is_some())
            .collect();
        let owned: Vec<&FabricDomainId> =
            state.owners.iter().filter(|row| row.owner == self.me).map(|row| &row.domain).collect();
        if able.is_empty() || owned.is_empty() {
            return Ok(Draft::Done(()));
        }
        let mut change = StateChange::on(state);
        for domain in owned {
            let heir = responsible_member(domain.as_str(), able.iter().copied());
            change.own(domain, heir.expect("not empty"));
        }
        Ok(Draft::Commit(Box::new(change)))
    }
}
