//! What this process has learned about the cost of requests, and what it expects of one.

use {
    crate::{
        codec::RequestCodec,
        metrics::ErrorHistograms,
        server::BackendServer,
        service::{CallContext, RelayService},
    },
    base::{ModelName, ServiceName, SharedClock, Tick, TokenCount},
    cost::{
        AnswerEnd, AnswerKind, AnswerSizes, EngineSpeed, FirstEventErrors, FirstEventEstimate,
        OutputEstimate, PromptSize, RequestCost, scaled,
    },
    parking_lot::Mutex,
    std::{collections::HashMap, fmt, sync::Arc, time::Duration},
};

/// The engines whose first events are compared with what was expected.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct EngineKind {
    service: ServiceName,
    model: Option<ModelName>,
}

/// What a request is expected to cost.
#[derive(Clone, Debug)]
pub struct WorkFacts {
    /// Speed of the engines of its service.
    pub speed: Arc<EngineSpeed>,
    /// Factor of its model.
    pub model_pace: f64,
    /// Its size; that of usual requests if it names none.
    pub size: PromptSize,
    /// Its likely output.
    pub output: OutputEstimate,
    engines: EngineKind,
    kind: AnswerKind,
    /// Whether its answer tells the size of answers of its kind: not if it goes on after an event.
    is_whole: bool,
}

impl WorkFacts {
    /// The work of the request.
    pub fn cost(&self) -> RequestCost {
        RequestCost::new(&self.speed, self.size.prompt, self.output.tokens)
    }

    pub(crate) fn route(&self) -> &str {
        &self.kind.route
    }

    /// Time that a request usually stays at a server that is moderately loaded.
    pub(crate) fn stay(&self) -> Duration {
        let streams = f64::from(self.speed.slots) / 2.0;
        scaled(self.pass(streams), self.speed.events(self.speed.usual.answer))
    }

    /// Time between two events at a server of usual pace with `requests`.
    pub(crate) fn pass(&self, requests: f64) -> Duration {
        let streams = requests.clamp(1.0, f64::from(self.speed.slots.max(1)));
        scaled(self.speed.pass(streams), self.model_pace)
    }

    /// Expected time to the first event at a server, before correction by earlier errors.
    pub(crate) fn first_event(
        &self,
        server: &BackendServer,
        usual_pace: f64,
        now: Tick,
    ) -> Duration {
        let work = server.counters.work(self.stay(), usual_pace, now);
        work.first_event(&self.speed, self.model_pace, self.size.prompt)
    }
}

/// The mean slowdown of the servers whose streams this process has seen lately; 1 without any.
pub(crate) fn usual_pace<'a>(servers: impl Iterator<Item = &'a BackendServer>, now: Tick) -> f64 {
    let paces = servers.filter_map(|server| server.counters.backlog.recent_pace(now));
    let (sum, count) = paces.fold((0.0, 0.0), |(sum, count), pace| (sum + pace, count + 1.0));
    if count > 0.0 { sum / count } else { 1.0 }
}

/// Sizes of answers and errors of estimates, as this process saw them.
pub struct CostBook {
    answers: Mutex<AnswerSizes>,
    errors: Mutex<HashMap<EngineKind, FirstEventErrors>>,
    seen_errors: ErrorHistograms,
    clock: SharedClock,
}

impl fmt::Debug for CostBook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CostBook").finish_non_exhaustive()
    }
}

impl CostBook {
    /// An empty book that adds the errors of its estimates to `seen_errors`.
    pub fn new(seen_errors: ErrorHistograms, clock: SharedClock) -> Self {
        Self { answers: Mutex::default(), errors: Mutex::default(), seen_errors, clock }
    }

    pub(crate) fn clock(&self) -> &SharedClock {
        &self.clock
    }

    /// Corrects an expected time by the errors of earlier ones.
    pub(crate) fn estimate(&self, facts: &WorkFacts, expected: Duration) -> FirstEventEstimate {
        let errors = self.errors.lock().get(&facts.engines).copied().unwrap_or_default();
        errors.estimate(expected)
    }

    pub(crate) fn note_first_event(&self, facts: &WorkFacts, expected: Duration, seen: Duration) {
        let mut errors = self.errors.lock();
        let errors = errors.entry(facts.engines.clone()).or_default();
        let estimate = errors.estimate(expected);
        errors.note(expected, seen);
        self.seen_errors.note(estimate.wait, seen);
    }

    pub(crate) fn note_no_event(&self, facts: &WorkFacts, expected: Duration, waited: Duration) {
        self.errors.lock().entry(facts.engines.clone()).or_default().note_none(expected, waited);
    }

    pub(crate) fn note_answer(&self, facts: &WorkFacts, tokens: TokenCount, end: AnswerEnd) {
        if facts.is_whole {
            let usual = facts.speed.usual.answer;
            self.answers.lock().note(&facts.kind, &facts.size, usual, tokens, end);
        }
    }
}

impl<C: RequestCodec> RelayService<C> {
    /// What a request is expected to cost; `None` unless engines of known speed serve it.
    pub(crate) fn work_facts(&self, ctx: &CallContext, is_whole: bool) -> Option<WorkFacts> {
        let config = self.shared.config.load();
        let speed = config.as_ref()?.engine_speed(&ctx.service)?.clone();
        let usual = speed.usual;
        let size = ctx.size.unwrap_or(PromptSize {
            prompt: usual.prompt,
            max_output: usual.answer,
            hint: None,
        });
        let model = ctx.model.clone();
        let kind =
            AnswerKind { route: ctx.route.clone(), model: model.clone(), class: size.class() };
        let output = self.shared.costs.answers.lock().estimate(&kind, &size, usual.answer);
        let model_pace = speed.model_pace(model.as_ref());
        let engines = EngineKind { service: ctx.service.clone(), model };
        Some(WorkFacts { speed, model_pace, size, output, engines, kind, is_whole })
    }
}
