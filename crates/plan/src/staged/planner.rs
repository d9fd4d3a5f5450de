//! The planner of one fabric domain.

use {
    super::{
        composition::{FormingLife, GroupInstance, InstanceLife},
        host::{HostRecord, RunningLoad, SentOrder},
        types::{
            EngineFacts, LossMark, MemberPhase, Membership, ObservationSource, OrderEnd,
            StagedCommand, StagedHost, StagedModel, StagedOrder, StagedSettings,
        },
    },
    base::{Epoch, FabricDomainId, GroupId, HostId, ModelName, Term, Tick},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Bits of an epoch below the term, so that each term's epochs are above all of the one before.
const EPOCH_BITS: u32 = 20;

/// How long ended compositions are remembered; above the time that an order may be late.
const ENDED_SPAN: Duration = Duration::from_secs(60);

/// What a step looks at.
#[derive(Clone, Copy, Debug)]
pub struct StagedInput<'a> {
    /// The models that groups may serve.
    pub models: &'a [StagedModel],
    /// The hosts of this fabric domain, as the host list shows them.
    pub hosts: &'a [StagedHost],
    /// Models whose groups the domain should begin with, see [`super::divide_groups`].
    pub first_groups: &'a [ModelName],
    /// Whether the host list may still lack hosts that start at the same time.
    pub gathering: bool,
    /// Whether callers send requests already; before, loads are quick and not limited.
    pub in_traffic: bool,
    /// Since when this process reads the host list.
    pub reads_since: Tick,
    /// The present time.
    pub now: Tick,
}

/// Decides for all hosts of one fabric domain under one term.
///
/// The caller feeds observations and the ends of orders, calls [`StagedPlanner::step`] and sends
/// what it returns. A new term needs a new planner: nothing of an earlier one is trusted.
#[derive(Debug)]
pub struct StagedPlanner {
    pub(super) settings: StagedSettings,
    pub(super) hosts: BTreeMap<HostId, HostRecord>,
    pub(super) instances: BTreeMap<(GroupId, Epoch), GroupInstance>,
    /// When compositions ended whose head was seen to leave; engines may show them a little longer.
    pub(super) ended: BTreeMap<(GroupId, Epoch), Tick>,
    /// Loads that may start now.
    pub(super) load_tokens: f64,
    pub(super) refilled: Tick,
    prefix: String,
    term: Term,
    made: u64,
    orders: Vec<StagedOrder>,
}

impl StagedPlanner {
    /// A planner that knows nothing yet.
    pub fn new(domain: &FabricDomainId, term: Term, settings: StagedSettings, now: Tick) -> Self {
        Self {
            settings,
            hosts: BTreeMap::new(),
            instances: BTreeMap::new(),
            ended: BTreeMap::new(),
            load_tokens: settings.load_burst,
            refilled: now,
            prefix: format!("{domain}.{term}"),
            term,
            made: 0,
            orders: Vec::new(),
        }
    }

    /// Takes in what an engine said, or what the host list says of it. `asked` is the time of the
    /// question, or of the receipt of the list's entry.
    pub fn observe(
        &mut self,
        host: &HostId,
        source: ObservationSource,
        asked: Tick,
        facts: EngineFacts,
    ) {
        let settings = self.settings;
        if let Some(record) = self.hosts.get_mut(host) {
            record.observe(source, asked, facts, &settings);
        }
    }

    /// Takes in that a question sent at `asked` got no answer.
    pub fn note_loss(&mut self, host: &HostId, asked: Tick, mark: LossMark) {
        if let Some(record) = self.hosts.get_mut(host) {
            record.note_loss(asked, mark);
        }
    }

    /// Takes in what became of an order that was sent at `sent`.
    pub fn note_end(&mut self, order: &StagedOrder, sent: Tick, end: OrderEnd) {
        let Some(record) = self.hosts.get_mut(&order.host) else { return };
        if let Some(last) = &mut record.last
            && last.command == order.command
            && last.sent == sent
        {
            last.end = Some(end);
        }
        let staged = matches!(order.command, StagedCommand::Stage { .. });
        // An engine that refuses is busy with another load; one that did not answer may load.
        if staged && matches!(end, OrderEnd::NotSent) {
            record.staging = None;
        }
    }

    /// Takes in the host list, so that what its hosts say can be observed before the next step.
    pub fn list_hosts(&mut self, hosts: &[StagedHost], now: Tick) {
        self.sync_hosts(hosts, now);
    }

    /// Decides, and returns the orders to send now.
    pub fn step(&mut self, input: &StagedInput<'_>) -> Vec<StagedOrder> {
        self.sync_hosts(input.hosts, input.now);
        self.refill_loads(input.now);
        self.end_loads(input.now);
        self.ended.retain(|_, ended| input.now.since(*ended) < ENDED_SPAN);
        self.adopt_strangers(input);
        self.fill_places();
        for key in self.instances.keys().cloned().collect::<Vec<_>>() {
            let Some(mut instance) = self.instances.remove(&key) else { continue };
            if self.review(&mut instance, input) {
                self.instances.insert(key, instance);
            }
        }
        self.form_groups(input);
        self.stage_models(input);
        self.prime_spares(input);
        std::mem::take(&mut self.orders)
    }

    /// Whether a host is taken as lost.
    pub fn is_lost(&self, host: &HostId, now: Tick) -> bool {
        self.hosts.get(host).is_some_and(|record| record.is_lost(now, &self.settings))
    }

    /// The hosts that should be asked for their state.
    pub fn known_hosts(&self) -> impl Iterator<Item = &StagedHost> {
        self.hosts.values().map(|record| &record.entry)
    }

    /// Whether a host is the head of a composition that should serve, under this membership.
    pub fn is_serving_head(&self, host: &HostId, membership: &Membership) -> bool {
        let key = (membership.group.clone(), membership.epoch);
        self.instances.get(&key).is_some_and(|instance| {
            matches!(instance.life, InstanceLife::Serving) && instance.head() == Some(host)
        })
    }

    /// Whether the next step of a group waits for what engines show. A group that lost a member does
    /// not: it ends with the answer to an order.
    pub fn awaits_engines(&self) -> bool {
        self.instances.values().any(|instance| match instance.life {
            InstanceLife::Forming(_) | InstanceLife::Priming(_) | InstanceLife::Closing(_) => true,
            InstanceLife::Serving => !self.head_serves(instance),
            InstanceLife::Retiring => false,
        })
    }

    /// Whether every group serves.
    pub(super) fn is_calm(&self) -> bool {
        self.instances.values().all(|instance| {
            matches!(instance.life, InstanceLife::Serving) && self.head_serves(instance)
        })
    }

    /// Heads of groups that lost a member and were not seen to end yet.
    pub fn broken_heads(&self) -> impl Iterator<Item = &HostId> {
        let broken = |instance: &&GroupInstance| matches!(instance.life, InstanceLife::Retiring);
        self.instances.values().filter(broken).filter_map(GroupInstance::head)
    }

    pub(super) fn next_name(&mut self) -> (GroupId, Epoch) {
        self.made += 1;
        let epoch = Epoch((self.term.0 << EPOCH_BITS) + self.made);
        let name = format!("{}-{}", self.prefix, self.made);
        (GroupId::new(name).expect("a domain name with numbers is an id"), epoch)
    }

    /// Queues an order if it is due.
    pub(super) fn order(&mut self, host: &HostId, command: StagedCommand, now: Tick) -> bool {
        let settings = self.settings;
        let Some(record) = self.hosts.get_mut(host) else { return false };
        if !record.is_due(&command, now, &settings) {
            return false;
        }
        let copied = record.last.as_ref().filter(|last| last.command == command);
        let first = copied.map_or(now, |last| last.first);
        record.last = Some(SentOrder { command: command.clone(), first, sent: now, end: None });
        let address = record.entry.address;
        self.orders.push(StagedOrder { host: host.clone(), address, command });
        true
    }

    fn sync_hosts(&mut self, hosts: &[StagedHost], now: Tick) {
        let known: BTreeSet<&HostId> = hosts.iter().map(|entry| &entry.host).collect();
        for (_, record) in self.hosts.iter_mut().filter(|(host, _)| !known.contains(host)) {
            record.note_listing(None);
        }
        for entry in hosts {
            match self.hosts.get_mut(&entry.host) {
                Some(record) => record.note_listing(Some(entry)),
                None => {
                    self.hosts.insert(entry.host.clone(), HostRecord::new(entry.clone()));
                }
            }
        }
        let settings = self.settings;
        let instances = &self.instances;
        self.hosts.retain(|host, record| {
            record.entry.listed
                || !record.is_gone(now, &settings)
                || instances.values().any(|instance| instance.has(host))
        });
    }

    /// Gives up loads that take too long.
    fn end_loads(&mut self, now: Tick) {
        let limit = self.settings.load_limit;
        for record in self.hosts.values_mut() {
            let over = |load: &RunningLoad| now.since(load.since) >= limit;
            if record.staging.as_ref().is_some_and(over) {
                record.staging = None;
            }
        }
    }

    fn refill_loads(&mut self, now: Tick) {
        let grown = now.since(self.refilled).as_secs_f64() * self.settings.loads_per_s;
        self.load_tokens = (self.load_tokens + grown).min(self.settings.load_burst);
        self.refilled = now;
    }

    /// Takes over compositions that engines report and that are not known: those of an earlier
    /// owner, and those that late orders made.
    fn adopt_strangers(&mut self, input: &StagedInput<'_>) {
        let mut found: BTreeMap<(GroupId, Epoch), Vec<(HostId, Membership)>> = BTreeMap::new();
        for (host, record) in &self.hosts {
            let membership = record.facts.as_ref().and_then(|facts| facts.membership.as_ref());
            let Some(membership) = membership else { continue };
            let key = (membership.group.clone(), membership.epoch);
            let known = self.instances.contains_key(&key);
            if !known && !self.is_afterglow(&key, record, input.now) {
                found.entry(key).or_default().push((host.clone(), membership.clone()));
            }
        }
        for ((group, epoch), members) in found {
            for (host, _) in &members {
                // A late order may have brought it back after it had left.
                if let Some(record) = self.hosts.get_mut(host) {
                    record.forget_leave(&group, epoch);
                }
            }
            let instance = self.adopt(group, epoch, &members, input);
            self.instances.insert((instance.group.clone(), epoch), instance);
        }
    }

    /// Adds hosts that say they are members of a known composition in a place that was not found when
    /// it was taken over: what they said had not arrived then.
    fn fill_places(&mut self) {
        for (host, record) in &self.hosts {
            let Some(facts) = &record.facts else { continue };
            let Some(membership) = &facts.membership else { continue };
            let key = (membership.group.clone(), membership.epoch);
            let Some(instance) = self.instances.get_mut(&key) else { continue };
            instance.fill(membership.rank as usize, host, facts.born);
        }
    }

    /// Whether a host only shows a composition that has ended because its word is old.
    fn is_afterglow(&self, key: &(GroupId, Epoch), record: &HostRecord, now: Tick) -> bool {
        let Some(ended) = self.ended.get(key) else { return false };
        let facts = record.facts.as_ref().and_then(|facts| facts.membership.as_ref());
        let runs = facts.is_some_and(Membership::may_run);
        !runs || now.since(*ended) < self.settings.answer_lag
    }

    fn adopt(
        &self,
        group: GroupId,
        epoch: Epoch,
        found: &[(HostId, Membership)],
        input: &StagedInput<'_>,
    ) -> GroupInstance {
        let facts = |host: &HostId| self.hosts.get(host).and_then(|record| record.facts.as_ref());
        let model = found.iter().find_map(|(host, _)| facts(host)?.model.clone());
        let size = input.models.iter().find(|known| Some(&known.name) == model.as_ref());
        let last_rank = found.iter().map(|(_, membership)| membership.rank as usize).max();
        let places = size.map_or(0, |known| known.size).max(last_rank.unwrap_or(0) + 1);
        let mut members = vec![None; places];
        let mut borns = vec![None; places];
        for (host, membership) in found {
            members[membership.rank as usize] = Some(host.clone());
            borns[membership.rank as usize] = facts(host).and_then(|facts| facts.born);
        }
        let complete = size.is_some() && members.iter().all(Option::is_some);
        let head_runs = found.iter().any(|(_, membership)| membership.phase == MemberPhase::Open);
        let life = match (complete, head_runs) {
            (true, true) => InstanceLife::Serving,
            (true, false) => {
                InstanceLife::Forming(FormingLife { since: input.now, joined: vec![true; places] })
            }
            (false, _) => InstanceLife::Retiring,
        };
        GroupInstance { group, epoch, model, members, borns, life }
    }

    /// Brings one composition forward; false when nothing is left of it.
    fn review(&mut self, instance: &mut GroupInstance, input: &StagedInput<'_>) -> bool {
        if !instance.is_ending() {
            if self.has_lost_member(instance, input.now) {
                instance.retire();
            } else if self.has_leaving_member(instance) {
                instance.close(input.now);
            }
        }
        match instance.life.clone() {
            InstanceLife::Forming(life) => self.review_forming(instance, life, input.now),
            InstanceLife::Priming(life) => self.review_priming(instance, life, input),
            InstanceLife::Serving => {}
            InstanceLife::Closing(life) => self.review_closing(instance, &life, input.now),
            InstanceLife::Retiring => {}
        }
        match instance.life {
            InstanceLife::Retiring => !self.is_retired(instance, input),
            _ => true,
        }
    }

    pub(super) fn membership(
        &self,
        host: &HostId,
        instance: &GroupInstance,
    ) -> Option<&Membership> {
        let facts = self.hosts.get(host)?.facts.as_ref()?;
        let membership = facts.membership.as_ref()?;
        // Another place means that another member answers at the host's address.
        let place = instance.members.get(membership.rank as usize)?;
        let same = membership.group == instance.group && membership.epoch == instance.epoch;
        (same && place.as_ref() == Some(host)).then_some(membership)
    }

    pub(super) fn has_lost_member(&self, instance: &GroupInstance, now: Tick) -> bool {
        let lost = |place: usize| {
            let Some(host) = &instance.members[place] else { return true };
            let Some(record) = self.hosts.get(host) else { return true };
            if record.is_lost(now, &self.settings) {
                return true;
            }
            let born = record.facts.as_ref().and_then(|facts| facts.born);
            if born != instance.borns[place] {
                return true;
            }
            let seen = match &instance.life {
                InstanceLife::Forming(life) | InstanceLife::Priming(life) => life.joined[place],
                _ => true,
            };
            match self.membership(host, instance) {
                Some(membership) => membership.phase == MemberPhase::Broken,
                None => seen,
            }
        };
        (0..instance.members.len()).any(lost)
    }

    fn has_leaving_member(&self, instance: &GroupInstance) -> bool {
        instance.members.iter().flatten().any(|host| {
            self.hosts.get(host).is_some_and(|record| record.entry.leaving || !record.entry.listed)
        })
    }

    fn review_forming(&mut self, instance: &mut GroupInstance, mut life: FormingLife, now: Tick) {
        let members: Vec<HostId> = instance.members.iter().flatten().cloned().collect();
        for (place, host) in members.iter().enumerate() {
            life.joined[place] |= self.membership(host, instance).is_some();
        }
        if now.since(life.since) >= self.settings.form_limit || self.is_unformable(instance) {
            instance.retire();
            return;
        }
        let ready = members.iter().all(|host| {
            self.membership(host, instance).is_some_and(|membership| {
                matches!(membership.phase, MemberPhase::Ready | MemberPhase::Open)
            })
        });
        if ready {
            instance.life = InstanceLife::Serving;
            self.open_head(instance, now);
            return;
        }
        let Some(model) = instance.model.clone() else {
            instance.retire();
            return;
        };
        for (place, host) in members.iter().enumerate() {
            if !life.joined[place] {
                let command = StagedCommand::Join {
                    group: instance.group.clone(),
                    epoch: instance.epoch,
                    model: model.clone(),
                    members: members.clone(),
                };
                self.order(host, command, now);
            }
        }
        instance.life = InstanceLife::Forming(life);
    }

    /// Whether an engine follows another owner; the composition can't come about then.
    fn is_unformable(&self, instance: &GroupInstance) -> bool {
        instance.members.iter().flatten().any(|host| {
            let last = self.hosts.get(host).and_then(|record| record.last.as_ref());
            last.is_some_and(|last| last.end == Some(OrderEnd::Outdated))
        })
    }

    /// Opens heads whose group is complete and that do not serve; to be called each step, for an
    /// order may be lost.
    pub(super) fn open_head(&mut self, instance: &GroupInstance, now: Tick) {
        let Some(head) = instance.head().cloned() else { return };
        let command = StagedCommand::Open { group: instance.group.clone(), epoch: instance.epoch };
        self.order(&head, command, now);
    }
}
