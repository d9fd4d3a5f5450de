//! This node's copy of the durable state, and its evidence that the copy is the newest.

use {
    crate::{
        groups::port::{DomainAuthority, OwnedDomain},
        net::records::GroupRecords,
        state::held_head::held_head,
    },
    arc_swap::ArcSwap,
    base::{
        FabricDomainId, HeadNumber, HostId, Incarnation, MemberId, SharedClock, Term, Tick,
        TicketNumber,
    },
    freshness::{Evidence, ForceOutlook, FreshTiming, HeadTracker, PeerReport},
    infra::HostEntry,
    parking_lot::Mutex,
    peer::{ClusterState, DomainRecord, Head},
    std::{
        collections::VecDeque,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, watch},
};

/// Maximum number of held heads that are kept for [`NodeCore::head_of_ticket`].
const MAX_HEAD_LOG_ENTRIES: usize = 1_024;

/// Time limits that authority over fabric domains depends on; the same on every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeTiming {
    /// Time limits of the freshness rule.
    pub fresh: FreshTiming,
    /// Maximum time from when an order is sent until it has reached the engine or is lost.
    pub order_flight: Duration,
}

impl From<&conf::settings::FreshnessSettings> for NodeTiming {
    fn from(settings: &conf::settings::FreshnessSettings) -> Self {
        Self {
            fresh: FreshTiming {
                window: Duration::from_millis(settings.window_ms),
                margin: Duration::from_millis(settings.margin_ms),
            },
            order_flight: Duration::from_millis(settings.order_flight_ms),
        }
    }
}

struct NodeEvidence {
    tracker: HeadTracker,
    /// The newest head that this node knows to exist, whether or not it holds that head's state.
    known: HeadNumber,
    /// The heads that this node has held most recently, oldest first.
    heads: VecDeque<Head>,
}

/// The node's copy of the durable state, its evidence, the host list and the records of fabric
/// domains. All tasks of the process share one instance.
///
/// Locks are held only for short computations, never across an `await`.
pub struct NodeCore {
    clock: SharedClock,
    timing: NodeTiming,
    evidence: Mutex<NodeEvidence>,
    state: ArcSwap<ClusterState>,
    hosts: ArcSwap<Vec<HostEntry>>,
    hosts_number: AtomicU64,
    records: GroupRecords,
    /// Number of the held head.
    held: watch::Sender<HeadNumber>,
    /// Notified when the node learns of a head newer than all it knew.
    newer_head: Notify,
}

impl NodeCore {
    /// Creates a node with an empty state and no evidence, which is not a member yet.
    pub fn new(host: HostId, clock: SharedClock, timing: NodeTiming) -> Self {
        let me = MemberId { host, incarnation: Incarnation(0) };
        let evidence = NodeEvidence {
            tracker: HeadTracker::new(me, timing.fresh),
            known: HeadNumber::default(),
            heads: VecDeque::new(),
        };
        Self {
            clock,
            timing,
            evidence: Mutex::new(evidence),
            state: ArcSwap::default(),
            hosts: ArcSwap::default(),
            hosts_number: AtomicU64::new(0),
            records: GroupRecords::default(),
            held: watch::Sender::new(HeadNumber::default()),
            newer_head: Notify::new(),
        }
    }

    /// The current tick of the node's own clock.
    pub fn now(&self) -> Tick {
        self.clock.now()
    }

    /// The clock that all ticks of the evidence come from.
    pub fn clock(&self) -> &SharedClock {
        &self.clock
    }

    /// The time limits that this node was created with.
    pub fn timing(&self) -> &NodeTiming {
        &self.timing
    }

    /// Id of this node as a member; its incarnation is 0 unless the node has joined.
    pub fn me(&self) -> MemberId {
        self.evidence.lock().tracker.me().clone()
    }

    /// Whether this node's current incarnation is in the view that it holds.
    pub fn is_member(&self) -> bool {
        let me = self.me();
        self.state.load().view.position(&me).is_some()
    }

    /// Starts a new incarnation as `me` and drops all evidence. The held state stays.
    pub fn become_member(&self, me: MemberId) {
        let now = self.now();
        let state = self.state.load_full();
        let mut evidence = self.evidence.lock();
        evidence.tracker = HeadTracker::new(me, self.timing.fresh);
        evidence.tracker.hold(now, held_head(&state));
    }

    /// Stops sending reports as the current incarnation. Called before the node asks to join again:
    /// once it joins, other nodes consider the old incarnation ended and no longer wait for its
    /// acknowledgements, so it must never report again.
    pub fn resign(&self) {
        let me = self.me();
        if me.incarnation != Incarnation(0) {
            self.become_member(MemberId { incarnation: Incarnation(0), ..me });
        }
    }

    /// Replaces the held state if the given one is newer. Returns whether it did.
    pub fn hold(&self, state: Arc<ClusterState>) -> bool {
        let now = self.now();
        let head = state.head;
        let mut evidence = self.evidence.lock();
        if !evidence.tracker.hold(now, held_head(&state)) {
            return false;
        }
        evidence.known = evidence.known.max(head.number);
        evidence.heads.push_back(head);
        if evidence.heads.len() > MAX_HEAD_LOG_ENTRIES {
            evidence.heads.pop_front();
        }
        self.state.store(state);
        drop(evidence);
        self.held.send_replace(head.number);
        true
    }

    /// Records this node's own read of the head row, which was sent at `sent`.
    pub fn record_read(&self, sent: Tick, head: HeadNumber) {
        let now = self.now();
        self.evidence.lock().tracker.record_read(sent, now, head);
        self.learn(head);
    }

    /// Applies a peer's report, which answers a request sent at `sent`.
    pub fn apply_report(&self, sent: Tick, report: &PeerReport) {
        let now = self.now();
        self.evidence.lock().tracker.apply_report(sent, now, report);
        self.learn(report.head);
    }

    /// Records that a member holds this head or a newer one.
    pub fn record_acknowledgement(&self, member: &MemberId, head: HeadNumber) {
        let now = self.now();
        self.evidence.lock().tracker.record_acknowledgement(now, member, head);
        self.learn(head);
    }

    /// Records that a head exists. If it is newer than all known ones, wakes the task that waits in
    /// [`NodeCore::wait_for_newer_head`].
    pub fn learn(&self, head: HeadNumber) {
        let mut evidence = self.evidence.lock();
        if head > evidence.known {
            evidence.known = head;
            self.newer_head.notify_one();
        }
    }

    /// The newest head that this node knows to exist; may be newer than the held one.
    pub fn known(&self) -> HeadNumber {
        self.evidence.lock().known
    }

    /// Waits until the node learns of a newer head. Returns at once if it did so since the last wait.
    pub async fn wait_for_newer_head(&self) {
        self.newer_head.notified().await;
    }

    /// A receiver that changes with each newer head that the node holds.
    pub fn watch_held(&self) -> watch::Receiver<HeadNumber> {
        self.held.subscribe()
    }

    /// Calls `read` with the evidence, under the lock.
    pub fn with_tracker<T>(&self, read: impl FnOnce(&HeadTracker) -> T) -> T {
        read(&self.evidence.lock().tracker)
    }

    /// The evidence on which the node may act now; `None` when it is isolated.
    pub fn current(&self) -> Option<Evidence> {
        let now = self.now();
        self.evidence.lock().tracker.current(now)
    }

    /// The report with which this node answers a peer.
    pub fn own_report(&self) -> PeerReport {
        let now = self.now();
        let mut evidence = self.evidence.lock();
        evidence.tracker.settle(now);
        evidence.tracker.own_report(now)
    }

    /// Whether a head is in force, or when it will be, as far as this node knows.
    pub fn outlook(&self, head: HeadNumber) -> ForceOutlook {
        let now = self.now();
        let mut evidence = self.evidence.lock();
        evidence.tracker.settle(now);
        evidence.tracker.outlook(now, head)
    }

    /// The newest head that this node has found in force.
    pub fn in_force(&self) -> HeadNumber {
        let now = self.now();
        self.evidence.lock().tracker.settle(now)
    }

    /// The first head held by this node whose state includes a ticket; if older heads are no longer
    /// kept, a later one. `None` if this node has not held such a head.
    pub fn head_of_ticket(&self, ticket: TicketNumber) -> Option<HeadNumber> {
        let evidence = self.evidence.lock();
        evidence.heads.iter().find(|head| head.ticket >= ticket).map(|head| head.number)
    }

    /// Replaces the host list, and increases its number if the list changed.
    pub fn apply_hosts(&self, hosts: Vec<HostEntry>) {
        if **self.hosts.load() != hosts {
            self.hosts.store(Arc::new(hosts));
            self.hosts_number.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Number of changes of the host list that this node has seen; 0 before the first.
    pub fn hosts_number(&self) -> u64 {
        self.hosts_number.load(Ordering::SeqCst)
    }

    /// The newest known records of all fabric domains, from this and other owners.
    pub fn records(&self) -> &GroupRecords {
        &self.records
    }

    /// Whether the head `since`, which introduced a term, has been in force for the flight limit of
    /// orders. From then on no order of an earlier term can reach an engine.
    fn is_settled(&self, evidence: &mut NodeEvidence, since: HeadNumber, now: Tick) -> bool {
        evidence.tracker.settle(now);
        let in_force = evidence.tracker.in_force_since(since);
        in_force.is_some_and(|tick| now >= tick + self.timing.order_flight)
    }
}

impl DomainAuthority for NodeCore {
    fn owned(&self) -> Vec<OwnedDomain> {
        let now = self.now();
        let mut evidence = self.evidence.lock();
        let state = self.state.load_full();
        let me = evidence.tracker.me().clone();
        let owned = state.owners.iter().filter(|row| row.owner == me);
        owned
            .map(|row| OwnedDomain {
                domain: row.domain.clone(),
                term: row.term,
                settled: self.is_settled(&mut evidence, row.since, now),
            })
            .collect()
    }

    fn may_order(&self, domain: &FabricDomainId, term: Term) -> bool {
        let now = self.now();
        let mut evidence = self.evidence.lock();
        let state = self.state.load();
        let Ok(index) = state.owners.binary_search_by(|row| row.domain.cmp(domain)) else {
            return false;
        };
        let row = &state.owners[index];
        row.term == term
            && row.owner == *evidence.tracker.me()
            && evidence.tracker.current(now).is_some()
            && self.is_settled(&mut evidence, row.since, now)
    }

    fn state(&self) -> Arc<ClusterState> {
        self.state.load_full()
    }

    fn hosts(&self) -> Arc<Vec<HostEntry>> {
        self.hosts.load_full()
    }

    fn record(&self, domain: &FabricDomainId) -> Option<DomainRecord> {
        self.records.get(domain)
    }

    fn publish(&self, record: DomainRecord) {
        self.records.apply(record);
    }
}
