//! Decides between retry, resumption and giving up after an attempt without a complete answer.

use {crate::budget::RetryBudget, base::Tick, std::time::Duration};

/// Upper bound on the attempts of one request, including the first, retries and resumptions.
pub const MAX_ATTEMPTS: u32 = 4;
/// No attempt is started when less than this remains until the deadline.
pub const MIN_REMAINING_TIME: Duration = Duration::from_millis(20);

/// How an attempt ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte of the request reached the backend server.
    NotSent,
    /// The backend server answered that it did not run the request.
    RefusedNotRun,
    /// The request may have reached the backend server, but no answer arrived.
    NoAnswer,
    /// The connection failed after the start of the answer.
    Broken,
}

impl AttemptEnd {
    /// Whether the backend server may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::NoAnswer | Self::Broken)
    }
}

/// The state of a request on which [`next_step`] decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestFacts {
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Whether an interrupted stream can be resumed at an offset.
    pub resumable: bool,
    /// Number of tokens or bytes of the answer that were sent to the caller.
    pub sent_to_caller: u64,
    /// Number of attempts, including the one that just ended.
    pub attempts: u32,
    /// Whether the backend server may have run the request in an attempt before the one that just
    /// ended.
    pub may_have_run: bool,
    /// Deadline that the caller set.
    pub deadline: Tick,
}

/// The outcome that is reported to the caller when no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The request did not run and will not run.
    NotRun,
    /// The request was sent; whether it ran is not known.
    Unknown,
    /// The answer is incomplete: a part of it was sent to the caller before the attempt failed.
    Cut,
}

/// The action that follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request again from the start, to another target if there is one.
    Retry,
    /// Resume the stream after the part that the caller has.
    Resume {
        /// Number of tokens or bytes that the caller has.
        offset: u64,
    },
    /// Report the outcome to the caller.
    GiveUp(FinalOutcome),
}

/// Decides what follows a failed attempt. A retry or resumption is charged to the budget.
pub fn next_step(
    end: AttemptEnd,
    facts: &RequestFacts,
    budget: &RetryBudget,
    now: Tick,
) -> NextStep {
    let outcome = final_outcome(end, facts);
    let Some(step) = possible_step(end, facts) else {
        return NextStep::GiveUp(outcome);
    };
    let enough_time = now + MIN_REMAINING_TIME <= facts.deadline;
    if !enough_time || facts.attempts >= MAX_ATTEMPTS || !budget.try_retry() {
        return NextStep::GiveUp(outcome);
    }
    step
}

/// The outcome to report if no further attempt is made.
fn final_outcome(end: AttemptEnd, facts: &RequestFacts) -> FinalOutcome {
    if facts.sent_to_caller > 0 {
        return FinalOutcome::Cut;
    }
    match end.may_have_run() || facts.may_have_run {
        true => FinalOutcome::Unknown,
        false => FinalOutcome::NotRun,
    }
}

fn possible_step(end: AttemptEnd, facts: &RequestFacts) -> Option<NextStep> {
    if facts.sent_to_caller > 0 {
        let resumes = facts.idempotent && facts.resumable;
        return resumes.then_some(NextStep::Resume { offset: facts.sent_to_caller });
    }
    let repeatable = facts.idempotent || !end.may_have_run();
    repeatable.then_some(NextStep::Retry)
}
