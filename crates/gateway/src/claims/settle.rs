//! Brings claims to their end in the background.

use {
    crate::claims::{
        batch::{ChangeEnd, RowChange},
        ledger::{ClaimLedger, OwnClaim, encode},
    },
    base::RowVersion,
    infra::{ClaimRow, ClaimState, PlatformError, RowKey, StoredRow},
    std::time::Duration,
    tokio::time::sleep,
};

/// Largest value of a row, in bytes.
const MAX_ROW_BYTES: usize = 256 * 1024;
/// First wait before a row is tried again.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// Longest wait before a row is tried again.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// A claim whose write may have taken effect or may still do so, and that was given up.
#[derive(Clone, Debug)]
pub(super) struct Settlement {
    pub key: RowKey,
    pub row: ClaimRow,
    /// The version that the claim's write expects.
    pub expect: RowVersion,
}

impl ClaimLedger {
    /// Makes sure that a claim that was given up ends as not run.
    pub(super) fn settle(&self, settlement: Settlement) {
        let ledger = self.clone();
        self.tasks.spawn(async move { ledger.settle_until_known(settlement).await });
    }

    /// Writes the outcome of a claimed request; the caller does not wait for it.
    pub fn finish(&self, claim: OwnClaim, state: ClaimState) {
        let ledger = self.clone();
        self.tasks.spawn(async move { ledger.finish_until_known(claim, state).await });
    }

    async fn settle_until_known(&self, settlement: Settlement) {
        let mut wait = FIRST_WAIT;
        while !self.try_settle(&settlement).await {
            sleep(wait).await;
            wait = (wait * 2).min(LONGEST_WAIT);
        }
    }

    /// True once the claim's write can neither take effect later nor stand as claimed.
    async fn try_settle(&self, settlement: &Settlement) -> bool {
        let Ok(found) = self.read(&settlement.key).await else { return false };
        let version = found.as_ref().map_or(RowVersion(0), |row| row.version);
        let earlier = found.as_ref().and_then(decode);
        let value = if version == settlement.expect {
            // The claim's write may still land. A write of this version makes its condition fail.
            let fence = ClaimRow { state: ClaimState::NotRun, ..settlement.row.clone() };
            encode(&earlier.unwrap_or(fence))
        } else {
            match earlier {
                Some(row) if is_open(&row, &settlement.row) => {
                    encode(&ClaimRow { state: ClaimState::NotRun, ..row })
                }
                _ => return true,
            }
        };
        let change =
            RowChange { key: settlement.key.clone(), expect: version, value, urgent: false };
        matches!(self.batcher.change(change).await, ChangeEnd::Committed(_))
    }

    async fn finish_until_known(&self, claim: OwnClaim, state: ClaimState) {
        let row = fitting_row(ClaimRow { state, ..claim.row });
        let mut expect = claim.version;
        let mut wait = FIRST_WAIT;
        loop {
            let change =
                RowChange { key: claim.key.clone(), expect, value: encode(&row), urgent: false };
            match self.batcher.change(change).await {
                ChangeEnd::Committed(_) => return,
                ChangeEnd::Conflict(Some(found)) if is_own(&found, &row) => expect = found.version,
                // Another submission holds the key, which it cannot while this one may run.
                ChangeEnd::Conflict(_) => {
                    tracing::error!(key = %claim.key, "the row of a claim was replaced");
                    return;
                }
                ChangeEnd::NotWritten | ChangeEnd::Unknown => {
                    sleep(wait).await;
                    wait = (wait * 2).min(LONGEST_WAIT);
                }
            }
        }
    }

    async fn read(&self, key: &RowKey) -> Result<Option<StoredRow>, PlatformError> {
        let rows = self.table.read(std::slice::from_ref(key)).await?;
        Ok(rows.into_iter().next().flatten())
    }
}

/// Drops an answer that makes the row larger than the table service takes.
fn fitting_row(row: ClaimRow) -> ClaimRow {
    if encode(&row).len() <= MAX_ROW_BYTES {
        return row;
    }
    ClaimRow { state: ClaimState::AnswerTooLarge, ..row }
}

fn decode(row: &StoredRow) -> Option<ClaimRow> {
    serde_json::from_str(&row.value).ok()
}

fn is_open(row: &ClaimRow, own: &ClaimRow) -> bool {
    row.nonce == own.nonce && row.state == ClaimState::Claimed
}

fn is_own(found: &StoredRow, own: &ClaimRow) -> bool {
    decode(found).is_some_and(|row| row.nonce == own.nonce)
}
