//! Runs a call of a plain service, with retries, until it is answered or refused.

use {
    crate::{
        core::{DEFAULT_RETRY_AFTER, GatewayCore},
        metrics::{ClassMeters, CountedEnd},
        permit::{RequestPermit, SecondPermits},
        pick::{PickedTarget, TargetKind, TargetPicker},
        probe::ProbePolicy,
        refusal::{Outcome, Refusal, RefusalKind},
        request_context::RequestContext,
        second_call::{AnsweredCall, CallSeconds, FailedCall},
        silence::{HostWatch, RaceEnd, race_when_silent},
        snapshot::{KeyDigest, service_class},
        workspace::WorkspaceState,
    },
    base::ServiceName,
    bytes::Bytes,
    engine::{DispatchError, NotRunReason, ProbedKind, ServiceDispatch, WholeAnswer},
    http::{HeaderValue, Method},
    route::{
        AttemptEnd, FinalOutcome, NextStep, RequestFacts, RouteTarget, next_step,
        retry::{MAX_ATTEMPTS, MIN_REMAINING_TIME},
    },
    std::{pin::pin, sync::Arc, time::Duration},
    stop::{WorkEnd, WorkGuard},
    tokio::time::timeout,
};

/// Shortest idle limit of a service call, as a multiple of the idle limit of a token stream.
const MIN_IDLE_FACTOR: u32 = 4;
/// Divisor of the time until the deadline that gives the idle limit of a long call. A third leaves
/// time for a second attempt at another server.
const IDLE_LIMIT_DIVISOR: u32 = 3;
/// How long other servers are preferred after a call to one was lost.
const SUSPECT_PERIOD: Duration = Duration::from_secs(2);

/// A call of a plain service with everything needed to run it.
pub struct ServiceRun {
    /// Service to call, which selects the list of targets.
    pub service: ServiceName,
    /// HTTP method, forwarded unchanged.
    pub method: Method,
    /// Path and query that follow the service's name in the URL, starting with `/`.
    pub path: String,
    /// The caller's `content-type`, forwarded if present.
    pub content_type: Option<HeaderValue>,
    /// The caller's `accept`, forwarded if present.
    pub accept: Option<HeaderValue>,
    /// Request body, forwarded unchanged.
    pub body: Bytes,
    /// Deadline, priority and idempotency key from the headers.
    pub context: RequestContext,
    /// Digest of the caller's API key.
    pub digest: KeyDigest,
    /// The caller's workspace, whose retry budget the call uses.
    pub workspace: Arc<WorkspaceState>,
    /// Metrics of the workspace and service.
    pub meters: Arc<ClassMeters>,
    /// Whether the call may be run more than once: its service is idempotent and it has no key.
    pub idempotent: bool,
    /// Its entry in the list of open requests.
    pub work: Arc<WorkGuard>,
}

/// State of a call that is kept across attempts.
pub struct CallProgress {
    picker: TargetPicker,
    /// Tells whether a second attempt may have run.
    pub second_permits: SecondPermits,
    attempts: u32,
    may_have_run: bool,
}

enum CallEnd {
    Answer(WholeAnswer),
    /// A second attempt was answered while this one was silent.
    Moved(AnsweredCall),
    Failed(AttemptEnd, Refusal),
    /// The permit ended before the dispatch; the next pick returns the matching refusal.
    NotPermitted,
}

impl ServiceRun {
    /// Runs the call. The outcome of a refusal states whether the call may have run.
    pub async fn run(&self, core: &GatewayCore) -> Result<WholeAnswer, Refusal> {
        let result = self.run_attempts(core).await;
        match &result {
            Ok(_) => {
                self.meters.whole_answer.observe(core.now().since(self.context.arrived));
                self.meters.note_end(CountedEnd::Whole);
                self.work.end(WorkEnd::Whole);
            }
            Err(refusal) => {
                self.meters.note_end(refusal.outcome.counted());
                core.end_refused(&self.work, refusal, refusal.outcome);
            }
        }
        result
    }

    async fn run_attempts(&self, core: &GatewayCore) -> Result<WholeAnswer, Refusal> {
        let class = service_class(&self.service);
        let mut progress = CallProgress {
            picker: TargetPicker::new(TargetKind::Server, class, self.digest, Vec::new()),
            second_permits: SecondPermits::default(),
            attempts: 0,
            may_have_run: false,
        };
        self.workspace.retries.note_first_attempt();
        loop {
            let picked = progress.picker.pick(core, &self.context).await;
            let picked = picked.map_err(|refusal| with_possible_effect(&progress, refusal))?;
            progress.attempts += 1;
            self.note_attempt(core, &progress);
            let end = self.attempt(core, &picked, &mut progress).await;
            progress.may_have_run |= progress.second_permits.any_used();
            match end {
                CallEnd::Answer(answer) => {
                    picked.target.counters.clear_suspicion();
                    return Ok(answer);
                }
                CallEnd::Moved(second) => {
                    picked.target.counters.suspect(core.now() + SUSPECT_PERIOD);
                    second.picked.target.counters.clear_suspicion();
                    return Ok(second.answer);
                }
                CallEnd::NotPermitted => {}
                CallEnd::Failed(end, refusal) => {
                    progress.picker.avoided.add(&picked.target);
                    if end.may_have_run() {
                        picked.target.counters.suspect(core.now() + SUSPECT_PERIOD);
                    }
                    self.retry_or_end(core, end, &mut progress, refusal)?;
                }
            }
        }
    }

    fn note_attempt(&self, core: &GatewayCore, progress: &CallProgress) {
        self.meters.attempts.inc();
        if progress.attempts == 1 {
            self.meters.queue_time.observe(core.now().since(self.context.arrived));
        } else {
            self.meters.retries.inc();
        }
    }

    fn retry_or_end(
        &self,
        core: &GatewayCore,
        end: AttemptEnd,
        progress: &mut CallProgress,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        let facts = RequestFacts {
            idempotent: self.idempotent,
            resumable: false,
            sent_to_caller: 0,
            attempts: progress.attempts,
            may_have_run: progress.may_have_run,
            deadline: self.context.deadline,
        };
        progress.may_have_run |= end.may_have_run();
        match next_step(end, &facts, &self.workspace.retries, core.now()) {
            NextStep::Retry | NextStep::Resume { .. } => Ok(()),
            NextStep::GiveUp(FinalOutcome::NotRun) => Err(refusal),
            NextStep::GiveUp(_) => Err(with_possible_effect(progress, refusal)),
        }
    }

    /// Takes a retry and a slot of a server for an attempt beside the one at `present`, which is
    /// silent.
    pub fn pick_second(
        &self,
        core: &GatewayCore,
        progress: &mut CallProgress,
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

    /// Records a second attempt that ended without an answer.
    pub fn note_failed_second(
        &self,
        core: &GatewayCore,
        progress: &mut CallProgress,
        failure: &FailedCall,
    ) {
        match failure.not_run {
            None => failure.target.counters.suspect(core.now() + SUSPECT_PERIOD),
            Some(_) => progress.second_permits.remove(&failure.permit),
        }
        if failure.not_run != Some(NotRunReason::PermitEnded) {
            progress.picker.avoided.add(&failure.target);
        }
    }

    /// A permit for an attempt at `picked` that ends with the call's deadline.
    pub fn permit(&self, core: &GatewayCore, picked: &PickedTarget) -> Arc<RequestPermit> {
        let clock = core.ports.clock.clone();
        let evidence = picked.snapshot.evidence.clone();
        Arc::new(RequestPermit::new(clock, evidence, self.context.deadline))
    }

    async fn attempt(
        &self,
        core: &GatewayCore,
        picked: &PickedTarget,
        progress: &mut CallProgress,
    ) -> CallEnd {
        let permit = self.permit(core, picked);
        let remaining = self.context.deadline.since(core.now());
        let services = core.ports.services.clone();
        let mut calling =
            pin!(services.call(self.dispatch(core, picked, permit.clone(), remaining)));
        let watch = self.watch(core, picked, remaining);
        let mut seconds = CallSeconds { core, run: self, present: &picked.target, progress };
        let watching = race_when_silent(&watch, &mut seconds, Result::is_ok, calling.as_mut());
        let end = tokio::select! {
            biased;
            end = timeout(remaining, watching) => end,
            () = core.ending() => return stopped_end(core, &permit),
        };
        match end {
            Ok(RaceEnd::Present(Ok(answer))) => CallEnd::Answer(answer),
            Ok(RaceEnd::Present(Err(error))) => dispatch_end(error),
            Ok(RaceEnd::Second(second)) => CallEnd::Moved(second),
            Ok(RaceEnd::HostDead) => host_dead_end(&permit),
            Err(_) if permit.was_used() => {
                let detail = "the server did not answer before the deadline";
                let refusal = Refusal::unknown(RefusalKind::DeadlinePassed, detail);
                CallEnd::Failed(AttemptEnd::NoAnswer, refusal)
            }
            Err(_) => CallEnd::NotPermitted,
        }
    }

    fn watch<'a>(
        &self,
        core: &'a GatewayCore,
        picked: &PickedTarget,
        remaining: Duration,
    ) -> HostWatch<'a> {
        let stream_idle_limit = Duration::from_millis(core.settings.silence_ms);
        let policy = ProbePolicy {
            kind: ProbedKind::Service,
            idle_limit: (remaining / IDLE_LIMIT_DIVISOR).max(stream_idle_limit * MIN_IDLE_FACTOR),
            probe_timeout: stream_idle_limit,
            report_silence: self.idempotent,
        };
        let prober = core.ports.services.as_ref();
        let address = picked.target.spec.address;
        let second_limit = policy.idle_limit;
        HostWatch { prober, meters: &core.meters, address, policy, second_limit }
    }

    /// What is sent to the server at `picked`.
    pub fn dispatch(
        &self,
        core: &GatewayCore,
        picked: &PickedTarget,
        permit: Arc<RequestPermit>,
        time_left: Duration,
    ) -> ServiceDispatch {
        ServiceDispatch {
            address: picked.target.spec.address,
            method: self.method.clone(),
            path: self.path.clone(),
            content_type: self.content_type.clone(),
            accept: self.accept.clone(),
            key: self.context.key.clone(),
            attempt: core.next_attempt(),
            workspace: self.workspace.id.clone(),
            time_left,
            body: self.body.clone(),
            new_connection: !self.idempotent,
            permit,
        }
    }
}

fn dispatch_end(error: DispatchError) -> CallEnd {
    match error {
        DispatchError::NotRun { reason: NotRunReason::PermitEnded, .. } => CallEnd::NotPermitted,
        DispatchError::NotRun { address, reason, retry_after } => {
            let detail = format!("the server at {address} did not take the call ({reason})");
            let refusal = Refusal::not_run(RefusalKind::NoTarget, detail)
                .retry_after(retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
            let end = match reason {
                NotRunReason::Unreachable => AttemptEnd::NotSent,
                _ => AttemptEnd::RefusedNotRun,
            };
            CallEnd::Failed(end, refusal)
        }
        DispatchError::Unknown { detail, .. } => {
            CallEnd::Failed(AttemptEnd::NoAnswer, Refusal::unknown(RefusalKind::NoAnswer, detail))
        }
    }
}

/// The end of an attempt that runs when the process stops.
fn stopped_end(core: &GatewayCore, permit: &RequestPermit) -> CallEnd {
    match permit.was_used() {
        true => CallEnd::Failed(AttemptEnd::NoAnswer, core.cut_short(true)),
        false => CallEnd::NotPermitted,
    }
}

fn host_dead_end(permit: &RequestPermit) -> CallEnd {
    let detail = "the host is gone";
    if permit.was_used() {
        CallEnd::Failed(AttemptEnd::NoAnswer, Refusal::unknown(RefusalKind::NoAnswer, detail))
    } else {
        CallEnd::Failed(AttemptEnd::NotSent, Refusal::not_run(RefusalKind::NoTarget, detail))
    }
}

/// Sets the outcome to unknown if an attempt may have run, whatever the last one reports.
fn with_possible_effect(progress: &CallProgress, refusal: Refusal) -> Refusal {
    if !progress.may_have_run {
        return refusal;
    }
    Refusal { outcome: Outcome::Unknown, ..refusal }
}
