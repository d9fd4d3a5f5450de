//! An accepted ticket is in force everywhere and never reverts, and no two nodes order in one fabric
//! domain, whatever fails. Every step of a run checks every node.

mod support;

use {
    admin::{SubmitRequest, TicketStatus},
    base::TicketNumber,
    controller::groups::port::DomainAuthority,
    freshness::EvidenceKind,
    std::{
        sync::{Arc, atomic::Ordering::SeqCst},
        time::Duration,
    },
    support::{
        sim::{Sim, SimNode},
        workspace_ticket,
    },
};

/// Longest time until an accepted ticket is in force.
const FORCE_LIMIT: Duration = Duration::from_secs(9);
const WINDOW: Duration = Duration::from_secs(3);
const DOMAINS: [&str; 4] = ["fabric-1", "fabric-2", "fabric-3", "fabric-4"];

async fn submit(at: &SimNode, name: &str) -> TicketNumber {
    let request = SubmitRequest { ticket: workspace_ticket(name, name), expect: None };
    match at.tickets.submit(request).await {
        TicketStatus::Accepted { number } | TicketStatus::Pending { number, .. } => number,
        other => panic!("{other:?}"),
    }
}

/// Submits at a node and waits until the ticket is in force.
async fn in_force(sim: &mut Sim, at: usize, name: &str) -> TicketNumber {
    let node = sim.node(at);
    let number = submit(&node, name).await;
    let took = sim
        .until("the ticket is in force", |_| {
            node.tickets.status(number) == TicketStatus::Accepted { number }
        })
        .await;
    assert!(took <= FORCE_LIMIT, "in force after {took:?}");
    number
}

fn holds(node: &SimNode, ticket: TicketNumber) -> bool {
    node.node.state().head.ticket >= ticket
}

/// Everything works again: all are current and hold the newest state.
async fn all_well(sim: &mut Sim) {
    let number = in_force(sim, 0, "afterwards").await;
    sim.until("all hold the newest state and are current", |sim| {
        sim.running().iter().all(|node| holds(node, number) && node.node.current().is_some())
    })
    .await;
    sim.until("every domain is settled", |sim| sim.settled_domains() == DOMAINS.len()).await;
}

#[tokio::test(start_paused = true)]
async fn a_node_cut_from_the_table_goes_on_by_its_peers() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    sim.cut_table(4, true);
    sim.run(WINDOW * 3).await;
    let number = in_force(&mut sim, 0, "while-cut").await;
    let cut = sim.node(4);
    assert!(holds(&cut, number));
    assert!(cut.node.current().is_some());
    sim.cut_table(4, false);
    all_well(&mut sim).await;
}

#[tokio::test(start_paused = true)]
async fn a_node_cut_from_its_peers_goes_on_by_the_table() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    sim.set_side(4, 1);
    sim.run(WINDOW * 2).await;
    let cut = sim.node(4);
    assert_eq!(cut.node.current().unwrap().kind, EvidenceKind::Table);
    let number = in_force(&mut sim, 0, "while-cut").await;
    assert!(holds(&cut, number));
    sim.set_side(4, 0);
    all_well(&mut sim).await;
}

#[tokio::test(start_paused = true)]
async fn a_node_cut_from_both_takes_no_new_work_until_it_is_back() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    sim.cut_table(4, true);
    sim.set_side(4, 1);
    sim.run(WINDOW + Duration::from_millis(100)).await;
    let cut = sim.node(4);
    assert!(cut.node.current().is_none(), "it cannot know");
    let number = in_force(&mut sim, 0, "while-cut").await;
    assert!(!holds(&cut, number));
    sim.cut_table(4, false);
    sim.set_side(4, 0);
    all_well(&mut sim).await;
    assert!(holds(&cut, number));
}

#[tokio::test(start_paused = true)]
async fn a_frozen_node_does_not_act_on_what_it_knew() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    sim.freeze(4);
    let number = in_force(&mut sim, 0, "while-frozen").await;
    sim.thaw(4, |node| {
        assert!(node.node.current().is_none(), "its evidence ran out while it stood still");
        assert!(!holds(node, number));
    });
    all_well(&mut sim).await;
}

#[tokio::test(start_paused = true)]
async fn a_frozen_owner_does_not_order_after_a_takeover() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    let owner = (0..5).find(|index| !sim.node(*index).node.owned().is_empty()).unwrap();
    let before = sim.node(owner).node.owned();
    sim.freeze(owner);
    sim.until("others took the domains over", |sim| {
        let frozen = sim.node(owner);
        let others = sim.running().into_iter().filter(|node| !Arc::ptr_eq(node, &frozen));
        let owned = others.flat_map(|node| node.node.owned());
        owned.filter(|owned| owned.settled).count() == DOMAINS.len()
    })
    .await;
    sim.thaw(owner, |node| {
        assert_eq!(node.node.owned(), before, "it still believes that it owns them");
        for owned in &before {
            assert!(!node.node.may_order(&owned.domain, owned.term));
        }
    });
    all_well(&mut sim).await;
    let again = sim.node(owner).node.me();
    assert!(again.incarnation.0 > 1, "taken for dead, so it joined anew");
}

#[tokio::test(start_paused = true)]
async fn a_node_restarted_empty_comes_back_as_another_member() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    let number = in_force(&mut sim, 0, "before").await;
    let before = sim.node(4).node.me();
    sim.kill(4);
    sim.boot(4);
    let restarted = sim.node(4);
    assert!(!restarted.node.with_tracker(|tracker| tracker.counts()));
    sim.until("it counts again", |_| restarted.node.with_tracker(|tracker| tracker.counts())).await;
    assert!(restarted.node.me() > before);
    assert!(holds(&restarted, number));
    all_well(&mut sim).await;
}

#[tokio::test(start_paused = true)]
async fn an_outage_of_the_table_stops_changes_and_nothing_else() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    sim.table.out.store(true, SeqCst);
    sim.run(WINDOW * 10).await;
    for node in sim.running() {
        let evidence = node.node.current().expect("a majority answers");
        assert_ne!(evidence.kind, EvidenceKind::Table);
    }
    assert_eq!(sim.settled_domains(), DOMAINS.len(), "owners stay owners");
    let request = SubmitRequest { ticket: workspace_ticket("out", "out"), expect: None };
    let status = sim.node(0).tickets.submit(request).await;
    assert!(matches!(status, TicketStatus::Refused { .. }), "{status:?}");
    // A new process fills its memory from its peers; it is no member and counts for nobody.
    sim.kill(4);
    sim.boot(4);
    *sim.hosts.entries.lock().unwrap() = support::entry_hosts(5, &DOMAINS);
    let fresh = sim.node(4);
    sim.until("the new process is current by its peers", |_| fresh.node.current().is_some()).await;
    assert!(!fresh.node.is_member());
    sim.table.out.store(false, SeqCst);
    all_well(&mut sim).await;
}

#[tokio::test(start_paused = true)]
async fn a_ticket_whose_answer_was_lost_keeps_its_number() {
    let mut sim = Sim::start(3, &DOMAINS).await;
    let request = SubmitRequest { ticket: workspace_ticket("once", "once"), expect: None };
    let node = sim.node(1);
    for _ in 0..3 {
        sim.table.lose_answers.store(1, SeqCst);
        let status = node.tickets.submit(request.clone()).await;
        let is_first = matches!(
            status,
            TicketStatus::Accepted { number: TicketNumber(1) }
                | TicketStatus::Pending { number: TicketNumber(1), .. }
        );
        assert!(is_first, "{status:?}");
    }
    sim.table.lose_answers.store(0, SeqCst);
    assert_eq!(node.node.state().head.ticket, TicketNumber(1));
    all_well(&mut sim).await;
}

#[tokio::test(start_paused = true)]
async fn a_write_that_lands_late_takes_effect_once_or_never() {
    let mut sim = Sim::start(3, &DOMAINS).await;
    let node = sim.node(1);
    // The first two writes hang; the third is answered, so the first two must fail when they land.
    sim.table.hold_commits.store(2, SeqCst);
    let number = submit(&node, "late").await;
    assert_eq!(number, TicketNumber(1));
    assert_eq!(sim.table.land(), 0, "their condition fails");
    // A write hangs and lands before the writer looks again.
    sim.table.hold_commits.store(1, SeqCst);
    let submitted = tokio::spawn({
        let node = node.clone();
        async move { submit(&node, "landed").await }
    });
    while sim.table.hold_commits.load(SeqCst) > 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(sim.table.land(), 1);
    assert_eq!(submitted.await.unwrap(), TicketNumber(2), "found by its submission id");
    all_well(&mut sim).await;
    assert_eq!(sim.node(0).node.state().desired.workspaces.len(), 3);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_written_at_rest() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    sim.run(WINDOW).await;
    let (commits, reads) = (sim.table.commits.load(SeqCst), sim.table.reads.load(SeqCst));
    let seconds = 60;
    sim.run(Duration::from_secs(seconds)).await;
    assert_eq!(sim.table.commits.load(SeqCst), commits);
    let reads = sim.table.reads.load(SeqCst) - reads;
    // Each of the 5 nodes looks at the head twice a second here.
    assert!(reads <= 5 * 2 * (seconds + 1), "{reads} reads in {seconds} s");
}

#[tokio::test(start_paused = true)]
async fn racing_operators_get_one_order_and_the_truth() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    let submits = (0..5).flat_map(|at| (0..4).map(move |number| (at, number)));
    let tasks: Vec<_> = submits
        .map(|(at, number)| {
            let node = sim.node(at);
            tokio::spawn(async move { submit(&node, &format!("op-{at}-{number}")).await })
        })
        .collect();
    let mut numbers = Vec::new();
    for task in tasks {
        numbers.push(task.await.unwrap().0);
    }
    numbers.sort_unstable();
    assert_eq!(numbers, (1..=20).collect::<Vec<_>>(), "each ticket has its own number");
    let expecting = (0..5).map(|at| {
        let node = sim.node(at);
        let ticket = workspace_ticket(&format!("expect-{at}"), "same");
        let request = SubmitRequest { ticket, expect: Some(TicketNumber(20)) };
        tokio::spawn(async move { node.tickets.submit(request).await })
    });
    let expecting: Vec<_> = expecting.collect();
    let mut refused = 0;
    for task in expecting {
        let status = task.await.unwrap();
        refused += usize::from(matches!(status, TicketStatus::Refused { .. }));
    }
    assert_eq!(refused, 4, "one of those that expect ticket 20 is accepted");
    all_well(&mut sim).await;
    let state = sim.node(3).node.state();
    assert_eq!(state.desired.workspaces.len(), 22);
}

#[tokio::test(start_paused = true)]
async fn members_replaced_one_after_another_lose_nothing() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    for index in 0..5 {
        let number = in_force(&mut sim, (index + 1) % 5, &format!("round-{index}")).await;
        sim.stop(index).await;
        sim.boot(index);
        sim.until("the new member counts", |sim| {
            sim.node(index).node.with_tracker(|tracker| tracker.counts())
        })
        .await;
        assert!(sim.running().iter().all(|node| holds(node, number)));
    }
    all_well(&mut sim).await;
    let state = sim.node(0).node.state();
    assert_eq!(state.view.members.len(), 5);
    assert!(state.view.members.iter().all(|row| row.member.incarnation.0 == 2));
}

#[tokio::test(start_paused = true)]
async fn forty_members_join_at_once() {
    let members = 40;
    let mut sim = Sim::start(members, &DOMAINS).await;
    let commits = sim.table.commits.load(SeqCst);
    // One for each member, and for each domain at most one; nobody writes twice.
    assert!(commits <= (members + DOMAINS.len()) as u64, "{commits} commits");
    let number = in_force(&mut sim, 7, "with-forty").await;
    assert!(sim.running().iter().all(|node| holds(node, number)));
}

#[tokio::test(start_paused = true)]
async fn killed_members_are_replaced_and_their_domains_taken_over() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    sim.kill(3);
    sim.kill(4);
    sim.until("the dead are out of the view", |sim| {
        sim.node(0).node.state().view.members.len() == 3
    })
    .await;
    sim.until("every domain is settled again", |sim| sim.settled_domains() == DOMAINS.len()).await;
    in_force(&mut sim, 1, "with-three").await;
    sim.boot(3);
    sim.boot(4);
    sim.until("all are back", |sim| sim.node(0).node.state().view.members.len() == 5).await;
    all_well(&mut sim).await;
}

#[tokio::test(start_paused = true)]
async fn two_failure_domains_parted_from_the_third_go_on() {
    let mut sim = Sim::start(6, &DOMAINS).await;
    // Nodes 2 and 5 stand in the third failure domain, without the table.
    for index in [2, 5] {
        sim.set_side(index, 1);
        sim.cut_table(index, true);
    }
    sim.run(WINDOW + Duration::from_millis(100)).await;
    assert!([2, 5].iter().all(|index| sim.node(*index).node.current().is_none()));
    let number = in_force(&mut sim, 0, "parted").await;
    assert!(!holds(&sim.node(2), number));
    for index in [2, 5] {
        sim.set_side(index, 0);
        sim.cut_table(index, false);
    }
    all_well(&mut sim).await;
}

#[tokio::test(start_paused = true)]
async fn a_change_on_the_smaller_side_waits_for_a_majority() {
    let mut sim = Sim::start(6, &DOMAINS).await;
    // Only the third failure domain reaches the table.
    for index in [0, 1, 3, 4] {
        sim.set_side(index, 1);
        sim.cut_table(index, true);
    }
    sim.run(WINDOW * 2).await;
    let small = sim.node(2);
    let number = submit(&small, "parted").await;
    sim.run(FORCE_LIMIT).await;
    let status = small.tickets.status(number);
    assert!(
        matches!(&status, TicketStatus::Pending { missing, .. } if missing.len() == 4),
        "{status:?}"
    );
    for index in [0, 1, 3, 4] {
        assert!(sim.node(index).node.current().is_some(), "a majority goes on without the table");
        sim.set_side(index, 0);
        sim.cut_table(index, false);
    }
    let healed = sim
        .until("the change is in force", |_| {
            small.tickets.status(number) == TicketStatus::Accepted { number }
        })
        .await;
    assert!(healed <= FORCE_LIMIT, "{healed:?}");
    all_well(&mut sim).await;
}
