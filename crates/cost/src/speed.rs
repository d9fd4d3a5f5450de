//! How fast the engines of a service work.

use {
    base::{ModelName, RatePerSecond, TokenCount},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Mean sizes of the requests of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsualSize {
    /// Tokens of a prompt.
    pub prompt: TokenCount,
    /// Output tokens of an answer.
    pub answer: TokenCount,
}

/// Times of the engines of one service, without the pace of a model or of a single server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpeed {
    /// Time of a token step without streams.
    pub step: Duration,
    /// Further time of a step for each stream that is written.
    pub step_per_stream: Duration,
    /// Further time of a step for each 1,000 tokens of context of the streams that are written.
    pub step_per_context: Duration,
    /// Prompt tokens that are read per second.
    pub read_rate: RatePerSecond,
    /// Further time for a million pairs of a prompt's token and one before it.
    pub read_pairs: Duration,
    /// Token steps in a pass, at the end of which each stream gets an event of as many tokens.
    pub stride: u32,
    /// Requests that run at once.
    pub slots: u32,
    /// Mean sizes of requests.
    pub usual: UsualSize,
    /// Factor on all times of a model's groups; 1 is usual, and larger means slower.
    pub paces: BTreeMap<ModelName, f64>,
}

impl EngineSpeed {
    /// Factor on all times of the groups of `model`; 1 for an unknown one.
    pub fn model_pace(&self, model: Option<&ModelName>) -> f64 {
        model.and_then(|model| self.paces.get(model)).copied().unwrap_or(1.0)
    }

    /// Time of a pass in which `streams` are written and nothing is read, that is, between two events
    /// of a stream.
    pub fn pass(&self, streams: f64) -> Duration {
        let context = streams * self.usual.prompt.0 as f64 / 1_000.0;
        let step = scaled(self.step, 1.0)
            + scaled(self.step_per_stream, streams)
            + scaled(self.step_per_context, context);
        scaled(step, f64::from(self.stride.max(1)))
    }

    /// Time to read `prompt`.
    pub fn read(&self, prompt: TokenCount) -> Duration {
        let pairs = (prompt.0 as f64).powi(2) / 2e6;
        self.read_some(prompt.0 as f64) + scaled(self.read_pairs, pairs)
    }

    /// Time to read `tokens` of any prompts, without that for pairs.
    pub fn read_some(&self, tokens: f64) -> Duration {
        scaled(Duration::from_secs(1), tokens / self.read_rate.0)
    }

    /// Events of an answer of `output` tokens.
    pub fn events(&self, output: TokenCount) -> f64 {
        (output.0 as f64 / f64::from(self.stride.max(1))).max(1.0)
    }
}

/// Longest time that is expected of anything. Beyond it figures of a configuration or a report are odd, and
/// sums of a few such times still fit into their type.
const MAX_SPAN: Duration = Duration::from_secs(3_600);

/// `span` times `factor`, at most an hour; nothing if the factor is negative.
pub fn scaled(span: Duration, factor: f64) -> Duration {
    if factor <= 0.0 {
        return Duration::ZERO;
    }
    let seconds = span.as_secs_f64() * factor;
    Duration::try_from_secs_f64(seconds).map_or(MAX_SPAN, |span| span.min(MAX_SPAN))
}
