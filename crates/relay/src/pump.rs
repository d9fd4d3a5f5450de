//! Forwards a stream of events to the caller and resumes it at another server when its server fails,
//! or once another server has it while its own is silent.

use {
    crate::{
        answer_body::{AnswerBytes, RelayBody, StreamTruncated},
        codec::RequestCodec,
        crash::{AnswerProgress, note_break},
        events::count_events,
        idle::IdleTime,
        loss::LossCause,
        obstacle::SendObstacle,
        place::PlaceSearch,
        progress::CallProgress,
        reader::{EventReader, ReadStep},
        send::LiveAnswer,
        server::BackendServer,
        service::{CallContext, FIRST_EVENT_TIMEOUT, RelayService},
        stopping::StopEffect,
    },
    base::Tick,
    bytes::Bytes,
    http::Response,
    hyper::body::{Body, Frame},
    std::{
        pin::{Pin, pin},
        slice,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    stop::WorkEnd,
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore, mpsc},
        time::{sleep, timeout},
    },
    tracing::info,
};

/// Pieces that are buffered for a slow caller until they are written to its socket; when the buffer is
/// full, reading from the server pauses.
const MAX_BUFFERED_PIECES: u32 = 4;
/// Least memory that a piece takes, in bytes: it keeps the read buffer that it arrived in.
const LEAST_PIECE_BYTES: usize = 8 * 1024;
/// A stream without a further event for this long looks for another server, if its current server
/// makes no progress on other requests either. Two events of a stream from a fully loaded model engine
/// are less than 200 ms apart.
const EVENT_TIMEOUT: Duration = Duration::from_millis(600);
/// A stream without an event for this long is reported as stalled to the owner of its fabric domain,
/// which can query all members of the group. Longer than the time between two events of a fully
/// loaded model engine. Also the most by which [`IdleTime`] grows at once.
pub(crate) const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// Time within which an event is handed over to a caller that reads. After longer the next event may have
/// waited in a buffer, so that its time says nothing about the server.
const MAX_HAND_OVER: Duration = Duration::from_millis(5);
/// After this many timeouts in a row without an event, a stream looks for another server even if its own
/// makes progress on other requests.
const MAX_EVENT_TIMEOUTS: u32 = 3;

/// A part of a stream on its way from the pump to the caller's connection.
enum Piece {
    Events(AnswerBytes),
    End,
}

/// The body of a streamed answer; fails with [`StreamTruncated`] if the pump stops without
/// [`Piece::End`].
pub(crate) struct PieceBody {
    pieces: mpsc::Receiver<Piece>,
    ended: bool,
}

impl Body for PieceBody {
    type Data = AnswerBytes;
    type Error = StreamTruncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<AnswerBytes>, StreamTruncated>>> {
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
                Poll::Ready(Some(Err(StreamTruncated)))
            }
        }
    }
}

/// Why forwarding from one server ended.
enum ForwardEnd {
    /// The server ended its answer after the last event.
    Whole,
    /// The caller's connection closed.
    CallerLeft,
    /// The stream is incomplete and continues at another server, if at all.
    Broken(LossCause),
    /// The server was silent, and another one has answered: the stream continues there.
    Moved { next: Box<LiveAnswer>, why: LossCause },
    /// The caller's deadline or the route's timeout has passed.
    OutOfTime,
    /// This process ends before the stream does.
    Stopping,
}

/// Forwards one stream to a caller, over all servers that serve parts of it.
pub(crate) struct StreamPump<C> {
    service: Arc<RelayService<C>>,
    ctx: CallContext,
    progress: CallProgress,
    reader: EventReader,
    pieces: mpsc::Sender<Piece>,
    /// One permit for each piece that may wait.
    places: Arc<Semaphore>,
    /// The answer of the current server.
    answered: AnswerProgress,
    /// How long the current server has sent no event.
    idle: IdleTime,
    /// Since the last event.
    search: PlaceSearch,
    /// Whether the present silence was noted as a failure of the server.
    is_stall_noted: bool,
    /// Whether the end of the server's connection was checked for a crash.
    is_break_noted: bool,
}

impl<C: RequestCodec> StreamPump<C> {
    /// Spawns the task that forwards the stream, and returns the response that it feeds.
    pub(crate) fn start(
        service: Arc<RelayService<C>>,
        ctx: CallContext,
        progress: CallProgress,
        answer: Box<LiveAnswer>,
    ) -> Response<RelayBody> {
        let mut head = answer.head.clone();
        service.codec().strip_answer(&mut head.headers);
        head.headers.remove(http::header::CONTENT_LENGTH);
        // In an older version the end of the stream could not be told from a cut.
        head.version = http::Version::HTTP_11;
        // Room for the end beside the pieces.
        let (pieces, received) = mpsc::channel(MAX_BUFFERED_PIECES as usize + 1);
        let places = Arc::new(Semaphore::new(MAX_BUFFERED_PIECES as usize));
        let body = RelayBody::Pieces(PieceBody { pieces: received, ended: false });
        let response = service.close_if_leaving(Response::from_parts(head, body));
        let reader = EventReader::new(service.shared.buffers.open(), ctx.resumed_after);
        let idle = IdleTime::new(service.shared.clock.now());
        ctx.trace.start_streaming();
        let pump = Self {
            service,
            ctx,
            progress,
            reader,
            pieces,
            places,
            answered: AnswerProgress::default(),
            idle,
            search: PlaceSearch::default(),
            is_stall_noted: false,
            is_break_noted: false,
        };
        tokio::spawn(pump.run(answer));
        response
    }

    async fn run(mut self, first: Box<LiveAnswer>) {
        let mut answer = first;
        loop {
            let (server, forwarded) = (answer.server.clone(), answer.is_forwarded);
            self.answered = AnswerProgress::default();
            self.idle = IdleTime::new(self.service.shared.clock.now());
            self.search = PlaceSearch::default();
            self.is_stall_noted = false;
            self.is_break_noted = false;
            let end = self.forward(&mut answer).await;
            if let (ForwardEnd::Whole, Some(work)) = (&end, answer.work()) {
                work.note_whole();
            }
            drop(answer);
            let end = match end {
                ForwardEnd::Whole => self.send_piece(Piece::End).err().unwrap_or(end),
                _ => end,
            };
            let why = match end {
                ForwardEnd::Whole => {
                    self.service.note_end(&self.ctx, WorkEnd::Whole, "whole stream", 200);
                    return;
                }
                ForwardEnd::CallerLeft => {
                    self.service.note_end(&self.ctx, WorkEnd::Abandoned, "caller left", 0);
                    return;
                }
                ForwardEnd::OutOfTime => {
                    self.service.note_end(&self.ctx, WorkEnd::Cut, "cut: out of time", 0);
                    return;
                }
                ForwardEnd::Stopping => {
                    self.note_stopped();
                    return;
                }
                ForwardEnd::Moved { next, why } => {
                    self.note_moved(&server, &next.server, why).await;
                    answer = next;
                    continue;
                }
                ForwardEnd::Broken(why) => why,
            };
            self.note_crash(&server, why).await;
            self.note_broken(&server, forwarded, why);
            match self.resume().await {
                Some(next) => answer = next,
                None => return,
            }
        }
    }

    /// Checks, once, whether a server whose connection ended has crashed.
    async fn note_crash(&mut self, server: &BackendServer, why: LossCause) {
        if !self.is_break_noted {
            self.is_break_noted = true;
            let is_sound = self.answered.is_sound();
            note_break(
                &self.service.shared,
                &self.ctx,
                &self.progress.record,
                server,
                why,
                is_sound,
            )
            .await;
        }
    }

    /// Records that the stream goes on at another server, and forgets the incomplete event of the one
    /// that it left.
    async fn note_moved(&mut self, from: &BackendServer, to: &BackendServer, why: LossCause) {
        self.note_crash(from, why).await;
        if !matches!(why, LossCause::Silent | LossCause::NoProgress) {
            self.service.note_stalled(from);
        }
        self.service.shared.metrics.note_loss(self.ctx.kind, why);
        self.reader.discard_partial();
        let after = self.reader.last_id().unwrap_or(0);
        let idle_ms = self.idle.total_ms();
        info!(id = %self.ctx.id, decision = "moved", from = %from.id, to = %to.id, %why, after,
            idle_ms, "request");
    }

    /// Records that the stream of a server is incomplete, and forgets its incomplete event.
    fn note_broken(&mut self, server: &BackendServer, forwarded: bool, why: LossCause) {
        let shared = &self.service.shared;
        let now = shared.clock.now();
        let busy = server.counters.progressed_within(now, STALL_THRESHOLD);
        self.service.note_stalled(server);
        shared.metrics.note_loss(self.ctx.kind, why);
        self.reader.discard_partial();
        let after = self.reader.last_id();
        let idle_ms = self.idle.total_ms();
        info!(id = %self.ctx.id, decision = "stream-broken", server = %server.id, %why,
            sound = self.answered.is_sound(), after = after.unwrap_or(0), idle_ms, busy, forwarded,
            "request");
    }

    /// Sends the request again so that another server continues after the last forwarded event. If
    /// that fails, logs the end of the request and returns `None`.
    async fn resume(&mut self) -> Option<Box<LiveAnswer>> {
        if !self.ctx.kind.is_resumable() {
            self.service.note_end(&self.ctx, WorkEnd::Cut, "cut: not resumable", 0);
            return None;
        }
        if !self.reader.is_resumable() {
            self.service.note_end(&self.ctx, WorkEnd::Cut, "cut: events without ids", 0);
            return None;
        }
        self.progress.last_event = self.reader.last_id();
        let resumed = tokio::select! {
            () = self.pieces.closed() => {
                self.service.note_end(&self.ctx, WorkEnd::Abandoned, "caller left", 0);
                return None;
            }
            () = self.service.ending() => {
                self.note_stopped();
                return None;
            }
            resumed = self.service.send_until_answered(&self.ctx, &mut self.progress) => resumed,
        };
        match resumed {
            Ok(answer) if answer.head.status.is_success() => Some(answer),
            Ok(answer) => {
                let status = answer.head.status.as_u16();
                self.service.note_end(&self.ctx, WorkEnd::Cut, "cut: resume failed", status);
                None
            }
            Err(refusal) if StopEffect::of_refusal(refusal.kind).is_some() => {
                self.note_stopped();
                None
            }
            Err(refusal) => {
                let why = refusal.kind.code();
                let obstacle = refusal.obstacle.map(SendObstacle::label);
                info!(id = %self.ctx.id, decision = "not-resumed", why, obstacle, "request");
                self.service.note_end(&self.ctx, WorkEnd::Cut, "cut: not resumed", 0);
                None
            }
        }
    }

    fn note_stopped(&self) {
        let effect = StopEffect::Cut { last_event: self.reader.last_id() };
        self.service.log_stopped(&self.ctx.trace, effect);
        self.service.note_end(&self.ctx, WorkEnd::Cut, "cut: stopping", 0);
    }

    /// Forwards events from one server until its answer ends or fails.
    async fn forward(&mut self, answer: &mut LiveAnswer) -> ForwardEnd {
        let clock = self.service.shared.clock.clone();
        let service = self.service.clone();
        let mut ending = pin!(service.ending());
        loop {
            let remaining = self.ctx.expires_at.since(clock.now());
            if remaining.is_zero() {
                return ForwardEnd::OutOfTime;
            }
            let frame = tokio::select! {
                biased;
                () = self.pieces.closed() => return ForwardEnd::CallerLeft,
                // First, so that a stream that is whole does not count as cut.
                frame = timeout(STALL_THRESHOLD.min(remaining), answer.frame()) => frame,
                () = &mut ending => return ForwardEnd::Stopping,
            };
            let read = frame.map(|frame| self.reader.read(frame));
            let step = match read {
                Ok(ReadStep::Events(events)) => ForwardStep::Events(events),
                Ok(ReadStep::End(Err(why))) => ForwardStep::Ends(ForwardEnd::Broken(why)),
                Ok(ReadStep::End(Ok(()))) => {
                    let end = end_of_stream(&service, &self.ctx, &self.pieces, answer).await;
                    ForwardStep::Ends(end)
                }
                // Bytes that complete no event with content are no progress.
                Ok(ReadStep::NoEvent) => self.search(answer, LossCause::NoProgress).await,
                Err(_) => self.search(answer, LossCause::Silent).await,
            };
            let events = match step {
                ForwardStep::Stays => continue,
                ForwardStep::Events(events) => events,
                ForwardStep::Ends(end) => return end,
            };
            let received_at = self.note_events(answer, &events);
            if let Err(end) = self.pass_on_events(events).await {
                return end;
            }
            if clock.now().since(received_at) > MAX_HAND_OVER
                && let Some(work) = answer.work()
            {
                work.note_held_up();
            }
        }
    }

    /// Records that the server has sent events. Returns the time.
    fn note_events(&mut self, answer: &mut LiveAnswer, events: &[u8]) -> Tick {
        let now = self.service.shared.clock.now();
        self.idle = IdleTime::new(now);
        self.search = PlaceSearch::default();
        self.is_stall_noted = false;
        if self.answered.note_event(now) {
            self.service.shared.poison.note_sound(&self.ctx.suspects);
        }
        answer.server.counters.note_progress(now);
        if let Some(work) = answer.work() {
            work.note_events(count_events(events), now);
        }
        if self.reader.note_first() {
            let wait = now.since(self.ctx.began);
            answer.server.counters.note_success(wait);
            self.service.note_begun(&self.ctx, &self.progress, wait);
            self.service.shared.metrics.note_first_event(self.ctx.kind, wait);
        }
        now
    }

    /// Passes events on. Where too much is buffered, at most one piece of the stream waits for its caller.
    async fn pass_on_events(&self, bytes: Bytes) -> Result<(), ForwardEnd> {
        let mut share = self.service.shared.buffers.open();
        let fits = share.resize(bytes.len().max(LEAST_PIECE_BYTES));
        let free_places = if fits { 1 } else { MAX_BUFFERED_PIECES };
        let place = self.take_place(free_places).await?;
        self.send_piece(Piece::Events(AnswerBytes::piece(bytes, share, place)))
    }

    /// Waits until there are `free_places` for pieces, and takes one. Where the caller reads too slowly, it
    /// waits until the request or the process ends.
    async fn take_place(&self, free_places: u32) -> Result<OwnedSemaphorePermit, ForwardEnd> {
        if free_places == 1
            && let Ok(place) = self.places.clone().try_acquire_owned()
        {
            return Ok(place);
        }
        let remaining = self.ctx.expires_at.since(self.service.shared.clock.now());
        let places = tokio::select! {
            biased;
            () = self.pieces.closed() => return Err(ForwardEnd::CallerLeft),
            places = timeout(remaining, self.places.clone().acquire_many_owned(free_places)) => places,
            () = self.service.ending() => return Err(ForwardEnd::Stopping),
        };
        let Ok(places) = places else { return Err(ForwardEnd::OutOfTime) };
        let place = places.ok().and_then(|mut places| places.split(1));
        Ok(place.expect("the semaphore is never closed, and at least one was acquired"))
    }

    /// Gives a piece to the caller's connection; there is a place for it.
    fn send_piece(&self, piece: Piece) -> Result<(), ForwardEnd> {
        self.pieces.try_send(piece).map_err(|_| ForwardEnd::CallerLeft)
    }

    /// Looks for another server where the present one has sent no event for too long, and waits for
    /// either to go on. The present one keeps the stream until the other one has answered.
    async fn search(&mut self, answer: &mut LiveAnswer, why: LossCause) -> ForwardStep {
        let now = self.service.shared.clock.now();
        let idle = self.idle.extend(now);
        if !self.is_stalled(&answer.server, idle) || !self.search.is_due(now) {
            return ForwardStep::Stays;
        }
        self.progress.last_event = self.reader.last_id();
        self.race(answer, why).await
    }

    /// Whether the stream should look for another server after `idle` without an event. Also reports a
    /// server that makes no progress on any request of this process.
    fn is_stalled(&mut self, server: &BackendServer, idle: Duration) -> bool {
        let limit = if self.reader.has_first() { EVENT_TIMEOUT } else { FIRST_EVENT_TIMEOUT };
        let now = self.service.shared.clock.now();
        let is_busy = server.counters.progressed_within(now, STALL_THRESHOLD);
        let is_stalled = idle >= limit * if is_busy { MAX_EVENT_TIMEOUTS } else { 1 };
        let may_move = is_stalled && self.ctx.kind.is_retryable() && self.reader.is_resumable();
        if !is_busy && may_move && !self.is_stall_noted {
            self.is_stall_noted = true;
            self.service.note_stalled(server);
        } else if !is_busy {
            self.service.shared.report_stall(server);
        }
        may_move
    }

    /// Looks for a place at another server, sends the request there, and forwards whichever goes on
    /// first.
    async fn race(&mut self, answer: &mut LiveAnswer, why: LossCause) -> ForwardStep {
        let (service, ctx) = (self.service.clone(), &self.ctx);
        let record = self.progress.record.clone();
        let remaining = ctx.expires_at.since(service.shared.clock.now());
        let mut broken = None;
        let mut sending = pin!(service.send_elsewhere(ctx, &mut self.progress));
        let mut ending = pin!(service.ending());
        let mut time_over = pin!(sleep(remaining));
        let sent = loop {
            tokio::select! {
                biased;
                () = self.pieces.closed() => return ForwardStep::Ends(ForwardEnd::CallerLeft),
                frame = answer.frame(), if broken.is_none() => match self.reader.read(frame) {
                    ReadStep::Events(events) => return ForwardStep::Events(events),
                    ReadStep::NoEvent => {}
                    ReadStep::End(end) => {
                        let end = match end {
                            Ok(()) => end_of_stream(&service, ctx, &self.pieces, answer).await,
                            Err(why) => ForwardEnd::Broken(why),
                        };
                        let ForwardEnd::Broken(why) = end else { return ForwardStep::Ends(end) };
                        // Known before the request goes to a third server.
                        self.is_break_noted = true;
                        let is_sound = self.answered.is_sound();
                        let (shared, server) = (&service.shared, &answer.server);
                        note_break(shared, ctx, &record, server, why, is_sound).await;
                        broken = Some(why);
                    }
                },
                sent = &mut sending => break sent,
                () = &mut ending => return ForwardStep::Ends(ForwardEnd::Stopping),
                () = &mut time_over => return ForwardStep::Ends(ForwardEnd::OutOfTime),
            }
        };
        let now = service.shared.clock.now();
        match (sent, broken) {
            (Ok(next), _) if next.head.status.is_success() => {
                ForwardStep::Ends(ForwardEnd::Moved { next, why: broken.unwrap_or(why) })
            }
            (_, Some(why)) => ForwardStep::Ends(ForwardEnd::Broken(why)),
            (Err(Some(error)), None) => {
                if let Some(obstacle) = self.search.note_none(&error, now) {
                    service.log_kept(ctx, slice::from_ref(&answer.server), obstacle);
                }
                ForwardStep::Stays
            }
            (_, None) => {
                self.search.note_refused(now);
                ForwardStep::Stays
            }
        }
    }
}

/// What came of waiting for a server, and perhaps of the search for another one.
enum ForwardStep {
    /// Nothing: the stream stays at its server.
    Stays,
    /// The server has sent these events.
    Events(Bytes),
    /// Forwarding from the server has ended.
    Ends(ForwardEnd),
}

/// How a stream has ended whose server ended its answer after a complete event: that may also be the end
/// of the server.
async fn end_of_stream<C: RequestCodec>(
    service: &RelayService<C>,
    ctx: &CallContext,
    pieces: &mpsc::Sender<Piece>,
    answer: &LiveAnswer,
) -> ForwardEnd {
    let checked = tokio::select! {
        biased;
        checked = service.check_end(ctx, answer) => checked,
        () = pieces.closed() => return ForwardEnd::CallerLeft,
        () = service.ending() => return ForwardEnd::Stopping,
    };
    match checked {
        Ok(()) => {
            service.shared.poison.note_sound(&ctx.suspects);
            ForwardEnd::Whole
        }
        Err(why) => ForwardEnd::Broken(why),
    }
}
