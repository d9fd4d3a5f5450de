//! Passes a stream of events on, and goes on at another server when its server fails.

use {
    crate::{
        codec::RequestCodec,
        events::EventCutter,
        request::RequestKind,
        send::LiveAnswer,
        service::{CallProgress, CallTerms, HEAD_SILENCE, RelayService},
    },
    bytes::Bytes,
    http::Response,
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    hyper::body::{Body, Frame},
    snafu::Snafu,
    std::{
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{sync::mpsc, time::timeout},
    tracing::info,
};

/// The body of an answer to a caller.
pub(crate) type RelayBody = UnsyncBoxBody<Bytes, StreamCut>;

/// A stream ends before its end; the caller's connection is closed without an end mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the stream was cut before its end"))]
pub struct StreamCut;

/// Pieces that may wait for a slow caller; beyond them the server has to wait too.
const PIECES_WAITING: usize = 4;
/// A stream without an event for this long goes on at another server, if its server moves nothing
/// else either. A pass of a busy group takes under 200 ms.
const EVENT_SILENCE: Duration = Duration::from_millis(600);
/// A stream without an event for this long is reported to the owner of its fabric domain, which can
/// ask all members; several passes of a busy group.
const STALL_SIGN: Duration = Duration::from_millis(250);
/// Silences in a row after which it does not matter whether the server moves something else.
const MAX_SILENCES: u32 = 3;
/// How long a server is shunned whose stream broke.
const SHUN_SPAN: Duration = Duration::from_millis(800);

enum Piece {
    Events(Bytes),
    End,
}

struct PieceBody {
    pieces: mpsc::Receiver<Piece>,
    ended: bool,
}

impl Body for PieceBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.pieces.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Piece::Events(bytes))) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Poll::Ready(Some(Piece::End)) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                self.ended = true;
                Poll::Ready(Some(Err(StreamCut)))
            }
        }
    }
}

/// The body of a whole answer.
pub(crate) fn full_body(body: Full<Bytes>) -> RelayBody {
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Why one server's part of a stream is over.
enum PartEnd {
    Whole,
    CallerLeft,
    Broken(&'static str),
    OutOfTime,
}

/// One stream on its way to a caller.
pub(crate) struct StreamPump<C> {
    service: Arc<RelayService<C>>,
    terms: CallTerms,
    progress: CallProgress,
    cutter: EventCutter,
    pieces: mpsc::Sender<Piece>,
    passed: bool,
}

impl<C: RequestCodec> StreamPump<C> {
    /// Begins to pass the answer on.
    pub(crate) fn start(
        service: Arc<RelayService<C>>,
        terms: CallTerms,
        progress: CallProgress,
        answer: Box<LiveAnswer>,
    ) -> Response<RelayBody> {
        let mut head = answer.head.clone();
        service.codec().strip_answer(&mut head.headers);
        head.headers.remove(http::header::CONTENT_LENGTH);
        let (pieces, received) = mpsc::channel(PIECES_WAITING);
        let body = PieceBody { pieces: received, ended: false }.boxed_unsync();
        let response = service.mark_leaving(Response::from_parts(head, body));
        let cutter = EventCutter::new(None);
        let pump = Self { service, terms, progress, cutter, pieces, passed: false };
        tokio::spawn(pump.run(answer));
        response
    }

    async fn run(mut self, first: Box<LiveAnswer>) {
        let mut answer = first;
        loop {
            let server = answer.server.clone();
            let end = self.pass(&mut answer).await;
            drop(answer);
            let why = match end {
                PartEnd::Whole => {
                    let _ = self.pieces.send(Piece::End).await;
                    self.service.note_end(&self.terms, "whole stream", 200);
                    return;
                }
                PartEnd::CallerLeft => {
                    self.service.note_end(&self.terms, "caller left", 0);
                    return;
                }
                PartEnd::OutOfTime => {
                    self.service.note_end(&self.terms, "cut: out of time", 0);
                    return;
                }
                PartEnd::Broken(why) => why,
            };
            let now = self.service.shared.clock.now();
            server.counters.note_failure(now, SHUN_SPAN);
            self.service.shared.report_stall(&server);
            self.cutter.drop_partial();
            let after = self.cutter.last_id();
            info!(id = %self.terms.id, decision = "stream-broken", server = %server.id, why,
                after = after.unwrap_or(0), "request");
            match self.resume().await {
                Some(next) => answer = next,
                None => return,
            }
        }
    }

    /// An answer of another server that goes on after the last event passed on.
    async fn resume(&mut self) -> Option<Box<LiveAnswer>> {
        if self.terms.kind() != (RequestKind::Stream { resumable: true }) {
            self.service.note_end(&self.terms, "cut: not resumable", 0);
            return None;
        }
        if self.passed && self.cutter.last_id().is_none() {
            self.service.note_end(&self.terms, "cut: events without ids", 0);
            return None;
        }
        self.progress.last_event = self.cutter.last_id();
        let resumed = tokio::select! {
            () = self.pieces.closed() => {
                self.service.note_end(&self.terms, "caller left", 0);
                return None;
            }
            resumed = self.service.acquire(&self.terms, &mut self.progress) => resumed,
        };
        match resumed {
            Ok(answer) if answer.head.status.is_success() => Some(answer),
            Ok(answer) => {
                let status = answer.head.status.as_u16();
                self.service.note_end(&self.terms, "cut: resume failed", status);
                None
            }
            Err(refusal) => {
                let why = refusal.kind.word();
                info!(id = %self.terms.id, decision = "not-resumed", why, "request");
                self.service.note_end(&self.terms, "cut: not resumed", 0);
                None
            }
        }
    }

    /// Passes one server's events on.
    async fn pass(&mut self, answer: &mut LiveAnswer) -> PartEnd {
        let clock = self.service.shared.clock.clone();
        let mut silent = Duration::ZERO;
        loop {
            let left = self.terms.ends.since(clock.now());
            if left.is_zero() {
                return PartEnd::OutOfTime;
            }
            let silence = if self.passed { EVENT_SILENCE } else { HEAD_SILENCE };
            let frame = tokio::select! {
                () = self.pieces.closed() => return PartEnd::CallerLeft,
                frame = timeout(STALL_SIGN.min(left), answer.body.frame()) => frame,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return PartEnd::Broken("connection broke"),
                Ok(None) if self.cutter.drop_partial() => return PartEnd::Broken("half an event"),
                Ok(None) => return PartEnd::Whole,
                Err(_) => {
                    silent += STALL_SIGN;
                    if self.stands_still(answer, silent, silence) {
                        return PartEnd::Broken("silent");
                    }
                    continue;
                }
            };
            silent = Duration::ZERO;
            let now = clock.now();
            answer.server.counters.note_progress(now);
            let Ok(bytes) = frame.into_data() else { continue };
            let Ok(events) = self.cutter.push(bytes) else {
                return PartEnd::Broken("event too long");
            };
            let Some(events) = events else { continue };
            if !self.passed {
                self.passed = true;
                let wait = now.since(self.terms.began);
                answer.server.counters.note_success(wait);
                self.service.shared.metrics.note_first_event(self.terms.kind(), wait);
            }
            if self.pieces.send(Piece::Events(events)).await.is_err() {
                return PartEnd::CallerLeft;
            }
        }
    }

    /// Whether to leave a silent server: it moves nothing else either, and another may go on.
    fn stands_still(&self, answer: &LiveAnswer, silent: Duration, limit: Duration) -> bool {
        let now = self.service.shared.clock.now();
        let moves = answer.server.counters.progressed_within(now, STALL_SIGN);
        if !moves {
            self.service.shared.report_stall(&answer.server);
        }
        if silent < limit || (moves && silent < MAX_SILENCES * limit) {
            return false;
        }
        self.service.may_send(&self.terms, &self.progress)
    }
}
