//! Writes the row that makes this process a member, answers challenges with it, and deletes it.

use {
    crate::{
        rows::{MemberRow, RowName, RowOwner},
        view::NodeView,
    },
    base::{RowVersion, SharedClock, Tick},
    infra::{TableStore, Transaction},
    smol_str::SmolStr,
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
    tokio_util::sync::CancellationToken,
    tracing::{info, warn},
};

/// Pause before a process checks again whether it is ready to register, or repeats a failed write of
/// its member row.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time between two looks at what the row watch has shown.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a write of the member row until the row watch must have shown it; then the store has
/// lost the row.
const REWRITE_DELAY: Duration = Duration::from_millis(2_500);

/// What this process last wrote.
#[derive(Default)]
struct WrittenRow {
    /// When the row was written.
    at: Option<Tick>,
    /// The last challenge that a write answered. The next one may have a lower version, in a store that came
    /// back from an older copy.
    answered: Option<RowVersion>,
}

/// The row of a process that runs, and is a member once it can serve requests.
pub struct MemberRegistration<T>(RowAccess<T>);

/// The row of a process that leaves.
pub struct MemberRemoval<T>(RowAccess<T>);

struct RowAccess<T> {
    table: Arc<T>,
    view: Arc<NodeView>,
    clock: SharedClock,
    own: RowOwner,
    key: SmolStr,
    value: String,
}

impl<T: TableStore> MemberRegistration<T> {
    /// The row of the process `own`, which is not written yet.
    pub fn new(
        table: Arc<T>,
        view: Arc<NodeView>,
        clock: SharedClock,
        own: RowOwner,
        row: &MemberRow,
    ) -> Self {
        let key = RowName::Member(own.node.clone()).key();
        let value = serde_json::to_string(row).expect("a row of plain values always serializes");
        Self(RowAccess { table, view, clock, own, key, value })
    }

    /// Writes the row once this process can serve requests, and again whenever the store has lost it or
    /// another process asks whether this one still runs, until the process leaves.
    pub async fn run(self, leaving: CancellationToken) -> MemberRemoval<T> {
        let Self(access) = self;
        access.keep_written(&leaving).await;
        MemberRemoval(access)
    }
}

impl<T: TableStore> MemberRemoval<T> {
    /// Deletes the row, again and again until the store says that it is gone.
    pub async fn delete_row(&self) {
        let Self(access) = self;
        let mut failed = false;
        loop {
            let transaction = Transaction::default().delete(access.key.clone());
            match access.table.commit(transaction).await {
                Ok(_) => break,
                Err(error) if !failed => warn!(why = %error, "failed to delete the member row"),
                Err(_) => {}
            }
            failed = true;
            sleep(REGISTER_RETRY_DELAY).await;
        }
        info!(decision = "row-deleted", again = failed, "state");
    }

    /// Deletes the row whenever it comes back: by a write whose answer was lost, or in a store that
    /// came back from an older copy. Never returns.
    pub async fn keep_deleted(&self) {
        let Self(access) = self;
        loop {
            // The row watch lags behind the delete.
            let _ = timeout(REWRITE_DELAY, access.shown(false)).await;
            access.shown(true).await;
            self.delete_row().await;
        }
    }
}

impl<T: TableStore> RowAccess<T> {
    /// Returns once no write is under way: an abandoned one could follow the delete.
    async fn keep_written(&self, leaving: &CancellationToken) {
        let mut written = WrittenRow::default();
        while !leaving.is_cancelled() {
            let now = self.clock.now();
            let challenge = self.challenge();
            let is_challenged = challenge.is_some() && challenge != written.answered;
            let is_late = written.at.is_none_or(|at| now.since(at) >= REWRITE_DELAY);
            if is_challenged || (is_late && self.is_due()) {
                self.write(challenge, now, &mut written).await;
            }
            let rest = timeout(REGISTER_RETRY_DELAY, self.view.challenged.notified());
            leaving.run_until_cancelled(rest).await;
        }
    }

    /// The version of the challenge of this process, if there is one.
    fn challenge(&self) -> Option<RowVersion> {
        self.view.with(|state| state.challenge_of(&self.own))
    }

    /// Waits until the row watch shows the row, or that there is none.
    async fn shown(&self, is_present: bool) {
        while self.has_row() != is_present {
            sleep(WATCH_CHECK_INTERVAL).await;
        }
    }

    fn has_row(&self) -> bool {
        self.view.with(|state| state.members.has_own_row(self.own.incarnation))
    }

    /// Whether this process can serve requests and has no row.
    fn is_due(&self) -> bool {
        self.view.with(|state| state.is_ready()) && !self.has_row()
    }

    /// Writes the row, and deletes the challenge that it answers.
    async fn write(&self, challenge: Option<RowVersion>, now: Tick, written: &mut WrittenRow) {
        let mut transaction = Transaction::default().put(self.key.clone(), self.value.clone());
        if challenge.is_some() {
            transaction = transaction.delete(RowName::Challenge(self.own.node.clone()).key());
        }
        match self.table.commit(transaction).await {
            Ok(_) => {
                info!(
                    decision = "row-written",
                    again = written.at.is_some(),
                    challenged = challenge.is_some(),
                    "state"
                );
                *written = WrittenRow { at: Some(now), answered: challenge.or(written.answered) };
            }
            Err(error) => warn!(why = %error, "failed to write the member row"),
        }
    }
}
