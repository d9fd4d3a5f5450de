//! Fake engines with scripted answers.

use {
    async_trait::async_trait,
    base::AttemptId,
    bytes::Bytes,
    engine::{
        DispatchError, HostProbe, ModelAnswer, ModelBackend, ModelDispatch, NotRunReason,
        ProbedKind, StreamError, StreamFrame, TokenFrame,
    },
    futures::{StreamExt, stream},
    parking_lot::Mutex,
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::atomic::{AtomicBool, Ordering},
        time::Duration,
    },
};

/// One step of a scripted stream.
#[derive(Clone, Debug)]
pub enum Step {
    /// A token of the dispatched attempt, with this index.
    Token(u64),
    /// The last token, with a finish reason and the usage.
    Last(u64),
    /// A token that carries the id of another attempt.
    Foreign(u64),
    /// The `[DONE]` event.
    End,
    /// The connection breaks.
    Break,
    /// No frames for this time.
    Pause(Duration),
    /// No more frames, on an open connection.
    Silence,
}

/// How an engine responds to one dispatch.
#[derive(Clone, Debug)]
pub enum Script {
    /// Streams these steps.
    Stream(Vec<Step>),
    /// Refuses the request as not run.
    Refuse(NotRunReason),
    /// Runs the request, but the answer is lost.
    AnswerLost,
    /// Never answers.
    Silence,
    /// Never connects, so that the permit is not asked.
    NoConnection,
}

/// Uses one script for each dispatch, in order. Without a script, it streams a complete answer.
pub struct ScriptedModels {
    scripts: Mutex<VecDeque<Script>>,
    dispatches: Mutex<Vec<ModelDispatch>>,
    cancelled: Mutex<Vec<AttemptId>>,
    probes: Mutex<Vec<SocketAddr>>,
    alive: AtomicBool,
    before_permit: Mutex<Option<Box<dyn Fn() + Send>>>,
}

/// Number of tokens in the default answer.
pub const ANSWER_TOKENS: u64 = 5;

/// Steps that stream the tokens `from..ANSWER_TOKENS` and end the stream.
pub fn whole_from(from: u64) -> Vec<Step> {
    let last = ANSWER_TOKENS - 1;
    (from..last).map(Step::Token).chain([Step::Last(last), Step::End]).collect()
}

impl Default for ScriptedModels {
    fn default() -> Self {
        Self {
            scripts: Mutex::default(),
            dispatches: Mutex::default(),
            cancelled: Mutex::default(),
            probes: Mutex::default(),
            alive: AtomicBool::new(true),
            before_permit: Mutex::default(),
        }
    }
}

impl ScriptedModels {
    pub fn plan(&self, scripts: impl IntoIterator<Item = Script>) {
        self.scripts.lock().extend(scripts);
    }

    /// Runs `action` in the next dispatch, after the connection is open and before the permit is
    /// checked.
    pub fn before_permit(&self, action: impl Fn() + Send + 'static) {
        *self.before_permit.lock() = Some(Box::new(action));
    }

    pub fn set_alive(&self, alive: bool) {
        self.alive.store(alive, Ordering::SeqCst);
    }

    /// The dispatches whose permit was valid, in order.
    pub fn dispatches(&self) -> Vec<ModelDispatch> {
        self.dispatches.lock().clone()
    }

    pub fn cancelled(&self) -> Vec<AttemptId> {
        self.cancelled.lock().clone()
    }

    pub fn probes(&self) -> usize {
        self.probes.lock().len()
    }
}

/// The event payload with which an engine sends a token.
pub fn token_payload(attempt: &str, index: u64, last: bool) -> Bytes {
    let finish = if last { "\"stop\"" } else { "null" };
    let usage = if last {
        format!(r#","usage":{{"prompt_tokens":1,"completion_tokens":{}}}"#, index + 1)
    } else {
        String::new()
    };
    format!(
        r#"{{"id":"c","object":"chat.completion.chunk","model":"tiny","choices":[{{"index":0,"delta":{{"content":"t{index} "}},"finish_reason":{finish}}}]{usage},"gf_attempt":"{attempt}","gf_index":{index}}}"#
    )
    .into()
}

fn frame(attempt: &AttemptId, index: u64, last: bool) -> StreamFrame {
    let payload = token_payload(attempt.as_str(), index, last);
    StreamFrame::Token(TokenFrame { attempt: Some(attempt.clone()), index, payload, last })
}

fn scripted_answer(attempt: AttemptId, steps: Vec<Step>) -> ModelAnswer {
    let foreign = AttemptId::new("other-attempt").unwrap();
    let frames = stream::iter(steps).filter_map(move |step| {
        let (attempt, foreign) = (attempt.clone(), foreign.clone());
        async move {
            match step {
                Step::Token(index) => Some(Ok(frame(&attempt, index, false))),
                Step::Last(index) => Some(Ok(frame(&attempt, index, true))),
                Step::Foreign(index) => Some(Ok(frame(&foreign, index, false))),
                Step::End => Some(Ok(StreamFrame::End)),
                Step::Break => {
                    Some(Err(StreamError::Broken { detail: "injected fault".to_owned() }))
                }
                Step::Pause(span) => {
                    tokio::time::sleep(span).await;
                    None
                }
                Step::Silence => std::future::pending().await,
            }
        }
    });
    ModelAnswer::Stream(frames.boxed())
}

#[async_trait]
impl ModelBackend for ScriptedModels {
    async fn open(&self, dispatch: ModelDispatch) -> Result<ModelAnswer, DispatchError> {
        let address = dispatch.address;
        tokio::task::yield_now().await;
        if let Some(action) = self.before_permit.lock().take() {
            action();
        }
        if matches!(self.scripts.lock().front(), Some(Script::NoConnection)) {
            self.scripts.lock().pop_front();
            std::future::pending().await
        }
        if !dispatch.permit.is_valid() {
            let reason = NotRunReason::PermitEnded;
            return Err(DispatchError::NotRun { address, reason, retry_after: None });
        }
        let attempt = dispatch.attempt.clone();
        let offset = dispatch.offset;
        self.dispatches.lock().push(dispatch);
        let script = self.scripts.lock().pop_front();
        match script.unwrap_or_else(|| Script::Stream(whole_from(offset))) {
            Script::Stream(steps) => Ok(scripted_answer(attempt, steps)),
            Script::Refuse(reason) => {
                Err(DispatchError::NotRun { address, reason, retry_after: None })
            }
            Script::AnswerLost => {
                Err(DispatchError::Unknown { address, detail: "injected fault".to_owned() })
            }
            Script::Silence | Script::NoConnection => std::future::pending().await,
        }
    }

    async fn cancel(&self, _: SocketAddr, attempt: AttemptId) {
        self.cancelled.lock().push(attempt);
    }
}

#[async_trait]
impl HostProbe for ScriptedModels {
    async fn probe(&self, address: SocketAddr, _: ProbedKind, _: Duration) -> bool {
        self.probes.lock().push(address);
        self.alive.load(Ordering::SeqCst)
    }
}
