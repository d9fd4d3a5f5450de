//! How non-idempotent requests end.

use {
    crate::{
        claims::keep::keep_answer,
        refusal::{Outcome, Refusal},
    },
    engine::WholeAnswer,
    infra::ClaimState,
};

/// How a claimed request ended.
#[derive(Debug)]
pub enum MarkedEnd {
    /// It has a whole answer.
    Answered(WholeAnswer),
    /// It has a whole answer that is too large to be kept.
    NotKept,
    /// It has none.
    Refused(Refusal),
}

impl MarkedEnd {
    /// The state of its claim; only a request that was certainly not run may be claimed again.
    pub fn state(&self) -> ClaimState {
        match self {
            Self::Answered(answer) => keep_answer(answer),
            Self::NotKept => ClaimState::AnswerTooLarge,
            Self::Refused(refusal) if refusal.outcome == Outcome::NotRun => ClaimState::NotRun,
            Self::Refused(_) => ClaimState::Unknown,
        }
    }
}
