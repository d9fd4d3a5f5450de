//! The planner of one fabric domain: its state, its inputs and the phases of a step.

use {
    crate::{
        adopt::Adoption,
        group::ActiveGroup,
        hash::hash_text,
        host::HostTrack,
        ledger::{CostLedger, CostTotals},
        pace::LoadPacer,
        repair::{CostBasedRepair, RepairPolicy},
        settings::{PlanSettings, Safeguards},
        types::{
            EngineHost, GroupView, HostCommand, HostOrder, HostReport, MemberHost, OrderOutcome,
        },
    },
    base::{
        FabricDomainId, GroupId, GroupSetName, HostId, OrderSequence, RatePerSecond, Term, Tick,
    },
    conf::ticket::{DesiredState, FencingMode},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Inputs of a step, other than the engine reports.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// Desired state that results from the tickets: the group sets and the flags.
    pub desired: &'a DesiredState,
    /// Number of groups of each set that this fabric domain should run.
    pub targets: &'a BTreeMap<GroupSetName, u32>,
    /// Engine hosts of this fabric domain, from the host list.
    pub hosts: &'a [EngineHost],
    /// Rate at which this owner may start loads: its share of the weight store's capacity.
    pub loads: RatePerSecond,
    /// Time of the step, on the same clock as the times of probes and orders.
    pub now: Tick,
}

impl PlanInput<'_> {
    pub(crate) fn fencing(&self) -> FencingMode {
        self.desired.flags.fencing
    }

    pub(crate) fn target(&self, set: &GroupSetName) -> u32 {
        if self.desired.group_sets.contains_key(set) {
            self.targets.get(set).copied().unwrap_or(0)
        } else {
            0
        }
    }
}

/// Plans all groups of one fabric domain under one term.
///
/// The caller passes in reports and outcomes of orders, calls [`DomainPlanner::step`] and sends the
/// orders that it returns. Each term needs a new planner, because the state of an earlier term may
/// be outdated.
#[derive(Debug)]
pub struct DomainPlanner {
    pub(crate) term: Term,
    pub(crate) settings: PlanSettings,
    pub(crate) safeguards: Safeguards,
    pub(crate) policy: Arc<dyn RepairPolicy>,
    pub(crate) hosts: BTreeMap<HostId, HostTrack>,
    pub(crate) groups: BTreeMap<GroupId, ActiveGroup>,
    /// Set of each group in the record that the domain's last owner published. The adoption uses
    /// it, because engines do not report the set.
    pub(crate) published_sets: BTreeMap<GroupId, GroupSetName>,
    pub(crate) adoption: Adoption,
    pub(crate) pacer: LoadPacer,
    pub(crate) ledger: CostLedger,
    /// Exponential moving average of observed load times; starts with `load_estimate`.
    pub(crate) load_time: Duration,
    /// Number of groups of each set that the usable hosts allow, from the packing of the last step.
    pub(crate) allowed: BTreeMap<GroupSetName, u32>,
    pub(crate) groups_formed: u64,
    /// See [`DomainPlanner::foreign_orders()`].
    pub(crate) foreign_orders: u64,
    /// Prefix of the ids of all groups that this owner forms.
    pub(crate) group_id_prefix: String,
    sequence: OrderSequence,
}

impl DomainPlanner {
    /// Creates a planner without any host state. It gives no orders until the engines have been
    /// probed and their groups adopted.
    pub fn new(domain: &FabricDomainId, term: Term, settings: PlanSettings, now: Tick) -> Self {
        Self {
            group_id_prefix: group_id_prefix(domain, term),
            term,
            safeguards: Safeguards::default(),
            policy: Arc::new(CostBasedRepair::default()),
            hosts: BTreeMap::new(),
            groups: BTreeMap::new(),
            published_sets: BTreeMap::new(),
            adoption: Adoption::new(now),
            pacer: LoadPacer::new(now),
            ledger: CostLedger::new(now),
            load_time: settings.load_estimate,
            allowed: BTreeMap::new(),
            groups_formed: 0,
            foreign_orders: 0,
            sequence: OrderSequence(0),
            settings,
        }
    }

    /// Replaces the repair policy, by default [`CostBasedRepair`].
    pub fn with_policy(mut self, policy: Arc<dyn RepairPolicy>) -> Self {
        self.policy = policy;
        self
    }

    /// Replaces the safeguards; for tests only.
    pub fn with_safeguards(mut self, safeguards: Safeguards) -> Self {
        self.safeguards = safeguards;
        self
    }

    /// Records the set of a group from the last published record, for the adoption. The group's
    /// members, epoch and phase come from the engines.
    pub fn record_group_set(&mut self, group: GroupId, set: GroupSetName) {
        self.published_sets.insert(group, set);
    }

    /// Applies the host list, so that [`DomainPlanner::known_hosts`] returns new hosts before the
    /// next step.
    pub fn apply_host_list(&mut self, hosts: &[EngineHost], now: Tick) {
        self.sync_hosts(hosts, now);
    }

    /// Records the report that the probe sent at `probed_at` returned.
    pub fn observe(&mut self, host: &HostId, probed_at: Tick, report: HostReport) {
        let Some(track) = self.hosts.get_mut(host) else { return };
        let before = track.report().map(|report| report.load.clone());
        track.observe(probed_at, report, self.term);
        let after = track.report().and_then(|report| report.load.as_ref());
        let joined =
            after.filter(|load| before.is_some_and(|before| before.as_ref() != Some(*load)));
        let foreign =
            joined.is_some_and(|load| !load.group.as_str().starts_with(&self.group_id_prefix));
        self.foreign_orders += u64::from(foreign && self.adoption.is_done());
    }

    /// Records that the engine's address refused the connection of a probe started at `probed_at`,
    /// which means that no engine process listens there.
    pub fn note_refused_connection(&mut self, host: &HostId, probed_at: Tick) {
        if let Some(track) = self.hosts.get_mut(host) {
            track.note_refused_connection(probed_at);
        }
    }

    /// Records that a copy of an order is about to be sent; call it before the send begins. Until
    /// the outcome is recorded, `step` returns no other order for the host.
    pub fn note_sent(&mut self, order: &HostOrder, now: Tick) {
        if let Some(track) = self.hosts.get_mut(&order.host) {
            track.note_sent(order, now);
            if matches!(order.command, HostCommand::Load(_)) {
                self.pacer.consume();
            }
        }
    }

    /// Records the outcome of the copy last recorded with [`DomainPlanner::note_sent`] for the
    /// host.
    pub fn note_outcome(&mut self, order: &HostOrder, outcome: OrderOutcome, now: Tick) {
        if outcome == OrderOutcome::NotSent && matches!(order.command, HostCommand::Load(_)) {
            self.pacer.refund();
        }
        if let Some(track) = self.hosts.get_mut(&order.host) {
            track.note_outcome(order, outcome, now, &self.settings);
        }
    }

    /// Updates the groups and returns the orders to send now, at most one per host.
    pub fn step(&mut self, input: &PlanInput<'_>) -> Vec<HostOrder> {
        self.sync_hosts(input.hosts, input.now);
        self.pacer.refill(input.loads, input.now);
        if !self.adopt(input) {
            return Vec::new();
        }
        self.review_groups(input);
        self.repair_groups(input);
        self.allowed = self.pack_groups(input);
        self.reshape_groups(input);
        self.form_groups(input);
        self.record_costs(input);
        self.due_orders(input)
    }

    /// Hosts whose engines should be probed: listed ones, and delisted ones that belong to a group
    /// or still answer.
    pub fn known_hosts(&self) -> Vec<MemberHost> {
        let member = |track: &HostTrack| MemberHost {
            host: track.entry.host.clone(),
            address: track.entry.address,
        };
        self.hosts.values().map(member).collect()
    }

    /// Views of all groups, to be published; empty until groups have been adopted.
    pub fn views(&self) -> Vec<GroupView> {
        self.groups.values().map(ActiveGroup::view).collect()
    }

    /// Whether the adoption is complete. Before that the planner gives no orders, and its groups
    /// must not be published. Not related to a host's settled report, which concerns orders on
    /// their way.
    pub fn is_adoption_done(&self) -> bool {
        self.adoption.is_done()
    }

    /// Group downtime and stranded accelerator time of this term, up to the last step.
    pub fn totals(&self) -> &CostTotals {
        self.ledger.totals()
    }

    /// Accumulated costs, and the missing groups and stranded accelerators as of the last step.
    pub fn ledger(&self) -> &CostLedger {
        &self.ledger
    }

    /// Number of foreign orders detected: engines that changed between the two reads of the
    /// adoption, or that joined a group of another owner after it.
    pub fn foreign_orders(&self) -> u64 {
        self.foreign_orders
    }

    /// Term of this planner, which all its orders carry.
    pub fn term(&self) -> Term {
        self.term
    }

    pub(crate) fn next_sequence(&mut self) -> OrderSequence {
        self.sequence = self.sequence.next();
        self.sequence
    }

    fn sync_hosts(&mut self, hosts: &[EngineHost], now: Tick) {
        let listed: BTreeSet<&HostId> = hosts.iter().map(|entry| &entry.host).collect();
        for (host, track) in &mut self.hosts {
            track.listed = listed.contains(host);
        }
        for entry in hosts {
            match self.hosts.get_mut(&entry.host) {
                Some(track) => track.entry = entry.clone(),
                None => {
                    self.hosts.insert(entry.host.clone(), HostTrack::new(entry.clone()));
                }
            }
        }
        let settings = &self.settings;
        self.hosts.retain(|_, track| {
            track.listed || track.group.is_some() || track.is_reachable(now, settings)
        });
    }
}

/// Returns the prefix of an owner's group ids: the fabric domain and the term. A domain id that
/// would leave too little room for the numbers is replaced by its hash.
fn group_id_prefix(domain: &FabricDomainId, term: Term) -> String {
    const MAX_DOMAIN_BYTES: usize = 80;
    if domain.as_str().len() <= MAX_DOMAIN_BYTES {
        format!("{domain}.{term}-")
    } else {
        format!("{:016x}.{term}-", hash_text(domain.as_str()))
    }
}
