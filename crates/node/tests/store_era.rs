//! A store that comes back from an older copy of its data.

#[path = "support/mod.rs"]
mod support;

use {
    base::{
        FabricDomainId, FailureDomainId, HostId, Incarnation, ManualClock, RowVersion, ServiceName,
        StoreEra, Term, Tick,
    },
    infra::StoredRow,
    node::{
        ConfigUpdate, RowChange, ServerChange, ServerEntry, ServerStanding, WatchPage,
        WatchPosition,
        members::MemberTable,
        owners::{OwnedRow, OwnerStep, owner_step},
        page_cache::{CacheLookup, PageCache},
        peers::PeerHeartbeat,
        rows::{MemberRow, OwnerRow, RowName, RowOwner},
        view::{NodeView, ViewState},
    },
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64,
    relay::{CallerLimits, RelayConfig},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
    support::relay_shared,
    yare::parameterized,
};

fn at(era: u64, version: u64) -> WatchPosition {
    WatchPosition { era: StoreEra(era), version }
}

fn host(index: usize) -> HostId {
    HostId::new(format!("n{index}")).unwrap()
}

fn domain() -> FabricDomainId {
    FabricDomainId::new("d0").unwrap()
}

fn owner(index: usize) -> RowOwner {
    RowOwner { node: host(index), incarnation: Incarnation(index as u64 + 1) }
}

fn member_row(index: usize) -> MemberRow {
    MemberRow {
        incarnation: Incarnation(index as u64 + 1),
        peers: ([127, 0, 0, 1], 1).into(),
        callers: ([127, 0, 0, 1], 2).into(),
        failure_domain: FailureDomainId::new("z").unwrap(),
    }
}

fn new_view(own: usize, clock: &Arc<ManualClock>) -> NodeView {
    NodeView::new(MemberTable::new(host(own)), Arc::new(relay_shared(clock.clone())))
}

fn stored(name: &RowName, version: u64, value: String) -> StoredRow {
    StoredRow { key: name.key(), version: RowVersion(version), value }
}

fn entry(id: &str, boot_id: u64, standing: ServerStanding) -> ServerChange {
    ServerChange::Listed(Box::new(ServerEntry {
        cold_left: Duration::ZERO,
        id: HostId::new(id).unwrap(),
        address: ([127, 0, 0, 1], 80).into(),
        service: ServiceName::new("s").unwrap(),
        failure_domain: FailureDomainId::new("z").unwrap(),
        standing,
        boot_id: Some(boot_id),
        fabric_domain: None,
        facts: None,
    }))
}

fn servers(
    changes: Vec<ServerChange>,
    position: WatchPosition,
    is_snapshot: bool,
) -> WatchPage<ServerChange> {
    WatchPage { changes, position, is_snapshot, age: None }
}

fn live_ids(view: &NodeView) -> Vec<String> {
    view.with(|state| {
        let live = state.servers.entries().filter(|entry| entry.standing == ServerStanding::Live);
        live.map(|entry| entry.id.to_string()).collect()
    })
}

/// The store with the row of one domain, and the copies of earlier moments.
#[derive(Clone, Default)]
struct ModelStore {
    era: u64,
    version: u64,
    row: Option<(u64, OwnerRow)>,
    /// The eras whose rows claims have written.
    marked: BTreeSet<u64>,
    copies: VecDeque<StoreCopy>,
}

#[derive(Clone)]
struct StoreCopy {
    version: u64,
    row: Option<(u64, OwnerRow)>,
    marked: BTreeSet<u64>,
}

impl ModelStore {
    fn remember(&mut self) {
        let (row, marked) = (self.row.clone(), self.marked.clone());
        self.copies.push_back(StoreCopy { version: self.version, row, marked });
        if self.copies.len() > 6 {
            self.copies.pop_front();
        }
    }

    fn restore(&mut self, copy: usize) {
        let StoreCopy { version, row, marked } = self.copies[copy].clone();
        (self.version, self.row, self.marked) = (version, row, marked);
        self.copies.truncate(copy + 1);
        self.era += 1;
    }

    /// Commits a claim of `era`, with the conditions and rows of `claims::mark_era`.
    fn commit(&mut self, expected: RowVersion, row: OwnerRow, era: StoreEra) -> Option<RowVersion> {
        let current = self.row.as_ref().map_or(0, |(version, _)| *version);
        if current != expected.0 || self.marked.contains(&(era.0 + 1)) {
            return None;
        }
        self.marked.extend((era.0.saturating_sub(4).max(1))..=era.0);
        self.remember();
        self.version += 1;
        self.row = Some((self.version, row));
        Some(RowVersion(self.version))
    }

    fn commit_unmarked(&mut self, expected: RowVersion, row: OwnerRow) -> Option<RowVersion> {
        self.marked.clear();
        self.commit(expected, row, StoreEra(0))
    }

    fn page(&self, is_snapshot: bool) -> WatchPage<RowChange> {
        let value = |row: &OwnerRow| serde_json::to_string(row).unwrap();
        let name = RowName::Domain(domain());
        let owner_row = self.row.iter().map(|(version, row)| stored(&name, *version, value(row)));
        let members = (0..PROCESSES).map(|index| {
            let value = serde_json::to_string(&member_row(index)).unwrap();
            stored(&RowName::Member(host(index)), 1, value)
        });
        let changes = owner_row.chain(members).map(RowChange::Written).collect();
        WatchPage { changes, position: at(self.era, self.version), is_snapshot, age: None }
    }
}

const PROCESSES: usize = 4;
const SEEDS: u64 = 10_000;

/// A claim on its way to the store.
struct Claim {
    process: usize,
    row: OwnedRow,
}

/// How the model's processes treat the store's era.
#[derive(Clone, Copy, PartialEq)]
enum EraRule {
    /// As the product does.
    Kept,
    /// Planted fault: a claim has the term after the known one, whatever the era.
    NotInTerms,
    /// Planted fault: a claim counts although it took effect in a later era.
    NotChecked,
    /// Planted fault: a late claim of an earlier era may replace one of a later era.
    NotMarked,
}

/// Runs one random schedule of reads, claims that land late, and restored copies. Returns whether two
/// processes acted as owners under the same term.
fn gives_a_term_twice(seed: u64, rule: EraRule) -> bool {
    let mut random = Pcg64::seed_from_u64(seed);
    let clock = Arc::new(ManualClock::new());
    clock.advance(Duration::from_secs(100));
    let mut store = ModelStore { version: 10, ..ModelStore::default() };
    store.remember();
    let views: Vec<NodeView> = (0..PROCESSES).map(|index| new_view(index, &clock)).collect();
    let mut claims: Vec<Claim> = Vec::new();
    let mut owners: BTreeMap<Term, usize> = BTreeMap::new();
    for _ in 0..60 {
        // As often as processes note that they run.
        for _ in 0..random.random_range(1..12) {
            clock.advance(Duration::from_millis(100));
            views.iter().for_each(NodeView::expire);
        }
        let now = base::TickClock::now(&*clock);
        match random.random_range(0..10) {
            0 => {
                let copy = random.random_range(0..store.copies.len());
                store.restore(copy);
            }
            1 => store.remember(),
            7..=8 => {
                // Some processes seem to be down to this one.
                let heard: Vec<usize> =
                    (0..PROCESSES).filter(|_| random.random_bool(0.6)).collect();
                views[random.random_range(0..PROCESSES)].with(|state| {
                    state.members.record_contact(now);
                    for index in heard {
                        let heartbeat = PeerHeartbeat {
                            incarnation: owner(index).incarnation,
                            counter: now.0,
                            leaving: false,
                        };
                        state.members.record_heartbeat(&heartbeat, now);
                    }
                });
            }
            2..=5 => {
                let view = &views[random.random_range(0..PROCESSES)];
                let known = view.with(|state| state.row_era());
                view.apply_rows(store.page(known.0 < store.era || random.random_bool(0.2)));
            }
            6 if !claims.is_empty() => {
                let claim = claims.swap_remove(random.random_range(0..claims.len()));
                let OwnedRow { row, version, era } = claim.row;
                let landed = match rule {
                    EraRule::NotMarked => store.commit_unmarked(version, row.clone()),
                    _ => store.commit(version, row.clone(), era),
                };
                if let Some(version) =
                    landed.filter(|_| era.0 == store.era || rule == EraRule::NotChecked)
                {
                    let written = OwnedRow { row, version, era };
                    views[claim.process].with(|state| state.set_owner(domain(), written));
                }
            }
            _ => {}
        }
        for (process, view) in views.iter().enumerate() {
            let (step, era) = view.with(|state| {
                let own = owner(process);
                let ignored = rule == EraRule::NotInTerms;
                let era = if ignored { StoreEra(0) } else { state.row_era() };
                let step = |state: &ViewState| {
                    let known = state.domains.get(&domain());
                    owner_step(&domain(), None, known, &own, &state.members, era, now)
                };
                let mut first = step(state);
                if let OwnerStep::Challenge { owner, .. } = &first {
                    // As if it had not answered, whether or not it runs.
                    state.remove_process(owner);
                    first = step(state);
                }
                (first, era)
            });
            match step {
                OwnerStep::Own(term) if *owners.entry(term).or_insert(process) != process => {
                    return true;
                }
                OwnerStep::Claim { expected, term } if claims.len() < 6 => {
                    let row = OwnerRow { term, owner: Some(owner(process)) };
                    claims.push(Claim { process, row: OwnedRow { row, version: expected, era } });
                }
                _ => {}
            }
        }
    }
    false
}

/// The fencing number of a domain's owner must not be given twice, also when the newest claim is lost
/// with the store's newest data, or a claim that was prepared before lands after.
#[test]
fn no_term_is_given_to_two_owners() {
    for seed in 0..SEEDS {
        assert!(!gives_a_term_twice(seed, EraRule::Kept), "seed {seed}");
    }
}

#[parameterized(
    era_not_in_terms = { EraRule::NotInTerms },
    era_of_commit_not_checked = { EraRule::NotChecked },
    late_claims_not_stopped = { EraRule::NotMarked },
)]
fn schedules_find_planted_faults(rule: EraRule) {
    assert!((0..2_000).any(|seed| gives_a_term_twice(seed, rule)));
}

/// The owner whose claim was lost keeps the domain and claims it again under a higher term; the owner
/// that the older copy names does not act.
#[test]
fn the_last_owner_claims_its_domain_again() {
    let clock = Arc::new(ManualClock::new());
    clock.advance(Duration::from_secs(100));
    let now = base::TickClock::now(&*clock);
    let mut store = ModelStore { version: 10, ..ModelStore::default() };
    let row =
        |term: u64, process: usize| OwnerRow { term: Term(term), owner: Some(owner(process)) };
    store.commit(RowVersion(0), row(1, 0), StoreEra(0)).unwrap();
    store.remember();
    store.commit(RowVersion(11), row(2, 1), StoreEra(0)).unwrap();
    let views: Vec<NodeView> = (0..2).map(|index| new_view(index, &clock)).collect();
    views.iter().for_each(|view| view.apply_rows(store.page(true)));
    store.restore(store.copies.len() - 1);
    views.iter().for_each(|view| view.apply_rows(store.page(true)));
    let step = |process: usize| {
        views[process].with(|state| {
            let known = state.domains.get(&domain());
            let era = state.row_era();
            owner_step(&domain(), None, known, &owner(process), &state.members, era, now)
        })
    };
    assert_eq!(step(0), OwnerStep::NotOwner);
    let again = OwnerStep::Claim { expected: RowVersion(11), term: Term(1 << 16) };
    assert_eq!(step(1), again);
}

#[test]
fn lost_member_rows_are_kept_until_they_are_written_again() {
    let clock = Arc::new(ManualClock::new());
    clock.advance(Duration::from_secs(100));
    let view = new_view(0, &clock);
    let row = |index: usize| {
        let value = serde_json::to_string(&member_row(index)).unwrap();
        RowChange::Written(stored(&RowName::Member(host(index)), 5, value))
    };
    let page = |indices: &[usize], position, is_snapshot| WatchPage {
        changes: indices.iter().map(|index| row(*index)).collect(),
        position,
        is_snapshot,
        age: None,
    };
    view.apply_rows(page(&[0, 1, 2], at(0, 90), true));
    view.apply_rows(page(&[1], at(1, 40), true));
    let listed = || view.with(|state| state.members.listed().count());
    assert_eq!(listed(), 3);
    assert!(
        !view.with(|state| state.members.has_own_row(Incarnation(1))),
        "the own row has to be written again"
    );
    view.apply_rows(page(&[0], at(1, 41), false));
    assert!(view.with(|state| state.members.has_own_row(Incarnation(1))));
    clock.advance(Duration::from_secs(5));
    view.expire();
    assert_eq!(listed(), 2, "the process that did not write its row again is gone");
}

/// The row of a process that stopped comes back with an older copy.
#[test]
fn a_stopped_process_is_not_alive_again() {
    let mut members = MemberTable::new(host(0));
    let now = Tick(100_000_000_000);
    members.insert_row(host(0), member_row(0), now);
    members.record_contact(now);
    let rows = BTreeMap::from([(host(0), member_row(0)), (host(1), member_row(1))]);
    members.restore_rows(rows, now);
    let live: Vec<&HostId> = members.live_members(now).map(|(node, _)| node).collect();
    assert_eq!(live, [&host(0)]);
}

#[test]
fn live_servers_missing_from_an_older_copy_are_kept_for_a_while() {
    let clock = Arc::new(ManualClock::new());
    clock.advance(Duration::from_secs(100));
    let view = new_view(0, &clock);
    let live = |id: &str| entry(id, 1, ServerStanding::Live);
    view.apply_servers(servers(vec![live("a"), live("b")], at(0, 90), true));
    view.apply_servers(servers(vec![live("a")], at(1, 40), true));
    assert_eq!(live_ids(&view), ["a", "b"]);
    clock.advance(Duration::from_millis(2_500));
    view.expire();
    assert_eq!(live_ids(&view), ["a"], "an entry that is not written again is gone");
}

/// An older copy says that a server is ready which has since announced that it leaves, or has left.
#[parameterized(
    leaving = { vec![entry("b", 1, ServerStanding::Leaving)] },
    left = { vec![ServerChange::Dropped(HostId::new("b").unwrap())] },
)]
fn a_server_that_left_is_not_used_again(change: Vec<ServerChange>) {
    let clock = Arc::new(ManualClock::new());
    clock.advance(Duration::from_secs(100));
    let view = new_view(0, &clock);
    let live = |id: &str, boot: u64| entry(id, boot, ServerStanding::Live);
    view.apply_servers(servers(vec![live("a", 1), live("b", 1)], at(0, 90), true));
    view.apply_servers(servers(change, at(0, 91), false));
    view.apply_servers(servers(vec![live("a", 1), live("b", 1)], at(1, 40), true));
    assert_eq!(live_ids(&view), ["a"]);
    view.apply_servers(servers(vec![live("b", 2)], at(1, 41), false));
    assert_eq!(live_ids(&view), ["a", "b"], "the server was started again");
}

/// A page of one era must not be continued by a page of another, although both have its version.
#[test]
fn a_cache_does_not_answer_readers_of_another_era() {
    let cache = PageCache::default();
    let now = Tick(1_000);
    cache.insert(None, &servers(vec![entry("a", 1, ServerStanding::Live)], at(1, 40), true), now);
    assert_eq!(cache.lookup(at(0, 40), now), CacheLookup::Miss);
    assert_eq!(cache.lookup(at(0, 90), now), CacheLookup::Miss);
    assert_eq!(cache.lookup(at(2, 40), now), CacheLookup::Miss);
    assert_eq!(
        cache.lookup(at(1, 40), now),
        CacheLookup::UpToDate { position: at(1, 40), age: Duration::ZERO }
    );
}

/// The configuration neither goes back to the older copy's nor sticks: one that is given out again
/// under the same version replaces the lost one.
#[test]
fn a_configuration_never_goes_back_and_never_sticks() {
    let clock = Arc::new(ManualClock::new());
    let view = new_view(0, &clock);
    let config = |version: u64, era: u64, bytes: usize| {
        let limits = CallerLimits { body_bytes: bytes, ..CallerLimits::default() };
        let relay = RelayConfig::new(version, Vec::new(), Vec::new(), limits);
        ConfigUpdate { era: StoreEra(era), relay, engines: Vec::new(), cold: Vec::new() }
    };
    let current = || view.with(|state| state.config.as_deref().cloned()).unwrap();
    view.apply_config(config(8, 0, 1));
    view.apply_config(config(6, 1, 1));
    assert_eq!(current(), config(8, 0, 1), "the older copy has version 6");
    view.apply_config(config(8, 1, 2));
    assert_eq!(current(), config(8, 1, 2));
    view.apply_config(config(8, 0, 1));
    assert_eq!(current(), config(8, 1, 2), "a peer in the earlier era has the lost one");
    view.apply_config(config(9, 1, 3));
    assert_eq!(current(), config(9, 1, 3));
}
