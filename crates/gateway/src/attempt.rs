//! One attempt to run a completion at one serving group.

use {
    crate::{
        core::GatewayCore,
        permit::RequestPermit,
        pick::PickedTarget,
        probe::{ProbePolicy, Unresponsive, wait_with_probes},
        run::{CompletionRun, RunProgress},
        sink::{AnswerSink, SinkError},
    },
    base::{AttemptId, Tick},
    engine::{
        DispatchError, FrameStream, ModelAnswer, ModelDispatch, NotRunReason, ProbedKind,
        StreamError, StreamFrame, WholeAnswer,
    },
    futures::{FutureExt, StreamExt},
    route::RouteTarget,
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
#[derive(Debug)]
pub enum DispatchEnd {
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
    target: &'a RouteTarget,
    id: AttemptId,
    permit: Arc<RequestPermit>,
}

impl<'a> Attempt<'a> {
    /// Creates an attempt with a new id and a permit that ends with the request's deadline.
    pub fn new(
        core: &'a Arc<GatewayCore>,
        run: &'a CompletionRun,
        picked: &'a PickedTarget,
    ) -> Self {
        let clock = core.ports.clock.clone();
        let evidence = picked.snapshot.evidence.clone();
        Self {
            core,
            run,
            target: &picked.target,
            id: core.next_attempt(),
            permit: Arc::new(RequestPermit::new(clock, evidence, run.context.deadline)),
        }
    }

    /// Runs the attempt to its end. If it is abandoned, the engine is asked to cancel it.
    pub async fn run(self, progress: &mut RunProgress, sink: &mut AnswerSink) -> DispatchEnd {
        progress.sequence.resume(self.id.clone());
        let mut limit = pin!(self.time_limit());
        let end = match self.open(progress, sink, limit.as_mut()).await {
            Ok(stream) => self.forward_frames(stream, progress, sink, limit.as_mut()).await,
            Err(end) => end,
        };
        if self.is_abandoned(&end) {
            self.cancel();
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
        progress: &RunProgress,
        sink: &mut AnswerSink,
        limit: Pin<&mut impl Future<Output = ()>>,
    ) -> Result<FrameStream, DispatchEnd> {
        let models = self.core.ports.models.clone();
        let mut opening = pin!(models.open(self.dispatch(progress)));
        let probe_policy = self.probe_policy(self.idle_limit() * FIRST_FRAME_IDLE_FACTOR);
        let address = self.target.spec.address;
        let answer = tokio::select! {
            biased;
            answer = wait_with_probes(models.as_ref(), &self.core.meters, address, probe_policy, opening.as_mut()) => answer,
            () = sink.caller_left() => return Err(DispatchEnd::CallerLeft),
            () = limit => return Err(self.too_late()),
        };
        match answer {
            Ok(Ok(ModelAnswer::Stream(stream))) => Ok(stream),
            Ok(Ok(ModelAnswer::Whole(answer))) => Err(DispatchEnd::Answer(answer)),
            Ok(Err(DispatchError::NotRun { reason, retry_after, .. })) => {
                Err(DispatchEnd::NotRun { reason, retry_after })
            }
            Ok(Err(DispatchError::Unknown { detail, .. })) => {
                Err(DispatchEnd::Lost { detail, host_alive: true })
            }
            Err(state) => Err(self.unresponsive(state)),
        }
    }

    async fn forward_frames(
        &self,
        mut stream: FrameStream,
        progress: &mut RunProgress,
        sink: &mut AnswerSink,
        mut limit: Pin<&mut impl Future<Output = ()>>,
    ) -> DispatchEnd {
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
                self.target.counters.note_token(now);
                progress.note_frame(now, self.run);
            }
            if progress.sequence.is_complete() {
                if let Some(gap) = frame_gaps.mean_gap() {
                    self.target.counters.note_token_interval(gap);
                }
                self.drain_response(stream);
                return DispatchEnd::Whole;
            }
            let first = progress.sequence.delivered() == 0;
            let factor = if first { FIRST_FRAME_IDLE_FACTOR } else { 1 };
            let models = self.core.ports.models.as_ref();
            let address = self.target.spec.address;
            let probe_policy = self.probe_policy(self.idle_limit() * factor);
            let mut reading = pin!(stream.next());
            let next = tokio::select! {
                biased;
                next = wait_with_probes(models, &self.core.meters, address, probe_policy, reading.as_mut()) => next,
                () = sink.caller_left() => return DispatchEnd::CallerLeft,
                () = limit.as_mut() => return self.too_late(),
            };
            match next {
                Ok(Some(Ok(StreamFrame::Token(frame)))) => progress.sequence.accept(frame),
                Ok(Some(Ok(StreamFrame::End)) | None) => {
                    return lost("the stream ended too early");
                }
                Ok(Some(Err(error))) => return lost_stream(&error),
                Err(state) => return self.unresponsive(state),
            }
        }
    }

    fn dispatch(&self, progress: &RunProgress) -> ModelDispatch {
        ModelDispatch {
            address: self.target.spec.address,
            kind: self.run.request.kind,
            group: self.target.spec.group.clone(),
            epoch: self.target.spec.epoch,
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

    /// An idle connection to a live host is abandoned only if the request can be retried.
    fn probe_policy(&self, idle_limit: Duration) -> ProbePolicy {
        let give_up_connection = self.run.is_idempotent() && self.run.workspace.retries.left() > 0;
        let probe_timeout = self.idle_limit();
        ProbePolicy { kind: ProbedKind::Engine, idle_limit, probe_timeout, give_up_connection }
    }

    fn unresponsive(&self, state: Unresponsive) -> DispatchEnd {
        if !self.permit.was_used() {
            let reason = NotRunReason::Unreachable;
            return DispatchEnd::NotRun { reason, retry_after: None };
        }
        let host_alive = state.host_alive;
        let detail = if host_alive { "the connection went silent" } else { "the host is gone" };
        DispatchEnd::Lost { detail: detail.to_owned(), host_alive }
    }

    fn too_late(&self) -> DispatchEnd {
        let dispatched = self.permit.was_used();
        if self.core.is_ending() {
            return DispatchEnd::Stopped { dispatched };
        }
        DispatchEnd::DeadlinePassed { dispatched }
    }

    /// Whether the engine may still be generating tokens that nobody will read.
    ///
    /// Non-idempotent requests are never cancelled: the engine runs them to their end.
    fn is_abandoned(&self, end: &DispatchEnd) -> bool {
        let given_up = matches!(
            end,
            DispatchEnd::Lost { .. }
                | DispatchEnd::CallerLeft
                | DispatchEnd::DeadlinePassed { .. }
                | DispatchEnd::Stopped { .. }
        );
        given_up && self.permit.was_used() && self.run.is_idempotent()
    }

    fn cancel(&self) {
        let models = self.core.ports.models.clone();
        let (address, attempt) = (self.target.spec.address, self.id.clone());
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

fn lost(detail: &str) -> DispatchEnd {
    DispatchEnd::Lost { detail: detail.to_owned(), host_alive: true }
}

fn lost_stream(error: &StreamError) -> DispatchEnd {
    lost(&error.to_string())
}

fn sink_error_end(error: &SinkError) -> DispatchEnd {
    match error {
        SinkError::CallerLeft => DispatchEnd::CallerLeft,
        SinkError::BadEvent => lost("an event of the engine cannot be read"),
    }
}
