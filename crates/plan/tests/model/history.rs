//! Events of a simulation, and a checker that detects violations of the invariants in them.

use {
    base::{GroupId, HostId, Term, Tick},
    plan::{GroupView, LifecyclePhase, LoadCommand},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
        time::Duration,
    },
};

/// What happened in the simulation, as far as an invariant concerns it.
#[derive(Clone, Debug)]
pub enum HistoryEvent {
    /// An engine that belonged to no group joined one.
    Joined { host: HostId, load: LoadCommand },
    /// An engine executed a load while it belonged to another group.
    Moved { host: HostId, from: LoadCommand, to: LoadCommand },
    /// An engine left its group.
    Left { host: HostId },
    /// The group in which an engine is ready, and its boot id; none if the engine is not ready or
    /// does not answer.
    ReadyState { host: HostId, ready: Option<(GroupId, u64)> },
    /// Another node took over the fabric domain; it does not know the earlier boot ids.
    Takeover,
    /// The owner received a report that the engine with this boot id is ready in a group.
    ReportedReady { host: HostId, group: GroupId, boot_id: u64 },
    /// The owner published its groups. `steady` is true if it has run without interruption for
    /// longer than it needs to detect a failed member.
    Record { term: Term, groups: Vec<GroupView>, steady: bool },
}

/// An event and the virtual time at which it happened.
#[derive(Clone, Debug)]
pub struct HistoryLine {
    pub at: Tick,
    pub event: HistoryEvent,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HistoryViolation {
    TwoGroupsInRecord { at: Tick, host: HostId },
    HostMoved { at: Tick, host: HostId },
    ServingBeforeReady { at: Tick, group: GroupId, host: HostId },
    ServingWithoutMember { at: Tick, group: GroupId, host: HostId },
    OlderTermReplaces { at: Tick, term: Term },
}

impl fmt::Display for HistoryViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TwoGroupsInRecord { at, host } => {
                write!(f, "{at}: {host} in two groups of one record")
            }
            Self::HostMoved { at, host } => write!(f, "{at}: {host} moved out of its group"),
            Self::ServingBeforeReady { at, group, host } => {
                write!(f, "{at}: {group} serves, but {host} has not reported ready")
            }
            Self::ServingWithoutMember { at, group, host } => {
                write!(f, "{at}: {group} serves while {host} is not ready")
            }
            Self::OlderTermReplaces { at, term } => write!(f, "{at}: record of older {term}"),
        }
    }
}

/// Checks a history, event by event, and collects the violations; it never stops at one.
pub struct HistoryChecker {
    detection: Duration,
    ready: BTreeMap<HostId, Option<(GroupId, u64)>>,
    /// Boot id in the first report to the current owner that the host is ready in the group.
    first_boot_ids: BTreeMap<(HostId, GroupId), u64>,
    ready_changed_at: BTreeMap<HostId, Tick>,
    serving: BTreeSet<GroupId>,
    term: Term,
    pub violations: Vec<HistoryViolation>,
}

impl HistoryChecker {
    /// Creates a checker that allows an owner `detection` to detect that a member is not ready.
    pub fn new(detection: Duration) -> Self {
        Self {
            detection,
            ready: BTreeMap::new(),
            first_boot_ids: BTreeMap::new(),
            ready_changed_at: BTreeMap::new(),
            serving: BTreeSet::new(),
            term: Term(0),
            violations: Vec::new(),
        }
    }

    /// Checks the next event; events must come in the order of their times.
    pub fn read(&mut self, line: &HistoryLine) {
        let at = line.at;
        match &line.event {
            HistoryEvent::Joined { .. } | HistoryEvent::Left { .. } => {}
            HistoryEvent::Moved { host, .. } => {
                self.violations.push(HistoryViolation::HostMoved { at, host: host.clone() });
            }
            HistoryEvent::Takeover => self.first_boot_ids.clear(),
            HistoryEvent::ReportedReady { host, group, boot_id } => {
                self.first_boot_ids.entry((host.clone(), group.clone())).or_insert(*boot_id);
            }
            HistoryEvent::ReadyState { host, ready } => self.read_ready_state(at, host, ready),
            HistoryEvent::Record { term, groups, steady } => {
                if *term < self.term {
                    self.violations.push(HistoryViolation::OlderTermReplaces { at, term: *term });
                }
                self.term = *term;
                self.read_record(at, groups, *steady);
            }
        }
    }

    fn read_ready_state(&mut self, at: Tick, host: &HostId, ready: &Option<(GroupId, u64)>) {
        if self.ready.get(host) != Some(ready) {
            self.ready_changed_at.insert(host.clone(), at);
        }
        self.ready.insert(host.clone(), ready.clone());
    }

    fn read_record(&mut self, at: Tick, groups: &[GroupView], steady: bool) {
        let mut assigned = BTreeSet::new();
        for view in groups {
            for member in &view.load.members {
                if !assigned.insert(&member.host) {
                    let host = member.host.clone();
                    self.violations.push(HistoryViolation::TwoGroupsInRecord { at, host });
                }
            }
        }
        let serving = groups.iter().filter(|view| view.phase == LifecyclePhase::Serving);
        let mut now_serving = BTreeSet::new();
        for view in serving {
            let group = view.load.group.clone();
            for member in &view.load.members {
                self.check_member(at, &group, &member.host, steady);
            }
            now_serving.insert(group);
        }
        self.serving = now_serving;
    }

    fn check_member(&mut self, at: Tick, group: &GroupId, host: &HostId, steady: bool) {
        let Some(boot_id) = self.first_boot_ids.get(&(host.clone(), group.clone())) else {
            let (group, host) = (group.clone(), host.clone());
            self.violations.push(HistoryViolation::ServingBeforeReady { at, group, host });
            return;
        };
        let wanted = Some((group.clone(), *boot_id));
        let ready_in_group = self.ready.get(host) == Some(&wanted);
        let since = self.ready_changed_at.get(host).copied().unwrap_or(Tick(0));
        if !ready_in_group && steady && at.since(since) > self.detection {
            let (group, host) = (group.clone(), host.clone());
            self.violations.push(HistoryViolation::ServingWithoutMember { at, group, host });
        }
    }
}
