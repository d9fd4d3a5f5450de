//! A fabric domain of simulated engines with one owner, on a clock that tests advance.

#[path = "engine.rs"]
mod engine;
#[path = "schedule.rs"]
mod schedule;

#[allow(unused_imports, reason = "some test programs play no schedules")]
pub(crate) use self::schedule::ScheduleTrouble;

use {
    base::{Epoch, FabricDomainId, GroupId, HostId, ModelName, Term, Tick},
    engine::{Reply, SimulatedEngine},
    plan::staged::{
        DemandWeight, EngineState, GroupDeparture, MemberPhase, Membership, ObservationSource,
        OrderEnd, ProbeFailure, StagedCommand, StagedHost, StagedInput, StagedModel, StagedOrder,
        StagedPlanner, StagedSettings,
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time by which each step advances the clock.
const STEP: Duration = Duration::from_millis(50);
/// Time between two probes of an engine that answers.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which the host list drops a host whose engine does not write to it.
const LIST_EXPIRY: Duration = Duration::from_secs(3);
/// Time after which a head that has lost a member is broken, unless a test sets another one.
pub(crate) const STALL_TIME: Duration = Duration::from_secs(6);

/// Condition of a host and of its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HostCondition {
    /// The engine runs and is reachable.
    Healthy,
    /// The engine process has ended, and its machine does not answer.
    Dead,
    /// The engine process has ended, and its machine refuses connections.
    Crashed,
    /// The engine runs and answers the owner, but can't write to the host list, which drops it.
    CutFromList,
    /// The engine runs and is listed, but the owner can't reach it.
    CutFromOwner,
    /// The engine runs, but neither the owner nor the host list can be reached from its machine.
    CutOff,
    /// The host list shows the engine as leaving; it still takes connections.
    Draining,
    /// The engine finishes its requests before it ends; it is neither listed nor reachable.
    Leaving,
    /// The same, but the host list, which was out of date, shows the host as staying until its entry
    /// expires. Connections are refused.
    LeavingUnseen,
    /// The engine runs, refuses further connections, and can't write to the host list.
    Refusing,
}

struct RigHost {
    engine: SimulatedEngine,
    condition: HostCondition,
    condition_since: Tick,
    /// Whether the host has announced that it leaves; its entry says so until it is dropped.
    has_announced: bool,
    loses_orders: bool,
    condition_ends: Option<Tick>,
    last_probe: Tick,
    listed_state: Option<EngineState>,
    /// Last composition that the list showed the host to leave, unless it is in it again.
    left: Option<GroupDeparture>,
    pending_listing: Option<(Tick, EngineState)>,
    /// States of the engine within the report lag, each with the time since which it had it.
    reports: VecDeque<(Tick, EngineState)>,
    /// Host whose engine answers at this host's address, if it isn't this host's own engine.
    answered_by: Option<HostId>,
}

impl RigHost {
    /// The state of the engine `lag` ago, or its first one.
    fn report(&mut self, now: Tick, lag: Duration) -> EngineState {
        let state = self.engine.reported_state();
        if self.reports.back().is_none_or(|(_, last)| *last != state) {
            self.reports.push_back((now, state));
        }
        while self.reports.get(1).is_some_and(|(since, _)| now.since(*since) >= lag) {
            self.reports.pop_front();
        }
        self.reports.front().expect("pushed above").1.clone()
    }
}

struct LateOrder {
    due: Tick,
    term: Term,
    order: StagedOrder,
}

/// The simulated domain, the planner of its owner, and the checks of each delivered order.
pub(crate) struct DomainRig {
    /// Whether the engines of hosts that are added take orders of earlier owners.
    pub(crate) engines_ignore_terms: bool,
    /// Whether engines leave out how many orders they have accepted.
    pub(crate) engines_hide_counts: bool,
    pub(crate) list_incomplete: bool,
    pub(crate) in_traffic: bool,
    pub(crate) first_groups: Vec<&'static str>,
    /// Delay after which the host list shows a change of an engine's state; one step by default.
    pub(crate) list_lag: Duration,
    /// Age of what engines answer to probes; zero by default.
    pub(crate) report_lag: Duration,
    models: Vec<StagedModel>,
    planner: StagedPlanner,
    term: Term,
    list_read_since: Tick,
    now: Tick,
    hosts: BTreeMap<HostId, RigHost>,
    sent_orders: Vec<StagedOrder>,
    /// Number of `sent_orders` that owners before the present one sent.
    sent_by_earlier_owners: usize,
    late_orders: Vec<LateOrder>,
    /// Members that have been ready in a composition, whether or not they still are.
    became_ready: BTreeSet<(GroupId, Epoch, HostId)>,
    /// Hosts that owners never see, as if they were delisted before the first read of the list.
    unknown_to_owner: BTreeSet<HostId>,
    violations: Vec<String>,
    /// Orders that cut running requests, as `time: order`.
    cuts: Vec<String>,
    random: Pcg64Mcg,
    /// Probability that an order is delivered 2 to 12 s late, with the outcome unknown to the
    /// owner.
    late_order_probability: f64,
    is_owner_stopped: bool,
    /// Time after which engines break a head that has lost a member; owners know it.
    pub(crate) stall_time: Duration,
    max_concurrent_loads: usize,
}

impl DomainRig {
    pub(crate) fn new(models: Vec<StagedModel>) -> Self {
        let now = Tick(0);
        Self {
            list_incomplete: false,
            in_traffic: false,
            engines_ignore_terms: false,
            engines_hide_counts: false,
            first_groups: Vec::new(),
            list_lag: STEP,
            report_lag: Duration::ZERO,
            models,
            planner: StagedPlanner::new(
                &domain(),
                Term(1),
                StagedSettings { terms_checked: true, ..StagedSettings::default() },
                now,
            ),
            term: Term(1),
            list_read_since: now,
            now,
            hosts: BTreeMap::new(),
            sent_orders: Vec::new(),
            sent_by_earlier_owners: 0,
            late_orders: Vec::new(),
            became_ready: BTreeSet::new(),
            unknown_to_owner: BTreeSet::new(),
            violations: Vec::new(),
            cuts: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(0),
            late_order_probability: 0.0,
            is_owner_stopped: false,
            stall_time: STALL_TIME,
            max_concurrent_loads: 0,
        }
    }

    pub(crate) fn now(&self) -> Tick {
        self.now
    }

    pub(crate) fn add_hosts(&mut self, count: usize) {
        for _ in 0..count {
            let id = HostId::new(format!("h{}", self.hosts.len())).unwrap();
            let host = RigHost {
                engine: SimulatedEngine::new(1)
                    .ignoring_terms(self.engines_ignore_terms)
                    .hiding_counts(self.engines_hide_counts),
                condition: HostCondition::Healthy,
                condition_since: self.now,
                has_announced: false,
                loses_orders: false,
                condition_ends: None,
                last_probe: Tick(0),
                listed_state: None,
                left: None,
                pending_listing: None,
                reports: VecDeque::new(),
                answered_by: None,
            };
            self.hosts.insert(id, host);
        }
    }

    pub(crate) fn host_count(&self) -> usize {
        self.hosts.len()
    }

    pub(crate) fn host(&self, index: usize) -> HostId {
        self.hosts.keys().nth(index).unwrap().clone()
    }

    /// Lets the engine of host `by` answer at the address of `host`, as after a restart under a new
    /// id.
    pub(crate) fn reuse_address(&mut self, host: &HostId, by: &HostId) {
        self.hosts.get_mut(host).unwrap().answered_by = Some(by.clone());
    }

    pub(crate) fn set_join_time(&mut self, host: &HostId, time: Duration) {
        self.hosts.get_mut(host).unwrap().engine.join_time = Some(time);
    }

    /// Lets the group that `head` heads run requests for `span`.
    pub(crate) fn run_requests(&mut self, head: &HostId, span: Duration) {
        let until = self.now + span;
        self.hosts.get_mut(head).unwrap().engine.run_requests(until);
    }

    /// Replaces the models of the configuration.
    pub(crate) fn set_models(&mut self, models: Vec<StagedModel>) {
        self.models = models;
    }

    /// Orders that cut running requests.
    pub(crate) fn cuts(&self) -> &[String] {
        &self.cuts
    }

    pub(crate) fn stage_all(&mut self, model: &str) {
        for host in self.hosts.values_mut() {
            host.engine.staged = Some(ModelName::new(model).unwrap());
        }
    }

    pub(crate) fn set_condition(&mut self, host: &HostId, condition: HostCondition) {
        let now = self.now;
        let host = self.hosts.get_mut(host).unwrap();
        // A host that has left the list is not listed again when its engine ends.
        let was_dropped = host.condition == HostCondition::Leaving;
        host.condition = condition;
        host.condition_since = if was_dropped { now.back(LIST_EXPIRY) } else { now };
        host.has_announced |= matches!(condition, HostCondition::Draining | HostCondition::Leaving);
        if matches!(condition, HostCondition::Dead | HostCondition::Crashed) {
            host.engine.terminate();
        }
    }

    /// Cuts the owner off from a host that the list has dropped already.
    pub(crate) fn cut_off_delisted(&mut self, host: &HostId) {
        self.hosts.get_mut(host).unwrap().condition = HostCondition::CutOff;
    }

    /// Answers the orders to a host again.
    pub(crate) fn answer_orders_to(&mut self, host: &HostId) {
        self.hosts.get_mut(host).unwrap().loses_orders = false;
    }

    /// Makes a host the head of the group that it has left last again, open, as a late join and a late open do
    /// at an engine that carries them out.
    pub(crate) fn reopen_left_group(&mut self, host: &HostId) {
        self.hosts.get_mut(host).unwrap().engine.rejoin_left_group(MemberPhase::Open);
    }

    /// Whether the host is in a group.
    pub(crate) fn is_in_group(&self, host: &HostId) -> bool {
        self.hosts[host].engine.group().is_some()
    }

    /// Lets no owner plan until [`Self::replace_owner`].
    pub(crate) fn stop_owner(&mut self) {
        self.is_owner_stopped = true;
    }

    /// Loses all orders to a host, whose probes are answered.
    pub(crate) fn lose_orders_to(&mut self, host: &HostId) {
        self.hosts.get_mut(host).unwrap().loses_orders = true;
    }

    /// Carries out an order to open that was sent to the host earlier.
    pub(crate) fn open_late(&mut self, host: &HostId) {
        let (group, epoch) = self.hosts[host].engine.group().expect("a member");
        let command = StagedCommand::Open { group, epoch };
        let order = order_to(host, command);
        self.deliver(&order, self.term);
    }

    /// Whether the host is the head of an open group.
    pub(crate) fn serves(&self, host: &HostId) -> bool {
        self.hosts[host].engine.serves()
    }

    /// Whether the host is the head of an open group of `size` members.
    pub(crate) fn serves_with(&self, host: &HostId, size: usize) -> bool {
        self.serves(host) && self.hosts[host].engine.members().len() == size
    }

    /// Runs until dead and cut hosts are delisted, then hides all delisted hosts from owners.
    pub(crate) fn forget_unlisted(&mut self) {
        self.run(LIST_EXPIRY + STEP);
        let unlisted = self.hosts.iter().filter(|(_, host)| !is_listed(host, self.now));
        self.unknown_to_owner = unlisted.map(|(id, _)| id.clone()).collect();
    }

    fn settings(&self) -> StagedSettings {
        StagedSettings {
            stall_time: self.stall_time,
            terms_checked: !self.engines_ignore_terms,
            ..StagedSettings::default()
        }
    }

    pub(crate) fn replace_owner(&mut self) {
        self.term = self.term.next();
        self.is_owner_stopped = false;
        let settings = self.settings();
        self.planner = StagedPlanner::new(&domain(), self.term, settings, self.now);
        self.list_read_since = self.now;
        self.sent_by_earlier_owners = self.sent_orders.len();
        // The new owner reads the list as it is, with what it has not shown yet still missing.
        let hosts = self.listed_hosts();
        self.planner.apply_host_list(&hosts, self.now);
        for (id, host) in &self.hosts {
            if let Some(state) = host.listed_state.clone() {
                self.planner.observe(id, ObservationSource::HostList, self.now, state);
            }
        }
    }

    pub(crate) fn orders(&self) -> &[StagedOrder] {
        &self.sent_orders
    }

    pub(crate) fn count_orders(&self, wanted: impl Fn(&StagedCommand) -> bool) -> usize {
        self.sent_orders.iter().filter(|order| wanted(&order.command)).count()
    }

    /// The members named in each join that the present owner has ordered.
    pub(crate) fn joins_of_present_owner(&self) -> impl Iterator<Item = &[HostId]> {
        self.sent_orders[self.sent_by_earlier_owners..].iter().filter_map(|order| {
            match &order.command {
                StagedCommand::Join { members, .. } => Some(members.as_slice()),
                _ => None,
            }
        })
    }

    /// The largest number of hosts that staged a model at the same time.
    pub(crate) fn max_concurrent_loads(&self) -> usize {
        self.max_concurrent_loads
    }

    pub(crate) fn serving(&self) -> usize {
        self.hosts.values().filter(|host| host.engine.serves()).count()
    }

    pub(crate) fn serving_of(&self, model: &str) -> usize {
        let serves_model =
            |host: &&RigHost| host.engine.model().is_some_and(|name| name.as_str() == model);
        self.hosts.values().filter(|host| host.engine.serves()).filter(serves_model).count()
    }

    pub(crate) fn serving_without(&self, member: &HostId) -> usize {
        let lacks_member = |host: &&RigHost| !host.engine.members().contains(member);
        self.hosts.values().filter(|host| host.engine.serves()).filter(lacks_member).count()
    }

    /// The member with this rank of the first serving group; the head has rank 0.
    pub(crate) fn member_of_serving(&self, rank: usize) -> HostId {
        let head = self.hosts.values().find(|host| host.engine.serves()).expect("a serving group");
        head.engine.members()[rank].clone()
    }

    pub(crate) fn run(&mut self, span: Duration) {
        self.run_until(span, |_| false);
    }

    pub(crate) fn run_until(
        &mut self,
        span: Duration,
        reached: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < span {
            self.step();
            if reached(self) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    /// Crashes a member of the only group. Returns the time until one group serves without it, or
    /// `None` if that takes longer than `limit`.
    pub(crate) fn time_to_repair(&mut self, member: &HostId, limit: Duration) -> Option<Duration> {
        self.set_condition(member, HostCondition::Dead);
        self.run_until(limit, |rig| rig.serving_without(member) == 1)
    }

    pub(crate) fn violation(&self) -> Option<&String> {
        self.violations.first()
    }

    pub(crate) fn assert_no_violations(&self) {
        self.assert_no_violations_in("this schedule");
    }

    pub(crate) fn assert_no_violations_in(&self, what: &str) {
        assert!(self.violations.is_empty(), "{what}: {:?}", self.violations);
    }

    /// Names the domain, before it has any host.
    pub(crate) fn set_domain(&mut self, domain: &FabricDomainId) {
        let settings = self.settings();
        self.planner = StagedPlanner::new(domain, self.term, settings, self.now);
    }

    /// Lists a host, once, as a member of the serving group at `rank`; its engine says otherwise.
    pub(crate) fn list_at_rank(&mut self, host: &HostId, rank: u32) {
        let head = self.member_of_serving(0);
        let mut state = self.hosts[&head].engine.reported_state();
        if let Some(membership) = &mut state.membership {
            membership.rank = rank;
        }
        self.planner.observe(host, ObservationSource::HostList, self.now, state);
    }

    /// Opens a group of all hosts whose head alone has joined; the rig must record a violation.
    pub(crate) fn plant_open_without_members(&mut self) {
        let members: Vec<HostId> = self.hosts.keys().cloned().collect();
        let (group, epoch) = (GroupId::new("planted").unwrap(), Epoch(1 << 40));
        let model = self.models[0].name.clone();
        let join = StagedCommand::Join { group: group.clone(), epoch, model, members };
        let head = self.host(0);
        self.deliver(&order_to(&head, join), Term(1));
        for _ in 0..400 {
            self.now = self.now + STEP;
            self.advance();
        }
        let open = StagedCommand::Open { group, epoch };
        self.deliver(&order_to(&head, open), Term(1));
    }

    /// Orders the head of the serving group to leave it; the rig must record a cut.
    pub(crate) fn plant_leave(&mut self) {
        let head = self.member_of_serving(0);
        let (group, epoch) = self.hosts[&head].engine.group().expect("a serving group");
        let command = StagedCommand::Leave { group, epoch };
        self.deliver(&order_to(&head, command), Term(1 << 30));
    }

    /// Orders a member of an open group into another one; the rig must record a violation.
    pub(crate) fn plant_join_elsewhere(&mut self, member: &HostId) {
        let command = StagedCommand::Join {
            group: GroupId::new("planted").unwrap(),
            epoch: Epoch(1 << 40),
            model: self.models[0].name.clone(),
            members: vec![member.clone()],
        };
        self.deliver(&order_to(member, command), Term(1 << 30));
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.advance();
        self.break_heads();
        self.deliver_late();
        self.count_loads();
        self.update_list();
        self.probe_engines();
        let first: Vec<ModelName> =
            self.first_groups.iter().map(|name| ModelName::new(name).unwrap()).collect();
        let hosts = self.listed_hosts();
        let input = StagedInput {
            models: &self.models,
            hosts: &hosts,
            first_groups: &first,
            list_incomplete: self.list_incomplete,
            in_traffic: self.in_traffic,
            list_read_since: self.list_read_since,
            now: self.now,
        };
        let orders = if self.is_owner_stopped { Vec::new() } else { self.planner.step(&input) };
        for order in orders {
            self.send(order);
        }
    }

    fn advance(&mut self) {
        for (id, host) in &mut self.hosts {
            let due = host.condition_ends.is_some_and(|condition_ends| condition_ends <= self.now);
            if due && host.condition == HostCondition::Leaving {
                host.condition = HostCondition::Dead;
                host.condition_since = self.now.back(LIST_EXPIRY);
                host.engine.terminate();
                host.condition_ends = None;
            } else if due && host.condition != HostCondition::Dead {
                host.condition = HostCondition::Healthy;
                host.condition_since = self.now;
                host.condition_ends = None;
            }
            if let Some((group, epoch)) = host.engine.advance(self.now) {
                self.became_ready.insert((group, epoch, id.clone()));
            }
        }
    }

    /// Breaks open groups that have lost a member for the stall time.
    fn break_heads(&mut self) {
        let groups: BTreeMap<HostId, Option<(GroupId, Epoch)>> =
            self.hosts.iter().map(|(id, host)| (id.clone(), host.engine.group())).collect();
        let (now, stall_time) = (self.now, self.stall_time);
        for host in self.hosts.values_mut().filter(|host| host.engine.serves()) {
            let group = host.engine.group();
            let is_whole = host.engine.members().iter().all(|member| groups[member] == group);
            host.engine.note_members(is_whole, now, stall_time);
        }
    }

    fn count_loads(&mut self) {
        let loads = self.hosts.values().filter(|host| host.engine.is_loading()).count();
        self.max_concurrent_loads = self.max_concurrent_loads.max(loads);
    }

    fn listed_hosts(&self) -> Vec<StagedHost> {
        let known = self.hosts.iter().filter(|(id, _)| !self.unknown_to_owner.contains(*id));
        known
            .map(|(id, host)| StagedHost {
                host: id.clone(),
                address: address(),
                leaving: host.has_announced,
                listed: is_listed(host, self.now),
                may_leave_unseen: host.condition == HostCondition::LeavingUnseen,
                left: host.left.clone(),
            })
            .collect()
    }

    fn update_list(&mut self) {
        let hosts = self.listed_hosts();
        self.planner.apply_host_list(&hosts, self.now);
        for (id, host) in &mut self.hosts {
            let writes = matches!(
                host.condition,
                HostCondition::Healthy | HostCondition::Draining | HostCondition::CutFromOwner
            );
            let state = EngineState { accepted_orders: None, ..host.engine.reported_state() };
            if writes && host.pending_listing.as_ref().is_none_or(|(_, pending)| *pending != state)
            {
                host.pending_listing = Some((self.now + self.list_lag, state));
            }
            let Some((due, state)) = &host.pending_listing else { continue };
            if *due <= self.now && host.listed_state.as_ref() != Some(state) {
                host.left = departure(host, state, self.now);
                host.listed_state = Some(state.clone());
                let source = ObservationSource::HostList;
                self.planner.observe(id, source, self.now, state.clone());
            }
        }
    }

    fn probe_engines(&mut self) {
        let (now, lag) = (self.now, self.report_lag);
        let states: BTreeMap<HostId, EngineState> =
            self.hosts.iter_mut().map(|(id, host)| (id.clone(), host.report(now, lag))).collect();
        for (id, host) in &mut self.hosts {
            if self.now.since(host.last_probe) < PROBE_INTERVAL {
                continue;
            }
            match host.condition {
                HostCondition::Healthy | HostCondition::Draining | HostCondition::CutFromList => {
                    host.last_probe = self.now;
                    let state = states[host.answered_by.as_ref().unwrap_or(id)].clone();
                    self.planner.observe(id, ObservationSource::Engine, self.now, state);
                }
                HostCondition::LeavingUnseen | HostCondition::Crashed | HostCondition::Refusing => {
                    host.last_probe = self.now.back(PROBE_INTERVAL - STEP);
                    self.planner.record_probe_failure(id, self.now, ProbeFailure::Refused);
                }
                HostCondition::Dead
                | HostCondition::CutFromOwner
                | HostCondition::CutOff
                | HostCondition::Leaving => {
                    // The next probe follows as soon as this one has timed out, after three steps.
                    host.last_probe = self.now.back(PROBE_INTERVAL - 3 * STEP);
                    self.planner.record_probe_failure(id, self.now, ProbeFailure::Silent);
                }
            }
        }
    }

    fn send(&mut self, order: StagedOrder) {
        self.sent_orders.push(order.clone());
        let reached = matches!(
            self.hosts[&order.host].condition,
            HostCondition::Healthy | HostCondition::Draining | HostCondition::CutFromList
        );
        if !reached {
            self.planner.note_end(&order, self.now, OrderEnd::NotSent);
            return;
        }
        if self.hosts[&order.host].loses_orders {
            return;
        }
        if self.hosts[&order.host].answered_by.is_some() {
            self.planner.note_end(&order, self.now, OrderEnd::Refused);
            return;
        }
        if self.random.random_bool(self.late_order_probability) {
            let delay = Duration::from_millis(self.random.random_range(2_000..12_000));
            self.late_orders.push(LateOrder {
                due: self.now + delay,
                term: self.term,
                order: order.clone(),
            });
            self.planner.note_end(&order, self.now, OrderEnd::Unknown);
            return;
        }
        let end = self.deliver(&order, self.term);
        self.planner.note_end(&order, self.now, end);
    }

    fn deliver_late(&mut self) {
        let now = self.now;
        let (due, waiting) = self.late_orders.drain(..).partition(|late| late.due <= now);
        self.late_orders = waiting;
        for LateOrder { term, order, .. } in due {
            let condition = self.hosts[&order.host].condition;
            if !matches!(condition, HostCondition::Dead | HostCondition::Crashed) {
                self.deliver(&order, term);
            }
        }
    }

    fn deliver(&mut self, order: &StagedOrder, term: Term) -> OrderEnd {
        if let StagedCommand::Join { group, epoch, .. } = &order.command {
            self.check_join(order, group, *epoch, term);
        }
        let now = self.now;
        let host = self.hosts.get_mut(&order.host).unwrap();
        let served_before = host.engine.serves();
        let was_busy = host.engine.is_busy(now);
        let reply = host.engine.handle_order(order, term, now);
        if !served_before && host.engine.serves() {
            let members = host.engine.members().to_vec();
            self.check_open(&order.command, &members);
        }
        if was_busy && !self.hosts[&order.host].engine.is_busy(now) {
            self.cuts.push(format!("{now:?}: {:?} to {}", order.command, order.host));
        }
        match reply {
            Reply::Accepted => OrderEnd::Accepted,
            Reply::Refused => OrderEnd::Refused,
            Reply::Outdated => OrderEnd::Outdated,
        }
    }

    /// Records a violation if the host would leave an open group by joining another.
    fn check_join(&mut self, order: &StagedOrder, group: &GroupId, epoch: Epoch, term: Term) {
        let host = &order.host;
        let engine = &self.hosts[host].engine;
        if !engine.would_accept_join(order, term) {
            return;
        }
        let Some((old, old_epoch)) = engine.group() else { return };
        if (&old, old_epoch) == (group, epoch) {
            return;
        }
        let Some(head) = engine.members().first().cloned() else { return };
        let Some(head) = self.hosts.get(&head) else { return };
        if head.engine.serves() && head.engine.group() == Some((old.clone(), old_epoch)) {
            self.violations.push(format!("{host} joins {group} while {old} is open"));
        }
    }

    /// Records a violation if a member has never been ready in the group that is opened.
    fn check_open(&mut self, command: &StagedCommand, members: &[HostId]) {
        let StagedCommand::Open { group, epoch } = command else { return };
        for member in members {
            if !self.became_ready.contains(&(group.clone(), *epoch, member.clone())) {
                self.violations.push(format!("{group} is opened incomplete, without {member}"));
            }
        }
    }
}

/// A model that loads in 16 s.
pub(crate) fn model(name: &str, size: usize, share: f64) -> StagedModel {
    StagedModel {
        name: ModelName::new(name).unwrap(),
        size,
        demand: DemandWeight(share),
        load_time: Duration::from_secs(16),
        elsewhere: 0,
    }
}

/// The composition that the host is seen to leave if the list shows `state` now.
fn departure(host: &RigHost, state: &EngineState, now: Tick) -> Option<GroupDeparture> {
    let key = |membership: &Membership| (membership.group.clone(), membership.epoch);
    let before = host.listed_state.as_ref().and_then(|state| state.membership.as_ref()).map(key);
    let after = state.membership.as_ref().map(key);
    match before.filter(|before| Some(before) != after.as_ref()) {
        Some((group, epoch)) => Some(GroupDeparture { group, epoch, seen: now }),
        None => host.left.clone().filter(|left| after != Some((left.group.clone(), left.epoch))),
    }
}

fn is_listed(host: &RigHost, now: Tick) -> bool {
    match host.condition {
        HostCondition::Healthy | HostCondition::Draining | HostCondition::CutFromOwner => true,
        HostCondition::Leaving => false,
        HostCondition::Dead
        | HostCondition::Crashed
        | HostCondition::CutFromList
        | HostCondition::CutOff
        | HostCondition::Refusing
        | HostCondition::LeavingUnseen => now.since(host.condition_since) < LIST_EXPIRY,
    }
}

fn domain() -> FabricDomainId {
    FabricDomainId::new("d0").unwrap()
}

/// An order that no planner has made.
fn order_to(host: &HostId, command: StagedCommand) -> StagedOrder {
    StagedOrder { host: host.clone(), address: address(), command, expected: None }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}
