//! The end of a claimed request and the claim state that records it.

use {
    crate::{
        claims::stored_answer::stored_state,
        refusal::{Outcome, Refusal},
    },
    engine::WholeAnswer,
    infra::ClaimState,
};

/// The end of a claimed request.
#[derive(Debug)]
pub enum ClaimedEnd {
    /// The request has a complete answer.
    Answered(WholeAnswer),
    /// The request has a complete answer that is too large to be stored.
    TooLarge,
    /// The request has no complete answer.
    Refused(Refusal),
}

impl ClaimedEnd {
    /// The final state of the claim. The key can be claimed again only if the request certainly had
    /// no effect.
    pub fn state(&self) -> ClaimState {
        match self {
            Self::Answered(answer) => stored_state(answer),
            Self::TooLarge => ClaimState::AnswerTooLarge,
            Self::Refused(refusal) if refusal.outcome == Outcome::NotRun => ClaimState::NotRun,
            Self::Refused(_) => ClaimState::Unknown,
        }
    }
}
