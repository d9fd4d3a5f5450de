//! The processes of the system and whether they are alive.
//!
//! Each process increments a heartbeat counter and forwards the counters that it has received from
//! others. A process whose counter stops advancing is considered down. Rows in the store only
//! record which processes exist and their addresses: they are written at the start and the planned
//! stop of a process and never renewed.

use {
    crate::{
        peers::{GOSSIP_INTERVAL, HEARTBEATS_PER_MESSAGE, PeerHeartbeat},
        presence::{ContactLog, Presence, Vantage},
        rows::{MemberRow, RowOwner},
    },
    base::{FailureDomainId, HostId, Incarnation, RowVersion, Tick, placement_weight},
    rand::seq::SliceRandom,
    reach::PeerHost,
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tracing::info,
};

/// A process whose counter has not advanced for this long is considered down; several gossip
/// rounds.
pub const DOWN_AFTER: Duration = Duration::from_millis(1_800);

/// Where most processes are heard, a silent one is asked whether it runs after this share of the time after
/// which it counts as down. With the time for its answer it is then replaced about when it does.
const MISSED_SHARE: f64 = 0.7;

/// Up to this number of processes, each one watches the store itself.
const ALL_WATCH_LIMIT: usize = 24;
/// Number of processes that watch the store for the others; more than one, so that watchers remain
/// when some are down or cannot reach the store.
const WATCHER_COUNT: usize = 6;
/// Maximum number of processes that read the configuration from one process of their failure
/// domain. A version of a hundred kilobytes then leaves a link of 20 Mbit/s in a fifth of a second.
const CONFIG_FANOUT: usize = 4;

/// How long the row of a process is kept that a restored store has lost; processes write their rows
/// again within a fraction of it.
const RESTORE_GRACE: Duration = Duration::from_secs(4);
/// Number of processes up to which [`DOWN_AFTER`] needs no extension.
const BASE_CLUSTER_SIZE: f64 = 16.0;

/// What this process knows about one member.
#[derive(Clone, Debug)]
struct MemberState {
    row: MemberRow,
    /// The version of the row in the store; `None` if it is not known, as after the store came back from
    /// an older copy.
    version: Option<RowVersion>,
    /// The highest heartbeat counter received.
    counter: u64,
    /// When the counter last advanced, or when the incarnation became known.
    advanced_at: Tick,
    /// Whether the process has announced that it is about to stop.
    leaving: bool,
    /// Set while a restored store lacks the row: when the process is removed unless it writes the
    /// row again.
    kept_until: Option<Tick>,
}

/// The processes of the system, in the local view of this one.
#[derive(Debug)]
pub struct MemberTable {
    own: HostId,
    /// Whether this process is about to stop.
    own_leaving: bool,
    members: BTreeMap<HostId, MemberState>,
    /// Maps each current incarnation to its process.
    by_incarnation: BTreeMap<Incarnation, HostId>,
    /// When a gossip message last arrived from any peer.
    last_contact_at: Option<Tick>,
    /// Since when the silence of a process says something about that process.
    contact: ContactLog,
}

impl MemberTable {
    /// An empty table of the process `own`.
    pub fn new(own: HostId) -> Self {
        Self {
            own,
            own_leaving: false,
            members: BTreeMap::new(),
            by_incarnation: BTreeMap::new(),
            last_contact_at: None,
            contact: ContactLog::default(),
        }
    }

    /// Records that this process is about to stop.
    pub fn leave(&mut self) {
        self.own_leaving = true;
    }

    /// Inserts or updates the row of a process; a new incarnation starts with a fresh heartbeat
    /// state.
    pub fn insert_row(&mut self, node: HostId, row: MemberRow, now: Tick) {
        match self.members.get_mut(&node) {
            Some(state) if state.row.incarnation == row.incarnation => {
                state.row = row;
                state.version = None;
                state.kept_until = None;
            }
            _ => {
                self.remove_row(&node);
                self.by_incarnation.insert(row.incarnation, node.clone());
                let state = MemberState {
                    row,
                    version: None,
                    counter: 0,
                    advanced_at: now,
                    leaving: false,
                    kept_until: None,
                };
                self.members.insert(node, state);
            }
        }
    }

    /// Records the version of a process's row in the store.
    pub fn set_row_version(&mut self, node: &HostId, version: RowVersion) {
        if let Some(state) = self.members.get_mut(node) {
            state.version = Some(version);
        }
    }

    /// The version that the row of a process must still have: 0 if there is no row, `None` if the version
    /// is not known.
    pub fn expected_version(&self, node: &HostId) -> Option<RowVersion> {
        self.members.get(node).map_or(Some(RowVersion(0)), |state| state.version)
    }

    /// Applies the member rows of a store that came back from an older copy. Rows that it lost are
    /// kept for `RESTORE_GRACE`, in which their processes write them again; rows of processes
    /// that are not known belong to stopped ones, unless a heartbeat arrives.
    pub fn restore_rows(&mut self, rows: BTreeMap<HostId, MemberRow>, now: Tick) {
        for (node, state) in &mut self.members {
            let is_current =
                rows.get(node).is_some_and(|row| row.incarnation == state.row.incarnation);
            if !is_current {
                state.kept_until = Some(now + RESTORE_GRACE);
            }
            state.version = None;
        }
        for (node, row) in rows {
            if !self.members.contains_key(&node) {
                self.insert_row(node.clone(), row, Tick(0));
            }
        }
    }

    /// Removes the processes that did not write their lost rows again in time, and notes whether this
    /// process hears most of the others. Called several times a second.
    pub fn expire(&mut self, now: Tick) {
        self.contact.note(self.hears_majority(now), now);
        let is_expired = |state: &MemberState| state.kept_until.is_some_and(|until| until <= now);
        let expired: Vec<HostId> = self
            .members
            .iter()
            .filter(|(_, state)| is_expired(state))
            .map(|(node, _)| node.clone())
            .collect();
        for node in expired {
            info!(decision = "row-not-rewritten", node = %node, "state");
            self.remove_row(&node);
        }
    }

    /// Whether the store has the row of this process's incarnation, as far as is known.
    pub fn has_own_row(&self, incarnation: Incarnation) -> bool {
        self.members
            .get(&self.own)
            .is_some_and(|state| state.row.incarnation == incarnation && state.kept_until.is_none())
    }

    /// Removes a process whose row was deleted.
    pub fn remove_row(&mut self, node: &HostId) {
        if let Some(state) = self.members.remove(node) {
            self.by_incarnation.remove(&state.row.incarnation);
        }
    }

    /// Removes a process if its row is still that of this incarnation.
    pub fn remove_incarnation(&mut self, process: &RowOwner) {
        let is_same = |state: &MemberState| state.row.incarnation == process.incarnation;
        if self.members.get(&process.node).is_some_and(is_same) {
            self.remove_row(&process.node);
        }
    }

    /// Processes that have rows.
    pub fn listed(&self) -> impl Iterator<Item = &HostId> {
        self.members.keys()
    }

    /// The live processes that watch the store for the others: all up to [`ALL_WATCH_LIMIT`], else
    /// [`WATCHER_COUNT`] that every process selects by the same hash.
    fn watchers(&self, now: Tick) -> Vec<(&HostId, &MemberRow)> {
        let mut watchers: Vec<(&HostId, &MemberRow)> = self.live_members(now).collect();
        if watchers.len() > ALL_WATCH_LIMIT {
            watchers.sort_by_key(|(node, _)| placement_weight("watcher", node));
            watchers.truncate(WATCHER_COUNT);
        }
        watchers
    }

    /// Whether this process should watch the store itself. True as long as no process has a row.
    pub fn is_watcher(&self, now: Tick) -> bool {
        self.remote_watchers(now).is_none()
    }

    /// Whether other processes read the server list and the rows from this one.
    pub fn serves_readers(&self, now: Tick) -> bool {
        self.is_watcher(now) && self.live_members(now).nth(ALL_WATCH_LIMIT).is_some()
    }

    /// The watchers, or `None` if this process is a watcher itself.
    fn remote_watchers(&self, now: Tick) -> Option<Vec<(&HostId, &MemberRow)>> {
        let watchers = self.watchers(now);
        let is_own = |(node, _): &(&HostId, &MemberRow)| **node == self.own;
        (!watchers.is_empty() && !watchers.iter().any(is_own)).then_some(watchers)
    }

    fn own_failure_domain(&self) -> Option<&FailureDomainId> {
        self.members.get(&self.own).map(|own| &own.row.failure_domain)
    }

    /// The watcher that this process should query, preferably of its own failure domain, except
    /// those to avoid; `None` if there is none or this process is a watcher itself.
    pub fn nearest_watcher(
        &self,
        now: Tick,
        is_avoided: &dyn Fn(&HostId) -> bool,
    ) -> Option<(HostId, SocketAddr)> {
        let watchers = self.remote_watchers(now)?;
        let own = self.own_failure_domain();
        let distance = |node: &HostId, row: &MemberRow| {
            (Some(&row.failure_domain) != own, placement_weight(self.own.as_str(), node))
        };
        let usable = watchers.into_iter().filter(|(node, _)| !is_avoided(node));
        let nearest = usable.min_by_key(|(node, row)| distance(node, row));
        nearest.map(|(node, row)| (node.clone(), row.peers))
    }

    /// The process that this process should query for the configuration; `None` if this process is a
    /// watcher or all sources are to be avoided. The processes of a failure domain form a tree below
    /// the watchers, in an order that all of them compute alike, so that none is queried by more than
    /// `CONFIG_FANOUT` others.
    pub fn config_source(
        &self,
        now: Tick,
        is_avoided: &dyn Fn(&HostId) -> bool,
    ) -> Option<(HostId, SocketAddr)> {
        let watchers = self.remote_watchers(now)?;
        let own = self.own_failure_domain();
        let is_watcher = |node: &HostId| watchers.iter().any(|(watcher, _)| *watcher == node);
        let mut readers: Vec<(&HostId, &MemberRow)> = self
            .live_members(now)
            .filter(|(node, row)| Some(&row.failure_domain) == own && !is_watcher(node))
            .collect();
        readers.sort_by_key(|(node, _)| placement_weight("config", node));
        let rank = readers.iter().position(|(node, _)| **node == self.own);
        let parent = rank.and_then(|rank| (rank / CONFIG_FANOUT).checked_sub(1));
        match parent.and_then(|parent| readers.get(parent)) {
            Some((node, row)) if !is_avoided(node) => Some(((*node).clone(), row.peers)),
            _ => self.nearest_watcher(now, is_avoided),
        }
    }

    /// Records a heartbeat counter received from a peer, either the peer's own or one that it
    /// forwards.
    pub fn record_heartbeat(&mut self, heartbeat: &PeerHeartbeat, now: Tick) {
        let Some(node) = self.by_incarnation.get(&heartbeat.incarnation) else { return };
        let Some(state) = self.members.get_mut(node) else { return };
        state.leaving |= heartbeat.leaving;
        if heartbeat.counter > state.counter {
            state.counter = heartbeat.counter;
            state.advanced_at = now;
        }
    }

    /// Records that a gossip message arrived from some peer.
    pub fn record_contact(&mut self, now: Tick) {
        self.last_contact_at = Some(now);
    }

    /// Heartbeat counters of other processes to forward, at most `limit`. The most recently
    /// advanced ones come first because they are new to most peers.
    pub fn heartbeats_to_send(&self, limit: usize) -> Vec<PeerHeartbeat> {
        let others = self.members.iter().filter(|(node, _)| **node != self.own);
        let mut states: Vec<&MemberState> = others.map(|(_, state)| state).collect();
        // Counters that advanced at the same time are picked at random, so that each gets its turn.
        states.shuffle(&mut rand::rng());
        states.sort_by_key(|state| Reverse(state.advanced_at));
        let selected = states.into_iter().take(limit);
        selected
            .map(|state| PeerHeartbeat {
                incarnation: state.row.incarnation,
                counter: state.counter,
                leaving: state.leaving,
            })
            .collect()
    }

    /// Whether this incarnation of a process (any, if `None`) is considered alive. While no gossip
    /// arrives at all, this process assumes that it is isolated itself and considers nobody down.
    pub fn is_alive(&self, node: &HostId, incarnation: Option<Incarnation>, now: Tick) -> bool {
        if *node == self.own {
            return self.members.get(node).is_none_or(|state| {
                incarnation.is_none_or(|incarnation| incarnation == state.row.incarnation)
            });
        }
        let Some(state) = self.members.get(node) else { return false };
        if incarnation.is_some_and(|incarnation| incarnation != state.row.incarnation) {
            return false;
        }
        self.is_isolated(now) || now.since(state.advanced_at) < self.down_after()
    }

    /// Whether the process that a row of the store names still runs, as far as this one can tell.
    pub fn presence(&self, process: &RowOwner, now: Tick) -> Presence {
        let RowOwner { node, incarnation } = process;
        let state = self.members.get(node).filter(|state| state.row.incarnation == *incarnation);
        let Some(state) = state else { return Presence::Gone };
        if *node == self.own {
            return Presence::Running;
        }
        if self.contact.may_stand_still(now) {
            return Presence::Running;
        }
        let silent_since = state.advanced_at.max(self.contact.attentive_since());
        let missed_since = self.contact.majority_since().map(|since| silent_since.max(since));
        if missed_since.is_some_and(|since| now.since(since) >= self.missed_after()) {
            Presence::Silent(Vantage::Majority)
        } else if now.since(silent_since) >= self.down_after() {
            Presence::Silent(Vantage::Minority)
        } else {
            Presence::Running
        }
    }

    /// Whether more than half of the processes with rows, this one included, were heard so recently that
    /// they can't have fallen silent together with one that is missed.
    fn hears_majority(&self, now: Tick) -> bool {
        let recent = self.missed_after() / 2;
        let is_heard = |node: &HostId, state: &MemberState| {
            *node == self.own || now.since(state.advanced_at) < recent
        };
        let heard = self.members.iter().filter(|(node, state)| is_heard(node, state));
        heard.count() * 2 > self.members.len()
    }

    /// The processes that were heard recently and are not leaving; includes this one if it has a row.
    /// Unlike [`Self::live_members`] without the others while this process hears none.
    pub fn heard_members(&self, now: Tick) -> impl Iterator<Item = (&HostId, &MemberRow)> {
        let down_after = self.down_after();
        let is_usable = move |node: &HostId, state: &MemberState| {
            let is_heard = *node == self.own || now.since(state.advanced_at) < down_after;
            is_heard && !self.is_leaving(node, state)
        };
        let heard = self.members.iter().filter(move |(node, state)| is_usable(node, state));
        heard.map(|(node, state)| (node, &state.row))
    }

    /// Whether no gossip message has arrived for [`DOWN_AFTER`] although other processes are
    /// listed; then this process is the one that is isolated.
    pub fn is_isolated(&self, now: Tick) -> bool {
        let others = self.members.len() > 1;
        others && self.last_contact_at.is_none_or(|at| now.since(at) >= DOWN_AFTER)
    }

    /// The live processes that are not leaving; includes this one if it has a row.
    pub fn live_members(&self, now: Tick) -> impl Iterator<Item = (&HostId, &MemberRow)> {
        self.members
            .iter()
            .filter(move |(node, state)| {
                !self.is_leaving(node, state) && self.is_alive(node, None, now)
            })
            .map(|(node, state)| (node, &state.row))
    }

    /// The processes that callers can use, as far as is known. While no gossip arrives, all others are
    /// down if the platform answers this process (`has_platform`); else it is cut off itself, and names
    /// all of them. One that was never heard counts for [`DOWN_AFTER`] only: its row may be older than
    /// its end.
    pub fn callable_members(
        &self,
        now: Tick,
        has_platform: bool,
    ) -> impl Iterator<Item = (&HostId, &MemberRow)> {
        let names_all = self.is_isolated(now) && !has_platform;
        let is_heard = move |state: &MemberState| {
            let span = if state.counter == 0 { DOWN_AFTER } else { self.down_after() };
            now.since(state.advanced_at) < span
        };
        let is_callable = move |node: &HostId, state: &MemberState| {
            !self.is_leaving(node, state) && (names_all || *node == self.own || is_heard(state))
        };
        let members = self.members.iter().filter(move |(node, state)| is_callable(node, state));
        members.map(|(node, state)| (node, &state.row))
    }

    fn is_leaving(&self, node: &HostId, state: &MemberState) -> bool {
        state.leaving || (self.own_leaving && *node == self.own)
    }

    /// Whether a process with a row has this address.
    pub fn has_address(&self, ip: IpAddr) -> bool {
        self.members.values().any(|state| state.row.peers.ip() == ip)
    }

    /// The live processes other than this one, as peers for forwards.
    pub fn forward_peers(&self, now: Tick) -> Vec<PeerHost> {
        let own = self.own_failure_domain();
        let others = self.live_members(now).filter(|(node, _)| **node != self.own);
        others
            .map(|(node, row)| PeerHost {
                node: node.clone(),
                address: row.peers,
                is_near: Some(&row.failure_domain) == own,
            })
            .collect()
    }

    /// The address for datagrams and connections between processes.
    pub fn peer_address(&self, node: &HostId) -> Option<SocketAddr> {
        self.members.get(node).map(|state| state.row.peers)
    }

    /// The gossip addresses of all other processes.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let others = self.members.iter().filter(|(node, _)| **node != self.own);
        others.map(|(_, state)| state.row.peers).collect()
    }

    /// Time without a sign of life after which a process is missed where most others are heard.
    fn missed_after(&self) -> Duration {
        self.down_after().mul_f64(MISSED_SHARE)
    }

    /// Each doubling of the number of processes delays a counter by one more gossip round, and
    /// counters that do not fit into one message take turns.
    fn down_after(&self) -> Duration {
        let processes = self.members.len() as f64;
        let doublings = (processes / BASE_CLUSTER_SIZE).log2().max(0.0);
        let turns = (processes / HEARTBEATS_PER_MESSAGE as f64).max(1.0);
        (DOWN_AFTER + GOSSIP_INTERVAL.mul_f64(doublings)).mul_f64(turns)
    }
}
