//! What the planner knows of one host: its reports, the orders sent to it, and its assignment.

use {
    crate::{
        settings::PlanSettings,
        types::{EngineHost, HostOrder, HostPhase, HostReport, OrderOutcome},
    },
    base::{GroupId, Term, Tick},
    conf::ticket::FencingMode,
};

/// A report and the time at which its probe was sent.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedReport {
    pub(crate) probed_at: Tick,
    pub(crate) report: HostReport,
}

/// The last order sent to a host, and what is known of its outcome.
#[derive(Clone, Debug)]
pub(crate) struct LastOrder {
    pub(crate) order: HostOrder,
    pub(crate) sent_at: Tick,
    /// The outcome and when it was recorded; none while the outcome is unknown.
    pub(crate) answer: Option<(OrderOutcome, Tick)>,
    /// Number of copies sent; limits the repetitions while no answer comes.
    pub(crate) copies: u32,
    /// Boot id in the last report before the order was sent; an answer settles the order for this
    /// boot only.
    pub(crate) boot_id: Option<u64>,
}

/// What the planner knows of one host. Kept after the host is delisted for as long as it belongs to
/// a group or answers probes.
#[derive(Clone, Debug)]
pub(crate) struct HostTrack {
    pub(crate) entry: EngineHost,
    /// Whether the current host list contains the host; new groups use listed hosts only.
    pub(crate) listed: bool,
    /// Group that this owner has assigned the host to, which its engine may not have joined or left
    /// yet.
    pub(crate) group: Option<GroupId>,
    pub(crate) last_report: Option<ReceivedReport>,
    pub(crate) last_order: Option<LastOrder>,
    /// Time by which every copy sent by this owner has arrived or is lost.
    pub(crate) in_flight_until: Tick,
    /// Until when no group is formed or adopted on the host. Set after a refused or unfinished
    /// load, by `failed_host_avoid_period`, and after a foreign order during the adoption, by
    /// `changed_host_avoid_period`.
    pub(crate) avoid_until: Tick,
    /// When the engine is known to have received this owner's term; none if unknown.
    pub(crate) fenced_at: Option<Tick>,
    /// Probes whose connection was refused since the last report.
    pub(crate) refused_connections: u32,
    /// The group in the last report, and the boot id of the first report with that group.
    joined: Option<(GroupId, u64)>,
    /// Whether a copy has been sent whose outcome has not been recorded.
    pub(crate) in_flight: bool,
    /// Value of `last_order` before the last copy, restored if that copy was not sent. The outer
    /// `None` means that there is nothing to restore; the inner one, that no order came before.
    previous_order: Option<Option<LastOrder>>,
}

impl HostTrack {
    pub(crate) fn new(entry: EngineHost) -> Self {
        Self {
            entry,
            listed: true,
            group: None,
            last_report: None,
            last_order: None,
            in_flight_until: Tick(0),
            avoid_until: Tick(0),
            fenced_at: None,
            refused_connections: 0,
            joined: None,
            in_flight: false,
            previous_order: None,
        }
    }

    /// Records a report, unless its probe is older than that of the last report.
    pub(crate) fn observe(&mut self, probed_at: Tick, report: HostReport, term: Term) {
        if self.last_report.as_ref().is_none_or(|last_report| last_report.probed_at <= probed_at) {
            let restarted = self.report().is_some_and(|before| before.boot != report.boot);
            self.refused_connections = 0;
            self.note_joined(&report);
            if restarted {
                self.fenced_at = None;
            }
            if report.term == term && self.fenced_at.is_none() {
                self.fenced_at = Some(probed_at);
            }
            self.last_report = Some(ReceivedReport { probed_at, report });
        }
    }

    fn note_joined(&mut self, report: &HostReport) {
        let Some(load) = &report.load else {
            self.joined = None;
            return;
        };
        if self.joined.as_ref().is_none_or(|(group, _)| *group != load.group) {
            self.joined = Some((load.group.clone(), report.boot));
        }
    }

    /// Returns the boot id in the first report that showed the host in the group it now belongs to,
    /// if that is `group`.
    pub(crate) fn joined_boot_id(&self, group: &GroupId) -> Option<u64> {
        self.joined.as_ref().filter(|(joined, _)| joined == group).map(|(_, boot_id)| *boot_id)
    }

    /// Records that the engine's address refused the connection of a probe.
    pub(crate) fn note_refused_connection(&mut self, probed_at: Tick) {
        if self.last_report.as_ref().is_none_or(|last_report| last_report.probed_at < probed_at) {
            self.refused_connections += 1;
        }
    }

    /// Whether the engine process is considered down: two probes have been refused since the last
    /// report. Its state is lost, and it returns with another boot id.
    pub(crate) fn is_process_down(&self) -> bool {
        const REFUSALS_UNTIL_DOWN: u32 = 2;
        self.refused_connections >= REFUSALS_UNTIL_DOWN
    }

    /// Whether the last report is recent and no connection has been refused since.
    pub(crate) fn is_reachable(&self, now: Tick, settings: &PlanSettings) -> bool {
        self.refused_connections == 0
            && self.last_report.as_ref().is_some_and(|last_report| {
                now.since(last_report.probed_at) <= settings.unresponsive_after
            })
    }

    pub(crate) fn report(&self) -> Option<&HostReport> {
        self.last_report.as_ref().map(|last_report| &last_report.report)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.entry.leaving || self.report().is_some_and(|report| report.leaving)
    }

    /// Returns the last report if no order that this owner sent can take effect after it.
    pub(crate) fn settled_report(&self, fencing: FencingMode) -> Option<&HostReport> {
        let last_report = self.last_report.as_ref()?;
        if self.in_flight {
            return None;
        }
        let Some(last_order) = &self.last_order else {
            return Some(&last_report.report);
        };
        if last_report.probed_at >= self.in_flight_until {
            return Some(&last_report.report);
        }
        let (_, answered) = last_order.answer.as_ref()?;
        let refuses_older = fencing == FencingMode::Checked;
        let same_boot = last_order.boot_id == Some(last_report.report.boot);
        (refuses_older && same_boot && last_report.probed_at >= *answered)
            .then_some(&last_report.report)
    }

    /// Whether the engine belongs to no group, and no order that this owner sent can change that.
    pub(crate) fn is_settled_idle(&self, fencing: FencingMode) -> bool {
        self.settled_report(fencing).is_some_and(|report| report.phase == HostPhase::Idle)
    }

    /// Whether the last report was probed after the engine had received this owner's term, so that
    /// no order of an earlier owner can change the reported state.
    pub(crate) fn is_fenced(&self) -> bool {
        let probed_at = self.last_report.as_ref().map(|last_report| last_report.probed_at);
        self.fenced_at
            .is_some_and(|fenced_at| probed_at.is_some_and(|probed_at| probed_at >= fenced_at))
    }

    /// Records that a copy of the order is about to be sent.
    pub(crate) fn note_sent(&mut self, order: &HostOrder, now: Tick) {
        let before = self.last_order.take();
        let same = before.as_ref().filter(|last_order| last_order.order.sequence == order.sequence);
        let copies = same.map_or(1, |last_order| last_order.copies + 1);
        let boot_id = self.report().map(|report| report.boot);
        self.last_order =
            Some(LastOrder { order: order.clone(), sent_at: now, answer: None, copies, boot_id });
        self.previous_order = Some(before);
        self.in_flight = true;
    }

    /// Records the outcome of the last copy. Unless the copy was not sent, it was sent before `now`
    /// and can arrive until `now` plus the flight limit.
    pub(crate) fn note_outcome(
        &mut self,
        order: &HostOrder,
        outcome: OrderOutcome,
        now: Tick,
        settings: &PlanSettings,
    ) {
        let Some(last_order) = &mut self.last_order else { return };
        if !self.in_flight || last_order.order.sequence != order.sequence {
            return;
        }
        self.in_flight = false;
        if outcome == OrderOutcome::NotSent {
            self.last_order = self.previous_order.take().flatten();
            return;
        }
        self.in_flight_until = self.in_flight_until.max(now + settings.order_flight_limit);
        if outcome != OrderOutcome::Unknown {
            last_order.answer = Some((outcome, now));
            self.fenced_at.get_or_insert(now);
        }
    }
}
