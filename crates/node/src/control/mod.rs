//! Runs the planners of the fabric domains that this process owns.

mod challenges;
mod claims;
mod pace;
mod slow_members;

pub use pace::{StepCounter, StepPace};

use {
    self::{
        challenges::{ChallengeEvent, SentChallenge},
        slow_members::MemberPaces,
    },
    crate::{
        loop_lag::time_step,
        owners::{OwnedRow, OwnerStep, owner_step},
        peers::{HeadLoad, HeadPace},
        ports::{EngineAccess, EngineReport, ProbeError, ServerEntry, WatchPosition},
        rows::RowOwner,
        view::{EngineDomain, NodeView},
    },
    base::{FabricDomainId, FailureDomainId, HostId, ModelName, SharedClock, Term, Tick},
    infra::TableStore,
    limit::NamedLimit,
    plan::staged::{
        DemandWeight, EngineState, MemberPhase, ObservationSource, OrderEnd, ProbeFailure,
        StagedHost, StagedInput, StagedModel, StagedOrder, StagedPlanner, StagedSettings,
        divide_groups,
    },
    relay::{RelayShared, ServerId, ServerLoad},
    std::{
        cmp::Ordering,
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, atomic},
        time::Duration,
    },
    tokio::{
        sync::mpsc,
        time::{Instant, MissedTickBehavior, interval, sleep_until},
    },
    tokio_util::sync::CancellationToken,
    tracing::info,
};

/// Longest time between two planning steps; a change of the view triggers one at once.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two probes of an engine that answers.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two probes of an engine that the planner considers down.
const DOWN_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// A probe that the engine has not answered within this time has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two broadcasts of the groups' request loads.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);
/// How long an order waits for the engine's response.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after the configuration, the server list and the member rows are first known during which
/// this process claims no domain, so that processes that start together share the domains.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// Before there is traffic, groups are formed only after the number of listed engines has not grown
/// for this long. It exceeds the interval at which servers refresh their entries, because engines
/// that start together appear in the list one after another.
const FIRST_GROUPS_DELAY: Duration = Duration::from_millis(1_700);
/// Pause before the server list is asked for again that a new owner waits for.
const LIST_RETRY: Duration = Duration::from_millis(500);
/// Share of the configured rate of model loads from the weight store that the planners use.
const LOAD_RATE_SHARE: f64 = 0.9;

/// Results that spawned tasks send to the control loop.
enum ControlEvent {
    Probed {
        domain: FabricDomainId,
        host: ServerId,
        sent_at: Tick,
        result: Result<EngineReport, ProbeError>,
    },
    Ordered {
        domain: FabricDomainId,
        order: StagedOrder,
        sent_at: Tick,
        end: OrderEnd,
    },
    Claimed {
        domain: FabricDomainId,
        row: Option<OwnedRow>,
    },
    Challenge(ChallengeEvent),
}

/// The planner of a domain that this process owns, with the schedule of its probes.
struct OwnedDomain {
    term: Term,
    planner: StagedPlanner,
    /// Maximum number of concurrent requests of each group in the domain.
    slots: u32,
    probes: BTreeMap<ServerId, ProbeState>,
    paces: MemberPaces,
    /// Engine states from the server list that the planner has seen.
    listed_states: BTreeMap<ServerId, EngineState>,
}

/// The probe schedule of one engine.
#[derive(Clone, Copy)]
struct ProbeState {
    /// When the next probe is sent, provided that none is running.
    due: Tick,
    /// Whether a probe was sent whose result has not arrived.
    running: bool,
}

/// Changes of group heads that the control loop sends to all processes.
#[derive(Debug, Default)]
pub struct HeadUpdates {
    /// Heads of groups that have just lost a member.
    pub broken: Vec<ServerId>,
    /// Request loads of serving groups.
    pub loads: Vec<HeadLoad>,
    /// Paces of those that are slow.
    pub paces: Vec<HeadPace>,
}

/// Probes the engines of the owned domains, steps the planners and sends their orders.
pub struct ControlLoop<T, E> {
    table: Arc<T>,
    engines: Arc<E>,
    view: Arc<NodeView>,
    shared: Arc<RelayShared>,
    clock: SharedClock,
    /// This process, as owner rows name it.
    own: RowOwner,
    /// Time limits of the planners. The configuration sets those of loads.
    settings: StagedSettings,
    /// The domains that this process owns.
    domains: BTreeMap<FabricDomainId, OwnedDomain>,
    /// When this process last tried to claim a domain.
    claim_attempts: BTreeMap<FabricDomainId, Tick>,
    /// The challenges of silent owners.
    challenges: BTreeMap<HostId, SentChallenge>,
    /// The position of the server list that was last asked for, and when.
    asked_list: Option<(WatchPosition, Tick)>,
    /// When the configuration, the server list and the member rows were first known.
    first_view_at: Option<Tick>,
    /// Number of listed engines at the last step, and when it last grew.
    engine_count: usize,
    last_engine_added_at: Tick,
    events: mpsc::UnboundedSender<ControlEvent>,
    head_updates: mpsc::Sender<HeadUpdates>,
    /// Heads of broken groups that were already sent as broken.
    reported_broken: BTreeSet<ServerId>,
    /// Request loads of serving heads to broadcast next.
    loads: Vec<HeadLoad>,
    /// Paces of slow groups to broadcast with them.
    paces: Vec<HeadPace>,
    /// When request loads were last broadcast; 0 makes a broadcast due at once.
    loads_sent_at: Tick,
}

impl<T, E> ControlLoop<T, E>
where
    T: TableStore + 'static,
    E: EngineAccess,
{
    /// Runs until cancelled, then releases the owned domains. `settings` holds the engines' times; the
    /// configuration sets the limits on loads. `stalls` receives servers at which
    /// requests have stalled; their domains are probed at once.
    pub async fn run(
        table: Arc<T>,
        engines: Arc<E>,
        view: Arc<NodeView>,
        shared: Arc<RelayShared>,
        own: RowOwner,
        settings: StagedSettings,
        mut stalls: mpsc::Receiver<ServerId>,
        head_updates: mpsc::Sender<HeadUpdates>,
        stop: CancellationToken,
    ) {
        let (events, mut received) = mpsc::unbounded_channel();
        let clock = shared.clock.clone();
        let mut control = Self {
            table,
            engines,
            view,
            shared,
            clock,
            own,
            settings,
            domains: BTreeMap::new(),
            claim_attempts: BTreeMap::new(),
            challenges: BTreeMap::new(),
            asked_list: None,
            first_view_at: None,
            engine_count: 0,
            last_engine_added_at: Tick(0),
            events,
            head_updates,
            reported_broken: BTreeSet::new(),
            loads: Vec::new(),
            paces: Vec::new(),
            loads_sent_at: Tick(0),
        };
        let mut ticks = interval(STEP_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut pace = StepPace::new(Instant::now());
        let view = control.view.clone();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                () = sleep_until(pace.next_at()), if pace.is_due() => {
                    let began = Instant::now();
                    time_step("control", || control.step());
                    pace.note_step(began, Instant::now());
                    view.control_steps.note();
                    continue;
                }
                _ = ticks.tick() => {}
                () = view.changed.notified() => {}
                Some(event) = received.recv() => {
                    control.handle_event(event);
                    while let Ok(event) = received.try_recv() {
                        control.handle_event(event);
                    }
                }
                Some(server) = stalls.recv() => control.probe_soon(&server),
            }
            pace.note_change();
        }
        control.release_domains().await;
    }

    fn handle_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Probed { domain, host, sent_at, result } => {
                self.apply_probe(&domain, &host, sent_at, result);
            }
            ControlEvent::Ordered { domain, order, sent_at, end } => {
                info!(decision = "order-ended", domain = %domain, server = %order.host,
                    end = ?end, "groups");
                if let Some(owned) = self.domains.get_mut(&domain) {
                    owned.planner.note_end(&order, sent_at, end);
                }
            }
            ControlEvent::Claimed { domain, row } => {
                if let Some(row) = row {
                    self.view.with(|state| state.set_owner(domain, row));
                }
            }
            ControlEvent::Challenge(event) => self.handle_challenge(event),
        }
    }

    /// Passes the result of a probe to the planner and schedules the engine's next probe.
    fn apply_probe(
        &mut self,
        domain: &FabricDomainId,
        host: &ServerId,
        sent_at: Tick,
        result: Result<EngineReport, ProbeError>,
    ) {
        let now = self.clock.now();
        let result = result
            .map_err(ProbeFailure::from)
            .and_then(|report| self.check_start(host, &report.facts).map(|()| report));
        if let Ok(report) = &result {
            self.note_limit(host, report.limit, sent_at);
        }
        let Some(owned) = self.domains.get_mut(domain) else { return };
        if let Some(probe_state) = owned.probes.get_mut(host) {
            probe_state.running = false;
            if result.is_err() && now.since(sent_at) > 2 * PROBE_TIMEOUT {
                // This process was itself stalled, so the engine's response may be waiting unread.
                probe_state.due = now;
                return;
            }
            let down = owned.planner.is_down(host, now);
            probe_state.due = match result {
                Ok(_) => sent_at + PROBE_INTERVAL,
                // The same server, once the list names its present start.
                Err(ProbeFailure::Replaced) => now + PROBE_INTERVAL,
                Err(_) if down => now + DOWN_PROBE_INTERVAL,
                // The engine is considered down after several failed probes, so the next one
                // follows at once.
                Err(_) => now,
            };
        }
        match result {
            Ok(report) => {
                let membership = report.facts.membership.as_ref();
                owned.paces.note(host, membership, report.slowdown);
                if let Some(model) = serving_model(&owned.planner, host, &report.facts) {
                    let ServerLoad { running, waiting, .. } = report.load;
                    let (head, model, slots) = (host.clone(), model.clone(), owned.slots);
                    self.loads.retain(|load| load.head != *host);
                    self.loads.push(HeadLoad { head, model, running, waiting, slots });
                    self.paces.retain(|pace| pace.head != *host);
                    let pace = membership.and_then(|group| owned.paces.of_head(host, group));
                    self.paces.extend(pace);
                }
                owned.planner.observe(host, ObservationSource::Engine, sent_at, report.facts);
            }
            Err(error) => {
                owned.paces.forget(host);
                info!(decision = "engine-silent", domain = %domain, server = %host,
                    why = ?error, "groups");
                if error == ProbeFailure::Inconclusive
                    && let Some(probe_state) = owned.probes.get_mut(host)
                {
                    probe_state.due = now + PROBE_TIMEOUT / 2;
                }
                owned.planner.record_probe_failure(host, sent_at, error);
                if let Some(probe_state) = owned.probes.get_mut(host)
                    && error == ProbeFailure::Refused
                    && !owned.planner.is_down(host, now)
                {
                    // A refusal arrives at once. The pause gives the engine some time to accept
                    // connections again before another refusal makes it count as down.
                    probe_state.due = now + PROBE_TIMEOUT / 2;
                }
            }
        }
    }

    /// Fails if a report is from another start than the one that the list names: a report does not say
    /// whose it is, and the server that has the address now may be another one.
    fn check_start(&self, host: &ServerId, reported: &EngineState) -> Result<(), ProbeFailure> {
        let listed = self.view.with(|state| {
            let entry = state.servers.known_entry(host)?;
            entry.facts.as_ref()?.boot_id
        });
        let (Some(listed), Some(reported)) = (listed, reported.boot_id) else { return Ok(()) };
        match reported.cmp(&listed) {
            Ordering::Equal => Ok(()),
            Ordering::Greater => Err(ProbeFailure::Replaced),
            // Older than the list, or by another clock.
            Ordering::Less => Err(ProbeFailure::Inconclusive),
        }
    }

    /// Applies what a probe says about an engine's limit if the engine takes requests.
    fn note_limit(&self, host: &ServerId, limit: NamedLimit, sent_at: Tick) {
        let limits = &self.shared.limits;
        if limits.is_idle() && limit == NamedLimit::Absent {
            return;
        }
        if self.shared.servers.load().all().any(|server| server.id == *host) {
            limits.note_answer(host, limit, sent_at, "probe");
        }
    }

    /// Probes all engines of a server's domain at once if this process owns the domain.
    fn probe_soon(&mut self, server: &ServerId) {
        let now = self.clock.now();
        for owned in self.domains.values_mut() {
            if owned.probes.contains_key(server) {
                for probe_state in owned.probes.values_mut() {
                    probe_state.due = probe_state.due.min(now);
                }
            }
        }
    }

    /// Steps the planners of the owned domains, claims domains that this process should own, and
    /// sends what other processes need to know about group heads. Does nothing until the view is
    /// complete and [`SETTLE_TIME`] has passed.
    fn step(&mut self) {
        let now = self.clock.now();
        let ready = self.view.with(|state| {
            state.is_ready() && state.rows_loaded && state.members.listed().next().is_some()
        });
        if !ready {
            return;
        }
        let first_view_at = *self.first_view_at.get_or_insert(now);
        if now.since(first_view_at) < SETTLE_TIME {
            return;
        }
        let domains = self.view.with(|state| state.engine_domains());
        let sizes: BTreeMap<FabricDomainId, usize> =
            domains.iter().map(|(name, domain)| (name.clone(), domain.engines)).collect();
        let engines = sizes.values().sum();
        if engines > self.engine_count {
            self.last_engine_added_at = now;
        }
        self.engine_count = engines;
        let mut silent = BTreeSet::new();
        for (name, EngineDomain { failure_domain, .. }) in &domains {
            silent.extend(self.step_domain(name, failure_domain, &sizes, now));
        }
        self.challenges.retain(|node, _| silent.contains(node));
        // An owned domain stays even while none of its engines is listed: a new planner under the
        // same term would assign the same group names and epochs again.
        let owned = self.view.with(|state| state.domains_of(&self.own));
        self.domains.retain(|domain, _| owned.contains(domain));
        self.view.set_busy_owner(self.domains.values().any(|owned| owned.planner.awaits_engines()));
        let broken: BTreeSet<ServerId> = self
            .domains
            .values()
            .flat_map(|owned| owned.planner.dissolving_heads().cloned().collect::<Vec<_>>())
            .collect();
        self.send_updates(broken, now);
    }

    /// Sends newly broken heads at once, and request loads every [`LOAD_INTERVAL`].
    fn send_updates(&mut self, broken: BTreeSet<ServerId>, now: Tick) {
        let newly_broken: Vec<ServerId> =
            broken.difference(&self.reported_broken).cloned().collect();
        self.reported_broken = broken;
        let loads_due = now.since(self.loads_sent_at) >= LOAD_INTERVAL && !self.loads.is_empty();
        if newly_broken.is_empty() && !loads_due {
            return;
        }
        let (mut loads, mut paces) = (Vec::new(), Vec::new());
        if loads_due {
            (loads, paces) = (std::mem::take(&mut self.loads), std::mem::take(&mut self.paces));
            self.loads_sent_at = now;
        }
        // If the channel is full, newer updates follow soon.
        let _ = self.head_updates.try_send(HeadUpdates { broken: newly_broken, loads, paces });
    }

    /// Whether the server list was read after the claim of a domain under this term was carried out. An
    /// older one may name servers that have started again under other ids.
    fn has_list_for(&self, domain: &FabricDomainId, term: Term) -> bool {
        let is_planned = self.domains.get(domain).is_some_and(|owned| owned.term == term);
        is_planned
            || self.view.with(|state| {
                let claimed_at = state.domains.get(domain).map(OwnedRow::position);
                claimed_at.is_none_or(|position| state.servers.read_to() >= position)
            })
    }

    /// Has the server list read from the store, again if that takes long.
    fn ask_for_list(&mut self, domain: &FabricDomainId, now: Tick) {
        let claimed_at = self.view.with(|state| state.domains.get(domain).map(OwnedRow::position));
        let Some(position) = claimed_at else { return };
        let is_asked = self
            .asked_list
            .is_some_and(|(asked, at)| asked >= position && now.since(at) < LIST_RETRY);
        if !is_asked {
            self.asked_list = Some((position, now));
            self.view.list_wanted.notify_one();
        }
    }

    /// Plans one domain, claims it or stops planning it. `failure_domain` is that of its engines, and
    /// `sizes` has the number of listed engines of every domain. Returns the owner if it is challenged.
    fn step_domain(
        &mut self,
        domain: &FabricDomainId,
        failure_domain: &FailureDomainId,
        sizes: &BTreeMap<FabricDomainId, usize>,
        now: Tick,
    ) -> Option<HostId> {
        let (step, era) = self.view.with(|state| {
            let (known, era) = (state.domains.get(domain), state.row_era());
            let failure_domain = Some(failure_domain);
            let step =
                owner_step(domain, failure_domain, known, &self.own, &state.members, era, now);
            (step, era)
        });
        match step {
            OwnerStep::Own(term) if !self.has_list_for(domain, term) => {
                self.ask_for_list(domain, now)
            }
            OwnerStep::Own(term) => {
                let entries = self.view.with(|state| state.engines_of(domain));
                self.plan_domain(domain, term, &entries, sizes, now);
            }
            OwnerStep::Claim { expected, term } => self.claim(domain, expected, term, era, now),
            OwnerStep::Challenge { owner, vantage } => {
                self.challenge(&owner, vantage, era, now);
                return Some(owner.node);
            }
            OwnerStep::NotOwner => {
                if self.domains.remove(domain).is_some() {
                    info!(decision = "domain-left", domain = %domain, "groups");
                }
            }
        }
        None
    }

    /// Steps the planner of an owned domain with the current configuration and server list, then
    /// sends its orders and the probes that are due. Creates the planner if the term is new. The
    /// limits on model loads are divided equally between the domains.
    fn plan_domain(
        &mut self,
        domain: &FabricDomainId,
        term: Term,
        entries: &[ServerEntry],
        sizes: &BTreeMap<FabricDomainId, usize>,
        now: Tick,
    ) {
        // Engines that start together may still be missing from the list.
        let list_incomplete = now.since(self.last_engine_added_at) < FIRST_GROUPS_DELAY;
        let Some(config) = self.view.with(|state| state.config.clone()) else { return };
        let Some(service) = entries.first().map(|entry| &entry.service) else { return };
        let Some(engine) = config.engines.iter().find(|engine| engine.name == *service) else {
            return;
        };
        let elsewhere = self.view.with(|state| state.groups_elsewhere(domain));
        let models: Vec<StagedModel> = engine
            .models
            .iter()
            .map(|rule| StagedModel {
                name: rule.name.clone(),
                size: rule.size,
                demand: DemandWeight(rule.share),
                load_time: rule.load_time,
                elsewhere: elsewhere.get(&rule.name).copied().unwrap_or(0),
            })
            .collect();
        let (delisted, hosts) =
            self.view.with(|state| (state.delisted_in(domain), state.hosts_of(domain, now)));
        let owned = match self.domains.get_mut(domain) {
            Some(owned) if owned.term == term => owned,
            _ => {
                info!(decision = "domain-taken", domain = %domain, term = term.0, "groups");
                let settings = StagedSettings {
                    loads_at_once: (engine.loads_at_once / sizes.len().max(1)).max(1),
                    loads_per_s: LOAD_RATE_SHARE * engine.loads_per_s / sizes.len().max(1) as f64,
                    ..self.settings
                };
                let planner = StagedPlanner::new(domain, term, settings, now);
                let owned = OwnedDomain {
                    term,
                    planner,
                    slots: engine.slots,
                    probes: BTreeMap::new(),
                    paces: MemberPaces::default(),
                    listed_states: BTreeMap::new(),
                };
                self.domains.insert(domain.clone(), owned);
                self.domains.get_mut(domain).expect("inserted above")
            }
        };
        owned.slots = engine.slots;
        owned.planner.apply_host_list(&hosts, now);
        let known: BTreeSet<&ServerId> =
            entries.iter().chain(&delisted).map(|entry| &entry.id).collect();
        owned.listed_states.retain(|id, _| known.contains(id));
        for entry in entries.iter().chain(&delisted) {
            let Some(facts) = &entry.facts else { continue };
            if owned.listed_states.get(&entry.id) != Some(facts) {
                let source = ObservationSource::HostList;
                owned.planner.observe(&entry.id, source, now, facts.clone());
                if let Some(model) = serving_model(&owned.planner, &entry.id, facts) {
                    // Announces the opened head at once, because the other processes may see it in
                    // the server list only later. No probe has reported its request load since it
                    // opened, so the load is 0.
                    self.loads_sent_at = Tick(0);
                    self.loads.push(HeadLoad {
                        head: entry.id.clone(),
                        model: model.clone(),
                        running: 0,
                        waiting: 0,
                        slots: engine.slots,
                    });
                }
                owned.listed_states.insert(entry.id.clone(), facts.clone());
            }
        }
        let in_traffic = self.shared.in_traffic.load(atomic::Ordering::Relaxed);
        // The division over domains applies only to the first groups, before there is traffic.
        let division = if in_traffic { BTreeMap::new() } else { divide_groups(sizes, &models) };
        let input = StagedInput {
            models: &models,
            hosts: &hosts,
            first_groups: division.get(domain).map_or(&[], Vec::as_slice),
            // The planner gives up a group with an unknown head only some time after this, because
            // a live head may be unable to reach the server list for a while.
            list_read_since: self.first_view_at.unwrap_or(now),
            list_incomplete,
            in_traffic,
            now,
        };
        let orders = owned.planner.step(&input);
        self.send_orders(domain, term, orders, now);
        self.send_due_probes(domain, now);
    }

    fn send_orders(
        &mut self,
        domain: &FabricDomainId,
        term: Term,
        orders: Vec<StagedOrder>,
        sent_at: Tick,
    ) {
        for order in orders {
            info!(decision = "order", domain = %domain, term = term.0, server = %order.host,
                command = ?order.command, expected = order.expected.map(|count| count.0), "groups");
            let engines = self.engines.clone();
            let events = self.events.clone();
            let domain = domain.clone();
            tokio::spawn(async move {
                let end = engines.order(&order, term, ORDER_TIMEOUT).await;
                // Sending fails only after the control loop has ended.
                let _ = events.send(ControlEvent::Ordered { domain, order, sent_at, end });
            });
        }
    }

    fn send_due_probes(&mut self, domain: &FabricDomainId, now: Tick) {
        let Some(owned) = self.domains.get_mut(domain) else { return };
        let hosts: Vec<StagedHost> = owned.planner.known_hosts().cloned().collect();
        let known: BTreeSet<&ServerId> = hosts.iter().map(|host| &host.host).collect();
        owned.probes.retain(|id, _| known.contains(id));
        for host in &hosts {
            let probe_state = owned
                .probes
                .entry(host.host.clone())
                .or_insert(ProbeState { due: now, running: false });
            if probe_state.running || probe_state.due > now {
                continue;
            }
            probe_state.running = true;
            let engines = self.engines.clone();
            let events = self.events.clone();
            let domain = domain.clone();
            let host = host.clone();
            tokio::spawn(async move {
                let result = engines.probe(&host.host, host.address, PROBE_TIMEOUT).await;
                let event = ControlEvent::Probed { domain, host: host.host, sent_at: now, result };
                // Sending fails only after the control loop has ended.
                let _ = events.send(event);
            });
        }
    }
}

/// The model of the group that `host` heads, if the planner wants the group to serve and the engine
/// reports the phase `Open`.
fn serving_model<'a>(
    planner: &StagedPlanner,
    host: &ServerId,
    facts: &'a EngineState,
) -> Option<&'a ModelName> {
    let membership = facts.membership.as_ref()?;
    let serves = membership.phase == MemberPhase::Open && planner.is_serving_head(host, membership);
    facts.model.as_ref().filter(|_| serves)
}
