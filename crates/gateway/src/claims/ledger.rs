//! Claims a key, or finds out what became of it.

use {
    crate::{
        claims::{
            batch::{ChangeEnd, RowBatcher, RowChange},
            keep::restore_answer,
            settle::Settlement,
        },
        ports::WallClock,
        refusal::{Refusal, RefusalKind},
    },
    base::{HostId, IdempotencyKey, RowVersion, WorkspaceId},
    engine::WholeAnswer,
    infra::{ClaimRow, ClaimState, RowKey, StoredRow, TableStore, claim_key},
    smol_str::SmolStr,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
    tokio_util::task::TaskTracker,
    uuid::Uuid,
};

/// Added to the deadline of a claim before its gateway is taken for dead; wall clocks differ.
const DEAD_GATEWAY_MARGIN_MS: u64 = 5_000;
/// Wait for a caller whose key is running.
const RUNNING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Wait for a caller while the table service is out.
const TABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A request that wants to be claimed.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// The caller's workspace.
    pub workspace: WorkspaceId,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// SHA-256 over method, path and body, in hexadecimal digits.
    pub digest: SmolStr,
    /// Time left until the request's deadline.
    pub time_left: Duration,
}

/// A claim that this gateway holds.
#[derive(Clone, Debug)]
pub struct OwnClaim {
    pub(super) key: RowKey,
    pub(super) row: ClaimRow,
    pub(super) version: RowVersion,
}

/// What became of an attempt to claim.
#[derive(Debug)]
pub enum ClaimEnd {
    /// The request may be dispatched, by this gateway alone.
    Own(OwnClaim),
    /// It ran before, and this was its answer.
    Answered(WholeAnswer),
    /// It must not be dispatched.
    Refused(Refusal),
}

/// Keeps the claims of this gateway.
#[derive(Clone)]
pub struct ClaimLedger {
    pub(super) batcher: RowBatcher,
    pub(super) table: Arc<dyn TableStore>,
    pub(super) tasks: TaskTracker,
    wall: Arc<dyn WallClock>,
    host: HostId,
    patience: Duration,
}

impl ClaimLedger {
    /// A ledger that waits for a claim at most `patience`; `tasks` holds its bookkeeping.
    pub fn new(
        batcher: RowBatcher,
        table: Arc<dyn TableStore>,
        tasks: TaskTracker,
        wall: Arc<dyn WallClock>,
        host: HostId,
        patience: Duration,
    ) -> Self {
        Self { batcher, table, tasks, wall, host, patience }
    }

    /// Transactions sent so far.
    pub fn commits(&self) -> u64 {
        self.batcher.commits()
    }

    /// Claims a key, unless it was claimed before.
    ///
    /// When the fate of the claim is not known in time, the answer is that nothing was run, and
    /// the claim is settled in the background.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimEnd {
        let limit = self.patience.min(request.time_left);
        let key = claim_key(&request.workspace, &request.key);
        let row = self.row(&request);
        let mut expect = RowVersion(0);
        let mut left = limit;
        loop {
            let started = tokio::time::Instant::now();
            let change = RowChange { key: key.clone(), expect, value: encode(&row), urgent: true };
            let end = timeout(left, self.batcher.change(change)).await;
            left = left.saturating_sub(started.elapsed());
            match end {
                Ok(ChangeEnd::Committed(version)) => {
                    return ClaimEnd::Own(OwnClaim { key, row, version });
                }
                Ok(ChangeEnd::Conflict(None)) => expect = RowVersion(0),
                Ok(ChangeEnd::Conflict(Some(found))) => match self.judge(&row, &found) {
                    Some(end) => return end,
                    None => expect = found.version,
                },
                Ok(ChangeEnd::NotWritten) => return ClaimEnd::Refused(table_out()),
                Ok(ChangeEnd::Unknown) | Err(_) => {
                    self.settle(Settlement { key, row, expect });
                    return ClaimEnd::Refused(table_out());
                }
            }
        }
    }

    fn row(&self, request: &ClaimRequest) -> ClaimRow {
        let now = self.wall.unix_ms();
        ClaimRow {
            workspace: request.workspace.clone(),
            key: request.key.clone(),
            nonce: SmolStr::from(Uuid::new_v4().simple().to_string()),
            digest: request.digest.clone(),
            gateway: self.host.clone(),
            claimed_ms: now,
            deadline_ms: now + request.time_left.as_millis() as u64,
            state: ClaimState::Claimed,
        }
    }

    /// What an earlier claim means for this one; none when it may be taken over.
    fn judge(&self, row: &ClaimRow, found: &StoredRow) -> Option<ClaimEnd> {
        let Ok(earlier) = serde_json::from_str::<ClaimRow>(&found.value) else {
            let detail = format!("row {} cannot be read; tell the operator", found.key);
            return refused(Refusal::unknown(RefusalKind::KeyUnknown, detail));
        };
        if earlier.digest != row.digest {
            let detail = "this key came before with another request; use a new key";
            return refused(Refusal::not_run(RefusalKind::KeyReused, detail));
        }
        match &earlier.state {
            ClaimState::NotRun => None,
            ClaimState::Claimed => refused(self.running_or_dead(&earlier, found)),
            ClaimState::Unknown => refused(fate_unknown()),
            ClaimState::AnswerTooLarge => {
                let detail = "the request with this key ran; its answer was not kept";
                refused(Refusal::unknown(RefusalKind::KeyNotKept, detail))
            }
            ClaimState::Answered(kept) => match restore_answer(kept) {
                Some(answer) => Some(ClaimEnd::Answered(answer)),
                None => refused(fate_unknown()),
            },
        }
    }

    fn running_or_dead(&self, earlier: &ClaimRow, found: &StoredRow) -> Refusal {
        if self.wall.unix_ms() <= earlier.deadline_ms + DEAD_GATEWAY_MARGIN_MS {
            let detail = "a request with this key is running; ask again for its answer";
            return Refusal::unknown(RefusalKind::KeyRunning, detail)
                .retry_after(RUNNING_RETRY_AFTER);
        }
        // Its gateway is taken for dead. Should it live, its own outcome replaces this one.
        let row = ClaimRow { state: ClaimState::Unknown, ..earlier.clone() };
        let change = RowChange {
            key: found.key.clone(),
            expect: found.version,
            value: encode(&row),
            urgent: false,
        };
        let batcher = self.batcher.clone();
        self.tasks.spawn(async move { batcher.change(change).await });
        fate_unknown()
    }
}

/// The value of a claim's row.
pub(super) fn encode(row: &ClaimRow) -> String {
    serde_json::to_string(row).unwrap_or_default()
}

fn refused(refusal: Refusal) -> Option<ClaimEnd> {
    Some(ClaimEnd::Refused(refusal))
}

fn fate_unknown() -> Refusal {
    let detail = "the request with this key may have run, and its answer is not known";
    Refusal::unknown(RefusalKind::KeyUnknown, detail)
}

fn table_out() -> Refusal {
    let detail = "the key could not be claimed in time, so nothing was run; send it again later";
    Refusal::not_run(RefusalKind::TableUnavailable, detail).retry_after(TABLE_RETRY_AFTER)
}
