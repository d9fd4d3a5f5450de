//! Decides which process owns which fabric domain.

use {
    crate::{
        members::MemberTable,
        ports::WatchPosition,
        presence::{Presence, Vantage},
        rows::{OwnerRow, RowOwner},
    },
    base::{
        FabricDomainId, FailureDomainId, HostId, RowVersion, StoreEra, Term, Tick, placement_weight,
    },
};

/// The owner row of a fabric domain with its version. The domain has no owner after a planned stop
/// of the last one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedRow {
    /// The owner, if any, and the latest term.
    pub row: OwnerRow,
    /// The version of the row in the store, which a claim expects.
    pub version: RowVersion,
    /// The store's era in which the row had that version.
    pub era: StoreEra,
}

/// Low bits of a term that count the claims of a domain within one era of the store; the era is
/// above them. A store that comes back from an older copy may have lost the newest claims, and every
/// claim after that has a higher term than any of them.
const CLAIM_BITS: u32 = 16;

/// The term of the next claim of a domain in an era.
fn next_term(known: Term, era: StoreEra) -> Term {
    known.next().max(Term(era.0 << CLAIM_BITS))
}

/// Whether a claim was made before the store last came back from an older copy, so that it may not
/// be the newest one.
fn is_outdated(term: Term, era: StoreEra) -> bool {
    term.0 >> CLAIM_BITS < era.0
}

impl OwnedRow {
    /// The place of the row's last write in the store's history.
    pub fn position(&self) -> WatchPosition {
        WatchPosition { era: self.era, version: self.version.0 }
    }

    /// This row after the store came back with an older `restored` one, or without one: it keeps the
    /// newer claim, which has to be written again under the restored row's version.
    pub(crate) fn over_restored(self, restored: Option<Self>, era: StoreEra) -> Self {
        match restored {
            Some(restored) if restored.row.term >= self.row.term => restored,
            Some(restored) => Self { version: restored.version, era, ..self },
            None => Self { version: RowVersion(0), era, ..self },
        }
    }
}

/// What this process should do about a fabric domain.
#[derive(Clone, Debug, PartialEq, Eq)]
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
    /// This process should ask the owner, through the store, whether it still runs. Until the owner has
    /// been removed the domain is its own.
    Challenge {
        /// The silent owner.
        owner: RowOwner,
        /// From where it was found silent.
        vantage: Vantage,
    },
    /// Nothing, and stop planning the domain: another process owns it or should claim it.
    NotOwner,
}

/// Decides for one fabric domain. An owner that runs keeps it. A domain without one goes to the
/// process with the highest placement weight among the processes of the domain's own failure
/// domain that are heard, or among all that are heard if that failure domain has none, so that probes of
/// its engines do not cross failure domains. An owner that is silent is asked first whether it still
/// runs. A claim of an earlier era than the row's has to be made again, by its owner while that one runs.
pub fn owner_step(
    domain: &FabricDomainId,
    failure_domain: Option<&FailureDomainId>,
    known: Option<&OwnedRow>,
    own: &RowOwner,
    members: &MemberTable,
    era: StoreEra,
    now: Tick,
) -> OwnerStep {
    let claim = || OwnerStep::Claim {
        expected: known.map_or(RowVersion(0), |known| known.version),
        term: next_term(known.map_or(Term(0), |known| known.row.term), era),
    };
    let owner = known.and_then(|known| known.row.owner.as_ref());
    if let (Some(known), Some(owner)) = (known, owner)
        && owner == own
    {
        let outdated = is_outdated(known.row.term, era);
        return if outdated { claim() } else { OwnerStep::Own(known.row.term) };
    }
    let presence = owner.map_or(Presence::Gone, |owner| members.presence(owner, now));
    if presence == Presence::Running
        || preferred_owner(domain, failure_domain, members, now).as_ref() != Some(&own.node)
    {
        return OwnerStep::NotOwner;
    }
    match (owner, presence) {
        (Some(owner), Presence::Silent(vantage)) => {
            OwnerStep::Challenge { owner: owner.clone(), vantage }
        }
        _ => claim(),
    }
}

/// The process that should claim a domain without an owner that runs; `None` if no process is heard.
fn preferred_owner(
    domain: &FabricDomainId,
    failure_domain: Option<&FailureDomainId>,
    members: &MemberTable,
    now: Tick,
) -> Option<HostId> {
    let weight = |node: &HostId| placement_weight(domain.as_str(), node);
    let near =
        members.heard_members(now).filter(|(_, row)| Some(&row.failure_domain) == failure_domain);
    let best_near = near.max_by_key(|(node, _)| weight(node));
    let best =
        best_near.or_else(|| members.heard_members(now).max_by_key(|(node, _)| weight(node)));
    best.map(|(node, _)| node.clone())
}
