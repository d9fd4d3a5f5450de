//! The work that this process knows to be left at a server, and the part that one request has in it.

use {
    crate::{
        costs::{CostBook, WorkFacts},
        server::ServerCounters,
    },
    base::{Tick, TokenCount},
    cost::{AnswerEnd, FailureShare, PaceMean, PaceReport, ServerWork},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// What is left to do at one server, for services with model engines.
#[derive(Debug, Default)]
pub(crate) struct ServerBacklog {
    /// Running and waiting requests in the last report.
    reported: AtomicU32,
    /// Prompt tokens of this process's requests that have no event yet.
    unread: AtomicU64,
    /// Output tokens that are expected of this process's requests.
    unwritten: AtomicU64,
    pace: PaceMean,
    reported_pace: PaceReport,
    failures: FailureShare,
}

impl ServerBacklog {
    /// Records the running and waiting requests of a load report.
    pub(crate) fn note_report(&self, requests: u32) {
        self.reported.store(requests, Ordering::Relaxed);
    }

    fn note_outcome(&self, failed: bool, now: Tick) {
        self.failures.note(failed, now);
    }

    /// The slowdown that events of this process's streams showed lately.
    pub(crate) fn recent_pace(&self, now: Tick) -> Option<f64> {
        self.pace.recent(now)
    }
}

impl ServerCounters {
    /// Records that the server failed a request, so that it does not look fast by that. One that did not
    /// run a request because it is full has failed nothing.
    pub fn note_failed_request(&self, now: Tick) {
        self.backlog.note_outcome(true, now);
    }

    /// Records the slowdown that the server's report names; 1 is usual.
    pub fn note_reported_pace(&self, slowdown: f64, now: Tick) {
        self.backlog.reported_pace.note(slowdown, now);
    }

    /// Slowdown of the server: the larger one of what its streams show and of what it reports.
    /// `usual_pace` is assumed where this process has seen no stream of it lately.
    pub(crate) fn pace(&self, usual_pace: f64, now: Tick) -> f64 {
        let seen = self.backlog.pace.value(usual_pace, now);
        seen.max(self.backlog.reported_pace.value(now))
    }

    /// What the server still has to do. Reported requests leave after about `stay`; `usual_pace` is
    /// assumed where this process has seen no stream of the server lately.
    pub fn work(&self, stay: Duration, usual_pace: f64, now: Tick) -> ServerWork {
        let own = f64::from(self.in_flight());
        let age = self.report_age(now).as_secs_f64() / stay.as_secs_f64().max(f64::EPSILON);
        let reported = f64::from(self.backlog.reported.load(Ordering::Relaxed)) * (-age).exp();
        ServerWork {
            requests: (reported + f64::from(self.sent_since_report())).max(own),
            own,
            unread: self.backlog.unread.load(Ordering::Relaxed) as f64,
            unwritten: self.backlog.unwritten.load(Ordering::Relaxed) as f64,
            pace: self.pace(usual_pace, now),
            failing: self.backlog.failures.value(now),
        }
    }
}

/// The work of one request at one server, from the moment at which it takes a place there. Dropping it takes
/// what is left off the server's backlog.
#[derive(Debug)]
pub(crate) struct RequestWork {
    counters: Arc<ServerCounters>,
    book: Arc<CostBook>,
    facts: WorkFacts,
    /// When the first event was expected, before it was corrected by the errors of earlier ones.
    expected: Duration,
    began: Tick,
    unread: TokenCount,
    unwritten: TokenCount,
    events: u64,
    /// `None` if the time since then says nothing about the server.
    last_event: Option<Tick>,
    end: AnswerEnd,
}

impl RequestWork {
    pub(crate) fn begin(
        counters: Arc<ServerCounters>,
        book: Arc<CostBook>,
        facts: WorkFacts,
        expected: Duration,
        now: Tick,
    ) -> Self {
        let (unread, unwritten) = (facts.size.prompt, facts.output.tokens);
        counters.backlog.unread.fetch_add(unread.0, Ordering::Relaxed);
        counters.backlog.unwritten.fetch_add(unwritten.0, Ordering::Relaxed);
        Self {
            counters,
            book,
            facts,
            expected,
            began: now,
            unread,
            unwritten,
            events: 0,
            last_event: None,
            end: AnswerEnd::Cut,
        }
    }

    /// Records that `events` events were received together.
    pub(crate) fn note_events(&mut self, events: u64, now: Tick) {
        if self.events == 0 {
            self.take_unread();
            self.counters.backlog.note_outcome(false, now);
            self.book.note_first_event(&self.facts, self.expected, now.since(self.began));
        } else if let Some(last) = self.last_event {
            let streams = self.counters.work(self.facts.stay(), 1.0, now).requests;
            let usual = self.facts.pass(streams);
            let seen = now.since(last).as_secs_f64() / events.max(1) as f64;
            let usual = usual.as_secs_f64().max(f64::MIN_POSITIVE);
            self.counters.backlog.pace.note(seen / usual, now);
        }
        self.last_event = Some(now);
        self.events += events;
        let tokens = events * u64::from(self.facts.speed.stride);
        self.take_unwritten(tokens);
    }

    /// Records that the next event may have waited for the caller.
    pub(crate) fn note_held_up(&mut self) {
        self.last_event = None;
    }

    /// Records that the last event was received.
    pub(crate) fn note_whole(&mut self) {
        self.end = AnswerEnd::Whole;
    }

    fn take_unread(&mut self) {
        let unread = std::mem::take(&mut self.unread).0;
        self.counters.backlog.unread.fetch_sub(unread, Ordering::Relaxed);
    }

    fn take_unwritten(&mut self, tokens: u64) {
        let written = tokens.min(self.unwritten.0);
        self.unwritten.0 -= written;
        self.counters.backlog.unwritten.fetch_sub(written, Ordering::Relaxed);
    }
}

impl Drop for RequestWork {
    fn drop(&mut self) {
        self.take_unread();
        self.take_unwritten(u64::MAX);
        if self.events == 0 {
            let waited = self.book.clock().now().since(self.began);
            self.book.note_no_event(&self.facts, self.expected, waited);
        } else {
            let tokens = TokenCount(self.events * u64::from(self.facts.speed.stride));
            self.book.note_answer(&self.facts, tokens, self.end);
        }
    }
}
