//! Which processes there are, and which of them live.
//!
//! Each process counts up a number of its own and passes on the numbers it heard. A process whose
//! number stands still is taken as dead. Rows in the store only say who exists and where: they are
//! written at the start and the planned end of a process, never renewed.

use {
    crate::{
        peers::{GOSSIP_INTERVAL, HEARTBEATS_PER_MESSAGE, PeerHeartbeat},
        rows::MemberRow,
    },
    base::{HostId, Incarnation, Tick, placement_weight},
    rand::seq::SliceRandom,
    std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// A process whose number stands still for this long is taken as dead; several rounds of words.
pub const DOWN_AFTER: Duration = Duration::from_millis(1_800);

/// Up to so many processes each one watches the store for itself.
const ALL_WATCH_LIMIT: usize = 24;
/// Processes that watch the store for the others; several, so that some of them reach it and live.
const WATCHER_COUNT: usize = 6;

/// Processes that [`DEAD_AFTER`] is enough for.
const BASE_CLUSTER_SIZE: f64 = 16.0;

#[derive(Clone, Debug)]
struct MemberState {
    row: MemberRow,
    counter: u64,
    advanced_at: Tick,
    leaving: bool,
}

/// The processes of the system, as this one believes.
#[derive(Debug)]
pub struct MemberTable {
    own: HostId,
    members: BTreeMap<HostId, MemberState>,
    /// The processes by their present lives.
    by_incarnation: BTreeMap<Incarnation, HostId>,
    last_contact_at: Option<Tick>,
}

impl MemberTable {
    /// A table that knows nobody.
    pub fn new(own: HostId) -> Self {
        Self {
            own,
            members: BTreeMap::new(),
            by_incarnation: BTreeMap::new(),
            last_contact_at: None,
        }
    }

    /// Takes in the row of a process.
    pub fn insert_row(&mut self, node: HostId, row: MemberRow, now: Tick) {
        match self.members.get_mut(&node) {
            Some(state) if state.row.incarnation == row.incarnation => state.row = row,
            _ => {
                self.remove_row(&node);
                self.by_incarnation.insert(row.incarnation, node.clone());
                let state = MemberState { row, counter: 0, advanced_at: now, leaving: false };
                self.members.insert(node, state);
            }
        }
    }

    /// Takes in that the row of a process is gone.
    pub fn remove_row(&mut self, node: &HostId) {
        if let Some(state) = self.members.remove(node) {
            self.by_incarnation.remove(&state.row.incarnation);
        }
    }

    /// Processes that have rows.
    pub fn listed(&self) -> impl Iterator<Item = &HostId> {
        self.members.keys()
    }

    /// The living processes that watch the store for the others: all of a few, some of many.
    fn watchers(&self, now: Tick) -> Vec<(&HostId, &MemberRow)> {
        let mut watchers: Vec<(&HostId, &MemberRow)> = self.live_members(now).collect();
        if watchers.len() > ALL_WATCH_LIMIT {
            watchers.sort_by_key(|(node, _)| placement_weight("watcher", node));
            watchers.truncate(WATCHER_COUNT);
        }
        watchers
    }

    /// Whether this process should watch the store for the others; it does without a row.
    pub fn is_watcher(&self, now: Tick) -> bool {
        self.remote_watchers(now).is_none()
    }

    /// The watchers, if this process is none of them.
    fn remote_watchers(&self, now: Tick) -> Option<Vec<(&HostId, &MemberRow)>> {
        if !self.members.contains_key(&self.own) {
            return None;
        }
        let watchers = self.watchers(now);
        watchers.iter().all(|(node, _)| **node != self.own).then_some(watchers)
    }

    /// The watcher that this process should ask, of its own failure domain if there is one; none if
    /// it is a watcher itself.
    pub fn nearest_watcher(&self, now: Tick) -> Option<(HostId, SocketAddr)> {
        let watchers = self.remote_watchers(now)?;
        let own = &self.members.get(&self.own)?.row.failure_domain;
        let distance = |node: &HostId, row: &MemberRow| {
            (row.failure_domain != *own, placement_weight(self.own.as_str(), node))
        };
        let nearest = watchers.into_iter().min_by_key(|(node, row)| distance(node, row));
        nearest.map(|(node, row)| (node.clone(), row.peers))
    }

    /// Takes in a number that a process passed on, or its own.
    pub fn record_heartbeat(&mut self, heartbeat: &PeerHeartbeat, now: Tick) {
        let Some(node) = self.by_incarnation.get(&heartbeat.incarnation) else { return };
        let Some(state) = self.members.get_mut(node) else { return };
        state.leaving |= heartbeat.leaving;
        if heartbeat.counter > state.counter {
            state.counter = heartbeat.counter;
            state.advanced_at = now;
        }
    }

    /// Notes that any datagram of a peer came.
    pub fn record_contact(&mut self, now: Tick) {
        self.last_contact_at = Some(now);
    }

    /// Numbers of others to pass on, at most `limit`; those that moved last come first, for they are
    /// news to most.
    pub fn heartbeats_to_send(&self, limit: usize) -> Vec<PeerHeartbeat> {
        let others = self.members.iter().filter(|(node, _)| **node != self.own);
        let mut states: Vec<&MemberState> = others.map(|(_, state)| state).collect();
        // Of numbers that moved together, other ones are told each time.
        states.shuffle(&mut rand::rng());
        states.sort_by_key(|state| Reverse(state.advanced_at));
        let reported = states.into_iter().take(limit);
        reported
            .map(|state| PeerHeartbeat {
                incarnation: state.row.incarnation,
                counter: state.counter,
                leaving: state.leaving,
            })
            .collect()
    }

    /// Whether a life of a process is taken as alive. While nobody is heard, nobody is taken as
    /// dead: it is this process that is cut off.
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

    /// Whether this process has heard no peer for so long that it must be cut off itself.
    pub fn is_isolated(&self, now: Tick) -> bool {
        let others = self.members.len() > 1;
        others && self.last_contact_at.is_none_or(|at| now.since(at) >= DOWN_AFTER)
    }

    /// The living processes that do not leave, this one included if it has a row.
    pub fn live_members(&self, now: Tick) -> impl Iterator<Item = (&HostId, &MemberRow)> {
        self.members
            .iter()
            .filter(move |(node, state)| !state.leaving && self.is_alive(node, None, now))
            .map(|(node, state)| (node, &state.row))
    }

    /// Where a process's peers reach it.
    pub fn peer_address(&self, node: &HostId) -> Option<SocketAddr> {
        self.members.get(node).map(|state| state.row.peers)
    }

    /// Where all other processes' datagrams arrive.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let others = self.members.iter().filter(|(node, _)| **node != self.own);
        others.map(|(_, state)| state.row.peers).collect()
    }

    /// Each doubling of the processes takes a number one more round to get around, and numbers that
    /// do not fit into one word take turns.
    fn down_after(&self) -> Duration {
        let processes = self.members.len() as f64;
        let doublings = (processes / BASE_CLUSTER_SIZE).log2().max(0.0);
        let turns = (processes / HEARTBEATS_PER_MESSAGE as f64).max(1.0);
        (DOWN_AFTER + GOSSIP_INTERVAL.mul_f64(doublings)).mul_f64(turns)
    }
}
