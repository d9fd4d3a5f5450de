//! Taking fabric domains over and giving them away.

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

/// Time between two tries to take a domain.
const CLAIM_INTERVAL: Duration = Duration::from_millis(500);

impl<T, E> ControlLoop<T, E>
where
    T: TableStore + 'static,
    E: EngineAccess,
{
    pub(super) fn claim(
        &mut self,
        domain: &FabricDomainId,
        expected: base::RowVersion,
        term: Term,
        now: Tick,
    ) {
        let tried = self.claims.get(domain);
        if tried.is_some_and(|at| now.since(*at) < CLAIM_INTERVAL) {
            return;
        }
        self.claims.insert(domain.clone(), now);
        let row = OwnerRow { term, owner: Some(self.own.clone()) };
        let table = self.table.clone();
        let events = self.events.clone();
        let domain = domain.clone();
        info!(decision = "domain-claim", domain = %domain, term = term.0,
            expected = expected.0, "groups");
        tokio::spawn(async move {
            let row = write_owner(&*table, &domain, expected, row).await;
            // The loop has ended when nobody listens.
            let _ = events.send(ControlEvent::Claimed { domain, row });
        });
    }

    /// Names no owner for the domains that this process owns, so that others take them at once.
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

/// Writes a domain's row if it has the expected version; gives back the row that is known then.
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
            warn!(domain = %domain, %error, "a row can't be encoded");
            return None;
        }
    };
    let transaction = Transaction::default().expect(key.clone(), expected).put(key, value);
    match table.commit(transaction).await {
        Ok(CommitOutcome::Committed { version }) => Some(OwnedRow { row, version }),
        // Another process was first, or this one's earlier write took effect; the watch tells.
        Ok(CommitOutcome::Conflict { .. }) => None,
        Err(error) => {
            warn!(domain = %domain, why = %error, "a domain's row was not written");
            None
        }
    }
}
