//! Decides which process owns which fabric domain.

use {
    crate::{
        members::MemberTable,
        rows::{OwnerRow, RowOwner},
    },
    base::{FabricDomainId, FailureDomainId, HostId, RowVersion, Term, Tick, placement_weight},
};

/// The owner row of a fabric domain with its version. The domain has no owner after a planned stop
/// of the last one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedRow {
    /// The owner, if any, and the latest term.
    pub row: OwnerRow,
    /// The version of the row in the store, which a claim expects.
    pub version: RowVersion,
}

/// What this process should do about a fabric domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerStep {
    /// This process owns the domain under this term.
    Own(Term),
    /// This process should claim the domain, if the row still has the expected version.
    Claim {
        /// The version that the row must have; 0 if there must be no row.
        expected: RowVersion,
        /// The term to write.
        term: Term,
    },
    /// Nothing, and stop planning the domain: another process owns it or should claim it.
    NotOwner,
}

/// Decides for one fabric domain. An owner that is alive keeps it. A domain without one goes to the
/// process with the highest placement weight among the live processes of the domain's own failure
/// domain, or among all live processes if that failure domain has none, so that probes of its
/// engines do not cross failure domains.
pub fn owner_step(
    domain: &FabricDomainId,
    failure_domain: Option<&FailureDomainId>,
    known: Option<&OwnedRow>,
    own: &RowOwner,
    members: &MemberTable,
    now: Tick,
) -> OwnerStep {
    let owner = known.and_then(|known| known.row.owner.as_ref());
    if let (Some(known), Some(owner)) = (known, owner) {
        if owner == own {
            return OwnerStep::Own(known.row.term);
        }
        if members.is_alive(&owner.node, Some(owner.incarnation), now) {
            return OwnerStep::NotOwner;
        }
    }
    if preferred_owner(domain, failure_domain, members, now).as_ref() != Some(&own.node) {
        return OwnerStep::NotOwner;
    }
    let term = known.map_or(Term(0), |known| known.row.term).next();
    let expected = known.map_or(RowVersion(0), |known| known.version);
    OwnerStep::Claim { expected, term }
}

/// The process that should claim a domain without a live owner; `None` if no process is alive.
fn preferred_owner(
    domain: &FabricDomainId,
    failure_domain: Option<&FailureDomainId>,
    members: &MemberTable,
    now: Tick,
) -> Option<HostId> {
    let near =
        members.live_members(now).filter(|(_, row)| Some(&row.failure_domain) == failure_domain);
    let best_near = near.max_by_key(|(node, _)| placement_weight(domain.as_str(), node));
    let best = best_near.or_else(|| {
        members.live_members(now).max_by_key(|(node, _)| placement_weight(domain.as_str(), node))
    });
    best.map(|(node, _)| node.clone())
}
