//! Claims idempotency keys and evaluates existing claims.

use {
    crate::{
        claims::{
            batch::{ChangeEnd, RowBatcher, RowChange},
            settle::UnsettledClaim,
            stored_answer::restore_answer,
        },
        ports::WallClock,
        refusal::{Refusal, RefusalKind},
    },
    base::{HostId, IdempotencyKey, RowVersion, WorkspaceId},
    engine::WholeAnswer,
    infra::{ClaimRow, ClaimState, RowKey, StoredRow, TableStore, claim_key},
    smol_str::SmolStr,
    std::{sync::Arc, time::Duration},
    stop::{StopPhase, StopWatch},
    tokio::time::timeout,
    tokio_util::task::TaskTracker,
    uuid::Uuid,
};

/// Time after a claim's deadline at which its gateway is considered dead. Allows for differences
/// between the wall clocks of gateways.
const DEAD_GATEWAY_MARGIN_MS: u64 = 5_000;
/// Retry delay sent to a caller while a request with its key is running.
const RUNNING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry delay sent to a caller while the table service is unavailable.
const TABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A request whose idempotency key is to be claimed.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Workspace that scopes the key.
    pub workspace: WorkspaceId,
    /// Idempotency key that the caller sent.
    pub key: IdempotencyKey,
    /// SHA-256 of the path, the body and, for services, the method, in hexadecimal digits.
    pub digest: SmolStr,
    /// Time until the request's deadline, which is written to the claim.
    pub time_left: Duration,
}

/// A claim held by this gateway, with the row as written and its version.
#[derive(Clone, Debug)]
pub struct OwnClaim {
    pub(super) key: RowKey,
    pub(super) row: ClaimRow,
    pub(super) version: RowVersion,
}

/// The result of an attempt to claim a key.
#[derive(Debug)]
pub enum ClaimEnd {
    /// The key is claimed; only this gateway may dispatch the request.
    Own(OwnClaim),
    /// The request ran before; this is its stored answer.
    Answered(WholeAnswer),
    /// The request must not be dispatched; the refusal is its response.
    Refused(Refusal),
}

/// Writes and evaluates claims for this gateway.
#[derive(Clone)]
pub struct ClaimLedger {
    pub(super) batcher: RowBatcher,
    pub(super) table: Arc<dyn TableStore>,
    pub(super) tasks: TaskTracker,
    wall: Arc<dyn WallClock>,
    host: HostId,
    claim_timeout: Duration,
    stop: StopWatch,
}

impl ClaimLedger {
    /// Creates a ledger. `claim_timeout` limits the time of one [`Self::claim`], and so does the stop
    /// of the process; `tasks` tracks the background writes, so that a stopping gateway can wait for
    /// them.
    pub fn new(
        batcher: RowBatcher,
        table: Arc<dyn TableStore>,
        tasks: TaskTracker,
        wall: Arc<dyn WallClock>,
        host: HostId,
        claim_timeout: Duration,
        stop: StopWatch,
    ) -> Self {
        Self { batcher, table, tasks, wall, host, claim_timeout, stop }
    }

    /// Number of table transactions sent, including retries.
    pub fn commits(&self) -> u64 {
        self.batcher.commits()
    }

    /// Claims a key, or returns what an existing claim means for the request.
    ///
    /// If the result of the write is not known in time, the request is refused as not run and a
    /// background task makes sure that the claim does not stay open.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimEnd {
        let limit = self.claim_timeout.min(request.time_left);
        let key = claim_key(&request.workspace, &request.key);
        let row = self.row(&request);
        let mut expect = RowVersion(0);
        let mut remaining = limit;
        loop {
            let started = tokio::time::Instant::now();
            let change = RowChange { key: key.clone(), expect, value: encode(&row), urgent: true };
            let changing = timeout(remaining, self.batcher.change(change));
            let end = tokio::select! {
                biased;
                end = changing => end.ok(),
                () = self.stop.reached(StopPhase::Ending) => None,
            };
            remaining = remaining.saturating_sub(started.elapsed());
            match end {
                Some(ChangeEnd::Committed(version)) => {
                    return ClaimEnd::Own(OwnClaim { key, row, version });
                }
                Some(ChangeEnd::Conflict(None)) => expect = RowVersion(0),
                Some(ChangeEnd::Conflict(Some(found))) => match self.check_existing(&row, &found) {
                    Some(end) => return end,
                    None => expect = found.version,
                },
                Some(ChangeEnd::NotWritten) => return ClaimEnd::Refused(table_unavailable()),
                Some(ChangeEnd::Unknown) | None => {
                    self.settle(UnsettledClaim { key, row, expect });
                    return ClaimEnd::Refused(self.unsettled_refusal());
                }
            }
        }
    }

    fn unsettled_refusal(&self) -> Refusal {
        if self.stop.phase() < StopPhase::Ending {
            return table_unavailable();
        }
        let detail = "this gateway stopped before the key was claimed, so nothing was run";
        Refusal::not_run(RefusalKind::Draining, detail).retry_after(Duration::ZERO)
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

    /// Evaluates an existing claim of the key. Returns `None` if its row may be overwritten.
    fn check_existing(&self, row: &ClaimRow, found: &StoredRow) -> Option<ClaimEnd> {
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
            ClaimState::Claimed => refused(self.check_claimed(&earlier, found)),
            ClaimState::Unknown => refused(outcome_unknown()),
            ClaimState::AnswerTooLarge => {
                let detail = "the request with this key ran; its answer was not kept";
                refused(Refusal::unknown(RefusalKind::KeyNotKept, detail))
            }
            ClaimState::Answered(stored) => match restore_answer(stored) {
                Some(answer) => Some(ClaimEnd::Answered(answer)),
                None => refused(outcome_unknown()),
            },
        }
    }

    /// Refuses a request whose key is claimed, as running or, past the claim's deadline, as unknown.
    fn check_claimed(&self, earlier: &ClaimRow, found: &StoredRow) -> Refusal {
        if self.wall.unix_ms() <= earlier.deadline_ms + DEAD_GATEWAY_MARGIN_MS {
            let detail = "a request with this key is running; ask again for its answer";
            return Refusal::unknown(RefusalKind::KeyRunning, detail)
                .retry_after(RUNNING_RETRY_AFTER);
        }
        // The claiming gateway is considered dead. If it is alive, its outcome replaces this one.
        let row = ClaimRow { state: ClaimState::Unknown, ..earlier.clone() };
        let change = RowChange {
            key: found.key.clone(),
            expect: found.version,
            value: encode(&row),
            urgent: false,
        };
        let batcher = self.batcher.clone();
        self.tasks.spawn(async move { batcher.change(change).await });
        outcome_unknown()
    }
}

/// Encodes a claim as the value of its row.
pub(super) fn encode(row: &ClaimRow) -> String {
    serde_json::to_string(row).unwrap_or_default()
}

fn refused(refusal: Refusal) -> Option<ClaimEnd> {
    Some(ClaimEnd::Refused(refusal))
}

fn outcome_unknown() -> Refusal {
    let detail = "the request with this key may have run, and its answer is not known";
    Refusal::unknown(RefusalKind::KeyUnknown, detail)
}

fn table_unavailable() -> Refusal {
    let detail = "the key could not be claimed in time, so nothing was run; send it again later";
    Refusal::not_run(RefusalKind::TableUnavailable, detail).retry_after(TABLE_RETRY_AFTER)
}
