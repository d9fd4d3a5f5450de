//! Background writes that bring claims to their final state.

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

/// Limit of the table service for the value of a row.
const MAX_ROW_BYTES: usize = 256 * 1024;
/// Delay before the first retry of a read or write; doubles with each retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of the retry delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// An abandoned claim whose write may have been committed or may still be.
#[derive(Clone, Debug)]
pub(super) struct UnsettledClaim {
    pub key: RowKey,
    pub row: ClaimRow,
    /// Version that the claim's write expects the row to have.
    pub expect: RowVersion,
}

impl ClaimLedger {
    /// Starts a task that makes sure that an abandoned claim does not stay open.
    pub(super) fn settle(&self, unsettled: UnsettledClaim) {
        let ledger = self.clone();
        self.tasks.spawn(async move { ledger.settle_until_known(unsettled).await });
    }

    /// Starts a task that writes the outcome of a claimed request.
    pub fn finish(&self, claim: OwnClaim, state: ClaimState) {
        let ledger = self.clone();
        self.tasks.spawn(async move { ledger.finish_until_known(claim, state).await });
    }

    async fn settle_until_known(&self, unsettled: UnsettledClaim) {
        let mut retry_delay = MIN_RETRY_DELAY;
        while !self.try_settle(&unsettled).await {
            sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Returns true once the claim's write can no longer be committed and its row is not claimed.
    async fn try_settle(&self, unsettled: &UnsettledClaim) -> bool {
        let Ok(found) = self.read(&unsettled.key).await else { return false };
        let version = found.as_ref().map_or(RowVersion(0), |row| row.version);
        let earlier = found.as_ref().and_then(decode);
        let value = if version == unsettled.expect {
            // The claim's write may still be committed. Writing the row first changes its version,
            // so that the condition of the claim's write fails.
            let fence = ClaimRow { state: ClaimState::NotRun, ..unsettled.row.clone() };
            encode(&earlier.unwrap_or(fence))
        } else {
            match earlier {
                Some(row) if is_own_and_claimed(&row, &unsettled.row) => {
                    encode(&ClaimRow { state: ClaimState::NotRun, ..row })
                }
                _ => return true,
            }
        };
        let change =
            RowChange { key: unsettled.key.clone(), expect: version, value, urgent: false };
        matches!(self.batcher.change(change).await, ChangeEnd::Committed(_))
    }

    async fn finish_until_known(&self, claim: OwnClaim, state: ClaimState) {
        let row = limit_row_size(ClaimRow { state, ..claim.row });
        let mut expect = claim.version;
        let mut retry_delay = MIN_RETRY_DELAY;
        loop {
            let change =
                RowChange { key: claim.key.clone(), expect, value: encode(&row), urgent: false };
            match self.batcher.change(change).await {
                ChangeEnd::Committed(_) => return,
                ChangeEnd::Conflict(Some(found)) if is_own(&found, &row) => expect = found.version,
                // Must not happen: no other request can take the key while this one holds it.
                ChangeEnd::Conflict(_) => {
                    tracing::error!(key = %claim.key, "claim row was replaced by another request");
                    return;
                }
                ChangeEnd::NotWritten | ChangeEnd::Unknown => {
                    sleep(retry_delay).await;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    async fn read(&self, key: &RowKey) -> Result<Option<StoredRow>, PlatformError> {
        let rows = self.table.read(std::slice::from_ref(key)).await?;
        Ok(rows.into_iter().next().flatten())
    }
}

/// Drops the answer if the row would exceed the table service's limit.
fn limit_row_size(row: ClaimRow) -> ClaimRow {
    if encode(&row).len() <= MAX_ROW_BYTES {
        return row;
    }
    ClaimRow { state: ClaimState::AnswerTooLarge, ..row }
}

fn decode(row: &StoredRow) -> Option<ClaimRow> {
    serde_json::from_str(&row.value).ok()
}

fn is_own_and_claimed(row: &ClaimRow, own: &ClaimRow) -> bool {
    row.nonce == own.nonce && row.state == ClaimState::Claimed
}

fn is_own(found: &StoredRow, own: &ClaimRow) -> bool {
    decode(found).is_some_and(|row| row.nonce == own.nonce)
}
