//! The durable state: views reconstructed from the chain of changes, and copies updated to the newest
//! state.

mod support;

use {
    base::{BootClock, FabricDomainId, HostId, Incarnation, MemberId, RowVersion},
    controller::state::{
        change::StateChange, held_head::held_head, reader::StateReader, rows::incarnation_key,
    },
    infra::{CommitOutcome, TableStore},
    peer::{ClusterState, LeaveReason, LeftMember, MemberRow},
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_pcg::Pcg64Mcg,
    std::{collections::BTreeMap, sync::Arc},
    support::{FakeTable, sim::peer_address, workspace_ticket},
};

const HOSTS: usize = 7;
const CHANGES: usize = 60;
const SEEDS: u64 = 30;

/// Commits random changes, and keeps the members of every view to compare with.
struct History {
    random: Pcg64Mcg,
    table: Arc<FakeTable>,
    state: ClusterState,
    head: RowVersion,
    /// The last incarnation of each host and the version of its row, which is `u64::MAX` until the
    /// commit returns it.
    incarnations: BTreeMap<HostId, (Incarnation, RowVersion)>,
    /// Number and members of each view, oldest first.
    views: Vec<(u64, Vec<MemberId>)>,
    /// Members that have ended and cannot answer again.
    ended: Vec<MemberId>,
    in_force: base::HeadNumber,
}

impl History {
    fn new(seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            table: Arc::default(),
            state: ClusterState::default(),
            head: RowVersion(0),
            incarnations: BTreeMap::new(),
            views: vec![(0, Vec::new())],
            ended: Vec::new(),
            in_force: base::HeadNumber(0),
        }
    }

    async fn step(&mut self) {
        let mut change = StateChange::on(&self.state);
        match self.random.random_range(0..6) {
            0 | 1 => self.join(&mut change),
            2 => self.leave(&mut change),
            3 => self.own(&mut change),
            _ => drop(change.accept_ticket(self.ticket())),
        }
        // Sometimes the writer knows that all heads so far are in force.
        if self.random.random_bool(0.1) {
            self.in_force = self.state.head.number;
        }
        let transaction = change.transaction(self.head, self.in_force);
        let outcome = self.table.commit(transaction).await.unwrap();
        let CommitOutcome::Committed { version, .. } = outcome else { panic!("{outcome:?}") };
        self.head = version;
        for last in self.incarnations.values_mut().filter(|last| last.1 == RowVersion(u64::MAX)) {
            last.1 = version;
        }
        self.state = change.next;
        let members: Vec<MemberId> =
            self.state.view.members.iter().map(|row| row.member.clone()).collect();
        if self.views.last().unwrap().0 != self.state.head.view.0 {
            self.views.push((self.state.head.view.0, members));
        }
    }

    fn ticket(&mut self) -> conf::ticket::ChangeTicket {
        let name = format!("w{}", self.random.random_range(0..5));
        workspace_ticket(&format!("s{}", self.state.head.number.0), &name)
    }

    fn join(&mut self, change: &mut StateChange) {
        let index = self.random.random_range(0..HOSTS);
        let host = HostId::new(format!("entry-{index}")).unwrap();
        let last = self.incarnations.entry(host.clone()).or_default();
        let before = MemberId { host: host.clone(), incarnation: last.0 };
        let version = last.1;
        let incarnation = last.0.next();
        *last = (incarnation, RowVersion(u64::MAX));
        self.ended.push(before);
        change.join(row(MemberId { host, incarnation }, index), "nonce", version);
    }

    fn leave(&mut self, change: &mut StateChange) {
        let members: Vec<MemberId> =
            self.state.view.members.iter().map(|row| row.member.clone()).collect();
        let reasons = [LeaveReason::Stopped, LeaveReason::Gone, LeaveReason::Silent];
        let reason = *reasons.choose(&mut self.random).unwrap();
        let Some(member) = members.choose(&mut self.random) else { return };
        if reason.has_ended() {
            self.ended.push(member.clone());
        }
        change.remove(vec![LeftMember { member: member.clone(), reason }]);
    }

    fn own(&mut self, change: &mut StateChange) {
        let domain = format!("fabric-{}", self.random.random_range(0..4));
        let rows = &self.state.view.members;
        let Some(row) = rows.choose(&mut self.random) else { return };
        change.own(&FabricDomainId::new(domain).unwrap(), &row.member);
    }

    /// Compares the views and ended members derived from the chain with those of the history.
    fn check(&self) {
        let held = held_head(&self.state);
        let mut known: Vec<_> =
            held.views().map(|view| (view.number.0, view.members.clone())).collect();
        let from = self.views.len() - known.len();
        let mut expected = self.views[from..].to_vec();
        known.iter_mut().chain(&mut expected).for_each(|(_, members)| members.sort());
        assert_eq!(known, expected);
        let in_use = |member: &MemberId| held.older.iter().any(|v| v.position(member).is_some());
        for member in self.ended.iter().filter(|member| in_use(member)) {
            assert!(held.ended.contains(member), "{member} has ended");
        }
        assert!(held.ended.iter().all(|member| self.ended.contains(member)), "{:?}", held.ended);
        let since: Vec<_> = held.views().map(|view| view.since).collect();
        assert!(since.is_sorted(), "{since:?}");
        // Views are dropped from the chain only if the oldest remaining one was known to be in force.
        let oldest = held.views().next().expect("the present view");
        assert!(from == 0 || oldest.since <= self.in_force, "{oldest:?}");
    }
}

fn row(member: MemberId, index: usize) -> MemberRow {
    MemberRow {
        member,
        failure_domain: base::FailureDomainId::new("fd-1").unwrap(),
        region: base::RegionId::new("local").unwrap(),
        peer_address: peer_address(index),
        admin_address: peer_address(index),
        gateway_address: peer_address(index),
        protocol: 1,
    }
}

#[tokio::test]
async fn the_chain_gives_every_view_that_may_be_in_use() {
    for seed in 0..SEEDS {
        let mut history = History::new(seed);
        for _ in 0..CHANGES {
            history.step().await;
            history.check();
        }
    }
}

#[tokio::test]
async fn a_copy_of_any_age_is_updated_to_the_newest_state() {
    for seed in 0..SEEDS {
        let mut history = History::new(seed);
        let mut copies = vec![Arc::new(ClusterState::default())];
        for _ in 0..CHANGES {
            history.step().await;
            copies.push(Arc::new(history.state.clone()));
        }
        let reader = StateReader::new(history.table.clone(), Arc::new(BootClock));
        for copy in &copies {
            let read = reader.state(copy).await.unwrap();
            assert_eq!(*read.state, history.state, "seed {seed} from {}", copy.head.number);
        }
    }
}

#[tokio::test]
async fn the_incarnation_row_stays_when_the_member_leaves() {
    let mut history = History::new(1);
    for _ in 0..CHANGES {
        history.step().await;
    }
    for (host, (incarnation, _)) in &history.incarnations {
        let rows = history.table.read(&[incarnation_key(host)]).await.unwrap();
        let row = rows[0].as_ref().expect("never deleted");
        assert!(row.value.contains(&format!("\"incarnation\":{incarnation}")), "{}", row.value);
    }
}
