//! Checks over the stand-ins' histories; each gives the violations it finds.

use {
    crate::{
        caller::CallEnd,
        load::{LoadCall, LoadRecord},
    },
    base::HostId,
    standin::history::{EngineRun, GroupInterval, HistoryView, RunEnd},
    std::{collections::HashMap, net::SocketAddr},
};

/// Runs that started though a member had been missing for longer than `limit_ms`.
pub fn late_incomplete_starts(history: &HistoryView, limit_ms: u64) -> Vec<EngineRun> {
    let incomplete = history.runs.iter().filter(|run| !run.complete_at_start);
    incomplete.filter(|run| run.missing_ms > limit_ms).cloned().collect()
}

/// Memberships that a load for another group ended: somebody gave the host to a group while it
/// still belonged to one, for nothing had released it.
pub fn double_memberships(history: &HistoryView) -> Vec<GroupInterval> {
    history.intervals.iter().filter(|interval| interval.replaced).cloned().collect()
}

/// Runs on a host that started after a time, in milliseconds since the start of the stand-ins.
pub fn runs_started_after<'a>(
    history: &'a HistoryView,
    host: &HostId,
    after_ms: u64,
) -> Vec<&'a EngineRun> {
    history.runs.iter().filter(|run| run.host == *host && run.started_ms > after_ms).collect()
}

/// How many requests came to which end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCounts {
    /// Whole answers.
    pub whole: usize,
    /// Told as not run.
    pub not_run: usize,
    /// Told as unknown.
    pub unknown: usize,
    /// Told as cut.
    pub cut: usize,
    /// Never accepted, for no connection could be made.
    pub no_connection: usize,
    /// Broken without a word.
    pub broken: usize,
    /// Wrong answers.
    pub wrong: usize,
}

/// Counts the ends.
pub fn count_ends(records: &[LoadRecord]) -> EndCounts {
    let mut counts = EndCounts::default();
    for record in records {
        let count = match record.end {
            CallEnd::Whole => &mut counts.whole,
            CallEnd::NotRun(_) => &mut counts.not_run,
            CallEnd::Unknown => &mut counts.unknown,
            CallEnd::Cut => &mut counts.cut,
            CallEnd::NoConnection => &mut counts.no_connection,
            CallEnd::Broken(_) => &mut counts.broken,
            CallEnd::Wrong(_) => &mut counts.wrong,
        };
        *count += 1;
    }
    counts
}

/// Everything that callers were told and that the history contradicts.
///
/// A whole answer needs a run that was made to its end; what was told as not run, or was never
/// accepted, must have no run; what is marked as non-idempotent has one run at most; nothing may
/// end with a wrong answer, or without a word. `may_break` says of a gateway whether its
/// connections may break without a word, as those of a killed one do.
pub fn contradictions(
    records: &[LoadRecord],
    history: &HistoryView,
    may_break: impl Fn(SocketAddr) -> bool,
) -> Vec<String> {
    let book = RunBook::new(history);
    let mut found = Vec::new();
    for record in records {
        let runs = book.runs_of(&record.call);
        let at_most_once = is_non_idempotent(&record.call);
        if let Some(problem) = contradiction(record, &runs, at_most_once, &may_break) {
            found.push(format!("{:?} at {}: {problem}; {runs:?}", record.call, record.gateway));
        }
    }
    found
}

/// What the history says of one request.
#[derive(Clone, Copy, Debug, Default)]
struct RunCounts {
    started: usize,
    whole: usize,
}

/// The runs by prompt and by key.
struct RunBook<'a> {
    counts: HashMap<&'a str, RunCounts>,
}

impl<'a> RunBook<'a> {
    fn new(history: &'a HistoryView) -> Self {
        let mut counts: HashMap<&str, RunCounts> = HashMap::new();
        for run in &history.runs {
            let count = counts.entry(run.prompt.as_str()).or_default();
            count.started += 1;
            count.whole += usize::from(run.end == Some(RunEnd::Whole));
        }
        for run in &history.service_runs {
            let Some(key) = &run.idempotency_key else { continue };
            let count = counts.entry(key.as_str()).or_default();
            count.started += 1;
            count.whole += usize::from(run.ended_ms.is_some());
        }
        Self { counts }
    }

    fn runs_of(&self, call: &LoadCall) -> RunCounts {
        let counts = match call {
            LoadCall::Completion(completion) => self.counts.get(completion.prompt_name().as_str()),
            LoadCall::Service { key } => self.counts.get(key.as_str()),
        };
        counts.copied().unwrap_or_default()
    }
}

fn is_non_idempotent(call: &LoadCall) -> bool {
    match call {
        LoadCall::Completion(completion) => completion.key.is_some(),
        LoadCall::Service { .. } => true,
    }
}

fn contradiction(
    record: &LoadRecord,
    runs: &RunCounts,
    at_most_once: bool,
    may_break: &impl Fn(SocketAddr) -> bool,
) -> Option<String> {
    if at_most_once && runs.started > 1 {
        return Some("more than one run of a non-idempotent request".to_owned());
    }
    match &record.end {
        CallEnd::Whole if runs.whole == 0 => Some("a whole answer without a whole run".to_owned()),
        CallEnd::NotRun(status) if runs.started > 0 => Some(format!("not run ({status}), but run")),
        CallEnd::NoConnection if runs.started > 0 => Some("never accepted, but run".to_owned()),
        CallEnd::Broken(detail) if !may_break(record.gateway) => {
            Some(format!("broken without a word: {detail}"))
        }
        CallEnd::Wrong(detail) => Some(format!("wrong: {detail}")),
        _ => None,
    }
}

/// Calls that a plain service's server ran and that started after a time, in milliseconds since
/// the start of the stand-ins.
pub fn service_runs_started_after(history: &HistoryView, host: &HostId, after_ms: u64) -> usize {
    let runs = history.service_runs.iter();
    runs.filter(|run| run.host == *host && run.started_ms > after_ms).count()
}
