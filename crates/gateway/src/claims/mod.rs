//! Ensures that a non-idempotent request runs at most once across all gateways.
//!
//! A claim row is written before the request is dispatched, and its outcome afterwards. Each
//! write is settled, that is, followed up until its result is certain. A claim that may still be
//! committed late is made to fail by writing a newer version of its row.

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
