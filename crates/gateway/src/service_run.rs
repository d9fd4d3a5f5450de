//! Runs a call of a plain service, with retries, until it is answered or refused.

use {
    crate::{
        core::{DEFAULT_RETRY_AFTER, GatewayCore},
        metrics::{ClassMeters, CountedEnd},
        permit::RequestPermit,
        pick::{PickedTarget, TargetKind, TargetPicker},
        probe::{ProbePolicy, Unresponsive, wait_with_probes},
        refusal::{Outcome, Refusal, RefusalKind},
        request_context::RequestContext,
        snapshot::{KeyDigest, service_class},
        workspace::WorkspaceState,
    },
    base::ServiceName,
    bytes::Bytes,
    engine::{DispatchError, NotRunReason, ProbedKind, ServiceDispatch, WholeAnswer},
    http::{HeaderValue, Method},
    route::{AttemptEnd, FinalOutcome, NextStep, RequestFacts, next_step},
    std::{pin::pin, sync::Arc, time::Duration},
    stop::{WorkEnd, WorkGuard},
    tokio::time::timeout,
};

/// Shortest idle limit of a service call, as a multiple of the idle limit of a token stream.
const MIN_IDLE_FACTOR: u32 = 4;
/// Divisor of the time until the deadline that gives the idle limit of a long call. A third leaves
/// time for a retry on another connection.
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

struct CallProgress {
    picker: TargetPicker,
    attempts: u32,
    may_have_run: bool,
}

enum CallEnd {
    Answer(WholeAnswer),
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
            attempts: 0,
            may_have_run: false,
        };
        self.workspace.retries.note_first_attempt();
        loop {
            let picked = progress.picker.pick(core, &self.context).await;
            let picked = picked.map_err(|refusal| with_possible_effect(&progress, refusal))?;
            progress.attempts += 1;
            self.note_attempt(core, &progress);
            match self.attempt(core, &picked).await {
                CallEnd::Answer(answer) => {
                    picked.target.counters.clear_suspicion();
                    return Ok(answer);
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

    async fn attempt(&self, core: &GatewayCore, picked: &PickedTarget) -> CallEnd {
        let clock = core.ports.clock.clone();
        let evidence = picked.snapshot.evidence.clone();
        let permit = Arc::new(RequestPermit::new(clock, evidence, self.context.deadline));
        let remaining = self.context.deadline.since(core.now());
        let services = core.ports.services.clone();
        let mut calling =
            pin!(services.call(self.dispatch(core, picked, permit.clone(), remaining)));
        let probe_policy = self.probe_policy(core, remaining);
        let address = picked.target.spec.address;
        let watching = wait_with_probes(
            services.as_ref(),
            &core.meters,
            address,
            probe_policy,
            calling.as_mut(),
        );
        let end = tokio::select! {
            biased;
            end = timeout(remaining, watching) => end,
            () = core.ending() => return stopped_end(core, &permit),
        };
        match end {
            Ok(Ok(Ok(answer))) => CallEnd::Answer(answer),
            Ok(Ok(Err(error))) => dispatch_end(error),
            Ok(Err(state)) => unresponsive_end(&permit, state),
            Err(_) if permit.was_used() => {
                let detail = "the server did not answer before the deadline";
                let refusal = Refusal::unknown(RefusalKind::DeadlinePassed, detail);
                CallEnd::Failed(AttemptEnd::NoAnswer, refusal)
            }
            Err(_) => CallEnd::NotPermitted,
        }
    }

    fn probe_policy(&self, core: &GatewayCore, remaining: Duration) -> ProbePolicy {
        let stream_idle_limit = Duration::from_millis(core.settings.silence_ms);
        ProbePolicy {
            kind: ProbedKind::Service,
            idle_limit: (remaining / IDLE_LIMIT_DIVISOR).max(stream_idle_limit * MIN_IDLE_FACTOR),
            probe_timeout: stream_idle_limit,
            give_up_connection: self.idempotent && self.workspace.retries.left() > 0,
        }
    }

    fn dispatch(
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

fn unresponsive_end(permit: &RequestPermit, state: Unresponsive) -> CallEnd {
    let detail = match state.host_alive {
        true => "the connection went silent",
        false => "the host is gone",
    };
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
