//! Learns how long the answers to each kind of request are.

use {
    crate::size::{PromptSize, SizeClass},
    base::{ModelName, TokenCount},
    smol_str::SmolStr,
    std::collections::HashMap,
};

/// Answers of the expected size that are counted in from the start.
const PRIOR_ANSWERS: f64 = 4.0;
/// Share by which earlier answers of a kind fade with each new one, so that a kind may change its size.
const FADING: f64 = 1.0 / 64.0;
/// Most kinds that are told apart: a few sizes each of the routes of a large configuration.
const MAX_KINDS: usize = 512;

base::value_type!(
    /// Requests whose answers are of like size.
    #[derive(Hash)]
    pub struct AnswerKind {
        /// Name of the route.
        pub route: SmolStr,
        /// The model, if there is one.
        pub model: Option<ModelName>,
        /// The size that the caller expects.
        pub class: SizeClass,
    }
);

base::value_type!(
    /// How an answer ended.
    #[derive(Copy)]
    pub enum AnswerEnd {
        /// After its last token.
        Whole,
        /// Before that: it would have been longer.
        Cut,
    }
);

/// How many output tokens a request is likely to have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutputEstimate {
    /// Mean output of such requests.
    pub tokens: TokenCount,
    /// Mean factor between such estimates and the answers that ended; 1 if they were right.
    pub error: f64,
}

/// The mean of censored sizes, with what is needed to go on.
#[derive(Clone, Copy, Debug, Default)]
struct SizeMean {
    /// Tokens of all answers, also of those that were cut off.
    tokens: f64,
    /// Answers that ended.
    ended: f64,
    /// Mean of the logarithm of the factor between estimate and answer.
    log_error: f64,
    /// Number of the last answer, counted over all kinds.
    used_at: u64,
}

/// Sizes of the answers of each kind, as one process saw them.
#[derive(Debug, Default)]
pub struct AnswerSizes {
    kinds: HashMap<AnswerKind, SizeMean>,
    answers: u64,
}

impl AnswerSizes {
    /// The likely output of a request. `usual` is assumed for one without a hint.
    pub fn estimate(
        &self,
        kind: &AnswerKind,
        size: &PromptSize,
        usual: TokenCount,
    ) -> OutputEstimate {
        let mean = self.kinds.get(kind).copied().unwrap_or_default();
        let tokens = mean.tokens(prior(size, usual)).min(size.max_output.0 as f64);
        OutputEstimate { tokens: TokenCount(tokens as u64), error: mean.log_error.exp() }
    }

    /// Records an answer of `tokens`.
    pub fn note(
        &mut self,
        kind: &AnswerKind,
        size: &PromptSize,
        usual: TokenCount,
        tokens: TokenCount,
        end: AnswerEnd,
    ) {
        self.answers += 1;
        if !self.kinds.contains_key(kind) && self.kinds.len() >= MAX_KINDS {
            self.drop_oldest();
        }
        let mean = self.kinds.entry(kind.clone()).or_default();
        mean.used_at = self.answers;
        mean.note(prior(size, usual), tokens.0 as f64, end);
    }

    fn drop_oldest(&mut self) {
        let oldest = self.kinds.iter().min_by_key(|(_, mean)| mean.used_at);
        if let Some(kind) = oldest.map(|(kind, _)| kind.clone()) {
            self.kinds.remove(&kind);
        }
    }
}

fn prior(size: &PromptSize, usual: TokenCount) -> f64 {
    size.hint.unwrap_or(usual).0 as f64
}

impl SizeMean {
    /// The estimate of the greatest likelihood if the sizes are exponential, with the prior counted in.
    fn tokens(&self, prior: f64) -> f64 {
        (self.tokens + PRIOR_ANSWERS * prior) / (self.ended + PRIOR_ANSWERS)
    }

    fn note(&mut self, prior: f64, tokens: f64, end: AnswerEnd) {
        let factor = (tokens + 1.0) / (self.tokens(prior) + 1.0);
        // One that was cut off shows an error only if it was longer already.
        if end == AnswerEnd::Whole || factor > 1.0 {
            self.log_error +=
                (factor.ln().abs() - self.log_error) * FADING.max(1.0 / (self.ended + 2.0));
        }
        let ended = if end == AnswerEnd::Whole { 1.0 } else { 0.0 };
        self.tokens += tokens - self.tokens * FADING;
        self.ended += ended - self.ended * FADING;
    }
}
