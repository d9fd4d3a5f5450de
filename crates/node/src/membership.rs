//! Writes the row that makes this process a member, and deletes it.

use {
    crate::{
        rows::{MemberRow, RowName},
        run::NodeRuntime,
    },
    base::Tick,
    infra::{TableStore, Transaction},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
    tokio_util::sync::CancellationToken,
    tracing::{info, warn},
};

/// Pause before this process checks again whether it is ready to register, or repeats a failed
/// write of its member row.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after a write of the member row until the row watch must have shown it; then the store has
/// lost the row.
const REWRITE_DELAY: Duration = Duration::from_millis(2_500);

impl NodeRuntime {
    /// Writes this process's member row once it can serve requests, and again whenever the store has
    /// lost it.
    pub(crate) async fn register_member<T: TableStore>(
        self: Arc<Self>,
        table: Arc<T>,
        stop: CancellationToken,
    ) {
        let row = MemberRow {
            incarnation: self.own.incarnation,
            peers: self.settings.peer_address(),
            callers: self.settings.listen.callers,
            failure_domain: self.settings.failure_domain.clone(),
        };
        let value = serde_json::to_string(&row).expect("a row of plain values always serializes");
        let key = RowName::Member(self.own.node.clone()).key();
        let mut written_at: Option<Tick> = None;
        while !stop.is_cancelled() {
            let now = self.shared.clock.now();
            let is_due = self
                .view
                .with(|state| state.is_ready() && !state.members.has_own_row(self.own.incarnation));
            if is_due && written_at.is_none_or(|at| now.since(at) >= REWRITE_DELAY) {
                let transaction = Transaction::default().put(key.clone(), value.clone());
                match table.commit(transaction).await {
                    Ok(_) => {
                        info!(decision = "row-written", again = written_at.is_some(), "state");
                        written_at = Some(now);
                    }
                    Err(error) => warn!(why = %error, "failed to write the member row"),
                }
            }
            sleep(REGISTER_RETRY_DELAY).await;
        }
    }

    pub(crate) async fn deregister_member<T: TableStore>(&self, table: &T) {
        let key = RowName::Member(self.own.node.clone()).key();
        if let Err(error) = table.commit(Transaction::default().delete(key)).await {
            warn!(why = %error, "failed to delete the member row");
        }
    }
}
