//! Frames of a stream: how they are written, and how faults change them on their way.

use {
    crate::{engine::request::CompletionRequest, fault::FrameFaults},
    base::AttemptId,
    bytes::Bytes,
    engine::wire::DONE_EVENT,
    http_body::Frame,
    rand::Rng,
    rand_pcg::Pcg64Mcg,
    serde_json::{Value, json},
    std::{io, time::Duration},
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

/// One token of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerToken {
    /// Its number, from 0.
    pub index: u64,
    /// Its text.
    pub text: String,
    /// Whether it is the last one.
    pub last: bool,
}

/// What a response body is made of.
pub type BodyPart = Result<Frame<Bytes>, io::Error>;

/// Writes the JSON objects of the completions protocol.
#[derive(Clone, Debug)]
pub struct EventWriter {
    chat: bool,
    model: String,
    prompt_tokens: u64,
}

impl EventWriter {
    /// A writer for the answer to `request`.
    pub fn new(request: &CompletionRequest) -> Self {
        let model = request.model.clone();
        Self { chat: request.chat, model, prompt_tokens: request.prompt_tokens }
    }

    /// One event of a stream.
    pub fn event(&self, attempt: &AttemptId, token: &AnswerToken) -> Bytes {
        let finish = if token.last { json!("length") } else { Value::Null };
        let (object, choice) = match self.chat {
            true => (
                "chat.completion.chunk",
                json!({"index": 0, "delta": {"content": token.text}, "finish_reason": finish}),
            ),
            false => (
                "text_completion",
                json!({"index": 0, "text": token.text, "finish_reason": finish}),
            ),
        };
        let mut event = self.envelope(attempt, object, choice);
        event["gf_attempt"] = json!(attempt);
        event["gf_index"] = json!(token.index);
        if token.last {
            event["usage"] = self.usage(token.index + 1);
        }
        Bytes::from(format!("data: {event}\n\n"))
    }

    /// The one object of an answer that is no stream.
    pub fn whole(&self, attempt: &AttemptId, text: &str, tokens: u64) -> Value {
        let (object, choice) = match self.chat {
            true => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "length",
                }),
            ),
            false => {
                ("text_completion", json!({"index": 0, "text": text, "finish_reason": "length"}))
            }
        };
        let mut answer = self.envelope(attempt, object, choice);
        answer["usage"] = self.usage(tokens);
        answer
    }

    fn envelope(&self, attempt: &AttemptId, object: &str, choice: Value) -> Value {
        json!({
            "id": format!("cmpl-{attempt}"),
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        })
    }

    fn usage(&self, tokens: u64) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": self.prompt_tokens + tokens,
        })
    }
}

/// Sends the frames of one stream, changed by the engine's faults.
pub struct FrameShaper {
    writer: EventWriter,
    attempt: AttemptId,
    earlier: AttemptId,
    faults: FrameFaults,
    random: Pcg64Mcg,
    sender: UnboundedSender<BodyPart>,
    sent: u64,
    held: Option<Bytes>,
    stopped: bool,
}

impl FrameShaper {
    /// A shaper and the body it fills. `earlier` names the attempt of foreign frames.
    pub fn new(
        writer: EventWriter,
        attempt: AttemptId,
        earlier: AttemptId,
        faults: FrameFaults,
        random: Pcg64Mcg,
    ) -> (Self, UnboundedReceiver<BodyPart>) {
        let (sender, receiver) = unbounded_channel();
        let shaper = Self {
            writer,
            attempt,
            earlier,
            faults,
            random,
            sender,
            sent: 0,
            held: None,
            stopped: false,
        };
        (shaper, receiver)
    }

    /// Sends a token.
    pub fn push(&mut self, token: &AnswerToken) {
        self.stop_at_limit();
        let event = self.writer.event(&self.attempt, token);
        if self.chance(self.faults.late_percent) {
            self.emit_late(event);
        } else if self.held.is_none() && self.chance(self.faults.swap_percent) {
            self.held = Some(event);
        } else {
            self.emit_twice(event);
            if let Some(held) = self.held.take() {
                self.emit(held);
            }
        }
        if self.chance(self.faults.foreign_percent) {
            let foreign = self.writer.event(&self.earlier, token);
            self.emit(foreign);
        }
        self.sent += 1;
    }

    /// Ends a whole stream by its end mark.
    pub fn finish(mut self) {
        self.stop_at_limit();
        if let Some(held) = self.held.take() {
            self.emit(held);
        }
        self.emit(Bytes::from(format!("data: {DONE_EVENT}\n\n")));
        self.linger();
    }

    /// Breaks the connection.
    pub fn abort(mut self) {
        self.break_connection();
        self.linger();
    }

    /// Resolves when nobody reads the body any more.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Stops the stream in front of the frame behind its last one; by then that one was sent.
    fn stop_at_limit(&mut self) {
        if self.faults.cut_after == Some(self.sent) {
            self.break_connection();
        }
        if self.faults.silent_after == Some(self.sent) {
            self.stopped = true;
        }
    }

    fn break_connection(&mut self) {
        if !self.stopped {
            let broken = io::Error::new(io::ErrorKind::ConnectionReset, "the stream was cut");
            // A reader that is gone needs no error.
            let _ = self.sender.send(Err(broken));
        }
        self.stopped = true;
    }

    /// Keeps a silent body open until its reader goes.
    fn linger(self) {
        if self.stopped {
            tokio::spawn(async move { self.sender.closed().await });
        }
    }

    fn emit_twice(&mut self, event: Bytes) {
        if self.chance(self.faults.duplicate_percent) {
            self.emit(event.clone());
        }
        self.emit(event);
    }

    fn emit(&self, event: Bytes) {
        if !self.stopped {
            // A reader that is gone is noticed by `closed`.
            let _ = self.sender.send(Ok(Frame::data(event)));
        }
    }

    fn emit_late(&self, event: Bytes) {
        if self.stopped {
            return;
        }
        let sender = self.sender.clone();
        let late = Duration::from_millis(self.faults.late_ms);
        tokio::spawn(async move {
            tokio::time::sleep(late).await;
            let _ = sender.send(Ok(Frame::data(event)));
        });
    }

    fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.random.random_range(0..100) < percent
    }
}
