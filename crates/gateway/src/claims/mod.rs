//! Ensures that a non-idempotent request runs at most once across all gateways.
//!
//! A claim row is written before the request is dispatched, and its outcome afterwards. The result
//! of each write is settled, which means made certain: a write that may still be committed late is
//! first made to fail by a newer version of its row.

mod batch;
mod claimed;
mod ledger;
mod settle;
mod stored_answer;

pub use self::{
    batch::{BatchRules, ChangeEnd, RowBatcher, RowChange},
    claimed::ClaimedEnd,
    ledger::{ClaimEnd, ClaimLedger, ClaimRequest, OwnClaim},
    stored_answer::{MAX_STORED_BYTES, restore_answer, stored_state},
};
