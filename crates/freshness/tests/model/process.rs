//! Hosts, the processes on them, and the messages between them.

use {
    crate::model::table::{Change, Write, member},
    base::{HeadNumber, HostId, Incarnation, MemberId, Tick},
    freshness::{FreshTiming, HeadTracker, HeldHead, PeerReport, RulePolicy},
    std::sync::Arc,
};

/// Time after which a process considers a write without an answer lost, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 2_000;
const NANOS_PER_MS: f64 = 1e6;

/// A message between two hosts, or from the table to a host.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Question { from: usize, nonce: u64, member: MemberId, head: HeadNumber },
    Answer { from: usize, nonce: u64, peer_report: Arc<PeerReport> },
    FetchState { from: usize, at_least: HeadNumber },
    State { state: Arc<HeldHead> },
    TableState { nonce: u64, state: Arc<HeldHead>, joined: Option<MemberId> },
    WriteResult { nonce: u64, committed: bool },
}

/// A process of a node; a restart replaces it by one with another `process_id`.
pub(crate) struct Process<P> {
    pub(crate) process_id: u64,
    pub(crate) tracker: HeadTracker<P>,
    /// Changes still to be written, in order.
    pub(crate) pending_changes: Vec<Change>,
    /// When the write without an answer was sent, if there is one.
    pub(crate) write_sent_ms: Option<u64>,
    /// Nonces and send times of requests without an answer.
    open_requests: Vec<(u64, Tick)>,
}

impl<P: RulePolicy + Copy> Process<P> {
    pub(crate) fn new(process_id: u64, me: MemberId, policy: P) -> Self {
        let tracker = HeadTracker::with_policy(me, FreshTiming::default(), policy);
        Self {
            process_id,
            tracker,
            pending_changes: Vec::new(),
            write_sent_ms: None,
            open_requests: Vec::new(),
        }
    }

    pub(crate) fn record_sent(&mut self, nonce: u64, sent: Tick) {
        if self.open_requests.len() >= 64 {
            self.open_requests.remove(0);
        }
        self.open_requests.push((nonce, sent));
    }

    /// Removes the request that an answer belongs to, and returns when it was sent.
    pub(crate) fn remove_sent(&mut self, nonce: u64) -> Option<Tick> {
        let position = self.open_requests.iter().position(|(request, _)| *request == nonce)?;
        Some(self.open_requests.remove(position).1)
    }

    pub(crate) fn held(&self) -> HeadNumber {
        self.tracker.held().number
    }

    /// Changes the identity of the process, and drops the evidence of the earlier one.
    pub(crate) fn become_member(&mut self, me: MemberId, policy: P, now: Tick) {
        let held = self.tracker.held().clone();
        self.tracker = HeadTracker::with_policy(me, FreshTiming::default(), policy);
        self.tracker.hold(now, held);
    }

    /// The write to send after the table's state was read, if none is in flight. Drops changes that
    /// the state shows as done.
    pub(crate) fn next_write(&mut self, state: &HeldHead, now_ms: u64) -> Option<Write> {
        if self.write_sent_ms.is_some_and(|since| now_ms < since + WRITE_TIMEOUT_MS) {
            return None;
        }
        self.pending_changes.retain(|change| match change {
            Change::End { member } | Change::DeclareDead { member } => {
                state.view.position(member).is_some()
            }
            Change::Ticket | Change::Join { .. } => true,
        });
        let change = self.pending_changes.first()?.clone();
        self.write_sent_ms = Some(now_ms);
        Some(Write { expects: state.number, in_force: self.tracker.in_force(), change })
    }
}

/// A host, its clock and the process on it.
pub(crate) struct Host<P> {
    pub(crate) id: HostId,
    /// Whether the host's processes never join and never read the table. They learn of heads only
    /// from members.
    pub(crate) observer: bool,
    pub(crate) process: Option<Process<P>>,
    pub(crate) frozen: bool,
    /// Messages that arrived while the process was frozen.
    pub(crate) queued_messages: Vec<Message>,
    /// Timers that expired while the process was frozen.
    pub(crate) queued_timers: Vec<(u64, Timer)>,
    offset_ms: f64,
    rate: f64,
}

/// Periodic actions of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// Asks a random member for its head.
    Ask,
    /// Reads the state from the table.
    Read,
}

impl<P> Host<P> {
    pub(crate) fn new(id: HostId, observer: bool, offset_ms: f64, rate: f64) -> Self {
        let (queued_messages, queued_timers) = (Vec::new(), Vec::new());
        Self {
            id,
            observer,
            process: None,
            frozen: false,
            queued_messages,
            queued_timers,
            offset_ms,
            rate,
        }
    }

    /// Time on the host's own clock, which is offset and runs at its own rate.
    pub(crate) fn tick(&self, now_ms: u64) -> Tick {
        let own = self.offset_ms + now_ms as f64 * self.rate;
        Tick((own * NANOS_PER_MS) as u64)
    }

    /// The identity of a process that has not joined yet.
    pub(crate) fn unjoined_id(&self) -> MemberId {
        member(&self.id, Incarnation(0))
    }

    /// The process, unless it is frozen or there is none.
    pub(crate) fn running(&mut self) -> Option<&mut Process<P>> {
        if self.frozen { None } else { self.process.as_mut() }
    }
}
