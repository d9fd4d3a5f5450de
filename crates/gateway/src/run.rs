//! Runs a completion, with retries and resumes, until it is answered or refused.

use {
    crate::{
        attempt::{Attempt, DispatchEnd},
        completion::CompletionRequest,
        core::{DEFAULT_RETRY_AFTER, GatewayCore},
        metrics::{ClassMeters, CountedEnd},
        permit::SecondPermits,
        pick::{PickedTarget, TargetKind, TargetPicker},
        refusal::{Outcome, Refusal, RefusalKind},
        request_context::RequestContext,
        second_attempt::FailedAttempt,
        sequence::FrameSequence,
        sink::AnswerSink,
        snapshot::KeyDigest,
        workspace::WorkspaceState,
    },
    base::{AttemptId, Tick},
    engine::{NotRunReason, WholeAnswer},
    route::{
        AttemptEnd, FinalOutcome, NextStep, RequestFacts, RouteTarget, next_step,
        retry::{MAX_ATTEMPTS, MIN_REMAINING_TIME},
    },
    smol_str::SmolStr,
    std::{sync::Arc, time::Duration},
    stop::{WorkEnd, WorkGuard},
    tokio::time::sleep,
};

/// How long other targets are preferred after an attempt at one was lost.
const SUSPECT_PERIOD: Duration = Duration::from_secs(2);

/// How long a broken stream waits for a serving group that can resume it.
const RESUME_WAIT_LIMIT: Duration = Duration::from_secs(3);
/// Interval between tries to pick a group for such a stream.
const RESUME_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A completion request with everything needed to run it.
pub struct CompletionRun {
    /// Model, prompt hashes and options, parsed from the body.
    pub request: CompletionRequest,
    /// Deadline, priority and idempotency key from the headers.
    pub context: RequestContext,
    /// Digest of the caller's API key.
    pub digest: KeyDigest,
    /// Digest of path and body; a claim uses it to detect reuse of its key for another request.
    pub claim_digest: SmolStr,
    /// The caller's workspace, whose retry budget the run uses.
    pub workspace: Arc<WorkspaceState>,
    /// Metrics of the workspace and model.
    pub meters: Arc<ClassMeters>,
    /// Its entry in the list of open requests.
    pub work: Arc<WorkGuard>,
}

/// State of a run that is kept across attempts.
pub struct RunProgress {
    /// Orders the answer's frames, which may come from several attempts.
    pub sequence: FrameSequence,
    /// Tells whether a second attempt may have run.
    pub second_permits: SecondPermits,
    picker: TargetPicker,
    attempts: u32,
    may_have_run: bool,
    retry_after: Option<Duration>,
    last_frame: Option<Tick>,
    resume_wait_until: Option<Tick>,
}

/// The final result of a run.
#[derive(Debug)]
pub enum RunEnd {
    /// All frames were passed to the sink.
    Whole,
    /// The engine sent a single response instead of a stream.
    Answer(WholeAnswer),
    /// The request failed, before or after a part of its answer was sent.
    Refused(Refusal),
    /// The caller closed its connection.
    CallerLeft,
}

impl RunProgress {
    fn new(run: &CompletionRun, attempt: AttemptId) -> Self {
        let class = run.request.model.clone();
        let prefixes = run.request.prefixes.clone();
        Self {
            sequence: FrameSequence::new(attempt),
            second_permits: SecondPermits::default(),
            picker: TargetPicker::new(TargetKind::Group, class, run.digest, prefixes),
            attempts: 0,
            may_have_run: false,
            retry_after: None,
            last_frame: None,
            resume_wait_until: None,
        }
    }

    /// Records the time to the first token, or the gap since the previous frame.
    pub fn note_frame(&mut self, now: Tick, run: &CompletionRun) {
        match self.last_frame {
            None => {
                run.meters.first_token.observe(now.since(run.context.arrived));
                if run.request.stream {
                    run.work.start_streaming();
                }
            }
            Some(last) => run.meters.token_gap.observe(now.since(last)),
        }
        self.last_frame = Some(now);
    }
}

impl CompletionRun {
    /// Whether the request may be run more than once: it has no idempotency key.
    pub fn is_idempotent(&self) -> bool {
        self.context.key.is_none()
    }

    /// Runs the request and passes its frames to `sink`.
    ///
    /// Sending the returned end to the client is left to the caller of this function.
    pub async fn run(&self, core: &Arc<GatewayCore>, sink: &mut AnswerSink) -> RunEnd {
        let mut progress = RunProgress::new(self, core.next_attempt());
        self.workspace.retries.note_first_attempt();
        loop {
            let picked = tokio::select! {
                biased;
                picked = progress.picker.pick(core, &self.context) => picked,
                () = sink.caller_left() => return RunEnd::CallerLeft,
            };
            let picked = match picked {
                Ok(picked) => picked,
                Err(refusal) if self.waits_to_resume(core, &mut progress, &refusal) => {
                    tokio::select! {
                        () = sleep(RESUME_POLL_INTERVAL) => continue,
                        () = sink.caller_left() => return RunEnd::CallerLeft,
                    }
                }
                Err(refusal) => return RunEnd::Refused(with_possible_effect(&progress, refusal)),
            };
            progress.resume_wait_until = None;
            progress.attempts += 1;
            self.note_attempt(core, &progress);
            let attempt = Attempt::new(core, self, picked);
            if let Some(end) = self.run_attempt(core, attempt, &mut progress, sink).await {
                core.meters.dropped_frames.inc_by(progress.sequence.dropped());
                return end;
            }
        }
    }

    /// Runs an attempt, and second ones that take over from it. Returns `None` if another target is
    /// to be picked.
    async fn run_attempt<'a>(
        &'a self,
        core: &'a Arc<GatewayCore>,
        mut attempt: Attempt<'a>,
        progress: &mut RunProgress,
        sink: &mut AnswerSink,
    ) -> Option<RunEnd> {
        let mut begun = None;
        loop {
            let end = attempt.run(begun, progress, sink).await;
            let DispatchEnd::Moved(second) = end else {
                return self.handle_end(core, end, &attempt.picked, progress);
            };
            attempt.picked.target.counters.suspect(core.now() + SUSPECT_PERIOD);
            progress.may_have_run = true;
            (attempt, begun) = (second.attempt, Some(second.answer));
        }
    }

    /// Takes a retry and a slot of a target for an attempt beside the one at `present`, which is
    /// silent.
    pub fn pick_second(
        &self,
        core: &GatewayCore,
        progress: &mut RunProgress,
        present: &RouteTarget,
    ) -> Option<PickedTarget> {
        let in_time = core.now() + MIN_REMAINING_TIME <= self.context.deadline;
        if !in_time || progress.attempts >= MAX_ATTEMPTS || self.workspace.retries.left() == 0 {
            return None;
        }
        let picked = progress.picker.pick_second(core, &self.context, present)?;
        if !self.workspace.retries.try_retry() {
            return None;
        }
        progress.attempts += 1;
        self.note_attempt(core, progress);
        Some(picked)
    }

    /// Records a second attempt that ended without progress.
    pub fn note_failed_second(
        &self,
        core: &GatewayCore,
        progress: &mut RunProgress,
        failure: &FailedAttempt<'_>,
    ) {
        match &failure.end {
            DispatchEnd::NotRun { reason, .. } => {
                progress.second_permits.remove(&failure.permit);
                if *reason != NotRunReason::PermitEnded {
                    progress.picker.avoided.add(&failure.target);
                }
            }
            DispatchEnd::Lost { host_alive, .. } => {
                if !host_alive {
                    progress.picker.avoided.add(&failure.target);
                }
                failure.target.counters.suspect(core.now() + SUSPECT_PERIOD);
            }
            _ => {}
        }
    }

    /// Whether to keep waiting for a serving group that can resume a partly delivered stream.
    fn waits_to_resume(
        &self,
        core: &GatewayCore,
        progress: &mut RunProgress,
        refusal: &Refusal,
    ) -> bool {
        let resumes = self.is_idempotent() && progress.sequence.delivered() > 0;
        if !resumes || refusal.kind != RefusalKind::NoTarget {
            return false;
        }
        let now = core.now();
        let until = *progress.resume_wait_until.get_or_insert(now + RESUME_WAIT_LIMIT);
        now < until
    }

    /// Records the end of the run; `sent_to_caller` is true if a part of the answer was sent.
    pub fn note_end(&self, core: &GatewayCore, end: &RunEnd, sent_to_caller: bool) {
        let counted = match end {
            RunEnd::Whole | RunEnd::Answer(_) => {
                self.meters.whole_answer.observe(core.now().since(self.context.arrived));
                self.work.end(WorkEnd::Whole);
                CountedEnd::Whole
            }
            RunEnd::Refused(refusal) => {
                let outcome = if sent_to_caller { Outcome::Cut } else { refusal.outcome };
                core.end_refused(&self.work, refusal, outcome);
                outcome.counted()
            }
            RunEnd::CallerLeft => {
                self.work.end(WorkEnd::Abandoned);
                CountedEnd::CallerLeft
            }
        };
        self.meters.note_end(counted);
    }

    fn note_attempt(&self, core: &GatewayCore, progress: &RunProgress) {
        self.meters.attempts.inc();
        if progress.attempts == 1 {
            self.meters.queue_time.observe(core.now().since(self.context.arrived));
        } else if progress.sequence.delivered() == 0 {
            self.meters.retries.inc();
        } else {
            self.meters.resumes.inc();
        }
    }

    /// Handles the end of an attempt. Returns `None` if another attempt follows.
    fn handle_end(
        &self,
        core: &GatewayCore,
        end: DispatchEnd<'_>,
        picked: &PickedTarget,
        progress: &mut RunProgress,
    ) -> Option<RunEnd> {
        progress.may_have_run |= progress.second_permits.any_used();
        match end {
            DispatchEnd::Whole => {
                self.note_answer(core, picked);
                Some(RunEnd::Whole)
            }
            DispatchEnd::Answer(answer) => Some(RunEnd::Answer(answer)),
            DispatchEnd::Moved(_) => None,
            DispatchEnd::CallerLeft => Some(RunEnd::CallerLeft),
            DispatchEnd::DeadlinePassed { dispatched } => {
                progress.may_have_run |= dispatched;
                Some(RunEnd::Refused(with_possible_effect(progress, core.deadline_passed())))
            }
            DispatchEnd::Stopped { dispatched } => {
                progress.may_have_run |= dispatched;
                Some(RunEnd::Refused(core.cut_short(progress.may_have_run)))
            }
            // The deadline passed or the state expired; the next pick returns the matching refusal.
            DispatchEnd::NotRun { reason: NotRunReason::PermitEnded, .. } => None,
            DispatchEnd::NotRun { reason, retry_after } => {
                progress.picker.avoided.add(&picked.target);
                progress.retry_after = progress.retry_after.max(retry_after);
                let wait = progress.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
                let detail =
                    format!("group {} did not take it ({reason})", picked.target.spec.group);
                let refusal = Refusal::not_run(RefusalKind::NoTarget, detail).retry_after(wait);
                let end = match reason {
                    NotRunReason::Unreachable => AttemptEnd::NotSent,
                    _ => AttemptEnd::RefusedNotRun,
                };
                self.retry_or_end(core, end, progress, refusal)
            }
            DispatchEnd::Lost { detail, host_alive } => {
                if !host_alive {
                    progress.picker.avoided.add(&picked.target);
                }
                picked.target.counters.suspect(core.now() + SUSPECT_PERIOD);
                let end = match progress.sequence.delivered() {
                    0 => AttemptEnd::NoAnswer,
                    _ => AttemptEnd::Broken,
                };
                let refusal = Refusal::unknown(RefusalKind::NoAnswer, detail);
                self.retry_or_end(core, end, progress, refusal)
            }
        }
    }

    fn retry_or_end(
        &self,
        core: &GatewayCore,
        end: AttemptEnd,
        progress: &mut RunProgress,
        refusal: Refusal,
    ) -> Option<RunEnd> {
        let facts = RequestFacts {
            idempotent: self.is_idempotent(),
            resumable: true,
            sent_to_caller: progress.sequence.delivered(),
            attempts: progress.attempts,
            may_have_run: progress.may_have_run,
            deadline: self.context.deadline,
        };
        progress.may_have_run |= end.may_have_run();
        match next_step(end, &facts, &self.workspace.retries, core.now()) {
            NextStep::Retry | NextStep::Resume { .. } => None,
            NextStep::GiveUp(FinalOutcome::NotRun) => Some(RunEnd::Refused(refusal)),
            NextStep::GiveUp(FinalOutcome::Unknown | FinalOutcome::Cut) => {
                Some(RunEnd::Refused(with_possible_effect(progress, refusal)))
            }
        }
    }

    fn note_answer(&self, core: &GatewayCore, picked: &PickedTarget) {
        picked.target.counters.clear_suspicion();
        for prefix in &self.request.prefixes {
            core.prefixes.note_stored(*prefix, picked.target.tag);
        }
    }
}

/// Sets the outcome to unknown if an attempt may have run, whatever the last one reports.
fn with_possible_effect(progress: &RunProgress, refusal: Refusal) -> Refusal {
    if !progress.may_have_run {
        return refusal;
    }
    Refusal { outcome: Outcome::Unknown, ..refusal }
}
