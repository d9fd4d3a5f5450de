//! Whether an answer is whole and its own.

use {
    crate::events::ServerEvent,
    engine::{prompt::prefix_name, wire},
    serde::Deserialize,
    serde_json::Value,
    twox_hash::XxHash3_64,
};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestEnd {
    /// The whole answer came.
    Whole,
    /// The caller was told that it was not run, or nothing could be sent.
    NotRun,
    /// The caller was told that its outcome is not known.
    Unknown,
    /// The caller was told that its stream was cut.
    Cut,
    /// Nothing was told: the connection broke or fell silent.
    Lost,
}

/// The end of a request and what was wrong with the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerVerdict {
    /// How it ended.
    pub end: RequestEnd,
    /// HTTP status; 0 when there was none.
    pub status: u16,
    /// The kind of problem that was told; empty when none was.
    pub problem: String,
    /// What the answer violates.
    pub violation: Option<String>,
}

impl AnswerVerdict {
    /// An end without a violation.
    pub fn of(end: RequestEnd, status: u16) -> Self {
        Self { end, status, problem: String::new(), violation: None }
    }

    /// A whole answer that is not as it must be.
    pub fn wrong(status: u16, violation: impl Into<String>) -> Self {
        Self { violation: Some(violation.into()), ..Self::of(RequestEnd::Whole, status) }
    }
}

/// What the answer to a completion must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedAnswer {
    /// Digest of the prompt.
    pub digest: u64,
    /// Number of tokens.
    pub tokens: u64,
    /// Whether the tokens are those of a stand-in engine.
    pub standin: bool,
}

impl ExpectedAnswer {
    fn token(&self, index: u64) -> Option<String> {
        self.standin.then(|| standin::answer::token_text(self.digest, index))
    }

    /// Checks the one object of an answer that is no stream.
    pub fn check_whole(&self, status: u16, body: &[u8]) -> AnswerVerdict {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return AnswerVerdict::wrong(status, "the answer is no JSON");
        };
        let text = body["choices"][0]["message"]["content"].as_str();
        let text = text.or(body["choices"][0]["text"].as_str()).unwrap_or_default();
        let tokens = body["usage"]["completion_tokens"].as_u64();
        if tokens != Some(self.tokens) {
            let problem = format!("{tokens:?} tokens instead of {}", self.tokens);
            return AnswerVerdict::wrong(status, problem);
        }
        if self.standin && text != standin::answer::whole_text(self.digest, self.tokens) {
            return AnswerVerdict::wrong(status, format!("not the answer to this prompt: {text}"));
        }
        AnswerVerdict::of(RequestEnd::Whole, status)
    }
}

/// Fields of a problem document that matter here.
#[derive(Deserialize)]
struct ProblemBody {
    outcome: String,
    #[serde(default, rename = "type")]
    kind: String,
}

/// The end that a problem document or an outcome header tells of.
pub fn told_end(status: u16, header: Option<&str>, body: &[u8]) -> AnswerVerdict {
    let document = serde_json::from_slice::<ProblemBody>(body).ok();
    let told = document.as_ref().map(|document| document.outcome.as_str()).or(header);
    let end = match told {
        Some(wire::OUTCOME_NOT_RUN) => RequestEnd::NotRun,
        Some(wire::OUTCOME_UNKNOWN) => RequestEnd::Unknown,
        Some("cut") => RequestEnd::Cut,
        _ => {
            let violation = Some(format!("status {status} without an outcome"));
            return AnswerVerdict { violation, ..AnswerVerdict::of(RequestEnd::Lost, status) };
        }
    };
    let kind = document.map_or_else(String::new, |document| document.kind);
    let problem = kind.rsplit(':').next().unwrap_or_default().to_owned();
    AnswerVerdict { problem, ..AnswerVerdict::of(end, status) }
}

/// Checks a stream event by event.
#[derive(Debug)]
pub struct StreamCheck {
    expected: ExpectedAnswer,
    next: u64,
    finished: bool,
    done: bool,
    told: Option<AnswerVerdict>,
    violation: Option<String>,
}

impl StreamCheck {
    /// A check before the first event.
    pub fn new(expected: ExpectedAnswer) -> Self {
        Self { expected, next: 0, finished: false, done: false, told: None, violation: None }
    }

    /// Takes in an event; true when it brought a token.
    pub fn take(&mut self, event: &ServerEvent) -> bool {
        if self.done || self.told.is_some() {
            self.fail("an event behind the end".to_owned());
            return false;
        }
        if event.name == "error" {
            self.told = Some(told_end(200, None, event.data.as_bytes()));
            return false;
        }
        if event.data == wire::DONE_EVENT {
            self.done = true;
            return false;
        }
        match serde_json::from_str(&event.data) {
            Ok(data) => self.take_token(&data),
            Err(error) => self.fail(format!("an event that is no JSON: {error}")),
        }
        true
    }

    /// Tokens that came.
    pub fn tokens(&self) -> u64 {
        self.next
    }

    /// What the stream came to, once its body ended; `clean` says that it ended without an error.
    pub fn verdict(mut self, status: u16, clean: bool) -> AnswerVerdict {
        if let Some(told) = self.told {
            return AnswerVerdict { violation: self.violation.or(told.violation), ..told };
        }
        if !self.done {
            let silent_end = clean.then(|| "the stream ended without an end mark".to_owned());
            let violation = self.violation.or(silent_end);
            return AnswerVerdict { violation, ..AnswerVerdict::of(RequestEnd::Lost, status) };
        }
        if !self.finished || self.next != self.expected.tokens {
            let problem = format!("{} tokens instead of {}", self.next, self.expected.tokens);
            self.fail(problem);
        }
        AnswerVerdict { violation: self.violation, ..AnswerVerdict::of(RequestEnd::Whole, status) }
    }

    fn take_token(&mut self, data: &Value) {
        let choice = &data["choices"][0];
        let text = choice["delta"]["content"].as_str().or(choice["text"].as_str());
        let expected = self.expected.token(self.next);
        if expected.is_some() && text != expected.as_deref() {
            let problem = format!("token {} is {text:?} instead of {expected:?}", self.next);
            self.fail(problem);
        }
        if let Some(index) = data["gf_index"].as_u64().filter(|index| *index != self.next) {
            self.fail(format!("token {index} instead of {}", self.next));
        }
        self.finished = !choice["finish_reason"].is_null();
        self.next += 1;
    }

    fn fail(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }
}

/// Checks the answer of a stand-in service to a call with this body.
pub fn check_service(status: u16, service: &str, sent: &[u8], body: &[u8]) -> AnswerVerdict {
    let Ok(answer) = serde_json::from_slice::<Value>(body) else {
        return AnswerVerdict::wrong(status, "the answer is no JSON");
    };
    let digest = prefix_name(XxHash3_64::oneshot(sent));
    if answer["service"].as_str() != Some(service) {
        return AnswerVerdict::wrong(status, format!("answered by {}", answer["service"]));
    }
    if answer["digest"].as_str() != Some(&digest) {
        let problem = format!("answer to {} instead of {digest}", answer["digest"]);
        return AnswerVerdict::wrong(status, problem);
    }
    AnswerVerdict::of(RequestEnd::Whole, status)
}
