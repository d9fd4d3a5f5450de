//! Passes the answer of a run to the caller, as an event stream or as a single response.

use {
    crate::{collector::AnswerCollector, record::StreamRecord, refusal::Refusal},
    bytes::{BufMut, Bytes, BytesMut},
    engine::{TokenFrame, WholeAnswer, wire},
    http::{HeaderValue, StatusCode},
    http_body::{Body, Frame},
    std::{
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::{mpsc, oneshot},
};

/// Events buffered for a slow caller before the run waits for it.
const MAX_BUFFERED_EVENTS: usize = 16;

/// The first part of an answer, which determines the HTTP response.
#[derive(Debug)]
pub enum AnswerStart {
    /// An event stream. It starts with the first event, so that earlier failures can still be
    /// refused with an HTTP status.
    Stream(EventBody),
    /// A complete answer to send as a single response.
    Whole(WholeAnswer),
    /// The request failed before any part of an answer was sent.
    Refused(Refusal),
}

/// The response body of an event stream; ends when its sink is dropped.
#[derive(Debug)]
pub struct EventBody(mpsc::Receiver<Bytes>);

impl Body for EventBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(context).map(|event| event.map(|event| Ok(Frame::data(event))))
    }
}

/// Why a frame could not be passed on.
#[derive(Debug, PartialEq, Eq)]
pub enum SinkError {
    /// The caller closed its connection.
    CallerLeft,
    /// The engine's event is not a JSON object.
    BadEvent,
}

#[derive(Debug)]
enum SinkMode {
    Stream(Option<EventSender>),
    Collect(Box<AnswerCollector>),
}

/// Sends the events of a stream to its body.
#[derive(Debug)]
struct EventSender {
    events: mpsc::Sender<Bytes>,
    /// Place of the last event, so that the end of a run does not wait for a slow caller.
    last: mpsc::OwnedPermit<Bytes>,
}

impl EventSender {
    fn new() -> (Self, EventBody) {
        let (events, receiver) = mpsc::channel(MAX_BUFFERED_EVENTS + 1);
        let last = events.clone().try_reserve_owned().expect("a new channel has room");
        (Self { events, last }, EventBody(receiver))
    }
}

/// Receives the frames of an answer in order and forwards or collects them.
#[derive(Debug)]
pub struct AnswerSink {
    start: Option<oneshot::Sender<AnswerStart>>,
    mode: SinkMode,
    /// Present if the run continues without its caller; records the stream for the claim.
    record: Option<StreamRecord>,
}

impl AnswerSink {
    /// Creates a sink that streams, and the receiver of the answer's start.
    pub fn stream() -> (Self, oneshot::Receiver<AnswerStart>) {
        Self::with_mode(SinkMode::Stream(None))
    }

    /// Creates a sink that collects a single response, and the receiver of that response.
    pub fn collect(collector: AnswerCollector) -> (Self, oneshot::Receiver<AnswerStart>) {
        Self::with_mode(SinkMode::Collect(Box::new(collector)))
    }

    fn with_mode(mode: SinkMode) -> (Self, oneshot::Receiver<AnswerStart>) {
        let (start, started) = oneshot::channel();
        (Self { start: Some(start), mode, record: None }, started)
    }

    /// Lets the run continue after the caller leaves. Used for claimed requests, whose answer is
    /// stored and returned if the request is submitted again.
    pub fn detach(mut self) -> Self {
        self.record = Some(StreamRecord::default());
        self
    }

    /// Whether a part of the answer was sent to the caller.
    pub fn has_sent_events(&self) -> bool {
        matches!(self.mode, SinkMode::Stream(Some(_)))
    }

    /// Waits until the caller closes its connection. Never returns for a detached run.
    pub async fn caller_left(&mut self) {
        if self.record.is_some() {
            return std::future::pending().await;
        }
        match (&mut self.mode, &mut self.start) {
            (SinkMode::Stream(Some(sender)), _) => sender.events.closed().await,
            (_, Some(start)) => start.closed().await,
            _ => {}
        }
    }

    /// Sends or collects the next frame; waits if a slow caller's buffer is full.
    pub async fn push(&mut self, frame: &TokenFrame) -> Result<(), SinkError> {
        match &mut self.mode {
            SinkMode::Collect(collector) => {
                collector.add(&frame.payload).map_err(|_| SinkError::BadEvent)
            }
            SinkMode::Stream(_) => self.send(data_event(&frame.payload)).await,
        }
    }

    /// Completes the answer. Returns it if it was collected, or if its recorded stream is small
    /// enough to be stored.
    pub fn finish(mut self) -> Option<WholeAnswer> {
        match self.mode {
            SinkMode::Stream(_) => {
                self.send_last(data_event(wire::DONE_EVENT.as_bytes()));
                self.record.and_then(StreamRecord::into_answer)
            }
            SinkMode::Collect(collector) => {
                let answer = WholeAnswer {
                    status: StatusCode::OK,
                    content_type: Some(HeaderValue::from_static("application/json")),
                    body: collector.finish(),
                };
                let _ = send_start(self.start, AnswerStart::Whole(answer.clone()));
                Some(answer)
            }
        }
    }

    /// Sends an answer that the engine returned as a single response.
    pub fn finish_whole(self, answer: WholeAnswer) {
        let _ = send_start(self.start, AnswerStart::Whole(answer));
    }

    /// Ends the answer with a refusal, as an error event if the stream has begun.
    pub fn refuse(mut self, refusal: Refusal) {
        if self.has_sent_events() {
            self.send_last(error_event(&refusal.as_cut()));
        } else {
            let _ = send_start(self.start, AnswerStart::Refused(refusal));
        }
    }

    async fn send(&mut self, event: Bytes) -> Result<(), SinkError> {
        let SinkMode::Stream(sender) = &mut self.mode else { return Ok(()) };
        let detached = self.record.is_some();
        if let Some(record) = &mut self.record {
            record.add(&event);
        }
        let sender = match sender {
            Some(sender) => sender,
            None => {
                let (new_sender, body) = EventSender::new();
                let begun = send_start(self.start.take(), AnswerStart::Stream(body));
                if !detached {
                    begun?;
                }
                sender.insert(new_sender)
            }
        };
        match sender.events.send(event).await {
            Err(_) if !detached => Err(SinkError::CallerLeft),
            _ => Ok(()),
        }
    }

    /// Sends the event that ends a stream. The answer has the same end if the caller left.
    fn send_last(&mut self, event: Bytes) {
        if let Some(record) = &mut self.record {
            record.add(&event);
        }
        if let SinkMode::Stream(sender) = &mut self.mode
            && let Some(sender) = sender.take()
        {
            let _ = sender.last.send(event);
        }
    }
}

fn send_start(
    start: Option<oneshot::Sender<AnswerStart>>,
    answer: AnswerStart,
) -> Result<(), SinkError> {
    let start = start.ok_or(SinkError::CallerLeft)?;
    start.send(answer).map_err(|_| SinkError::CallerLeft)
}

fn data_event(payload: &[u8]) -> Bytes {
    let mut event = BytesMut::with_capacity(payload.len() + 8);
    event.put_slice(b"data: ");
    event.put_slice(payload);
    event.put_slice(b"\n\n");
    event.freeze()
}

fn error_event(refusal: &Refusal) -> Bytes {
    let document = refusal.document();
    let mut event = BytesMut::with_capacity(document.len() + 24);
    event.put_slice(b"event: error\ndata: ");
    event.put_slice(&document);
    event.put_slice(b"\n\n");
    event.freeze()
}
