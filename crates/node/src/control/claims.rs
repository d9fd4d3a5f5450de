//! Claims fabric domains for this process and releases them on shutdown.

use {
    super::{ControlEvent, ControlLoop},
    crate::{
        owners::OwnedRow,
        ports::EngineAccess,
        rows::{OwnerRow, RowName},
    },
    base::{FabricDomainId, Term, Tick},
    infra::{CommitOutcome, TableStore, Transaction},
    std::time::Duration,
    tracing::{info, warn},
};

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
        now: Tick,
    ) {
        let last_attempt = self.claim_attempts.get(domain);
        if last_attempt.is_some_and(|attempt| now.since(*attempt) < CLAIM_INTERVAL) {
            return;
        }
        self.claim_attempts.insert(domain.clone(), now);
        let row = OwnerRow { term, owner: Some(self.own.clone()) };
        let table = self.table.clone();
        let events = self.events.clone();
        let domain = domain.clone();
        info!(decision = "domain-claim", domain = %domain, term = term.0,
            expected = expected.0, "groups");
        tokio::spawn(async move {
            let row = write_owner(&*table, &domain, expected, row).await;
            // Sending fails only after the control loop has ended.
            let _ = events.send(ControlEvent::Claimed { domain, row });
        });
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
            write_owner(&*self.table, &domain, known.version, row).await;
            info!(decision = "domain-given-away", domain = %domain, "groups");
        }
    }
}

/// Writes a domain's owner row if the stored row has the version `expected`. Returns the row as
/// written, or `None` if the write failed or its outcome is unknown.
async fn write_owner<T: TableStore>(
    table: &T,
    domain: &FabricDomainId,
    expected: base::RowVersion,
    row: OwnerRow,
) -> Option<OwnedRow> {
    let key = RowName::Domain(domain.clone()).key();
    let value = match serde_json::to_string(&row) {
        Ok(value) => value,
        Err(error) => {
            warn!(domain = %domain, %error, "failed to encode the owner row of a domain");
            return None;
        }
    };
    let transaction = Transaction::default().expect(key.clone(), expected).put(key, value);
    match table.commit(transaction).await {
        Ok(CommitOutcome::Committed { version }) => Some(OwnedRow { row, version }),
        // Another process was first, or an earlier write of this process took effect; the row watch
        // delivers the current row.
        Ok(CommitOutcome::Conflict { .. }) => None,
        Err(error) => {
            warn!(domain = %domain, why = %error, "failed to write the owner row of a domain");
            None
        }
    }
}
