//! This node's copy of the durable state and its evidence for it.

use {
    crate::{
        groups::port::{DomainAuthority, OwnedDomain},
        net::records::GroupRecords,
        state::held::held_head,
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

/// Heads that are kept to find the one with which a ticket came.
const MAX_HEAD_LOG: usize = 1_024;

/// The spans of time that authority over domains rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeTiming {
    /// The timing of the head rule.
    pub fresh: FreshTiming,
    /// Longest time an order to an engine may be in flight.
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
    /// The newest head this node has heard of, whether or not it holds its state.
    known: HeadNumber,
    heads: VecDeque<Head>,
}

/// Everything a node knows of the deployment; shared by all its parts.
///
/// Locks inside are held for short computations only.
pub struct NodeCore {
    clock: SharedClock,
    timing: NodeTiming,
    evidence: Mutex<NodeEvidence>,
    state: ArcSwap<ClusterState>,
    hosts: ArcSwap<Vec<HostEntry>>,
    hosts_number: AtomicU64,
    records: GroupRecords,
    held: watch::Sender<HeadNumber>,
    behind: Notify,
}

impl NodeCore {
    /// A node that knows nothing and is no member yet.
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
            behind: Notify::new(),
        }
    }

    /// The present point on the node's clock.
    pub fn now(&self) -> Tick {
        self.clock.now()
    }

    /// The node's clock.
    pub fn clock(&self) -> &SharedClock {
        &self.clock
    }

    /// The spans of time of the deployment.
    pub fn timing(&self) -> &NodeTiming {
        &self.timing
    }

    /// Which member this node is; incarnation 0 until it joins.
    pub fn me(&self) -> MemberId {
        self.evidence.lock().tracker.me().clone()
    }

    /// Whether this node's row is in the view it holds.
    pub fn is_member(&self) -> bool {
        let me = self.me();
        self.state.load().view.position(&me).is_some()
    }

    /// Starts a new life as `me`; all evidence is dropped.
    pub fn become_member(&self, me: MemberId) {
        let now = self.now();
        let state = self.state.load_full();
        let mut evidence = self.evidence.lock();
        evidence.tracker = HeadTracker::new(me, self.timing.fresh);
        evidence.tracker.hold(now, held_head(&state));
    }

    /// Stops speaking as the present member: who asks for a new place never speaks from the old one
    /// again, for others count it as ended.
    pub fn resign(&self) {
        let me = self.me();
        if me.incarnation != Incarnation(0) {
            self.become_member(MemberId { incarnation: Incarnation(0), ..me });
        }
    }

    /// Takes a state over if it is newer than the one held.
    pub fn hold(&self, state: Arc<ClusterState>) -> bool {
        let now = self.now();
        let head = state.head;
        let mut evidence = self.evidence.lock();
        if !evidence.tracker.hold(now, held_head(&state)) {
            return false;
        }
        evidence.known = evidence.known.max(head.number);
        evidence.heads.push_back(head);
        if evidence.heads.len() > MAX_HEAD_LOG {
            evidence.heads.pop_front();
        }
        self.state.store(state);
        drop(evidence);
        self.held.send_replace(head.number);
        true
    }

    /// Takes in the node's own read of the head row.
    pub fn record_read(&self, sent: Tick, head: HeadNumber) {
        let now = self.now();
        self.evidence.lock().tracker.record_read(sent, now, head);
        self.learn(head);
    }

    /// Takes in an answer to a question sent at `sent`.
    pub fn apply_report(&self, sent: Tick, word: &PeerReport) {
        let now = self.now();
        self.evidence.lock().tracker.apply_report(sent, now, word);
        self.learn(word.head);
    }

    /// Takes in that a member holds a head.
    pub fn record_acknowledgement(&self, member: &MemberId, head: HeadNumber) {
        let now = self.now();
        self.evidence.lock().tracker.record_acknowledgement(now, member, head);
        self.learn(head);
    }

    /// Takes in that a head exists; wakes whoever fetches states when it is newer.
    pub fn learn(&self, head: HeadNumber) {
        let mut evidence = self.evidence.lock();
        if head > evidence.known {
            evidence.known = head;
            self.behind.notify_one();
        }
    }

    /// The newest head the node has heard of.
    pub fn known(&self) -> HeadNumber {
        self.evidence.lock().known
    }

    /// Waits until the node hears of a newer head.
    pub async fn heard_newer(&self) {
        self.behind.notified().await;
    }

    /// Follows the number of the held head.
    pub fn watch_held(&self) -> watch::Receiver<HeadNumber> {
        self.held.subscribe()
    }

    /// Reads the evidence under its lock.
    pub fn with_tracker<T>(&self, look: impl FnOnce(&HeadTracker) -> T) -> T {
        look(&self.evidence.lock().tracker)
    }

    /// The evidence on which the node may act at this moment; none when it is isolated.
    pub fn current(&self) -> Option<Evidence> {
        let now = self.now();
        self.evidence.lock().tracker.current(now)
    }

    /// What this node answers to a question.
    pub fn word(&self) -> PeerReport {
        let now = self.now();
        let mut evidence = self.evidence.lock();
        evidence.tracker.settle(now);
        evidence.tracker.word(now)
    }

    /// Whether a head is in force, and if not, how long that takes.
    pub fn outlook(&self, head: HeadNumber) -> ForceOutlook {
        let now = self.now();
        let mut evidence = self.evidence.lock();
        evidence.tracker.settle(now);
        evidence.tracker.outlook(now, head)
    }

    /// The newest head in force, as far as this node found out.
    pub fn in_force(&self) -> HeadNumber {
        let now = self.now();
        self.evidence.lock().tracker.settle(now)
    }

    /// The first head this node held that includes a ticket.
    pub fn head_of_ticket(&self, ticket: TicketNumber) -> Option<HeadNumber> {
        let evidence = self.evidence.lock();
        evidence.heads.iter().find(|head| head.ticket >= ticket).map(|head| head.number)
    }

    /// Takes in the host list.
    pub fn take_hosts(&self, hosts: Vec<HostEntry>) {
        if **self.hosts.load() != hosts {
            self.hosts.store(Arc::new(hosts));
            self.hosts_number.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Grows with each change of the host list that this node saw; 0 before the first.
    pub fn hosts_number(&self) -> u64 {
        self.hosts_number.load(Ordering::SeqCst)
    }

    /// The records of all fabric domains.
    pub fn records(&self) -> &GroupRecords {
        &self.records
    }

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
        let Ok(at) = state.owners.binary_search_by(|row| row.domain.cmp(domain)) else {
            return false;
        };
        let row = &state.owners[at];
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
