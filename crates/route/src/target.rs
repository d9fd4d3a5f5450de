//! Targets of requests (serving groups and servers), their load counters and the routing table.
//!
//! The members of a serving group are the backend servers that run its model together; the group
//! cannot answer requests while one of them is missing.

use {
    crate::{
        affinity::TargetTag,
        load::{CHOICE_DECAY_TIME, DecayingCount, MeanTokenInterval},
    },
    base::{Epoch, GroupId, ModelName, Tick, WorkspaceId},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Description of a serving group, or of a server of a service without groups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// The group; for a server of a service without groups, the name of its host.
    pub group: GroupId,
    /// The epoch of the group's membership; 0 for a service without groups.
    pub epoch: Epoch,
    /// The name in the caller's request: a model or a service.
    pub model: ModelName,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Workspaces that may use the target; empty means all.
    pub workspaces: BTreeSet<WorkspaceId>,
    /// Whether the target accepts new requests; a [`RouteTable`] contains only such targets.
    pub serving: bool,
}

/// Load that a backend server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that the backend server is running, from all gateways.
    pub running: u32,
    /// Number of requests in the backend server's own queue.
    pub queued: u32,
}

/// Load and health of one target as this gateway knows them; kept when the routing table is
/// replaced, as long as the group's epoch stays the same.
#[derive(Debug, Default)]
pub struct TargetCounters {
    in_flight: AtomicU32,
    other_gateways_load: AtomicU32,
    reported_at: AtomicU64,
    suspect_until: AtomicU64,
    leaving: AtomicBool,
    last_token: AtomicU64,
    member_unavailable: AtomicBool,
    recent_choices: DecayingCount,
    token_interval: MeanTokenInterval,
}

impl TargetCounters {
    /// Counts a request as in flight at the target until the guard is dropped.
    pub fn start(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { counters: Arc::clone(self) }
    }

    /// Number of requests of this gateway that are in flight at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Applies a load report.
    ///
    /// `measured_at` is the time of the measurement or, if the report has none, the time at which
    /// the poll was sent. `own_in_flight` is the number of requests that this gateway had in flight
    /// at that time; the rest of the reported load is from other gateways.
    pub fn apply_report(&self, report: LoadReport, own_in_flight: u32, measured_at: Tick) {
        let total = report.running.saturating_add(report.queued);
        self.other_gateways_load.store(total.saturating_sub(own_in_flight), Ordering::Relaxed);
        self.reported_at.store(measured_at.0, Ordering::Relaxed);
    }

    /// Counts a choice of the target for a request; called by [`crate::choose_target`].
    pub fn note_chosen(&self, now: Tick) {
        self.recent_choices.add(now, CHOICE_DECAY_TIME);
    }

    /// Number of recent choices of the target, with exponential decay over one second.
    pub fn recent_choices(&self, now: Tick) -> f64 {
        f64::from(self.recent_choices.value(now, CHOICE_DECAY_TIME))
    }

    /// Records the time between two tokens of a stream, by which slow targets are detected.
    pub fn note_token_interval(&self, interval: Duration) {
        self.token_interval.record(interval);
    }

    /// Mean time between two tokens in microseconds, or `None` before the first measurement.
    pub fn token_interval_micros(&self) -> Option<f64> {
        self.token_interval.micros().map(f64::from)
    }

    /// Marks the target as suspect until a point in time, after a failed attempt. A suspect target
    /// is used only when no other is open.
    pub fn suspect(&self, until: Tick) {
        self.suspect_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Marks the target as no longer suspect, after it answered.
    pub fn clear_suspicion(&self) {
        self.suspect_until.store(0, Ordering::Relaxed);
    }

    /// Whether the target is suspect after a failed attempt.
    pub fn is_suspect(&self, now: Tick) -> bool {
        self.suspect_until.load(Ordering::Relaxed) > now.0
    }

    /// Excludes the target from new requests immediately, before the routing table is replaced.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Whether [`TargetCounters::leave`] excluded the target from new requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Records that a token arrived from the target, for any request.
    pub fn note_token(&self, now: Tick) {
        self.last_token.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Time at which the last token arrived; zero before the first.
    pub fn last_token(&self) -> Tick {
        Tick(self.last_token.load(Ordering::Relaxed))
    }

    /// Sets whether a member of the serving group is unreachable or not ready. Such a target gets
    /// no new requests until all members are ready again.
    ///
    /// The gateway asks the members when requests are in flight but no tokens arrive.
    pub fn set_member_unavailable(&self, member_unavailable: bool) {
        self.member_unavailable.store(member_unavailable, Ordering::Release);
    }

    /// Whether a member of the serving group was unreachable or not ready when last asked.
    pub fn has_unavailable_member(&self) -> bool {
        self.member_unavailable.load(Ordering::Acquire)
    }

    /// Number of requests from other gateways at the last load report, and the age of that report;
    /// `None` before the first report.
    pub fn other_gateways_load(&self, now: Tick) -> Option<(u32, Duration)> {
        let reported_at = self.reported_at.load(Ordering::Relaxed);
        if reported_at == 0 {
            return None;
        }
        Some((self.other_gateways_load.load(Ordering::Relaxed), now.since(Tick(reported_at))))
    }
}

/// Counts one request as in flight at a target until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    counters: Arc<TargetCounters>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.counters.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An entry of a [`RouteTable`]: a serving group or server with the counters by which
/// [`crate::choose_target`] judges its load and health.
#[derive(Clone, Debug)]
pub struct RouteTarget {
    /// Description of the target.
    pub spec: TargetSpec,
    /// Identifies the target's group and epoch in a [`crate::PrefixTable`].
    pub tag: TargetTag,
    /// Load and health, shared with earlier and later routing tables.
    pub counters: Arc<TargetCounters>,
}

impl RouteTarget {
    /// Creates a target and computes its tag.
    pub fn new(spec: TargetSpec, counters: Arc<TargetCounters>) -> Self {
        let tag = TargetTag::of(&spec.group, spec.epoch);
        Self { spec, tag, counters }
    }

    /// Whether the target may get new requests: it is serving, is not leaving, and all members
    /// are available.
    pub fn is_open(&self) -> bool {
        self.spec.serving && !self.counters.is_leaving() && !self.counters.has_unavailable_member()
    }
}

/// The targets that a workspace may use for a model or service.
pub type TargetList = Arc<[Arc<RouteTarget>]>;

/// Immutable table of all targets, replaced as a whole when a serving group changes or a ticket
/// changes the configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    targets: Vec<Arc<RouteTarget>>,
    lists: BTreeMap<ModelName, BTreeMap<WorkspaceId, TargetList>>,
}

impl RouteTable {
    /// Builds a table of the serving targets.
    ///
    /// Targets with the same group and epoch as in `previous` keep their counters.
    pub fn build(
        specs: Vec<TargetSpec>,
        workspaces: &BTreeSet<WorkspaceId>,
        previous: Option<&RouteTable>,
    ) -> Self {
        let previous_counters = previous.map(RouteTable::counters).unwrap_or_default();
        let serving = specs.into_iter().filter(|spec| spec.serving);
        let targets: Vec<_> = serving
            .map(|spec| {
                let key = (spec.group.clone(), spec.epoch);
                let counters = previous_counters.get(&key).cloned().unwrap_or_default();
                Arc::new(RouteTarget::new(spec, counters))
            })
            .collect();
        let lists = build_lists(&targets, workspaces);
        Self { targets, lists }
    }

    /// Returns the targets that a workspace may use for a model, or `None` if there are none.
    pub fn list(&self, model: &ModelName, workspace: &WorkspaceId) -> Option<&TargetList> {
        self.lists.get(model)?.get(workspace)
    }

    /// All targets, whichever workspaces may use them.
    pub fn targets(&self) -> &[Arc<RouteTarget>] {
        &self.targets
    }

    fn counters(&self) -> BTreeMap<(GroupId, Epoch), Arc<TargetCounters>> {
        let targets = self.targets.iter();
        targets
            .map(|target| {
                let key = (target.spec.group.clone(), target.spec.epoch);
                (key, Arc::clone(&target.counters))
            })
            .collect()
    }
}

fn build_lists(
    targets: &[Arc<RouteTarget>],
    workspaces: &BTreeSet<WorkspaceId>,
) -> BTreeMap<ModelName, BTreeMap<WorkspaceId, TargetList>> {
    let mut models: BTreeMap<ModelName, Vec<&Arc<RouteTarget>>> = BTreeMap::new();
    for target in targets {
        models.entry(target.spec.model.clone()).or_default().push(target);
    }
    let lists = models.into_iter().map(|(model, targets)| {
        let lists = workspaces.iter().filter_map(|workspace| {
            let list = targets_of(&targets, workspace)?;
            Some((workspace.clone(), list))
        });
        (model, lists.collect())
    });
    lists.collect()
}

fn targets_of(targets: &[&Arc<RouteTarget>], workspace: &WorkspaceId) -> Option<TargetList> {
    let serves = |target: &&&Arc<RouteTarget>| {
        let workspaces = &target.spec.workspaces;
        workspaces.is_empty() || workspaces.contains(workspace)
    };
    let list: Vec<_> = targets.iter().filter(serves).map(|target| Arc::clone(target)).collect();
    (!list.is_empty()).then(|| list.into())
}
