//! The local view of this process (configuration, servers, members, owners) and the table of
//! servers for requests that is derived from it.

mod cold;
mod config;
mod directory;
mod rows;

pub use {directory::ViewDirectory, rows::KnownChallenge};

use {
    crate::{
        config_ages::ConfigAges,
        config_share::ConfigOffer,
        config_tracker::ConfigTracker,
        control::StepCounter,
        evacuation::EvacuationSet,
        loop_lag::LoopLag,
        members::MemberTable,
        owners::OwnedRow,
        peers::{HeadLoad, HeadPace, LeavingNotice},
        ports::{
            ConfigUpdate, EngineService, RowChange, ServerChange, ServerEntry, ServerStanding,
            WatchPage, WatchPosition,
        },
        rows::RowOwner,
        server_list::{ServerList, ServerListChanges},
        store_reads::StoreReads,
    },
    base::{FabricDomainId, FailureDomainId, HostId, ModelName, StoreEra, Tick},
    parking_lot::Mutex,
    plan::staged::{EngineState, MemberPhase, Membership, StagedHost},
    relay::{BackendServer, RelayShared, ServerCounters, ServerId, ServerLoad, ServerTable},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Notify,
    tracing::info,
};

/// How long a report that a group is broken keeps requests away from its head; the server list
/// shows the change before this time has passed.
const BROKEN_HEAD_TTL: Duration = Duration::from_millis(2_000);

/// How long a head counts as serving after the last load report of its owner, if the server list
/// does not show it as open; several report intervals.
const REPORTED_HEAD_TTL: Duration = Duration::from_millis(1_500);

/// A fabric domain with listed model engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineDomain {
    /// Number of engines.
    pub engines: usize,
    /// Failure domain of their hosts.
    pub failure_domain: FailureDomainId,
}

/// The local view behind a lock that is held only briefly.
pub struct NodeView {
    state: Mutex<ViewState>,
    pub(crate) shared: Arc<RelayShared>,
    /// See [`Self::is_busy_owner`].
    busy_owner: AtomicBool,
    /// Notified when a better source of the configuration should be looked for.
    pub outdated: Notify,
    /// The newest configuration, for other processes.
    pub offer: ConfigOffer,
    /// Notified when a change may require a planning step of an owner.
    pub changed: Notify,
    /// Notified when the server list has to be read from the store at once.
    pub list_wanted: Notify,
    /// Notified when the rows name processes that are asked whether they run.
    pub(crate) challenged: Notify,
    /// How often this process read the store itself.
    pub store_reads: StoreReads,
    /// How old the configuration became.
    pub config_ages: ConfigAges,
    /// How late the tasks of this process run.
    pub loop_lag: LoopLag,
    /// How often the control loop planned.
    pub control_steps: StepCounter,
}

/// The content of the local view.
pub struct ViewState {
    /// The newest configuration; `None` until one has been read.
    pub config: Option<Arc<ConfigUpdate>>,
    /// The server list, with the recently delisted servers.
    pub servers: ServerList,
    /// The processes and whether they are alive.
    pub members: MemberTable,
    /// The owner rows of the fabric domains.
    pub domains: BTreeMap<FabricDomainId, OwnedRow>,
    /// The challenges of processes.
    pub challenges: BTreeMap<HostId, KnownChallenge>,
    /// Whether the member and owner rows were read at least once.
    pub rows_loaded: bool,
    /// The store's era of the last page of rows.
    row_era: StoreEra,
    /// Whether the server list was read at least once.
    pub servers_loaded: bool,
    /// Load and failures of each listed server; they outlive a rebuild of the server table.
    counters: BTreeMap<ServerId, Arc<ServerCounters>>,
    /// Heads of groups that were reported as broken, with the time at which the report expires.
    broken: BTreeMap<ServerId, Tick>,
    /// The failure domains to whose servers nothing is sent.
    evacuations: EvacuationSet,
    /// How recent the configuration and the evacuated domains are known to be.
    tracker: ConfigTracker,
    /// Heads that their owners reported as serving, each with its model and the time at which the
    /// report expires.
    reported: BTreeMap<ServerId, (ModelName, Tick)>,
}

impl NodeView {
    /// An empty view.
    pub fn new(members: MemberTable, shared: Arc<RelayShared>) -> Self {
        let state = ViewState {
            config: None,
            servers: ServerList::default(),
            members,
            domains: BTreeMap::new(),
            challenges: BTreeMap::new(),
            rows_loaded: false,
            row_era: StoreEra::default(),
            servers_loaded: false,
            counters: BTreeMap::new(),
            broken: BTreeMap::new(),
            evacuations: EvacuationSet::default(),
            tracker: ConfigTracker::default(),
            reported: BTreeMap::new(),
        };
        Self {
            state: Mutex::new(state),
            shared,
            busy_owner: AtomicBool::new(false),
            outdated: Notify::new(),
            offer: ConfigOffer::default(),
            changed: Notify::new(),
            list_wanted: Notify::new(),
            challenged: Notify::new(),
            store_reads: StoreReads::default(),
            config_ages: ConfigAges::default(),
            loop_lag: LoopLag::default(),
            control_steps: StepCounter::default(),
        }
    }

    /// Runs `act` on the view while holding the lock.
    pub fn with<R>(&self, act: impl FnOnce(&mut ViewState) -> R) -> R {
        act(&mut self.state.lock())
    }

    fn now(&self) -> Tick {
        self.shared.clock.now()
    }

    /// Applies a page of the server list and rebuilds the server table. A snapshot also removes the
    /// servers that it does not contain.
    pub fn apply_servers(&self, page: WatchPage<ServerChange>) {
        let mut state = self.state.lock();
        let cold = state.cold_news(&page);
        let delta = state.servers.apply(page, self.now());
        state.servers_loaded = true;
        self.take_cold(&state, cold, "server list");
        self.apply_list_changes(&mut state, &delta);
        self.rebuild(&mut state);
        self.changed.notify_one();
    }

    /// Records that the server list has not changed up to a position.
    pub fn note_servers_read(&self, position: WatchPosition) {
        self.with(|state| state.servers.note_read(position));
        self.changed.notify_one();
    }

    /// Removes expired entries: servers kept after an outage of the store, and reports about heads.
    /// Also checks the age of the configuration.
    pub fn expire(&self) {
        let mut state = self.state.lock();
        self.check_config(&mut state);
        let now = self.now();
        let delta = state.servers.expire(now);
        state.members.expire(now);
        let known = state.broken.len() + state.reported.len();
        state.broken.retain(|_, until| *until > now);
        state.reported.retain(|_, (_, until)| *until > now);
        if !delta.removed.is_empty() || known != state.broken.len() + state.reported.len() {
            self.apply_list_changes(&mut state, &delta);
            self.rebuild(&mut state);
            self.changed.notify_one();
        }
    }

    /// Records that the store does not answer, see [`ServerList::note_outage`].
    pub fn note_outage(&self) {
        self.state.lock().servers.note_outage(self.now());
    }

    /// Applies a page of the member and owner rows. A snapshot also removes the rows that it does
    /// not contain, unless the store has come back from an older copy.
    pub fn apply_rows(&self, page: WatchPage<RowChange>) {
        let mut state = self.state.lock();
        let now = self.now();
        state.apply_row_page(page, now);
        let members = state.members.listed().count();
        self.shared.processes.store(members.max(1), Ordering::Relaxed);
        if !state.challenges.is_empty() {
            self.challenged.notify_one();
        }
        self.changed.notify_one();
    }

    /// Whether this process should detect an unresponsive store itself, by a watch that is answered
    /// at short intervals. A few such processes suffice: the others learn of a new version from
    /// peers.
    pub fn is_watcher(&self) -> bool {
        let now = self.now();
        self.with(|state| state.members.is_watcher(now))
    }

    /// Whether a stalled watch of the server list must be detected early, because other processes read
    /// the list from this one and callers already use the system.
    pub fn needs_short_server_watch(&self) -> bool {
        let now = self.now();
        self.shared.in_traffic.load(Ordering::Relaxed)
            && self.with(|state| state.members.serves_readers(now))
    }

    /// The process from which to read the server list and the rows, except those to avoid; `None` if
    /// this process should read them from the store.
    pub fn source_watcher(
        &self,
        is_avoided: &dyn Fn(&HostId) -> bool,
    ) -> Option<(HostId, SocketAddr)> {
        if self.is_busy_owner() {
            // The next step of a group waits for changes in the server list, which arrive sooner
            // from the store than through another process.
            return None;
        }
        let now = self.now();
        self.with(|state| state.members.nearest_watcher(now, is_avoided))
    }

    /// Whether a group of a domain that this process owns is being formed or released.
    pub fn is_busy_owner(&self) -> bool {
        self.busy_owner.load(Ordering::Relaxed)
    }

    /// Sets whether a group of a domain that this process owns is being formed or released.
    pub fn set_busy_owner(&self, busy: bool) {
        self.busy_owner.store(busy, Ordering::Relaxed);
    }

    /// Keeps requests away from the heads of broken groups for `BROKEN_HEAD_TTL`.
    pub fn note_broken(&self, heads: &[ServerId]) {
        let mut state = self.state.lock();
        let until = self.now() + BROKEN_HEAD_TTL;
        let mut any_new = false;
        for head in heads {
            any_new |= state.broken.insert(head.clone(), until).is_none();
        }
        if any_new {
            self.rebuild(&mut state);
        }
    }

    /// Records that a server has said to this process that it is leaving. Returns a notice for the
    /// other processes unless that was known, or the server is not listed.
    pub fn note_own_leaving(&self, server: &ServerId) -> Option<LeavingNotice> {
        let boot_id = self.with(|state| state.servers.entry(server).map(|entry| entry.boot_id))?;
        let notice = LeavingNotice { server: server.clone(), boot_id };
        self.note_leaving(&notice).then_some(notice)
    }

    /// Records that a server is leaving, so that it gets no requests and its groups are replaced.
    /// Returns whether that was not known.
    pub fn note_leaving(&self, notice: &LeavingNotice) -> bool {
        let mut state = self.state.lock();
        let is_new = state.servers.note_leaving(notice, self.now());
        if is_new {
            info!(decision = "server-leaving", server = %notice.server, "state");
            self.rebuild(&mut state);
            self.changed.notify_one();
        }
        is_new
    }

    /// Records the request loads of heads. Each of these heads counts as serving for
    /// `REPORTED_HEAD_TTL`, even if the server list does not show it as open yet.
    pub fn note_loads(&self, loads: &[HeadLoad]) {
        let mut state = self.state.lock();
        let now = self.now();
        let mut any_new = false;
        for load in loads {
            let reported = (load.model.clone(), now + REPORTED_HEAD_TTL);
            any_new |= state.reported.insert(load.head.clone(), reported).is_none();
        }
        if any_new {
            self.rebuild(&mut state);
        }
        for load in loads {
            if let Some(counters) = state.counters.get(&load.head) {
                let HeadLoad { running, waiting, slots, .. } = *load;
                counters.note_load(ServerLoad { running, waiting, slots }, now);
            }
        }
    }

    /// Records the paces of slow groups, as reports of their members name them.
    pub fn note_paces(&self, paces: &[HeadPace]) {
        if paces.is_empty() {
            return;
        }
        let now = self.now();
        let state = self.state.lock();
        for pace in paces {
            if let Some(counters) = state.counters.get(&pace.head) {
                counters.note_reported_pace(f64::from(pace.percent) / 100.0, now);
            }
        }
    }

    fn apply_list_changes(&self, state: &mut ViewState, delta: &ServerListChanges) {
        for id in &delta.removed {
            info!(decision = "server-gone", server = %id, "state");
            state.counters.remove(id);
        }
        for id in &delta.added {
            info!(decision = "server-known", server = %id, "state");
        }
    }

    /// Derives the server table from the view and hands it to the request path.
    fn rebuild(&self, state: &mut ViewState) {
        let servers = state.build_server_table();
        self.shared.servers.store(Arc::new(servers));
    }
}

impl ViewState {
    /// Whether enough is known to serve requests.
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.servers_loaded
    }

    /// The fabric domains with listed model engines.
    pub fn engine_domains(&self) -> BTreeMap<FabricDomainId, EngineDomain> {
        let mut domains: BTreeMap<FabricDomainId, EngineDomain> = BTreeMap::new();
        for entry in self.servers.entries() {
            let Some(name) = &entry.fabric_domain else { continue };
            if let Some(domain) = domains.get_mut(name) {
                domain.engines += 1;
            } else {
                let failure_domain = entry.failure_domain.clone();
                domains.insert(name.clone(), EngineDomain { engines: 1, failure_domain });
            }
        }
        domains
    }

    /// The hosts of a fabric domain, as the server list shows them, and recently delisted ones.
    pub fn hosts_of(&self, domain: &FabricDomainId, now: Tick) -> Vec<StagedHost> {
        let may_leave_unseen = self.servers.was_out_of_date(now);
        let to_host = |entry: &ServerEntry, listed: bool| StagedHost {
            host: entry.id.clone(),
            address: entry.address,
            leaving: entry.standing == ServerStanding::Leaving,
            listed,
            may_leave_unseen,
            left: self.servers.departure(&entry.id).cloned(),
        };
        let in_domain = |entry: &&ServerEntry| entry.fabric_domain.as_ref() == Some(domain);
        let listed = self.servers.entries().filter(in_domain).map(|entry| to_host(entry, true));
        let delisted = self.servers.delisted().filter(in_domain);
        listed.chain(delisted.map(|entry| to_host(entry, false))).collect()
    }

    /// The listed model engines of a fabric domain.
    pub fn engines_of(&self, domain: &FabricDomainId) -> Vec<ServerEntry> {
        let in_domain = |entry: &&ServerEntry| entry.fabric_domain.as_ref() == Some(domain);
        self.servers.entries().filter(in_domain).cloned().collect()
    }

    /// The fabric domains that one incarnation of a process owns.
    pub fn domains_of(&self, owner: &RowOwner) -> BTreeSet<FabricDomainId> {
        let owns = |row: &OwnedRow| row.row.owner.as_ref() == Some(owner);
        let owned = self.domains.iter().filter(|(_, row)| owns(row));
        owned.map(|(domain, _)| domain.clone()).collect()
    }

    /// Servers of a fabric domain that are no longer listed but possibly alive.
    pub fn delisted_in(&self, domain: &FabricDomainId) -> Vec<ServerEntry> {
        let in_domain = |entry: &&ServerEntry| entry.fabric_domain.as_ref() == Some(domain);
        self.servers.delisted().filter(in_domain).cloned().collect()
    }

    /// Number of groups of each model, serving or being formed, outside one fabric domain.
    pub fn groups_elsewhere(&self, domain: &FabricDomainId) -> BTreeMap<ModelName, u32> {
        let sizes = self.group_sizes();
        let mut groups = BTreeMap::new();
        for entry in
            self.servers.entries().filter(|entry| entry.fabric_domain.as_ref() != Some(domain))
        {
            let Some(facts) = &entry.facts else { continue };
            // A single listed member of a larger group is only prewarmed for a future group.
            let counts = facts.membership.as_ref().is_some_and(|membership| {
                let key = (membership.group.clone(), membership.epoch);
                let alone = sizes.get(&key).copied() == Some(1) && self.group_size(facts) > Some(1);
                membership.rank == 0 && membership.phase != MemberPhase::Broken && !alone
            });
            if let (true, Some(model)) = (counts, &facts.model) {
                *groups.entry(model.clone()).or_insert(0) += 1;
            }
        }
        groups
    }

    /// Number of hosts in a group of the engine's model; `None` if no configuration names the
    /// model.
    fn group_size(&self, facts: &EngineState) -> Option<usize> {
        let model = facts.model.as_ref()?;
        let mut rules = self.config.as_ref()?.engines.iter().flat_map(|engine| &engine.models);
        rules.find(|rule| rule.name == *model).map(|rule| rule.size)
    }

    /// The servers that accept requests, without those of evacuated failure domains. Of the model
    /// engines, these are the heads of serving groups.
    fn build_server_table(&mut self) -> ServerTable {
        let Some(config) = self.config.clone() else { return ServerTable::default() };
        let sizes = self.group_sizes();
        let mut services: BTreeMap<_, Vec<BackendServer>> = BTreeMap::new();
        let mut known = BTreeSet::new();
        for entry in self.servers.entries() {
            known.insert(entry.id.clone());
            if entry.standing == ServerStanding::Leaving
                || self.broken.contains_key(&entry.id)
                || self.evacuations.contains(&entry.failure_domain)
            {
                continue;
            }
            let engine = config.engines.iter().find(|engine| engine.name == entry.service);
            let model = match engine {
                None => None,
                Some(engine) => {
                    // The owner's report is newer than the server list, whose watch may be stalled.
                    let reported = self.reported.get(&entry.id).map(|(model, _)| model);
                    let Some(model) = reported.or(listed_model(entry, engine, &sizes)) else {
                        continue;
                    };
                    Some(model.clone())
                }
            };
            let counters = self.counters.entry(entry.id.clone()).or_default().clone();
            services.entry(entry.service.clone()).or_default().push(BackendServer {
                id: entry.id.clone(),
                address: entry.address,
                failure_domain: entry.failure_domain.clone(),
                model,
                counters,
            });
        }
        self.counters.retain(|id, _| known.contains(id));
        ServerTable::new(services)
    }

    /// Number of listed members by group and epoch.
    fn group_sizes(&self) -> BTreeMap<(base::GroupId, base::Epoch), usize> {
        let mut sizes = BTreeMap::new();
        for entry in self.servers.entries() {
            let membership = entry.facts.as_ref().and_then(|facts| facts.membership.as_ref());
            if let Some(membership) = membership {
                *sizes.entry((membership.group.clone(), membership.epoch)).or_insert(0) += 1;
            }
        }
        sizes
    }
}

/// The model of a group whose head is listed as open and whose members are all listed.
fn listed_model<'a>(
    entry: &'a ServerEntry,
    engine: &EngineService,
    sizes: &BTreeMap<(base::GroupId, base::Epoch), usize>,
) -> Option<&'a ModelName> {
    let facts = entry.facts.as_ref()?;
    let membership = open_head(facts.membership.as_ref())?;
    let model = facts.model.as_ref()?;
    let rule = engine.models.iter().find(|rule| rule.name == *model)?;
    let listed = sizes.get(&(membership.group.clone(), membership.epoch)).copied();
    (listed >= Some(rule.size)).then_some(model)
}

fn open_head(membership: Option<&Membership>) -> Option<&Membership> {
    membership.filter(|membership| membership.rank == 0 && membership.phase == MemberPhase::Open)
}
