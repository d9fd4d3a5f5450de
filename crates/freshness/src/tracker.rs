//! Tracks one node's evidence, and derives whether the node is current and which heads are in force.

use {
    crate::{
        held_head::{HeldHead, MemberSet},
        policy::{HeadRule, RulePolicy},
        report::{MemberReport, PeerReport},
        timing::FreshTiming,
    },
    base::{HeadNumber, MemberId, Tick, ViewNumber},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Maximum number of heads that wait to be in force. Beyond it a head is found in force only
/// together with a later one.
const MAX_PENDING: usize = 64;
/// Maximum number of entries in the log of when heads were found in force.
const MAX_FORCE_LOG_ENTRIES: usize = 256;

/// How a node knows that its head is the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvidenceKind {
    /// The node read the state head from the table service.
    Table,
    /// A peer reported evidence of its own.
    Peer,
    /// A majority of the members reported that they hold no newer head.
    Majority,
}

/// Evidence that the held head was the newest at a tick of the node's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// Source of the evidence.
    pub kind: EvidenceKind,
    /// When the held head was the newest.
    pub tick: Tick,
}

/// What a head still needs to be in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForceOutlook {
    /// No node is current on an older head any more.
    InForce,
    /// A majority of each view in use holds the head, but some node may still be current on an
    /// older one.
    Waiting {
        /// Time until the head is in force.
        remaining: Duration,
    },
    /// Some view in use has no majority of members that are known to hold the head.
    Unacknowledged,
}

/// Evidence that `head` was the newest at `tick`.
#[derive(Clone, Copy, Debug)]
struct HeadEvidence {
    head: HeadNumber,
    tick: Tick,
}

/// Evidence from one source.
///
/// If head 5 was the newest at a tick, then no head above 5, and so none above 6, existed at that
/// tick. So evidence for a head remains valid after the node has come to hold a later head.
#[derive(Clone, Copy, Debug, Default)]
struct EvidenceSlot {
    /// The latest tick at which no head newer than the held one existed.
    tick: Option<Tick>,
    /// Evidence for a head that the node does not hold yet.
    ahead: Option<HeadEvidence>,
}

impl EvidenceSlot {
    /// Applies evidence to the held head, or keeps it if it is for a head that is not held yet.
    fn apply(&mut self, held: HeadNumber, evidence: HeadEvidence) {
        if evidence.head <= held {
            self.tick = self.tick.max(Some(evidence.tick));
            return;
        }
        let newer = |ahead: HeadEvidence| (evidence.head, evidence.tick) > (ahead.head, ahead.tick);
        if self.ahead.is_none_or(newer) {
            self.ahead = Some(evidence);
        }
    }

    /// Applies the evidence that was kept, if its head is now held.
    fn apply_ahead(&mut self, held: HeadNumber) {
        if let Some(ahead) = self.ahead.take_if(|ahead| ahead.head <= held) {
            self.apply(held, ahead);
        }
    }
}

/// A head that the node has held and that is not in force yet.
#[derive(Clone, Copy, Debug)]
struct PendingHead {
    number: HeadNumber,
    /// The view at this head.
    view: ViewNumber,
    /// When a majority of each view in use was first known to hold the head.
    majority_since: Option<Tick>,
    /// Whether all members of the held view are known to hold the head.
    all_acknowledged: bool,
}

/// When the node found a head in force.
#[derive(Clone, Copy, Debug)]
struct ForceEntry {
    number: HeadNumber,
    tick: Tick,
}

/// The evidence of one incarnation of a node, and what the node knows about heads in force.
#[derive(Clone, Debug)]
pub struct HeadTracker<P = HeadRule> {
    me: MemberId,
    timing: FreshTiming,
    policy: P,
    held: HeldHead,
    table: EvidenceSlot,
    peer: EvidenceSlot,
    /// For each member of the held view, the latest tick at which it is known to have counted
    /// towards a majority and to have held no head newer than this node's.
    report_ticks: Vec<Option<Tick>>,
    /// The newest head that each member is known to have held.
    acknowledged: BTreeMap<MemberId, HeadNumber>,
    /// Heads that are not in force yet, oldest first.
    pending: VecDeque<PendingHead>,
    /// The newest head found in force; all older ones are in force too.
    in_force: HeadNumber,
    /// When heads were found in force, oldest first; at most [`MAX_FORCE_LOG_ENTRIES`].
    force_log: VecDeque<ForceEntry>,
}

impl HeadTracker {
    /// Creates a tracker that follows [`HeadRule`] and has no evidence yet.
    pub fn new(me: MemberId, timing: FreshTiming) -> Self {
        Self::with_policy(me, timing, HeadRule)
    }
}

impl<P: RulePolicy> HeadTracker<P> {
    /// Creates a tracker that follows another policy, for tests that break the rule on purpose.
    pub fn with_policy(me: MemberId, timing: FreshTiming, policy: P) -> Self {
        Self {
            me,
            timing,
            policy,
            held: HeldHead::default(),
            table: EvidenceSlot::default(),
            peer: EvidenceSlot::default(),
            report_ticks: Vec::new(),
            acknowledged: BTreeMap::new(),
            pending: VecDeque::new(),
            in_force: HeadNumber::default(),
            force_log: VecDeque::new(),
        }
    }

    /// The node and incarnation that this tracker belongs to.
    pub fn me(&self) -> &MemberId {
        &self.me
    }

    /// The state head that the node holds.
    pub fn held(&self) -> &HeldHead {
        &self.held
    }

    /// Records that the node now holds a head. Returns false, and changes nothing, if
    /// the head is not newer than the held one.
    pub fn hold(&mut self, now: Tick, held: HeldHead) -> bool {
        if held.number <= self.held.number {
            return false;
        }
        self.report_ticks =
            held.view.members.iter().map(|member| self.last_report_tick(member)).collect();
        self.acknowledged.retain(|member, _| is_known_member(&held, member));
        self.acknowledged.insert(self.me.clone(), held.number);
        self.push_pending(PendingHead {
            number: held.number,
            view: held.view.number,
            majority_since: None,
            all_acknowledged: false,
        });
        self.table.apply_ahead(held.number);
        self.peer.apply_ahead(held.number);
        self.held = held;
        self.settle(now);
        true
    }

    /// Records that the node read `head` from the state head row, with the ticks at which the read
    /// was sent and its answer received.
    pub fn record_read(&mut self, sent: Tick, received: Tick, head: HeadNumber) {
        let tick = self.policy.evidence_tick(sent, received);
        self.table.apply(self.held.number, HeadEvidence { head, tick });
    }

    /// Records that a member holds this head or a newer one.
    pub fn record_acknowledgement(&mut self, now: Tick, member: &MemberId, head: HeadNumber) {
        self.acknowledge(member, head);
        self.settle(now);
    }

    /// Applies a peer's answer to a request that was sent at `sent`.
    pub fn apply_report(&mut self, sent: Tick, received: Tick, peer_report: &PeerReport) {
        let sent_tick = self.policy.evidence_tick(sent, received);
        if let Some(age) = peer_report.age {
            let evidence = HeadEvidence { head: peer_report.head, tick: sent_tick.back(age) };
            self.peer.apply(self.held.number, evidence);
        }
        self.acknowledge(&peer_report.from, peer_report.head);
        if peer_report.counts && peer_report.head <= self.held.number {
            self.record_report(self.held.view.position(&peer_report.from), sent_tick);
        }
        if peer_report.view == self.held.view.number {
            self.apply_member_reports(sent_tick, peer_report);
        }
        self.settle(received);
    }

    /// The latest evidence that the held head is the newest, even if it has expired.
    pub fn evidence(&self, now: Tick) -> Option<Evidence> {
        let found = [
            (EvidenceKind::Peer, self.peer.tick),
            (EvidenceKind::Majority, self.majority_tick(now)),
            (EvidenceKind::Table, self.table.tick),
        ];
        let found =
            found.into_iter().filter_map(|(kind, tick)| tick.map(|tick| Evidence { kind, tick }));
        found.max_by_key(|evidence| evidence.tick)
    }

    /// Tick of the latest evidence from the node's own reads of the state head row.
    pub fn last_read(&self) -> Option<Tick> {
        self.table.tick
    }

    /// The evidence on which the node may act now; `None` if it is isolated, that is if it holds no
    /// head or has no evidence within the window.
    ///
    /// The result expires, so callers ask again at each use instead of keeping it.
    pub fn current(&self, now: Tick) -> Option<Evidence> {
        if self.held.number == HeadNumber::default() {
            return None;
        }
        self.evidence(now).filter(|evidence| now.since(evidence.tick) <= self.timing.window)
    }

    /// Whether this node's own reports count towards a majority, see [`RulePolicy::counts`].
    pub fn counts(&self) -> bool {
        let joined = self.held.joined(&self.me);
        let in_force = joined.is_some_and(|head| head <= self.in_force);
        self.policy.counts(joined.is_some(), in_force)
    }

    /// The report with which this node answers a peer.
    pub fn own_report(&self, now: Tick) -> PeerReport {
        PeerReport {
            from: self.me.clone(),
            head: self.held.number,
            view: self.held.view.number,
            age: self.current(now).map(|evidence| now.since(evidence.tick)),
            counts: self.counts(),
            members: self.member_reports(now),
        }
    }

    /// Finds the heads that are in force at `now` and returns the newest one. The passing of time
    /// alone can bring a head in force, so callers call this periodically.
    pub fn settle(&mut self, now: Tick) -> HeadNumber {
        self.mark_majorities(now);
        while let Some(first) = self.pending.front()
            && let Some(since) = first.majority_since
            && now >= since + self.policy.force_wait(&self.timing, first.all_acknowledged)
        {
            let number = first.number;
            self.pending.pop_front();
            self.in_force = number;
            self.force_log.push_back(ForceEntry { number, tick: now });
            if self.force_log.len() > MAX_FORCE_LOG_ENTRIES {
                self.force_log.pop_front();
            }
        }
        self.in_force
    }

    /// The newest head that this node has found in force.
    pub fn in_force(&self) -> HeadNumber {
        self.in_force
    }

    /// When this node found a head in force. For heads older than the log, returns the time of the
    /// oldest entry, which is later; `None` if the head is not in force.
    pub fn in_force_since(&self, head: HeadNumber) -> Option<Tick> {
        self.force_log.iter().find(|entry| entry.number >= head).map(|entry| entry.tick)
    }

    /// What a head still needs to be in force, as far as this node knows.
    pub fn outlook(&self, now: Tick, head: HeadNumber) -> ForceOutlook {
        if head <= self.in_force {
            return ForceOutlook::InForce;
        }
        let pending = self.pending.iter().find(|pending| pending.number >= head);
        let Some(pending) = pending else { return ForceOutlook::Unacknowledged };
        match pending.majority_since {
            Some(since) => {
                let wait = self.policy.force_wait(&self.timing, pending.all_acknowledged);
                ForceOutlook::Waiting { remaining: (since + wait).since(now) }
            }
            None => ForceOutlook::Unacknowledged,
        }
    }

    /// The newest head that a member is known to have held.
    pub fn acknowledged(&self, member: &MemberId) -> Option<HeadNumber> {
        self.acknowledged.get(member).copied()
    }

    /// Members of the held view that are not known to hold a head at least this new.
    pub fn missing(&self, head: HeadNumber) -> Vec<MemberId> {
        let members = self.held.view.members.iter();
        members.filter(|member| self.acknowledged(member) < Some(head)).cloned().collect()
    }

    /// The latest tick at which a member is known to have counted towards a majority and to have
    /// held no head newer than the one that this node holds. `None` if no such tick is known or the
    /// member is not in the held view.
    pub fn last_report_tick(&self, member: &MemberId) -> Option<Tick> {
        let position = self.held.view.position(member)?;
        self.report_ticks.get(position).copied().flatten()
    }

    /// Applies what a peer on the same view reports about each member.
    fn apply_member_reports(&mut self, sent_tick: Tick, peer_report: &PeerReport) {
        let ids = std::mem::take(&mut self.held.view.members);
        for (position, (member, member_report)) in ids.iter().zip(&peer_report.members).enumerate()
        {
            if member_report.acknowledged {
                self.raise_acknowledged(member, peer_report.head);
            }
            if let Some(age) = member_report.age
                && peer_report.head <= self.held.number
            {
                self.record_report(Some(position), sent_tick.back(age));
            }
        }
        self.held.view.members = ids;
    }

    fn record_report(&mut self, position: Option<usize>, tick: Tick) {
        if let Some(last) = position.and_then(|position| self.report_ticks.get_mut(position)) {
            *last = (*last).max(Some(tick));
        }
    }

    fn acknowledge(&mut self, member: &MemberId, head: HeadNumber) {
        if is_known_member(&self.held, member) {
            self.raise_acknowledged(member, head);
        }
    }

    fn raise_acknowledged(&mut self, member: &MemberId, head: HeadNumber) {
        if *member == self.me {
            return;
        }
        match self.acknowledged.get_mut(member) {
            Some(known) => *known = head.max(*known),
            None => drop(self.acknowledged.insert(member.clone(), head)),
        }
    }

    fn member_reports(&self, now: Tick) -> Vec<MemberReport> {
        let own = self.counts().then_some(Duration::ZERO);
        let members = self.held.view.members.iter().zip(&self.report_ticks);
        members
            .map(|(member, tick)| MemberReport {
                age: if *member == self.me { own } else { tick.map(|tick| now.since(tick)) },
                acknowledged: self.acknowledged(member) >= Some(self.held.number),
            })
            .collect()
    }

    /// The latest tick such that a strict majority of the view is known to have held no newer head at
    /// that tick or later.
    fn majority_tick(&self, now: Tick) -> Option<Tick> {
        let view = &self.held.view;
        let own = self.counts().then_some(now);
        let mut ticks: Vec<Tick> = view
            .members
            .iter()
            .zip(&self.report_ticks)
            .filter_map(|(member, tick)| if *member == self.me { own } else { *tick })
            .collect();
        let needed = view.majority();
        if ticks.len() < needed {
            return None;
        }
        let (_, tick, _) = ticks.select_nth_unstable_by(needed - 1, |a, b| b.cmp(a));
        Some(*tick)
    }

    /// Appends a head that waits to be in force.
    fn push_pending(&mut self, pending: PendingHead) {
        // A head in force implies that all earlier ones are, so any pending head except the first may
        // be dropped.
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_back();
        }
        self.pending.push_back(pending);
    }

    /// Records which pending heads have reached a majority of each view in use.
    fn mark_majorities(&mut self, now: Tick) {
        let mut pending = std::mem::take(&mut self.pending);
        for head in &mut pending {
            if head.majority_since.is_none() && self.has_majorities(head) {
                head.majority_since = Some(now);
            }
            head.all_acknowledged = self.is_held_by_all(head.number);
        }
        self.pending = pending;
    }

    fn has_majorities(&self, head: &PendingHead) -> bool {
        let mut views = self.views_in_use().filter(|view| view.number <= head.view);
        views.all(|view| {
            view.members.is_empty() || self.holders(view, head.number) >= view.majority()
        })
    }

    /// Views whose heads some node may still be current on: those for which the head that
    /// introduced the next view is not in force.
    fn views_in_use(&self) -> impl Iterator<Item = &MemberSet> {
        let successors = self.held.views().skip(1).map(|view| Some(view.since)).chain([None]);
        let views = self.held.views().zip(successors);
        let in_use =
            move |since: Option<HeadNumber>| since.is_none_or(|since| since > self.in_force);
        views.filter(move |(_, since)| in_use(*since)).map(|(view, _)| view)
    }

    fn is_held_by_all(&self, head: HeadNumber) -> bool {
        let view = &self.held.view;
        self.holders(view, head) == view.members.len()
    }

    /// Number of members of a view that hold the head or have ended.
    fn holders(&self, view: &MemberSet, head: HeadNumber) -> usize {
        let members = view.members.iter();
        members
            .filter(|member| {
                self.acknowledged(member) >= Some(head) || self.held.ended.contains(member)
            })
            .count()
    }
}

/// Whether a member belongs to the held view or to an earlier one that may still be in use.
fn is_known_member(held: &HeldHead, member: &MemberId) -> bool {
    held.views().any(|view| view.position(member).is_some())
}
