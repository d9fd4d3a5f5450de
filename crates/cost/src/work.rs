//! The work of a request, and the work that a server still has to do.

use {
    crate::speed::{EngineSpeed, scaled},
    base::TokenCount,
    std::time::Duration,
};

/// What a request is likely to cost an engine of usual pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestCost {
    /// Time to read the prompt.
    pub read: Duration,
    /// Time that the answer adds to the passes in which it is written.
    pub write: Duration,
    /// Tokens of context that it holds in the end.
    pub memory: TokenCount,
}

impl RequestCost {
    /// The cost of a prompt whose answer has `output` tokens.
    pub fn new(speed: &EngineSpeed, prompt: TokenCount, output: TokenCount) -> Self {
        let context = (prompt.0 as f64 + output.0 as f64 / 2.0) / 1_000.0;
        let step = scaled(speed.step_per_stream, 1.0) + scaled(speed.step_per_context, context);
        // The step itself is shared by the streams of a full engine.
        let step = step + scaled(speed.step, 1.0 / f64::from(speed.slots.max(1)));
        Self {
            read: speed.read(prompt),
            write: scaled(step, output.0 as f64),
            memory: TokenCount(prompt.0.saturating_add(output.0)),
        }
    }

    /// Time of the engine that it takes in all.
    pub fn total(&self) -> Duration {
        self.read + self.write
    }
}

/// What one server still has to do, as one process knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerWork {
    /// Requests at the server, those in its queue included.
    pub requests: f64,
    /// Those of this process.
    pub own: f64,
    /// Prompt tokens of this process's requests that have no event yet.
    pub unread: f64,
    /// Output tokens that are still expected of this process's requests.
    pub unwritten: f64,
    /// Slowdown against the model's pace; 1 is usual.
    pub pace: f64,
    /// Share of sends that fail.
    pub failing: f64,
}

/// Time that a request loses at a server that fails it: about that after which it is sent elsewhere.
const FAILURE_COST: Duration = Duration::from_millis(700);

/// Deviation of the number of requests at a server from what is known of it, as a share of the root of
/// that number: reports are some hundred milliseconds old.
const COUNT_DEVIATION: f64 = 0.5;
/// Exponent up to which the exponential is computed; beyond it the queue is the excess itself.
const MAX_EXCESS: f64 = 30.0;
/// Largest share of its time that a server is taken to read prompts.
const MAX_READING: f64 = 0.8;

impl ServerWork {
    /// Expected time to the first event of a request with `prompt`. `model_pace` is that of
    /// [`EngineSpeed::model_pace`].
    pub fn first_event(
        &self,
        speed: &EngineSpeed,
        model_pace: f64,
        prompt: TokenCount,
    ) -> Duration {
        let slots = f64::from(speed.slots.max(1));
        let pass = speed.pass(self.requests.min(slots));
        let slot_wait = scaled(pass, self.queued(slots) * self.events_left(speed) / slots);
        let reading = self.reading(speed, pass) + speed.read(prompt);
        let usual = slot_wait + pass / 2 + reading + pass;
        let wait = scaled(usual, self.pace * model_pace);
        // It costs another attempt, here or at a server like this one, as often as it fails.
        scaled(wait, 1.0 / (1.0 - self.failing)) + scaled(FAILURE_COST, self.failing)
    }

    /// Expected length of the queue for a slot with one more request. The number of requests is not known
    /// exactly, so that the queue of a server that is almost full is not empty.
    fn queued(&self, slots: f64) -> f64 {
        let deviation = self.requests.max(1.0).sqrt() * COUNT_DEVIATION;
        let excess = (self.requests + 1.0 - slots) / deviation;
        deviation * excess.min(MAX_EXCESS).exp().ln_1p().max(excess)
    }

    /// Time to read the prompts that are there: those of this process, and as many of others as come and
    /// wait at a server that is busy with them for that share of its time.
    fn reading(&self, speed: &EngineSpeed, pass: Duration) -> Duration {
        let others = (self.requests - self.own).max(0.0);
        let stay = scaled(pass, speed.events(speed.usual.answer)).as_secs_f64();
        let read = speed.read(speed.usual.prompt);
        let busy = (others * read.as_secs_f64() / stay.max(f64::EPSILON)).min(MAX_READING);
        speed.read_some(self.unread) + scaled(read, busy / (1.0 - busy))
    }

    /// Mean number of events until a request at the server ends.
    fn events_left(&self, speed: &EngineSpeed) -> f64 {
        let stride = f64::from(speed.stride.max(1));
        // Seen at any moment, an answer whose length has no memory has its whole mean left.
        let others = (self.requests - self.own).max(0.0) * speed.events(speed.usual.answer);
        (self.unwritten / stride + others) / self.requests.max(1.0)
    }
}
