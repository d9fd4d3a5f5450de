//! What this process believes, and the table of servers that follows from it.

use {
    crate::{
        members::MemberTable,
        owners::OwnedRow,
        peers::HeadLoad,
        ports::{
            ConfigUpdate, EngineService, RowChange, ServerChange, ServerEntry, ServerStanding,
            WatchPage,
        },
        rows::{MemberRow, OwnerRow, RowName, RowOwner, read_value},
        server_list::{ServerList, ServerListChanges},
    },
    base::{FabricDomainId, HostId, ModelName, Tick},
    parking_lot::Mutex,
    plan::staged::{EngineFacts, MemberPhase, Membership},
    relay::{BackendServer, LoadWord, RelayShared, ServerCounters, ServerId, ServerTable},
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

/// How long the word that a group is broken keeps requests from its head; by then the host list
/// shows it.
const BROKEN_HEAD_TTL: Duration = Duration::from_millis(2_000);

/// How long a head is believed to serve after its owner's last word, where the host list does not
/// show it; a few intervals between words.
const REPORTED_HEAD_TTL: Duration = Duration::from_millis(1_500);

/// A peer may have a configuration newer for this long before the watch is taken as standing still;
/// above the time that the store needs to answer all watches, under a change's time to be in force.
const OUTDATED_TOLERANCE: Duration = Duration::from_millis(500);

/// The beliefs, behind one lock that is held for short steps only.
pub struct NodeView {
    state: Mutex<ViewState>,
    shared: Arc<RelayShared>,
    busy_owner: AtomicBool,
    /// Rings when a peer has a newer configuration.
    pub outdated: Notify,
    /// Rings when something changed that an owner should look at.
    pub changed: Notify,
}

/// The beliefs.
pub struct ViewState {
    /// The newest configuration.
    pub config: Option<Arc<ConfigUpdate>>,
    /// The server list.
    pub servers: ServerList,
    /// The processes.
    pub members: MemberTable,
    /// The rows of the fabric domains.
    pub domains: BTreeMap<FabricDomainId, OwnedRow>,
    /// Whether our own rows were read once.
    pub rows_loaded: bool,
    /// Whether the server list was read once.
    pub servers_loaded: bool,
    counters: BTreeMap<ServerId, Arc<ServerCounters>>,
    broken: BTreeMap<ServerId, Tick>,
    /// Since when a peer has had a newer configuration.
    outdated_since: Option<Tick>,
    /// Heads that their owners have told of, with the model and the end of that belief.
    reported: BTreeMap<ServerId, (ModelName, Tick)>,
}

impl NodeView {
    /// A view that knows nothing.
    pub fn new(members: MemberTable, shared: Arc<RelayShared>) -> Self {
        let state = ViewState {
            config: None,
            servers: ServerList::default(),
            members,
            domains: BTreeMap::new(),
            rows_loaded: false,
            servers_loaded: false,
            counters: BTreeMap::new(),
            broken: BTreeMap::new(),
            outdated_since: None,
            reported: BTreeMap::new(),
        };
        Self {
            state: Mutex::new(state),
            shared,
            busy_owner: AtomicBool::new(false),
            outdated: Notify::new(),
            changed: Notify::new(),
        }
    }

    /// Does something with the beliefs.
    pub fn with<R>(&self, act: impl FnOnce(&mut ViewState) -> R) -> R {
        act(&mut self.state.lock())
    }

    fn now(&self) -> Tick {
        self.shared.clock.now()
    }

    /// Takes a configuration in; a lower or equal version changes nothing.
    pub fn apply_config(&self, update: ConfigUpdate) {
        let mut state = self.state.lock();
        let known = state.config.as_ref().map(|config| config.relay.version);
        if known.is_some_and(|known| known >= update.relay.version) {
            return;
        }
        info!(
            decision = "config-taken",
            version = update.relay.version,
            before = known,
            routes = update.relay.route_count(),
            "state"
        );
        self.shared.config.store(Some(Arc::new(update.relay.clone())));
        state.config = Some(Arc::new(update));
        self.rebuild(&mut state);
        self.changed.notify_one();
    }

    /// Takes changes of the server list in.
    pub fn apply_servers(&self, page: WatchPage<ServerChange>) {
        let mut state = self.state.lock();
        let delta = state.servers.apply(page, self.now());
        state.servers_loaded = true;
        self.apply_list_changes(&mut state, &delta);
        self.rebuild(&mut state);
        self.changed.notify_one();
    }

    /// Ends beliefs that have a time.
    pub fn expire(&self) {
        let mut state = self.state.lock();
        let now = self.now();
        let delta = state.servers.expire(now);
        let known = state.broken.len() + state.reported.len();
        state.broken.retain(|_, until| *until > now);
        state.reported.retain(|_, (_, until)| *until > now);
        if !delta.removed.is_empty() || known != state.broken.len() + state.reported.len() {
            self.apply_list_changes(&mut state, &delta);
            self.rebuild(&mut state);
            self.changed.notify_one();
        }
    }

    /// Notes that the store does not answer.
    pub fn note_outage(&self) {
        self.state.lock().servers.note_outage(self.now());
    }

    /// Takes changes of our own rows in.
    pub fn apply_rows(&self, page: WatchPage<RowChange>) {
        let mut state = self.state.lock();
        let now = self.now();
        if page.whole {
            state.remove_missing_rows(&page.changes);
        }
        for change in page.changes {
            state.apply_row(change, now);
        }
        state.rows_loaded = true;
        let members = state.members.listed().count();
        self.shared.processes.store(members.max(1), Ordering::Relaxed);
        self.changed.notify_one();
    }

    /// The version of the newest configuration; 0 before one is known.
    pub fn config_version(&self) -> u64 {
        self.shared.config.load().as_ref().map_or(0, |config| config.version)
    }

    /// Takes in the version that a peer has. A higher one than ours means that our watch missed it.
    pub fn note_peer_version(&self, version: u64) {
        if version <= self.config_version() {
            self.with(|state| state.outdated_since = None);
            return;
        }
        let now = self.now();
        let since = self.with(|state| *state.outdated_since.get_or_insert(now));
        if now.since(since) >= OUTDATED_TOLERANCE {
            self.with(|state| state.outdated_since = None);
            self.outdated.notify_one();
        }
    }

    /// Whether this process should look for a silent store itself, by a watch that is answered at
    /// short intervals. A few processes are enough: the others hear of a new version from peers.
    pub fn is_watcher(&self) -> bool {
        let now = self.now();
        self.with(|state| state.members.is_watcher(now))
    }

    /// The process to read the server list and our rows from; none if this one should read them in
    /// the store.
    pub fn source_watcher(&self) -> Option<(HostId, SocketAddr)> {
        if self.is_busy_owner() {
            // What engines show is waited for here.
            return None;
        }
        let now = self.now();
        self.with(|state| state.members.nearest_watcher(now))
    }

    /// Whether a group comes about or ends in a fabric domain of this process.
    pub fn is_busy_owner(&self) -> bool {
        self.busy_owner.load(Ordering::Relaxed)
    }

    /// Notes whether a group comes about or ends in a fabric domain of this process.
    pub fn set_busy_owner(&self, busy: bool) {
        self.busy_owner.store(busy, Ordering::Relaxed);
    }

    /// Keeps requests from heads of groups that are known to be broken.
    pub fn note_broken(&self, heads: &[ServerId]) {
        let mut state = self.state.lock();
        let until = self.now() + BROKEN_HEAD_TTL;
        let mut fresh = false;
        for head in heads {
            fresh |= state.broken.insert(head.clone(), until).is_none();
        }
        if fresh {
            self.rebuild(&mut state);
        }
    }

    /// Takes in the load of heads.
    pub fn note_loads(&self, loads: &[HeadLoad]) {
        let mut state = self.state.lock();
        let now = self.now();
        let mut fresh = false;
        for load in loads {
            let reported = (load.model.clone(), now + REPORTED_HEAD_TTL);
            fresh |= state.reported.insert(load.head.clone(), reported).is_none();
        }
        if fresh {
            self.rebuild(&mut state);
        }
        for load in loads {
            if let Some(counters) = state.counters.get(&load.head) {
                let HeadLoad { running, waiting, slots, .. } = *load;
                counters.note_load(LoadWord { running, waiting, slots }, now);
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

    fn rebuild(&self, state: &mut ViewState) {
        let servers = state.build_server_table();
        self.shared.servers.store(Arc::new(servers));
    }
}

impl ViewState {
    /// Whether enough is known to serve callers.
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.servers_loaded
    }

    /// Model engines by fabric domain.
    pub fn engine_domains(&self) -> BTreeMap<FabricDomainId, Vec<ServerEntry>> {
        let mut domains: BTreeMap<FabricDomainId, Vec<ServerEntry>> = BTreeMap::new();
        for entry in self.servers.entries() {
            if let Some(domain) = &entry.fabric_domain {
                domains.entry(domain.clone()).or_default().push(entry.clone());
            }
        }
        domains
    }

    /// The fabric domains that one life of a process owns.
    pub fn domains_of(&self, owner: &RowOwner) -> BTreeSet<FabricDomainId> {
        let owns = |row: &OwnedRow| row.row.owner.as_ref() == Some(owner);
        let owned = self.domains.iter().filter(|(_, row)| owns(row));
        owned.map(|(domain, _)| domain.clone()).collect()
    }

    /// Entries of a fabric domain that are no longer listed.
    pub fn delisted_in(&self, domain: &FabricDomainId) -> Vec<ServerEntry> {
        let here = |entry: &&ServerEntry| entry.fabric_domain.as_ref() == Some(domain);
        self.servers.delisted().filter(here).cloned().collect()
    }

    /// Groups of each model that serve or come about outside one fabric domain.
    pub fn groups_elsewhere(&self, domain: &FabricDomainId) -> BTreeMap<ModelName, u32> {
        let sizes = self.group_sizes();
        let mut groups = BTreeMap::new();
        for entry in
            self.servers.entries().filter(|entry| entry.fabric_domain.as_ref() != Some(domain))
        {
            let Some(facts) = &entry.facts else { continue };
            // A member alone only gets ready for a group to come.
            let heads = facts.membership.as_ref().is_some_and(|membership| {
                let key = (membership.group.clone(), membership.epoch);
                let alone = sizes.get(&key).copied() == Some(1) && self.group_size(facts) > Some(1);
                membership.rank == 0 && membership.phase != MemberPhase::Broken && !alone
            });
            if let (true, Some(model)) = (heads, &facts.model) {
                *groups.entry(model.clone()).or_insert(0) += 1;
            }
        }
        groups
    }

    /// Hosts of a group of the model that an engine serves; none if no configuration names it.
    fn group_size(&self, facts: &EngineFacts) -> Option<usize> {
        let model = facts.model.as_ref()?;
        let mut rules = self.config.as_ref()?.engines.iter().flat_map(|engine| &engine.models);
        rules.find(|rule| rule.name == *model).map(|rule| rule.size)
    }

    fn remove_missing_rows(&mut self, changes: &[RowChange]) {
        let key = |change: &RowChange| match change {
            RowChange::Written(row) => RowName::parse(&row.key),
            RowChange::Deleted(_) => None,
        };
        let names: Vec<RowName> = changes.iter().filter_map(key).collect();
        let members: Vec<_> = self.members.listed().cloned().collect();
        for node in members {
            if !names.contains(&RowName::Member(node.clone())) {
                self.members.remove_row(&node);
            }
        }
        self.domains.retain(|domain, _| names.contains(&RowName::Domain(domain.clone())));
    }

    fn apply_row(&mut self, change: RowChange, now: Tick) {
        match change {
            RowChange::Written(row) => match RowName::parse(&row.key) {
                Some(RowName::Member(node)) => {
                    if let Some(value) = read_value::<MemberRow>(&row.key, &row.value) {
                        self.members.insert_row(node, value, now);
                    }
                }
                Some(RowName::Domain(domain)) => {
                    if let Some(value) = read_value::<OwnerRow>(&row.key, &row.value) {
                        self.set_owner(domain, OwnedRow { row: value, version: row.version });
                    }
                }
                None => {}
            },
            RowChange::Deleted(key) => match RowName::parse(&key) {
                Some(RowName::Member(node)) => self.members.remove_row(&node),
                Some(RowName::Domain(domain)) => {
                    self.domains.remove(&domain);
                }
                None => {}
            },
        }
    }

    /// Takes in who owns a fabric domain; an older row changes nothing.
    pub fn set_owner(&mut self, domain: FabricDomainId, row: OwnedRow) {
        let newer = self.domains.get(&domain).is_none_or(|known| known.version < row.version);
        if newer {
            info!(decision = "owner-known", domain = %domain, term = row.row.term.0,
                owner = row.row.owner.as_ref().map(|owner| owner.node.as_str()), "state");
            self.domains.insert(domain, row);
        }
    }

    fn build_server_table(&mut self) -> ServerTable {
        let Some(config) = self.config.clone() else { return ServerTable::default() };
        let sizes = self.group_sizes();
        let mut services: BTreeMap<_, Vec<BackendServer>> = BTreeMap::new();
        let mut known = BTreeSet::new();
        for entry in self.servers.entries() {
            known.insert(entry.id.clone());
            if entry.standing == ServerStanding::Leaving || self.broken.contains_key(&entry.id) {
                continue;
            }
            let engine = config.engines.iter().find(|engine| engine.name == entry.service);
            let model = match engine {
                None => None,
                Some(engine) => {
                    // The owner's word is newer than the list, which may stand still.
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

    /// Listed members of each composition.
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

/// The model of a whole group whose head the list shows open.
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
