//! Claims fabric domains for this process and releases them on shutdown.

use {
    super::{ControlEvent, ControlLoop},
    crate::{
        owners::OwnedRow,
        ports::EngineAccess,
        rows::{OwnerRow, RowName},
    },
    base::{FabricDomainId, StoreEra, Term, Tick},
    infra::{CommitOutcome, TableStore, Transaction},
    smol_str::{SmolStr, format_smolstr},
    std::time::Duration,
    tracing::{info, warn},
};

/// Number of eras before the present one whose late claims are made to conflict. A store that comes
/// back more often than that within the few seconds that a claim may be late is not expected.
const MARKED_ERAS: u64 = 4;
/// Minimum time between two attempts to claim the same domain.
const CLAIM_INTERVAL: Duration = Duration::from_millis(500);

impl<T, E> ControlLoop<T, E>
where
    T: TableStore + 'static,
    E: EngineAccess,
{
    /// Starts a write that makes this process the owner of a domain, unless it tried within
    /// [`CLAIM_INTERVAL`]. The result arrives as [`ControlEvent::Claimed`].
    pub(super) fn claim(
        &mut self,
        domain: &FabricDomainId,
        expected: base::RowVersion,
        term: Term,
        era: StoreEra,
        now: Tick,
    ) {
        let last_attempt = self.claim_attempts.get(domain);
        if last_attempt.is_some_and(|attempt| now.since(*attempt) < CLAIM_INTERVAL) {
            return;
        }
        self.claim_attempts.insert(domain.clone(), now);
        let row = OwnerRow { term, owner: Some(self.own.clone()) };
        let claimed = OwnedRow { row, version: expected, era };
        let evidence = self.evidence(domain);
        let table = self.table.clone();
        let events = self.events.clone();
        let domain = domain.clone();
        info!(decision = "domain-claim", domain = %domain, term = term.0,
            expected = expected.0, "groups");
        tokio::spawn(async move {
            let row = write_owner(&*table, &domain, claimed, evidence).await;
            // Sending fails only after the control loop has ended.
            let _ = events.send(ControlEvent::Claimed { domain, row });
        });
    }

    /// What must still hold of the present owner when a claim of its domain is carried out, which may be
    /// seconds after it was sent: that the owner has not written its member row again.
    fn evidence(&self, domain: &FabricDomainId) -> Transaction {
        let owner_version = self.view.with(|state| {
            let owner = state.domains.get(domain)?.row.owner.as_ref()?;
            let version = state.members.expected_version(&owner.node)?;
            (owner.node != self.own.node).then(|| (owner.node.clone(), version))
        });
        let Some((node, version)) = owner_version else { return Transaction::default() };
        Transaction::default().expect(RowName::Member(node).key(), version)
    }

    /// Clears the owner in the rows of all domains that this process owns, so that other processes
    /// can claim them without waiting for this one to be considered down.
    pub(super) async fn release_domains(&mut self) {
        let owned: Vec<FabricDomainId> = self.domains.keys().cloned().collect();
        self.domains.clear();
        for domain in owned {
            let known = self.view.with(|state| state.domains.get(&domain).cloned());
            let Some(known) = known else { continue };
            let row = OwnerRow { term: known.row.term, owner: None };
            // Otherwise another process claims it once the member row is gone.
            let released = OwnedRow { row, ..known };
            let written = write_owner(&*self.table, &domain, released, Transaction::default());
            if written.await.is_some() {
                info!(decision = "domain-given-away", domain = %domain, "groups");
            }
        }
    }
}

/// Makes the claims of earlier eras conflict with this one. Versions are given out again in a new
/// era, so a claim that takes effect late could otherwise replace one of a later era whose row
/// happens to have the expected version. Each claim writes a row for its own era and for the
/// [`MARKED_ERAS`] before it, and expects that the next era has no such row.
pub(super) fn mark_era(transaction: Transaction, era: StoreEra) -> Transaction {
    let transaction = transaction.expect_absent(era_key(era.next()));
    let first = era.0.saturating_sub(MARKED_ERAS).max(1);
    (first..=era.0)
        .fold(transaction, |transaction, marked| transaction.put(era_key(StoreEra(marked)), "{}"))
}

fn era_key(era: StoreEra) -> SmolStr {
    format_smolstr!("era/{era}")
}

/// Writes a domain's owner row if the stored row still has the version in `claimed` and the conditions of
/// `evidence` hold. Returns the row as written, or `None` if the write failed or its outcome is unknown.
async fn write_owner<T: TableStore>(
    table: &T,
    domain: &FabricDomainId,
    claimed: OwnedRow,
    evidence: Transaction,
) -> Option<OwnedRow> {
    let key = RowName::Domain(domain.clone()).key();
    let value = match serde_json::to_string(&claimed.row) {
        Ok(value) => value,
        Err(error) => {
            warn!(domain = %domain, %error, "failed to encode the owner row of a domain");
            return None;
        }
    };
    let transaction = evidence.expect(key.clone(), claimed.version).put(key, value);
    let transaction = mark_era(transaction, claimed.era);
    match table.commit(transaction).await {
        Ok(CommitOutcome::Committed { version, era }) if era == claimed.era => {
            Some(OwnedRow { version, ..claimed })
        }
        // The store came back from an older copy in between, so another process may have claimed
        // the domain under the same term.
        Ok(CommitOutcome::Committed { era, .. }) => {
            info!(decision = "claim-outdated", domain = %domain, era = era.0, "groups");
            None
        }
        // Another process was first, or an earlier write of this process took effect; the row watch
        // delivers the current row.
        Ok(CommitOutcome::Conflict { .. }) => None,
        Err(error) => {
            warn!(domain = %domain, why = %error, "failed to write the owner row of a domain");
            None
        }
    }
}
