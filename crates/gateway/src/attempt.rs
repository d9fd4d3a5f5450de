//! One attempt to run a completion at one serving group.

use {
    crate::{
        core::GatewayCore,
        permit::RequestPermit,
        pick::PickedTarget,
        probe::{ProbePolicy, wait_with_probes},
        run::{CompletionRun, RunProgress},
        second_attempt::{CompletionSeconds, OpenedAttempt, SecondAnswer, read_first_frame},
        silence::{HostWatch, RaceEnd, race_when_silent},
        sink::{AnswerSink, SinkError},
    },
    base::{AttemptId, Tick},
    engine::{
        DispatchError, FrameStream, ModelAnswer, ModelDispatch, NotRunReason, ProbedKind,
        StreamError, StreamFrame, TokenFrame, WholeAnswer,
    },
    futures::{FutureExt, StreamExt},
    std::{
        future::Future,
        pin::{Pin, pin},
        sync::Arc,
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Multiple of the idle limit between frames that the first frame may take.
///
/// The first frame includes queueing and prompt processing at the engine.
const FIRST_FRAME_IDLE_FACTOR: u32 = 4;
/// Longest time spent reading the rest of a response after its last token frame.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// The result of an attempt, which decides whether the run retries, resumes or ends.
pub enum DispatchEnd<'a> {
    /// All frames up to the last one were passed to the sink.
    Whole,
    /// The engine sent a single response instead of a stream.
    Answer(WholeAnswer),
    /// The request was not executed.
    NotRun {
        /// Why it was not executed.
        reason: NotRunReason,
        /// Delay that the engine requested before a retry.
        retry_after: Option<Duration>,
    },
    /// The request may have run, but its answer is missing or incomplete.
    Lost {
        /// Description of the failure for the caller.
        detail: String,
        /// False only when a probe over a new connection failed.
        host_alive: bool,
    },
    /// A second attempt gave progress while this one was silent.
    Moved(Box<OpenedAttempt<'a>>),
    /// The caller closed its connection.
    CallerLeft,
    /// The request's deadline passed before the answer was complete.
    DeadlinePassed {
        /// Whether a dispatch was permitted, so that the request may have run.
        dispatched: bool,
    },
    /// This process stopped before the answer was complete.
    Stopped {
        /// See [`DispatchEnd::DeadlinePassed`].
        dispatched: bool,
    },
}

/// A single dispatch of a completion to one target.
pub struct Attempt<'a> {
    core: &'a Arc<GatewayCore>,
    run: &'a CompletionRun,
    /// The target, with the slot that the attempt holds there.
    pub picked: PickedTarget,
    id: AttemptId,
    /// Tells whether the attempt may have run.
    pub permit: Arc<RequestPermit>,
}

impl<'a> Attempt<'a> {
    /// Creates an attempt with a new id and a permit that ends with the request's deadline.
    pub fn new(core: &'a Arc<GatewayCore>, run: &'a CompletionRun, picked: PickedTarget) -> Self {
        let clock = core.ports.clock.clone();
        let evidence = picked.snapshot.evidence.clone();
        Self {
            core,
            run,
            picked,
            id: core.next_attempt(),
            permit: Arc::new(RequestPermit::new(clock, evidence, run.context.deadline)),
        }
    }

    /// Runs the attempt to its end; `begun` is its first progress, if it was a second attempt. If it
    /// is abandoned, the engine is asked to cancel it.
    pub async fn run(
        &self,
        begun: Option<SecondAnswer>,
        progress: &mut RunProgress,
        sink: &mut AnswerSink,
    ) -> DispatchEnd<'a> {
        progress.sequence.resume(self.id.clone());
        let mut limit = pin!(self.time_limit());
        let opened = match begun {
            None => self.open(progress, sink, limit.as_mut()).await,
            Some(SecondAnswer::Whole(answer)) => Err(DispatchEnd::Answer(answer)),
            Some(SecondAnswer::Stream(stream, first)) => {
                progress.sequence.accept(first);
                Ok(stream)
            }
        };
        let end = match opened {
            Ok(stream) => self.forward_frames(stream, progress, sink, limit.as_mut()).await,
            Err(end) => end,
        };
        if is_given_up(&end) {
            self.cancel_if_sent();
        }
        end
    }

    /// Waits until the deadline, or until the stop of the process ends what still runs.
    async fn time_limit(&self) {
        let remaining = self.run.context.deadline.since(self.core.now());
        tokio::select! {
            () = sleep(remaining) => {}
            () = self.core.ending() => {}
        }
    }

    async fn open(
        &self,
        progress: &mut RunProgress,
        sink: &mut AnswerSink,
        limit: Pin<&mut impl Future<Output = ()>>,
    ) -> Result<FrameStream, DispatchEnd<'a>> {
        let models = self.core.ports.models.clone();
        let mut opening = pin!(models.open(self.dispatch(progress)));
        let watch = self.watch(FIRST_FRAME_IDLE_FACTOR);
        let mut seconds = self.seconds(progress);
        let answer = tokio::select! {
            biased;
            answer = race_when_silent(&watch, &mut seconds, Result::is_ok, opening.as_mut()) => answer,
            () = sink.caller_left() => return Err(DispatchEnd::CallerLeft),
            () = limit => return Err(self.too_late()),
        };
        match answer {
            RaceEnd::Present(Ok(ModelAnswer::Stream(stream))) => Ok(stream),
            RaceEnd::Present(Ok(ModelAnswer::Whole(answer))) => Err(DispatchEnd::Answer(answer)),
            RaceEnd::Present(Err(error)) => Err(dispatch_error_end(error)),
            RaceEnd::Second(second) => Err(DispatchEnd::Moved(second)),
            RaceEnd::HostDead => Err(self.host_dead()),
        }
    }

    /// Opens the stream of `dispatch` and reads it up to the attempt's first frame that is `needed`.
    pub async fn open_and_read(
        &self,
        dispatch: ModelDispatch,
        needed: impl Fn(&TokenFrame) -> bool,
    ) -> Result<SecondAnswer, DispatchEnd<'a>> {
        let opened = self.core.ports.models.open(dispatch).await;
        let answer = opened.map_err(dispatch_error_end)?;
        let own = |frame: &TokenFrame| frame.attempt.as_ref() == Some(&self.id);
        read_first_frame(answer, |frame| own(frame) && needed(frame)).await
    }

    /// Waits for `opening` while the attempt's host responds to probes.
    pub async fn while_alive<T>(
        &self,
        opening: impl Future<Output = Result<T, DispatchEnd<'a>>>,
    ) -> Result<T, DispatchEnd<'a>> {
        let HostWatch { prober, meters, address, policy, .. } = self.watch(FIRST_FRAME_IDLE_FACTOR);
        let policy = ProbePolicy { report_silence: false, ..policy };
        let waited = wait_with_probes(prober, meters, address, policy, pin!(opening)).await;
        waited.unwrap_or_else(|_| Err(self.host_dead()))
    }

    async fn forward_frames(
        &self,
        mut stream: FrameStream,
        progress: &mut RunProgress,
        sink: &mut AnswerSink,
        mut limit: Pin<&mut impl Future<Output = ()>>,
    ) -> DispatchEnd<'a> {
        let mut frame_gaps = FrameGapMeter::default();
        loop {
            while let Some(frame) = progress.sequence.pop() {
                let pushed = tokio::select! {
                    biased;
                    pushed = sink.push(&frame) => pushed,
                    () = limit.as_mut() => return self.too_late(),
                };
                if let Err(error) = pushed {
                    return sink_error_end(&error);
                }
                let now = self.core.now();
                frame_gaps.note_frame(now);
                self.picked.target.counters.note_token(now);
                progress.note_frame(now, self.run);
            }
            if progress.sequence.is_complete() {
                if let Some(gap) = frame_gaps.mean_gap() {
                    self.picked.target.counters.note_token_interval(gap);
                }
                self.drain_response(stream);
                return DispatchEnd::Whole;
            }
            let first = progress.sequence.delivered() == 0;
            let factor = if first { FIRST_FRAME_IDLE_FACTOR } else { 1 };
            let watch = self.watch(factor);
            let mut seconds = self.seconds(progress);
            let mut reading = pin!(stream.next());
            let next = tokio::select! {
                biased;
                next = race_when_silent(&watch, &mut seconds, is_token, reading.as_mut()) => next,
                () = sink.caller_left() => return DispatchEnd::CallerLeft,
                () = limit.as_mut() => return self.too_late(),
            };
            match next {
                RaceEnd::Present(Some(Ok(StreamFrame::Token(frame)))) => {
                    progress.sequence.accept(frame);
                }
                RaceEnd::Present(Some(Ok(StreamFrame::End)) | None) => {
                    return lost("the stream ended too early");
                }
                RaceEnd::Present(Some(Err(error))) => return lost(&error.to_string()),
                RaceEnd::Second(second) => return DispatchEnd::Moved(second),
                RaceEnd::HostDead => return self.host_dead(),
            }
        }
    }

    /// What is sent to the engine, to go on after the frames delivered so far.
    pub fn dispatch(&self, progress: &RunProgress) -> ModelDispatch {
        let spec = &self.picked.target.spec;
        ModelDispatch {
            address: spec.address,
            kind: self.run.request.kind,
            group: spec.group.clone(),
            epoch: spec.epoch,
            attempt: self.id.clone(),
            priority: self.run.context.priority,
            time_left: self.run.context.deadline.since(self.core.now()),
            offset: progress.sequence.delivered(),
            body: self.run.request.body.clone(),
            new_connection: !self.run.is_idempotent(),
            permit: self.permit.clone(),
        }
    }

    fn idle_limit(&self) -> Duration {
        Duration::from_millis(self.core.settings.silence_ms)
    }

    fn watch(&self, idle_factor: u32) -> HostWatch<'a> {
        let policy = ProbePolicy {
            kind: ProbedKind::Engine,
            idle_limit: self.idle_limit() * idle_factor,
            probe_timeout: self.idle_limit(),
            report_silence: self.run.is_idempotent(),
        };
        let prober = self.core.ports.models.as_ref();
        let address = self.picked.target.spec.address;
        let second_limit = self.idle_limit() * FIRST_FRAME_IDLE_FACTOR;
        HostWatch { prober, meters: &self.core.meters, address, policy, second_limit }
    }

    fn seconds<'p>(&'p self, progress: &'p mut RunProgress) -> CompletionSeconds<'a, 'p> {
        let present = &*self.picked.target;
        CompletionSeconds { core: self.core, run: self.run, present, progress }
    }

    fn host_dead(&self) -> DispatchEnd<'a> {
        if !self.permit.was_used() {
            let reason = NotRunReason::Unreachable;
            return DispatchEnd::NotRun { reason, retry_after: None };
        }
        DispatchEnd::Lost { detail: "the host is gone".to_owned(), host_alive: false }
    }

    fn too_late(&self) -> DispatchEnd<'a> {
        let dispatched = self.permit.was_used();
        if self.core.is_ending() {
            return DispatchEnd::Stopped { dispatched };
        }
        DispatchEnd::DeadlinePassed { dispatched }
    }

    /// Asks the engine to cancel the attempt if it may have been sent.
    ///
    /// Non-idempotent requests are never cancelled: the engine runs them to their end.
    pub fn cancel_if_sent(&self) {
        if self.permit.was_used() && self.run.is_idempotent() {
            self.cancel();
        }
    }

    fn cancel(&self) {
        let models = self.core.ports.models.clone();
        let (address, attempt) = (self.picked.target.spec.address, self.id.clone());
        let limit = self.idle_limit();
        self.core.meters.cancels.inc();
        self.core.background_tasks.spawn(async move {
            // Best effort: a lost cancel only wastes engine time.
            let _ = timeout(limit, models.cancel(address, attempt)).await;
        });
    }

    /// Reads the response to its end so that the connection returns to the pool.
    fn drain_response(&self, mut stream: FrameStream) {
        while let Some(frame) = stream.next().now_or_never() {
            if frame.is_none() {
                return;
            }
        }
        self.core
            .background_tasks
            .spawn(timeout(DRAIN_TIMEOUT, async move { while stream.next().await.is_some() {} }));
    }
}

/// Measures the mean time between the frames of one attempt.
///
/// The target's counters use it to detect serving groups that are slower than others.
#[derive(Debug, Default)]
struct FrameGapMeter {
    first: Option<Tick>,
    last: Tick,
    gaps: u32,
}

impl FrameGapMeter {
    fn note_frame(&mut self, now: Tick) {
        self.gaps += u32::from(self.first.is_some());
        self.first.get_or_insert(now);
        self.last = now;
    }

    fn mean_gap(&self) -> Option<Duration> {
        let first = self.first.filter(|_| self.gaps > 0)?;
        Some(self.last.since(first) / self.gaps)
    }
}

/// Whether the engine may still be generating tokens that nobody will read.
fn is_given_up(end: &DispatchEnd<'_>) -> bool {
    matches!(
        end,
        DispatchEnd::Lost { .. }
            | DispatchEnd::Moved(_)
            | DispatchEnd::CallerLeft
            | DispatchEnd::DeadlinePassed { .. }
            | DispatchEnd::Stopped { .. }
    )
}

fn is_token(next: &Option<Result<StreamFrame, StreamError>>) -> bool {
    matches!(next, Some(Ok(StreamFrame::Token(_))))
}

/// The end of an attempt whose answer is lost, at a live host.
pub fn lost<'a>(detail: &str) -> DispatchEnd<'a> {
    DispatchEnd::Lost { detail: detail.to_owned(), host_alive: true }
}

fn dispatch_error_end<'a>(error: DispatchError) -> DispatchEnd<'a> {
    match error {
        DispatchError::NotRun { reason, retry_after, .. } => {
            DispatchEnd::NotRun { reason, retry_after }
        }
        DispatchError::Unknown { detail, .. } => lost(&detail),
    }
}

fn sink_error_end<'a>(error: &SinkError) -> DispatchEnd<'a> {
    match error {
        SinkError::CallerLeft => DispatchEnd::CallerLeft,
        SinkError::BadEvent => lost("an event of the engine cannot be read"),
    }
}
