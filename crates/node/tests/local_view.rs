//! The local view of the server list and of other processes.

use {
    base::{
        Epoch, FabricDomainId, FailureDomainId, GroupId, HostId, Incarnation, RowVersion,
        ServiceName, StoreEra, Term, Tick,
    },
    node::{
        ServerChange, ServerEntry, ServerList, ServerStanding, Vantage, WatchPage, WatchPosition,
        addresses::answer_addresses,
        members::{DOWN_AFTER, MemberTable},
        owners::{OwnedRow, OwnerStep, owner_step},
        peers::{GOSSIP_INTERVAL, HEARTBEATS_PER_MESSAGE, PEERS_PER_ROUND, PeerHeartbeat},
        rows::{MemberRow, OwnerRow, RowName, RowOwner},
    },
    plan::staged::{EngineState, MemberPhase, Membership},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::time::Duration,
    yare::parameterized,
};

/// A position in the store's first era.
fn at(version: u64) -> WatchPosition {
    WatchPosition { era: StoreEra(0), version }
}

const START: Tick = Tick(1_000_000_000_000);

fn after(ms: u64) -> Tick {
    START + Duration::from_millis(ms)
}

fn entry(id: &str) -> ServerEntry {
    ServerEntry {
        cold_left: Duration::ZERO,
        boot_id: None,
        id: HostId::new(id).unwrap(),
        address: ([127, 0, 0, 1], 9).into(),
        service: ServiceName::new("s").unwrap(),
        failure_domain: FailureDomainId::new("z").unwrap(),
        standing: ServerStanding::Live,
        fabric_domain: None,
        facts: None,
    }
}

fn page(changes: Vec<ServerChange>, is_snapshot: bool) -> WatchPage<ServerChange> {
    WatchPage { changes, position: at(1), is_snapshot, age: None }
}

fn listed(id: &str) -> ServerChange {
    ServerChange::Listed(Box::new(entry(id)))
}

fn dropped(id: &str) -> ServerChange {
    ServerChange::Dropped(HostId::new(id).unwrap())
}

fn listed_ids(list: &ServerList) -> Vec<String> {
    list.entries().map(|entry| entry.id.to_string()).collect()
}

#[test]
fn a_dropped_server_is_removed_at_once_without_an_outage() {
    let mut list = ServerList::default();
    list.apply(page(vec![listed("a"), listed("b")], true), START);
    list.apply(page(vec![dropped("a")], false), after(100));
    assert_eq!(listed_ids(&list), ["b"]);
}

/// Live servers that the store dropped in an outage register again within two seconds, so their
/// entries are kept that long.
#[test]
fn entries_dropped_in_an_outage_are_kept_for_two_seconds() {
    let mut list = ServerList::default();
    list.apply(page(vec![listed("a"), listed("b")], true), START);
    list.note_outage(after(5_000));
    list.apply(page(vec![listed("b")], true), after(5_500));
    assert_eq!(listed_ids(&list), ["a", "b"]);
    list.expire(after(7_400));
    assert_eq!(listed_ids(&list), ["a", "b"]);
    list.expire(after(7_600));
    assert_eq!(listed_ids(&list), ["b"]);
}

/// Guards against a server that got a request 2,027 ms after it had left the list: the store had turned
/// the process away until 0.7 s before, and the time for which its entry was kept began anew.
#[test]
fn an_entry_dropped_after_an_outage_is_not_kept_longer() {
    let mut list = ServerList::default();
    list.apply(page(vec![listed("a"), listed("b")], true), START);
    list.note_outage(after(5_000));
    list.apply(page(vec![listed("c")], false), after(5_400));
    list.apply(page(vec![dropped("a")], false), after(6_900));
    list.expire(after(7_600));
    assert_eq!(listed_ids(&list), ["b", "c"]);
    list.apply(page(vec![dropped("b")], false), after(7_600));
    assert_eq!(listed_ids(&list), ["c"]);
}

#[test]
fn an_entry_that_is_listed_again_is_kept() {
    let mut list = ServerList::default();
    list.apply(page(vec![listed("a")], true), START);
    list.note_outage(after(1_000));
    list.apply(page(Vec::new(), true), after(1_100));
    list.apply(page(vec![listed("a")], false), after(2_000));
    list.expire(after(9_000));
    assert_eq!(listed_ids(&list), ["a"]);
}

/// A head whose entry the store dropped may still be serving; the next owner of its domain has to
/// know of it.
#[test]
fn dropped_servers_are_remembered_for_a_minute() {
    let mut list = ServerList::default();
    list.apply(page(vec![listed("a")], true), START);
    list.apply(page(vec![dropped("a")], false), after(100));
    assert_eq!(list.delisted().count(), 1);
    list.expire(after(59_000));
    assert_eq!(list.delisted().count(), 1);
    list.expire(after(61_000));
    assert_eq!(list.delisted().count(), 0);
}

#[test]
fn a_server_missing_from_a_snapshot_is_removed() {
    let mut list = ServerList::default();
    list.apply(page(vec![listed("a"), listed("b")], true), START);
    let delta = list.apply(page(vec![listed("b"), listed("c")], true), after(50_000));
    assert_eq!(listed_ids(&list), ["b", "c"]);
    assert_eq!(delta.removed, [HostId::new("a").unwrap()]);
    assert_eq!(delta.added, [HostId::new("c").unwrap()]);
}

fn incarnation(node: u16) -> Incarnation {
    Incarnation(u64::from(node) + 100)
}

fn row(node: u16, zone: &str) -> MemberRow {
    MemberRow {
        incarnation: incarnation(node),
        peers: ([127, 0, 0, 1], 1_000 + node).into(),
        callers: ([127, 0, 0, 1], 2_000 + node).into(),
        failure_domain: FailureDomainId::new(zone).unwrap(),
    }
}

fn name(node: u16) -> HostId {
    HostId::new(format!("n{node}")).unwrap()
}

fn table(nodes: u16) -> MemberTable {
    let mut table = MemberTable::new(name(0));
    for node in 0..nodes {
        table.insert_row(name(node), row(node, if node % 2 == 0 { "even" } else { "odd" }), START);
    }
    table
}

fn heartbeat(node: u16, counter: u64, leaving: bool) -> PeerHeartbeat {
    PeerHeartbeat { incarnation: incarnation(node), counter, leaving }
}

/// Records heartbeats at `at` for all processes except `unresponsive`.
fn record_all_but(table: &mut MemberTable, nodes: u16, unresponsive: u16, at: Tick) {
    table.record_contact(at);
    for node in (1..nodes).filter(|node| *node != unresponsive) {
        table.record_heartbeat(&heartbeat(node, at.0, false), at);
    }
}

#[test]
fn a_process_whose_counter_stalls_is_down() {
    let mut table = table(4);
    record_all_but(&mut table, 4, 2, after(2_000));
    assert!(!table.is_alive(&name(2), None, after(2_000)));
    assert!(table.is_alive(&name(1), None, after(2_000)));
    let answer = answer_addresses(&table, after(2_000), true);
    assert_eq!(answer.addresses.len(), 3);
    assert!(!answer.addresses.contains(&row(2, "even").callers));
}

/// A process that receives no gossip at all is isolated itself, unless the platform answers it. Callers
/// that still reach it get all addresses.
#[test]
fn an_isolated_process_considers_nobody_down() {
    let table = table(4);
    let later = after(30_000);
    assert!(table.is_isolated(later));
    assert_eq!(answer_addresses(&table, later, false).addresses.len(), 4);
}

/// The last process took itself for the isolated one for ever, and named all that had been killed.
#[test]
fn the_last_process_names_only_itself() {
    let mut table = table(97);
    record_all_but(&mut table, 97, 0, after(10_000));
    assert_eq!(answer_addresses(&table, after(10_100), true).addresses.len(), 64);
    // Within the seven seconds after which nobody may name them.
    let answer = answer_addresses(&table, after(13_000), true);
    assert_eq!(answer.addresses, [row(0, "even").callers]);
}

/// After a power cut of all, the first processes to come back named the others by their old rows. With
/// hundreds of them a row that nobody stood for counted for more than six seconds.
#[parameterized(
    few = { 12 },
    many = { 295 },
)]
fn rows_of_processes_that_were_never_heard_count_for_a_moment(processes: u16) {
    let mut table = table(processes);
    record_all_but(&mut table, 3, 0, after(1_000));
    record_all_but(&mut table, 3, 0, after(2_500));
    let answer = answer_addresses(&table, after(2_500), true);
    assert_eq!(answer.addresses.len(), 3, "itself and the two that it heard");
}

#[test]
fn a_leaving_process_is_left_out_of_answers_at_once() {
    let mut table = table(4);
    record_all_but(&mut table, 4, 9, after(100));
    table.record_heartbeat(&heartbeat(3, 1, true), after(200));
    let answer = answer_addresses(&table, after(200), true);
    assert!(!answer.addresses.contains(&row(3, "odd").callers));
}

/// A stopping process went on to name itself until its peers had passed its own notice back to it.
#[test]
fn a_leaving_process_does_not_name_itself() {
    let mut table = table(4);
    record_all_but(&mut table, 4, 9, after(100));
    assert!(answer_addresses(&table, after(100), true).addresses.contains(&row(0, "even").callers));
    table.leave();
    let answer = answer_addresses(&table, after(200), true);
    assert!(!answer.addresses.contains(&row(0, "even").callers));
    assert_eq!(answer.addresses.len(), 3);
}

#[test]
fn a_counter_of_an_earlier_incarnation_keeps_nobody_alive() {
    let mut table = table(3);
    let now = START + DOWN_AFTER + Duration::from_millis(1);
    table.record_contact(now);
    table.record_heartbeat(
        &PeerHeartbeat { incarnation: Incarnation(1), ..heartbeat(2, u64::MAX, false) },
        now,
    );
    assert!(!table.is_alive(&name(2), None, now));
}

/// Simulates gossip with random peers, as [`node::run`] does it, for `rounds` rounds. Returns the
/// longest run of rounds in which another process considered a live process down.
fn longest_false_down(processes: u16, rounds: u64, seed: u64) -> u64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut tables: Vec<MemberTable> = (0..processes)
        .map(|own| {
            let mut table = MemberTable::new(name(own));
            (0..processes).for_each(|node| table.insert_row(name(node), row(node, "z"), START));
            table
        })
        .collect();
    let mut down_rounds = vec![0_u64; usize::from(processes)];
    let mut longest = 0;
    for round in 1..=rounds {
        let now = START + GOSSIP_INTERVAL * round as u32;
        for own in 0..processes {
            let forwarded = tables[usize::from(own)].heartbeats_to_send(HEARTBEATS_PER_MESSAGE);
            for _ in 0..PEERS_PER_ROUND {
                let peer = (own + rng.random_range(1..processes)) % processes;
                let table = &mut tables[usize::from(peer)];
                table.record_contact(now);
                table.record_heartbeat(&heartbeat(own, round, false), now);
                forwarded.iter().for_each(|heartbeat| table.record_heartbeat(heartbeat, now));
            }
        }
        for node in 0..processes {
            let observer = &tables[usize::from((node + 1) % processes)];
            let alive = observer.is_alive(&name(node), None, now);
            let down_rounds = &mut down_rounds[usize::from(node)];
            *down_rounds = if alive { 0 } else { *down_rounds + 1 };
            longest = longest.max(*down_rounds);
        }
    }
    longest
}

/// Load pattern: many processes start together and exchange heartbeats. Owners of fabric domains
/// were considered down and lost their domains within three seconds of the start.
#[parameterized(
    dozen = { 12, 100 },
    hundred = { 103, 100 },
    three_hundred = { 300, 50 },
)]
fn no_live_process_is_considered_down(processes: u16, rounds: u64) {
    for seed in 0..3 {
        assert_eq!(longest_false_down(processes, rounds, seed), 0, "seed {seed}");
    }
}

fn owner(node: u16) -> RowOwner {
    RowOwner { node: name(node), incarnation: incarnation(node) }
}

fn known(owner: Option<RowOwner>) -> OwnedRow {
    OwnedRow { row: OwnerRow { term: Term(7), owner }, version: RowVersion(40), era: StoreEra(0) }
}

fn step(own: u16, known: Option<&OwnedRow>, table: &MemberTable, now: Tick) -> OwnerStep {
    let domain = FabricDomainId::new("d").unwrap();
    owner_step(&domain, None, known, &owner(own), table, StoreEra(0), now)
}

#[test]
fn a_live_owner_keeps_its_domain() {
    let mut table = table(4);
    record_all_but(&mut table, 4, 9, after(1_000));
    let row = known(Some(owner(2)));
    assert_eq!(step(0, Some(&row), &table, after(1_000)), OwnerStep::NotOwner);
    assert_eq!(step(2, Some(&row), &table, after(1_000)), OwnerStep::Own(Term(7)));
}

/// Lets time pass until `until` while heartbeats of all processes but `silent` arrive.
fn listen(table: &mut MemberTable, nodes: u16, silent: &[u16], from: u64, until: u64) {
    for time in (from..=until).step_by(100) {
        table.record_contact(after(time));
        for node in (1..nodes).filter(|node| !silent.contains(node)) {
            table.record_heartbeat(&heartbeat(node, time, false), after(time));
        }
        table.expire(after(time));
    }
}

/// Exactly one live process asks whether an owner that is silent still runs, and once that has been removed
/// claims its domain with a higher term and the row's current version.
#[test]
fn one_process_claims_the_domain_of_an_owner_that_is_down() {
    let mut table = table(4);
    listen(&mut table, 4, &[2], 100, 2_500);
    let row = known(Some(owner(2)));
    let steps = |table: &MemberTable| -> Vec<OwnerStep> {
        [0, 1, 3].iter().map(|own| step(*own, Some(&row), table, after(2_500))).collect()
    };
    let asked = OwnerStep::Challenge { owner: owner(2), vantage: Vantage::Majority };
    let asking = steps(&table);
    assert_eq!(asking.iter().filter(|step| **step == asked).count(), 1, "{asking:?}");
    assert_eq!(asking.iter().filter(|step| **step == OwnerStep::NotOwner).count(), 2);
    table.remove_row(&name(2));
    let claim = OwnerStep::Claim { expected: RowVersion(40), term: Term(8) };
    let steps = steps(&table);
    assert_eq!(steps.iter().filter(|step| **step == claim).count(), 1, "{steps:?}");
}

/// The steps of process 0 for the domain of process 2, of five, which is silent from 3 s on.
fn step_after(table: &MemberTable, time: u64) -> OwnerStep {
    // Of the others only those that are heard can be preferred to process 0.
    let domain = FabricDomainId::new("d").unwrap();
    let step = |domain: &FabricDomainId| {
        let row = known(Some(owner(2)));
        owner_step(domain, None, Some(&row), &owner(0), table, StoreEra(0), after(time))
    };
    // A domain that falls to process 0 of those that are heard.
    let names = (0..64).map(|number| FabricDomainId::new(format!("d{number}")).unwrap());
    let steps: Vec<OwnerStep> = names.chain([domain]).map(|domain| step(&domain)).collect();
    steps.into_iter().find(|step| *step != OwnerStep::NotOwner).unwrap_or(OwnerStep::NotOwner)
}

/// A process behind a cut took all owners on the other side for dead and claimed their domains.
#[test]
fn the_silence_of_most_is_that_of_a_minority() {
    let mut table = table(5);
    listen(&mut table, 5, &[], 100, 3_000);
    let asked = |vantage| OwnerStep::Challenge { owner: owner(2), vantage };
    // No moment at which the owner seems to be missed and most of the others are not.
    for time in (3_100..7_000).step_by(100) {
        listen(&mut table, 5, &[2, 3, 4], time, time);
        let step = step_after(&table, time);
        assert!(step == OwnerStep::NotOwner || step == asked(Vantage::Minority), "{step:?}");
    }
    assert_eq!(step_after(&table, 6_900), asked(Vantage::Minority));
    // When the cut ends, the silence that a majority observes begins anew.
    listen(&mut table, 5, &[2], 7_000, 8_100);
    assert_eq!(step_after(&table, 8_100), asked(Vantage::Minority));
    listen(&mut table, 5, &[2], 8_200, 8_400);
    assert_eq!(step_after(&table, 8_400), asked(Vantage::Majority));
}

/// A process that stood still found all others silent and claimed their domains before it read their
/// messages.
#[test]
fn the_pause_of_a_process_says_nothing_of_others() {
    let mut table = table(5);
    listen(&mut table, 5, &[], 100, 3_000);
    assert_eq!(step_after(&table, 9_000), OwnerStep::NotOwner);
    table.expire(after(9_000));
    assert_eq!(step_after(&table, 9_000), OwnerStep::NotOwner);
    listen(&mut table, 5, &[2], 9_100, 10_000);
    assert_eq!(step_after(&table, 10_000), OwnerStep::NotOwner);
}

/// A new incarnation on the same host has no planner state for the domain.
#[test]
fn a_restarted_owner_does_not_reuse_its_old_term() {
    let mut table = table(1);
    table.record_contact(after(100));
    let earlier = RowOwner { incarnation: Incarnation(1), ..owner(0) };
    let claim = OwnerStep::Claim { expected: RowVersion(40), term: Term(8) };
    assert_eq!(step(0, Some(&known(Some(earlier))), &table, after(100)), claim);
}

#[test]
fn a_released_domain_is_claimed_at_once() {
    let mut table = table(3);
    record_all_but(&mut table, 3, 9, after(100));
    let row = known(None);
    let claims = (0..3).filter(|own| {
        matches!(step(*own, Some(&row), &table, after(100)), OwnerStep::Claim { .. })
    });
    assert_eq!(claims.count(), 1);
}

#[parameterized(
    member = { "member/n1", true },
    domain = { "domain/d1", true },
    challenge = { "challenge/n1", true },
    other = { "claim/x", false },
    no_name = { "member/", false },
    bad_name = { "domain/a b", false },
)]
fn unknown_keys_are_ignored(key: &str, ours: bool) {
    assert_eq!(RowName::parse(key).is_some(), ours);
    if let Some(name) = RowName::parse(key) {
        assert_eq!(name.key(), key);
    }
}

/// An engine's departure from a group is remembered while it is out of it, so that an owner that takes
/// over need not count anew how long the group has lacked it.
#[test]
fn departures_from_groups_are_remembered() {
    let engine = |group: Option<&str>| {
        let membership = group.map(|group| Membership {
            group: GroupId::new(group).unwrap(),
            epoch: Epoch(1),
            rank: 1,
            phase: MemberPhase::Ready,
        });
        let facts = EngineState {
            boot_id: Some(1),
            membership,
            model: None,
            staged: Vec::new(),
            accepted_orders: None,
        };
        page(
            vec![ServerChange::Listed(Box::new(ServerEntry { facts: Some(facts), ..entry("a") }))],
            false,
        )
    };
    let mut list = ServerList::default();
    let id = HostId::new("a").unwrap();
    list.apply(engine(Some("g1")), after(0));
    assert_eq!(list.departure(&id), None);
    list.apply(engine(None), after(100));
    list.apply(engine(None), after(900));
    let left = list.departure(&id).expect("it left");
    assert_eq!((left.group.to_string(), left.seen), ("g1".to_owned(), after(100)));
    list.apply(engine(Some("g1")), after(1_000));
    assert_eq!(list.departure(&id), None, "it has joined again");
}
