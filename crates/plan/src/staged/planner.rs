//! The planner of one fabric domain: records observations, adopts, reviews and opens groups.

use {
    super::{
        composition::{
            ClosingProgress, Composition, CompositionPhase, DissolvedGroup, FormingProgress,
            HeadEnd,
        },
        host::{HostRecord, RunningLoad},
        types::{
            EngineState, MemberPhase, Membership, ObservationSource, OrderEnd, ProbeFailure,
            StagedCommand, StagedHost, StagedModel, StagedOrder, StagedSettings,
        },
    },
    base::{Epoch, FabricDomainId, GroupId, HostId, ModelName, Term, Tick},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Low bits of an epoch that count compositions; the owner's term is above them, so that every
/// epoch of a term is higher than those of the terms before.
const EPOCH_BITS: u32 = 20;
/// More members than any group has.
const MAX_GROUP_SIZE: usize = 1_024;
/// Longest part of a domain's name in those of its groups, in bytes; the term and a number follow.
const MAX_PREFIX_BYTES: usize = 64;

/// How long dissolved compositions are remembered. Longer than an order may be delayed.
const DISSOLVED_RETENTION: Duration = Duration::from_secs(60);

/// Input of one planning step, other than observations and the outcomes of orders.
#[derive(Clone, Copy, Debug)]
pub struct StagedInput<'a> {
    /// Models that groups may serve. An adopted group of any other model finishes its requests and is
    /// dissolved.
    pub models: &'a [StagedModel],
    /// Hosts of this fabric domain, as the host list shows them, and recently delisted ones.
    pub hosts: &'a [StagedHost],
    /// Model of each group that the domain forms before it serves traffic, from
    /// [`super::divide_groups`]. A model with several groups is named several times.
    pub first_groups: &'a [ModelName],
    /// Whether the host list may still be incomplete, because many hosts start at the same time.
    /// Before traffic, the planner forms no groups and stages no models meanwhile.
    pub list_incomplete: bool,
    /// Whether callers send requests already. Before that, loads are fast and the planner does not
    /// limit them.
    pub in_traffic: bool,
    /// When this process began to read the host list. It does not know of hosts delisted earlier.
    pub list_read_since: Tick,
    /// Time of the step, on the same clock as the times of observations.
    pub now: Tick,
}

/// Plans the groups and loads of all hosts of one fabric domain during one term of its owner.
///
/// The caller passes in observations and the outcomes of orders, calls [`StagedPlanner::step`] and
/// sends the orders it returns. A new term needs a new planner, because the state of an earlier
/// term may be out of date.
#[derive(Debug)]
pub struct StagedPlanner {
    pub(super) settings: StagedSettings,
    pub(super) hosts: BTreeMap<HostId, HostRecord>,
    pub(super) compositions: BTreeMap<(GroupId, Epoch), Composition>,
    /// Compositions that were dissolved within the last [`DISSOLVED_RETENTION`]. Engines may still
    /// report them.
    pub(super) dissolved: BTreeMap<(GroupId, Epoch), DissolvedGroup>,
    /// Token bucket for loads: the number that may start now.
    pub(super) load_tokens: f64,
    pub(super) tokens_refilled_at: Tick,
    prefix: String,
    term: Term,
    /// When this owner began to plan.
    since: Tick,
    groups_issued: u64,
    orders: Vec<StagedOrder>,
}

impl StagedPlanner {
    /// Creates a planner that knows no hosts. `term` must be higher than that of each earlier
    /// owner, because it is the high part of all epochs.
    pub fn new(domain: &FabricDomainId, term: Term, settings: StagedSettings, now: Tick) -> Self {
        Self {
            settings,
            hosts: BTreeMap::new(),
            compositions: BTreeMap::new(),
            dissolved: BTreeMap::new(),
            load_tokens: settings.load_burst,
            tokens_refilled_at: now,
            prefix: group_prefix(domain, term),
            term,
            since: now,
            groups_issued: 0,
            orders: Vec::new(),
        }
    }

    /// Records an engine's state, from its answer to a probe or from the host list. `as_of` is the
    /// time at which the probe was sent or the list's entry was received.
    pub fn observe(
        &mut self,
        host: &HostId,
        source: ObservationSource,
        as_of: Tick,
        state: EngineState,
    ) {
        let settings = self.settings;
        if let Some(record) = self.hosts.get_mut(host) {
            record.observe(source, as_of, state, &settings);
        }
    }

    /// Records that a probe sent at `probed_at` failed. Ignored if a later probe was answered.
    pub fn record_probe_failure(&mut self, host: &HostId, probed_at: Tick, failure: ProbeFailure) {
        if let Some(record) = self.hosts.get_mut(host) {
            record.record_probe_failure(probed_at, failure);
        }
    }

    /// Records the outcome of an order that was sent at `sent`. If the host has been sent the same
    /// command again since, only the end of a load that was not sent is recorded.
    pub fn note_end(&mut self, order: &StagedOrder, sent: Tick, end: OrderEnd) {
        let Some(record) = self.hosts.get_mut(&order.host) else { return };
        record.note_end(&order.command, sent, end);
    }

    /// Applies the host list, so that [`Self::observe`] can record states of new hosts before the
    /// next step.
    pub fn apply_host_list(&mut self, hosts: &[StagedHost], now: Tick) {
        self.sync_hosts(hosts, now);
    }

    /// Runs one planning step and returns the orders to send now; a host may get several.
    pub fn step(&mut self, input: &StagedInput<'_>) -> Vec<StagedOrder> {
        self.sync_hosts(input.hosts, input.now);
        self.refill_load_tokens(input.now);
        self.expire_loads(input.now);
        let is_recent =
            |dissolved: &DissolvedGroup| input.now.since(dissolved.since) < DISSOLVED_RETENTION;
        self.dissolved.retain(|_, dissolved| is_recent(dissolved));
        self.adopt_unknown_compositions(input);
        self.fill_unknown_ranks();
        for key in self.compositions.keys().cloned().collect::<Vec<_>>() {
            let Some(mut composition) = self.compositions.remove(&key) else { continue };
            if self.review(&mut composition, input) {
                self.compositions.insert(key, composition);
            }
        }
        self.form_groups(input);
        self.stage_models(input);
        self.prewarm_spares(input);
        std::mem::take(&mut self.orders)
    }

    /// Whether a host is considered down because probes of its engine fail; false for an unknown
    /// host.
    pub fn is_down(&self, host: &HostId, now: Tick) -> bool {
        self.hosts.get(host).is_some_and(|record| record.is_down(now, &self.settings))
    }

    /// The hosts whose engines should be probed: those listed, and delisted ones that answered until
    /// recently or are still in a composition.
    pub fn known_hosts(&self) -> impl Iterator<Item = &StagedHost> {
        self.hosts.values().map(|record| &record.entry)
    }

    /// Whether `host` is the head of the composition that `membership` names, and the planner has
    /// decided to open that composition.
    pub fn is_serving_head(&self, host: &HostId, membership: &Membership) -> bool {
        let key = (membership.group.clone(), membership.epoch);
        self.compositions.get(&key).is_some_and(|composition| {
            matches!(composition.phase, CompositionPhase::Serving)
                && composition.head() == Some(host)
        })
    }

    /// Whether some group waits for a change in an engine's reported state. A group that is being
    /// dissolved does not: it waits for the answer to an order.
    pub fn awaits_engines(&self) -> bool {
        self.compositions.values().any(|composition| match composition.phase {
            CompositionPhase::Forming(_)
            | CompositionPhase::Prewarming(_)
            | CompositionPhase::Closing(_) => true,
            CompositionPhase::Serving => !self.head_may_run(composition),
            CompositionPhase::Dissolving => false,
        })
    }

    /// Whether every composition is in phase `Serving` and its head reports that requests may run.
    pub(super) fn all_groups_serve(&self) -> bool {
        self.compositions.values().all(|composition| {
            matches!(composition.phase, CompositionPhase::Serving) && self.head_may_run(composition)
        })
    }

    /// Heads of groups that are being dissolved and have not left yet; unknown heads are omitted.
    pub fn dissolving_heads(&self) -> impl Iterator<Item = &HostId> {
        let dissolving =
            |composition: &&Composition| matches!(composition.phase, CompositionPhase::Dissolving);
        self.compositions.values().filter(dissolving).filter_map(Composition::head)
    }

    /// Issues the id and epoch of a new composition; no other composition of this domain has them.
    pub(super) fn next_group(&mut self) -> (GroupId, Epoch) {
        self.groups_issued += 1;
        let epoch = Epoch((self.term.0 << EPOCH_BITS) + self.groups_issued);
        let name = format!("{}-{}", self.prefix, self.groups_issued);
        (GroupId::new(name).expect("a domain id with a numeric suffix is a valid group id"), epoch)
    }

    /// Queues an order if it is due; returns whether it was queued.
    pub(super) fn order(&mut self, host: &HostId, command: StagedCommand, now: Tick) -> bool {
        let settings = self.settings;
        let Some(record) = self.hosts.get_mut(host) else { return false };
        if !record.orders.is_due(&command, now, &settings) {
            return false;
        }
        let expected = match command.is_join() {
            true => record.expected_orders(self.since, now, &settings),
            false => None,
        };
        record.record_order(command.clone(), now);
        let address = record.entry.address;
        self.orders.push(StagedOrder { host: host.clone(), address, command, expected });
        true
    }

    fn sync_hosts(&mut self, hosts: &[StagedHost], now: Tick) {
        let known: BTreeSet<&HostId> = hosts.iter().map(|entry| &entry.host).collect();
        for (_, record) in self.hosts.iter_mut().filter(|(host, _)| !known.contains(host)) {
            record.apply_listing(None, now);
        }
        for entry in hosts {
            match self.hosts.get_mut(&entry.host) {
                Some(record) => record.apply_listing(Some(entry), now),
                None => {
                    self.hosts.insert(entry.host.clone(), HostRecord::new(entry.clone(), now));
                }
            }
        }
        let settings = self.settings;
        let compositions = &self.compositions;
        self.hosts.retain(|host, record| {
            record.entry.listed
                || !record.is_dropped(now, &settings)
                || compositions.values().any(|composition| composition.has(host))
        });
    }

    /// Treats loads that exceed the load limit as failed.
    fn expire_loads(&mut self, now: Tick) {
        let limit = self.settings.load_limit;
        for record in self.hosts.values_mut() {
            let expired = |load: &RunningLoad| now.since(load.since) >= limit;
            if record.staging.as_ref().is_some_and(expired) {
                record.staging = None;
            }
        }
    }

    fn refill_load_tokens(&mut self, now: Tick) {
        let added = now.since(self.tokens_refilled_at).as_secs_f64() * self.settings.loads_per_s;
        self.load_tokens = (self.load_tokens + added).min(self.settings.load_burst);
        self.tokens_refilled_at = now;
    }

    /// Adopts compositions that engines report and the planner does not know: those of an earlier
    /// owner, and those formed by delayed orders.
    fn adopt_unknown_compositions(&mut self, input: &StagedInput<'_>) {
        let mut found: BTreeMap<(GroupId, Epoch), Vec<(HostId, Membership)>> = BTreeMap::new();
        for (host, record) in &self.hosts {
            let membership = record.state.as_ref().and_then(|state| state.membership.as_ref());
            let Some(membership) = membership else { continue };
            let key = (membership.group.clone(), membership.epoch);
            let known = self.compositions.contains_key(&key);
            if !known && !self.is_stale_membership(&key, record, input.now) {
                found.entry(key).or_default().push((host.clone(), membership.clone()));
            }
        }
        for ((group, epoch), members) in found {
            for (host, _) in &members {
                // A delayed join may have brought the host back after it left, so another order to
                // leave may be needed at once.
                if let Some(record) = self.hosts.get_mut(host) {
                    record.forget_leave_order(&group, epoch);
                }
            }
            let key = (group.clone(), epoch);
            if let Some(composition) = self.adopt(group, epoch, &members, input) {
                self.compositions.insert(key, composition);
            }
        }
    }

    /// Adds members whose state arrived only after their composition was adopted, at ranks that had
    /// no known member until then.
    fn fill_unknown_ranks(&mut self) {
        for (host, record) in &self.hosts {
            let Some(state) = &record.state else { continue };
            let Some(membership) = &state.membership else { continue };
            let key = (membership.group.clone(), membership.epoch);
            let Some(composition) = self.compositions.get_mut(&key) else { continue };
            let limit = if composition.is_complete() || !record.is_confirmed() {
                composition.members.len()
            } else {
                MAX_GROUP_SIZE
            };
            let rank = membership.rank as usize;
            if rank < limit {
                composition.fill_rank(rank, host, state.boot_id);
            }
        }
    }

    /// Whether a host's reported membership in a dissolved composition can be ignored, because the
    /// host can't be running requests there or because the report may still be stale.
    fn is_stale_membership(&self, key: &(GroupId, Epoch), record: &HostRecord, now: Tick) -> bool {
        let Some(dissolved) = self.dissolved.get(key) else { return false };
        let runs = record.membership().is_some_and(Membership::may_run);
        // Nobody has ordered a head out that could not be reached: it may be open although its break
        // time is over, because an order to open was carried out late.
        let may_be_late = dissolved.head_end == HeadEnd::Known
            && now.since(dissolved.since) < self.settings.answer_lag;
        !runs || may_be_late
    }

    /// The composition that hosts report. `None` if none of them can be a member: an entry of the host
    /// list, which anybody may have written, is not believed with a rank outside the model's groups
    /// unless the engine confirms it.
    fn adopt(
        &self,
        group: GroupId,
        epoch: Epoch,
        found: &[(HostId, Membership)],
        input: &StagedInput<'_>,
    ) -> Option<Composition> {
        let is_confirmed =
            |host: &HostId| self.hosts.get(host).is_some_and(HostRecord::is_confirmed);
        let state = |host: &HostId| self.hosts.get(host).and_then(|record| record.state.as_ref());
        let find_model = |name: &ModelName| input.models.iter().find(|known| known.name == *name);
        let claims = found
            .iter()
            .filter_map(|(host, _)| Some((is_confirmed(host), state(host)?.model.clone()?)));
        let claim = claims.max_by_key(|(confirmed, name)| (*confirmed, find_model(name).is_some()));
        let model = claim.map(|(_, name)| name);
        let known_model = model.as_ref().and_then(find_model);
        let size = known_model.map_or(0, |known| known.size);
        let list_limit = known_model.map_or(self.hosts.len(), |known| known.size);
        let mut found: Vec<&(HostId, Membership)> = found
            .iter()
            .filter(|(host, membership)| {
                let limit = if is_confirmed(host) { MAX_GROUP_SIZE } else { list_limit };
                (membership.rank as usize) < limit
            })
            .collect();
        // Of two hosts with one rank the one whose engine confirms it is taken.
        found.sort_by_key(|(host, _)| is_confirmed(host));
        let last_rank = found.iter().map(|(_, membership)| membership.rank as usize).max()?;
        let member_count = size.max(last_rank + 1);
        let mut members = vec![None; member_count];
        let mut boot_ids = vec![None; member_count];
        for (host, membership) in found.iter().copied() {
            members[membership.rank as usize] = Some(host.clone());
            boot_ids[membership.rank as usize] = state(host).and_then(|state| state.boot_id);
        }
        let complete = members.iter().all(Option::is_some);
        let head_is_open =
            found.iter().any(|(_, membership)| membership.phase == MemberPhase::Open);
        let phase = match (complete, known_model.is_some(), head_is_open) {
            (true, true, true) => CompositionPhase::Serving,
            (true, true, false) => CompositionPhase::Forming(FormingProgress {
                since: input.now,
                joined: vec![true; member_count],
            }),
            // Its requests were admitted while the configuration had the model.
            (true, false, _) => CompositionPhase::Closing(ClosingProgress { since: input.now }),
            (false, _, _) => CompositionPhase::Dissolving,
        };
        Some(Composition { group, epoch, model, members, boot_ids, phase, loss: None })
    }

    /// Advances one composition; returns false once it is dissolved and its members are free.
    fn review(&mut self, composition: &mut Composition, input: &StagedInput<'_>) -> bool {
        if !composition.is_ending() {
            if self.has_lost_member(composition, input.now) {
                composition.dissolve();
            } else if self.has_leaving_member(composition) {
                composition.close(input.now);
            }
        }
        match composition.phase.clone() {
            CompositionPhase::Forming(progress) => {
                self.review_forming(composition, progress, input.now)
            }
            CompositionPhase::Prewarming(progress) => {
                self.review_prewarm(composition, progress, input)
            }
            CompositionPhase::Serving => {}
            CompositionPhase::Closing(progress) => {
                self.review_closing(composition, &progress, input.now)
            }
            CompositionPhase::Dissolving => {}
        }
        match composition.phase {
            CompositionPhase::Dissolving => !self.try_release(composition, input),
            _ => true,
        }
    }

    /// The membership that `host` reports, if it is in this composition at its own rank.
    pub(super) fn membership(
        &self,
        host: &HostId,
        composition: &Composition,
    ) -> Option<&Membership> {
        let state = self.hosts.get(host)?.state.as_ref()?;
        let membership = state.membership.as_ref()?;
        // A report with another member's rank comes from that member's engine, which now listens at
        // this host's address.
        let expected = composition.members.get(membership.rank as usize)?;
        let same = membership.group == composition.group && membership.epoch == composition.epoch;
        (same && expected.as_ref() == Some(host)).then_some(membership)
    }

    pub(super) fn has_lost_member(&self, composition: &Composition, now: Tick) -> bool {
        let lost = |rank: usize| {
            let Some(host) = &composition.members[rank] else { return true };
            let Some(record) = self.hosts.get(host) else { return true };
            let is_down = record.is_down(now, &self.settings) && !record.stays_for_requests();
            let may_join_later = record.orders.may_join_later(composition.epoch, now);
            if is_down || record.is_replaced() || may_join_later {
                return true;
            }
            let boot_id = record.state.as_ref().and_then(|state| state.boot_id);
            if boot_id != composition.boot_ids[rank] {
                return true;
            }
            let joined = match &composition.phase {
                CompositionPhase::Forming(progress) | CompositionPhase::Prewarming(progress) => {
                    progress.joined[rank]
                }
                _ => true,
            };
            match self.membership(host, composition) {
                Some(membership) => membership.phase == MemberPhase::Broken,
                None => joined || self.is_in_other(host),
            }
        };
        (0..composition.members.len()).any(lost)
    }

    /// Whether the host reports another composition than the one under review, and is known as a member of
    /// it: an order of the past was carried out late. It has to leave that one first.
    fn is_in_other(&self, host: &HostId) -> bool {
        let reported = self.hosts.get(host).and_then(HostRecord::membership);
        let other = reported.and_then(|membership| {
            self.compositions.get(&(membership.group.clone(), membership.epoch))
        });
        other.is_some_and(|other| other.has(host))
    }

    fn has_leaving_member(&self, composition: &Composition) -> bool {
        composition.members.iter().flatten().any(|host| {
            self.hosts.get(host).is_some_and(|record| record.entry.leaving || !record.entry.listed)
        })
    }

    fn review_forming(
        &mut self,
        composition: &mut Composition,
        mut progress: FormingProgress,
        now: Tick,
    ) {
        let members: Vec<HostId> = composition.members.iter().flatten().cloned().collect();
        for (rank, host) in members.iter().enumerate() {
            progress.joined[rank] |= self.membership(host, composition).is_some();
        }
        if now.since(progress.since) >= self.settings.form_limit || self.is_superseded(composition)
        {
            composition.dissolve();
            return;
        }
        let ready = members.iter().all(|host| {
            self.membership(host, composition).is_some_and(|membership| {
                matches!(membership.phase, MemberPhase::Ready | MemberPhase::Open)
            })
        });
        if ready {
            composition.phase = CompositionPhase::Serving;
            self.open_head(composition, now);
            return;
        }
        let Some(model) = composition.model.clone() else {
            composition.dissolve();
            return;
        };
        for (rank, host) in members.iter().enumerate() {
            if !progress.joined[rank] && self.must_leave_first(host) {
                // An order of the past was carried out after the host was chosen.
                self.order_out_of_reported(host, now);
            } else if !progress.joined[rank] && !self.awaits_order_count(host, now) {
                let command = StagedCommand::Join {
                    group: composition.group.clone(),
                    epoch: composition.epoch,
                    model: model.clone(),
                    members: members.clone(),
                };
                self.order(host, command, now);
            }
        }
        composition.phase = CompositionPhase::Forming(progress);
    }

    /// Whether a host must not be ordered into a group before its engine says how many orders it has
    /// accepted.
    pub(super) fn awaits_order_count(&self, host: &HostId, now: Tick) -> bool {
        self.hosts.get(host).is_some_and(|record| record.awaits_order_count(self.since, now))
    }

    /// Whether late orders may make a head that has left a composition its open head again. Those of an
    /// earlier owner are not known.
    pub(super) fn may_reopen(&self, composition: &Composition, head: &HostId, now: Tick) -> bool {
        let is_own = composition.epoch.0 >> EPOCH_BITS == self.term.0;
        self.hosts.get(head).is_some_and(|record| {
            record.orders.may_reopen(&composition.group, composition.epoch, now)
                || (!is_own && record.may_reopen_for_earlier_owner(self.since, now, &self.settings))
        })
    }

    /// Whether a member has refused an order as outdated. The composition can't be completed then.
    fn is_superseded(&self, composition: &Composition) -> bool {
        composition.members.iter().flatten().any(|host| {
            let last = self.hosts.get(host).and_then(|record| record.orders.newest());
            last.is_some_and(|last| last.end == Some(OrderEnd::Outdated))
        })
    }

    /// Orders the head of a complete group to serve. To be called in each step until the head
    /// reports that it serves, because an order may be lost.
    pub(super) fn open_head(&mut self, composition: &Composition, now: Tick) {
        let Some(head) = composition.head().cloned() else { return };
        let command =
            StagedCommand::Open { group: composition.group.clone(), epoch: composition.epoch };
        self.order(&head, command, now);
    }
}

/// The beginning of the names of a domain's groups. Of a long name both ends are kept, as names of one
/// deployment differ there.
fn group_prefix(domain: &FabricDomainId, term: Term) -> String {
    let name = domain.as_str();
    if name.len() <= MAX_PREFIX_BYTES {
        return format!("{domain}.{term}");
    }
    let half = MAX_PREFIX_BYTES / 2;
    // Ids are ASCII.
    format!("{}{}.{term}", &name[..half], &name[name.len() - half..])
}
