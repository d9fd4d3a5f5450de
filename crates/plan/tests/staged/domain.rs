//! A fabric domain of model engines with one owner, on a clock that tests move.

#[path = "engine.rs"]
mod engine;
#[path = "schedule.rs"]
mod schedule;

use {
    base::{Epoch, FabricDomainId, GroupId, HostId, ModelName, Term, Tick},
    engine::{EngineModel, Reply},
    plan::staged::{
        EngineFacts, LossMark, ObservationSource, OrderEnd, StagedCommand, StagedHost, StagedInput,
        StagedModel, StagedOrder, StagedPlanner, StagedSettings,
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Step of the clock.
const STEP: Duration = Duration::from_millis(50);
/// Time between two questions to an engine.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which the host list drops an engine that does not write to it.
const LIST_DROPS: Duration = Duration::from_secs(3);

/// What happened to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HostFate {
    /// It runs and everybody reaches it.
    Well,
    /// Its process has ended for good.
    Dead,
    /// It serves, and the host list drops it.
    CutFromList,
    /// It serves and is listed; the owner does not reach it.
    CutFromOwner,
    /// It leaves: it is no longer listed or reached, and finishes its work.
    Lingers,
}

struct RigHost {
    engine: EngineModel,
    fate: HostFate,
    fate_since: Tick,
    heals: Option<Tick>,
    asked: Tick,
    shown: Option<EngineFacts>,
    pending: Option<(Tick, EngineFacts)>,
    /// The host whose engine answers at its address, if not its own.
    answers_as: Option<HostId>,
}

struct LateOrder {
    due: Tick,
    term: Term,
    order: StagedOrder,
}

/// The domain, its owner's planner and the checks.
pub(crate) struct DomainRig {
    pub(crate) gathering: bool,
    pub(crate) in_traffic: bool,
    pub(crate) first_groups: Vec<&'static str>,
    /// Time until the host list shows a change.
    pub(crate) list_lag: Duration,
    models: Vec<StagedModel>,
    planner: StagedPlanner,
    term: Term,
    reads_since: Tick,
    now: Tick,
    hosts: BTreeMap<HostId, RigHost>,
    sent: Vec<StagedOrder>,
    sent_before_owner: usize,
    late: Vec<LateOrder>,
    ready_seen: BTreeSet<(GroupId, Epoch, HostId)>,
    forgotten: BTreeSet<HostId>,
    violations: Vec<String>,
    random: Pcg64Mcg,
    lost_orders: f64,
    most_loading: usize,
}

impl DomainRig {
    pub(crate) fn new(models: Vec<StagedModel>) -> Self {
        let now = Tick(0);
        Self {
            gathering: false,
            in_traffic: false,
            first_groups: Vec::new(),
            list_lag: STEP,
            models,
            planner: StagedPlanner::new(&domain(), Term(1), StagedSettings::default(), now),
            term: Term(1),
            reads_since: now,
            now,
            hosts: BTreeMap::new(),
            sent: Vec::new(),
            sent_before_owner: 0,
            late: Vec::new(),
            ready_seen: BTreeSet::new(),
            forgotten: BTreeSet::new(),
            violations: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(0),
            lost_orders: 0.0,
            most_loading: 0,
        }
    }

    pub(crate) fn now(&self) -> Tick {
        self.now
    }

    pub(crate) fn add_hosts(&mut self, count: usize) {
        for _ in 0..count {
            let id = HostId::new(format!("h{}", self.hosts.len())).unwrap();
            let host = RigHost {
                engine: EngineModel::new(1),
                fate: HostFate::Well,
                fate_since: self.now,
                heals: None,
                asked: Tick(0),
                shown: None,
                pending: None,
                answers_as: None,
            };
            self.hosts.insert(id, host);
        }
    }

    pub(crate) fn host(&self, place: usize) -> HostId {
        self.hosts.keys().nth(place).unwrap().clone()
    }

    /// Another engine has started at the address of a host, under an id of its own.
    pub(crate) fn replace(&mut self, host: &HostId, by: &HostId) {
        self.hosts.get_mut(host).unwrap().answers_as = Some(by.clone());
    }

    pub(crate) fn set_join_time(&mut self, host: &HostId, time: Duration) {
        self.hosts.get_mut(host).unwrap().engine.join_time = Some(time);
    }

    pub(crate) fn stage_all(&mut self, model: &str) {
        for host in self.hosts.values_mut() {
            host.engine.staged = Some(ModelName::new(model).unwrap());
        }
    }

    pub(crate) fn set_fate(&mut self, host: &HostId, fate: HostFate) {
        let now = self.now;
        let host = self.hosts.get_mut(host).unwrap();
        host.fate = fate;
        host.fate_since = now;
        if fate == HostFate::Dead {
            host.engine.end();
        }
    }

    /// The next owner knows nothing of hosts that are not listed.
    pub(crate) fn forget_unlisted(&mut self) {
        self.run(LIST_DROPS + STEP);
        let unlisted = self.hosts.iter().filter(|(_, host)| !is_listed(host, self.now));
        self.forgotten = unlisted.map(|(id, _)| id.clone()).collect();
    }

    pub(crate) fn replace_owner(&mut self) {
        self.term = self.term.next();
        let settings = StagedSettings::default();
        self.planner = StagedPlanner::new(&domain(), self.term, settings, self.now);
        self.reads_since = self.now;
        self.sent_before_owner = self.sent.len();
        for host in self.hosts.values_mut() {
            host.shown = None;
        }
    }

    pub(crate) fn orders(&self) -> &[StagedOrder] {
        &self.sent
    }

    pub(crate) fn count_orders(&self, wanted: impl Fn(&StagedCommand) -> bool) -> usize {
        self.sent.iter().filter(|order| wanted(&order.command)).count()
    }

    /// Members of each composition that the present owner has ordered, once an order.
    pub(crate) fn joins_since_owner(&self) -> impl Iterator<Item = &[HostId]> {
        self.sent[self.sent_before_owner..].iter().filter_map(|order| match &order.command {
            StagedCommand::Join { members, .. } => Some(members.as_slice()),
            _ => None,
        })
    }

    /// The most hosts that loaded weights outside a join at the same time.
    pub(crate) fn most_loading(&self) -> usize {
        self.most_loading
    }

    pub(crate) fn serving(&self) -> usize {
        self.hosts.values().filter(|host| host.engine.serves()).count()
    }

    pub(crate) fn serving_of(&self, model: &str) -> usize {
        let of = |host: &&RigHost| host.engine.model().is_some_and(|name| name.as_str() == model);
        self.hosts.values().filter(|host| host.engine.serves()).filter(of).count()
    }

    pub(crate) fn serving_without(&self, member: &HostId) -> usize {
        let whole = |host: &&RigHost| !host.engine.members().contains(member);
        self.hosts.values().filter(|host| host.engine.serves()).filter(whole).count()
    }

    /// A member of the first serving group; 0 is the head.
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
        let began = self.now;
        while self.now.since(began) < span {
            self.step();
            if reached(self) {
                return Some(self.now.since(began));
            }
        }
        None
    }

    /// Ends a member of the only group; the time until a whole group serves without it, if that
    /// comes within `limit`.
    pub(crate) fn time_to_mend(&mut self, member: &HostId, limit: Duration) -> Option<Duration> {
        self.set_fate(member, HostFate::Dead);
        self.run_until(limit, |rig| rig.serving_without(member) == 1)
    }

    pub(crate) fn violation(&self) -> Option<&String> {
        self.violations.first()
    }

    pub(crate) fn assert_kept(&self) {
        self.assert_kept_under("this schedule");
    }

    pub(crate) fn assert_kept_under(&self, what: &str) {
        assert!(self.violations.is_empty(), "{what}: {:?}", self.violations);
    }

    pub(crate) fn plant_open_without_members(&mut self) {
        let members: Vec<HostId> = self.hosts.keys().cloned().collect();
        let (group, epoch) = (GroupId::new("planted").unwrap(), Epoch(1 << 40));
        let model = self.models[0].name.clone();
        let join = StagedCommand::Join { group: group.clone(), epoch, model, members };
        let head = self.host(0);
        self.deliver(
            &StagedOrder { host: head.clone(), address: address(), command: join },
            Term(1),
        );
        for _ in 0..400 {
            self.now = self.now + STEP;
            self.progress();
        }
        let open = StagedCommand::Open { group, epoch };
        self.deliver(&StagedOrder { host: head, address: address(), command: open }, Term(1));
    }

    pub(crate) fn plant_join_elsewhere(&mut self, member: &HostId) {
        let command = StagedCommand::Join {
            group: GroupId::new("planted").unwrap(),
            epoch: Epoch(1 << 40),
            model: self.models[0].name.clone(),
            members: vec![member.clone()],
        };
        let order = StagedOrder { host: member.clone(), address: address(), command };
        self.deliver(&order, Term(1 << 30));
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.progress();
        self.deliver_late();
        self.count_loads();
        self.show_list();
        self.ask();
        let first: Vec<ModelName> =
            self.first_groups.iter().map(|name| ModelName::new(name).unwrap()).collect();
        let hosts = self.listed_hosts();
        let input = StagedInput {
            models: &self.models,
            hosts: &hosts,
            first_groups: &first,
            gathering: self.gathering,
            in_traffic: self.in_traffic,
            reads_since: self.reads_since,
            now: self.now,
        };
        let orders = self.planner.step(&input);
        for order in orders {
            self.send(order);
        }
    }

    fn progress(&mut self) {
        for (id, host) in &mut self.hosts {
            let due = host.heals.is_some_and(|heals| heals <= self.now);
            if due && host.fate == HostFate::Lingers {
                host.fate = HostFate::Dead;
                host.engine.end();
                host.heals = None;
            } else if due && host.fate != HostFate::Dead {
                host.fate = HostFate::Well;
                host.fate_since = self.now;
                host.heals = None;
            }
            if let Some((group, epoch)) = host.engine.progress(self.now) {
                self.ready_seen.insert((group, epoch, id.clone()));
            }
        }
    }

    fn count_loads(&mut self) {
        let loads = self.hosts.values().filter(|host| host.engine.is_loading()).count();
        self.most_loading = self.most_loading.max(loads);
    }

    fn listed_hosts(&self) -> Vec<StagedHost> {
        let known = self.hosts.iter().filter(|(id, _)| !self.forgotten.contains(*id));
        known
            .map(|(id, host)| StagedHost {
                host: id.clone(),
                address: address(),
                leaving: false,
                listed: is_listed(host, self.now),
            })
            .collect()
    }

    fn show_list(&mut self) {
        let hosts = self.listed_hosts();
        self.planner.list_hosts(&hosts, self.now);
        for (id, host) in &mut self.hosts {
            let writes = matches!(host.fate, HostFate::Well | HostFate::CutFromOwner);
            let facts = host.engine.facts();
            if writes && host.pending.as_ref().is_none_or(|(_, pending)| *pending != facts) {
                host.pending = Some((self.now + self.list_lag, facts));
            }
            let Some((due, facts)) = &host.pending else { continue };
            if *due <= self.now && host.shown.as_ref() != Some(facts) {
                host.shown = Some(facts.clone());
                let source = ObservationSource::HostList;
                self.planner.observe(id, source, self.now, facts.clone());
            }
        }
    }

    fn ask(&mut self) {
        let facts: BTreeMap<HostId, EngineFacts> =
            self.hosts.iter().map(|(id, host)| (id.clone(), host.engine.facts())).collect();
        for (id, host) in &mut self.hosts {
            if self.now.since(host.asked) < ASK_INTERVAL {
                continue;
            }
            match host.fate {
                HostFate::Well | HostFate::CutFromList => {
                    host.asked = self.now;
                    let facts = facts[host.answers_as.as_ref().unwrap_or(id)].clone();
                    self.planner.observe(id, ObservationSource::Engine, self.now, facts);
                }
                HostFate::Dead | HostFate::CutFromOwner | HostFate::Lingers => {
                    // A question without an answer is asked again after its limit.
                    host.asked = self.now.back(ASK_INTERVAL - 3 * STEP);
                    self.planner.note_loss(id, self.now, LossMark::Silent);
                }
            }
        }
    }

    fn send(&mut self, order: StagedOrder) {
        self.sent.push(order.clone());
        let reached =
            matches!(self.hosts[&order.host].fate, HostFate::Well | HostFate::CutFromList);
        if !reached {
            self.planner.note_end(&order, self.now, OrderEnd::NotSent);
            return;
        }
        if self.hosts[&order.host].answers_as.is_some() {
            self.planner.note_end(&order, self.now, OrderEnd::Refused);
            return;
        }
        if self.random.random_bool(self.lost_orders) {
            let delay = Duration::from_millis(self.random.random_range(2_000..12_000));
            self.late.push(LateOrder {
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
        let (due, waiting) = self.late.drain(..).partition(|late| late.due <= now);
        self.late = waiting;
        for LateOrder { term, order, .. } in due {
            if self.hosts[&order.host].fate != HostFate::Dead {
                self.deliver(&order, term);
            }
        }
    }

    fn deliver(&mut self, order: &StagedOrder, term: Term) -> OrderEnd {
        if let StagedCommand::Join { group, epoch, .. } = &order.command {
            self.check_join(&order.host, group, *epoch, term);
        }
        let now = self.now;
        let host = self.hosts.get_mut(&order.host).unwrap();
        let served = host.engine.serves();
        let reply = host.engine.follow(&order.host, &order.command, term, now);
        if !served && host.engine.serves() {
            let members = host.engine.members().to_vec();
            self.check_open(&order.command, &members);
        }
        match reply {
            Reply::Followed => OrderEnd::Accepted,
            Reply::Refused => OrderEnd::Refused,
            Reply::Outdated => OrderEnd::Outdated,
        }
    }

    fn check_join(&mut self, host: &HostId, group: &GroupId, epoch: Epoch, term: Term) {
        let engine = &self.hosts[host].engine;
        if !engine.takes_join(group, epoch, term) {
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

    fn check_open(&mut self, command: &StagedCommand, members: &[HostId]) {
        let StagedCommand::Open { group, epoch } = command else { return };
        for member in members {
            if !self.ready_seen.contains(&(group.clone(), *epoch, member.clone())) {
                self.violations.push(format!("{group} is opened incomplete, without {member}"));
            }
        }
    }
}

fn is_listed(host: &RigHost, now: Tick) -> bool {
    match host.fate {
        HostFate::Well | HostFate::CutFromOwner => true,
        HostFate::Lingers => false,
        HostFate::Dead | HostFate::CutFromList => now.since(host.fate_since) < LIST_DROPS,
    }
}

fn domain() -> FabricDomainId {
    FabricDomainId::new("d0").unwrap()
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}
