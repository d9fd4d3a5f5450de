//! Estimates what a request costs a model engine and when its first event comes, and chooses a server by
//! it. Does no I/O; the design note is `docs/design/cost.md`.
//!
//! A model engine works in passes: it reads prompts that wait, and each stream that it writes gets one
//! event. [`EngineSpeed`] tells how long that takes, [`ServerWork`] what a server still has to do.

mod answers;
mod choice;
mod errors;
mod fading;
mod size;
mod speed;
mod work;

pub use crate::{
    answers::{AnswerEnd, AnswerKind, AnswerSizes, OutputEstimate},
    choice::{pick_candidate, prefers_first},
    errors::{FirstEventErrors, FirstEventEstimate},
    fading::{FailureShare, PaceMean, PaceReport},
    size::{PromptSize, SizeClass},
    speed::{EngineSpeed, UsualSize, scaled},
    work::{RequestCost, ServerWork},
};
