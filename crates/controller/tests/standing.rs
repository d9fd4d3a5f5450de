//! Guards two guarantees while nodes, links and the table service fail: an accepted ticket comes into
//! force on every node and never reverts, and no two nodes may order in the same fabric domain. The
//! simulation checks every node after every step.

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

/// Longest time from the submission of a ticket until it is in force.
const FORCE_LIMIT: Duration = Duration::from_secs(9);
const WINDOW: Duration = Duration::from_secs(3);
const DOMAINS: [&str; 4] = ["fabric-1", "fabric-2", "fabric-3", "fabric-4"];

async fn submit(node: &SimNode, name: &str) -> TicketNumber {
    let request = SubmitRequest { ticket: workspace_ticket(name, name), expect: None };
    match node.tickets.submit(request).await {
        TicketStatus::Accepted { number } | TicketStatus::Pending { number, .. } => number,
        other => panic!("{other:?}"),
    }
}

/// Submits a ticket at a node, waits until it is in force and checks the time that took.
async fn commit_in_force(sim: &mut Sim, index: usize, name: &str) -> TicketNumber {
    let node = sim.node(index);
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

/// Submits another ticket and checks that every node becomes current and holds the newest state, and
/// that every domain has an owner that may order its engines.
async fn assert_recovered(sim: &mut Sim) {
    let number = commit_in_force(sim, 0, "afterwards").await;
    sim.until("all hold the newest state and are current", |sim| {
        sim.running().iter().all(|node| holds(node, number) && node.node.current().is_some())
    })
    .await;
    sim.until("every domain is settled", |sim| sim.settled_domains() == DOMAINS.len()).await;
}

#[tokio::test(start_paused = true)]
async fn a_node_without_the_table_stays_current_through_its_peers() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    sim.cut_table(4, true);
    sim.run(WINDOW * 3).await;
    let number = commit_in_force(&mut sim, 0, "while-cut").await;
    let cut = sim.node(4);
    assert!(holds(&cut, number));
    assert!(cut.node.current().is_some());
    sim.cut_table(4, false);
    assert_recovered(&mut sim).await;
}

#[tokio::test(start_paused = true)]
async fn a_node_without_peers_stays_current_through_the_table() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    sim.set_partition(4, 1);
    sim.run(WINDOW * 2).await;
    let cut = sim.node(4);
    assert_eq!(cut.node.current().unwrap().kind, EvidenceKind::Table);
    let number = commit_in_force(&mut sim, 0, "while-cut").await;
    assert!(holds(&cut, number));
    sim.set_partition(4, 0);
    assert_recovered(&mut sim).await;
}

#[tokio::test(start_paused = true)]
async fn a_node_without_table_and_peers_is_isolated_until_it_reconnects() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    sim.cut_table(4, true);
    sim.set_partition(4, 1);
    sim.run(WINDOW + Duration::from_millis(100)).await;
    let cut = sim.node(4);
    assert!(cut.node.current().is_none(), "the node has no recent evidence");
    let number = commit_in_force(&mut sim, 0, "while-cut").await;
    assert!(!holds(&cut, number));
    sim.cut_table(4, false);
    sim.set_partition(4, 0);
    assert_recovered(&mut sim).await;
    assert!(holds(&cut, number));
}

#[tokio::test(start_paused = true)]
async fn a_resumed_node_is_not_current() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    sim.freeze(4);
    let number = commit_in_force(&mut sim, 0, "while-frozen").await;
    sim.thaw(4, |node| {
        assert!(node.node.current().is_none(), "its evidence expired while it was frozen");
        assert!(!holds(node, number));
    });
    assert_recovered(&mut sim).await;
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
        assert_eq!(node.node.owned(), before, "its known state still names it as the owner");
        for owned in &before {
            assert!(!node.node.may_order(&owned.domain, owned.term));
        }
    });
    assert_recovered(&mut sim).await;
    let again = sim.node(owner).node.me();
    assert!(again.incarnation.0 > 1, "it was considered down, so it joined again");
}

#[tokio::test(start_paused = true)]
async fn a_restarted_node_joins_as_another_member() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    let number = commit_in_force(&mut sim, 0, "before").await;
    let before = sim.node(4).node.me();
    sim.kill(4);
    sim.boot(4);
    let restarted = sim.node(4);
    assert!(!restarted.node.with_tracker(|tracker| tracker.counts()));
    sim.until("it counts again", |_| restarted.node.with_tracker(|tracker| tracker.counts())).await;
    assert!(restarted.node.me() > before);
    assert!(holds(&restarted, number));
    assert_recovered(&mut sim).await;
}

#[tokio::test(start_paused = true)]
async fn a_table_outage_stops_changes_only() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    sim.table.unavailable.store(true, SeqCst);
    sim.run(WINDOW * 10).await;
    for node in sim.running() {
        let evidence = node.node.current().expect("a majority answers");
        assert_ne!(evidence.kind, EvidenceKind::Table);
    }
    assert_eq!(sim.settled_domains(), DOMAINS.len(), "every owner remains");
    let request = SubmitRequest { ticket: workspace_ticket("out", "out"), expect: None };
    let status = sim.node(0).tickets.submit(request).await;
    assert!(matches!(status, TicketStatus::Refused { .. }), "{status:?}");
    // A new process gets its state from its peers. It is not a member, so its reports do not count.
    sim.kill(4);
    sim.boot(4);
    *sim.hosts.entries.lock().unwrap() = support::entry_hosts(5, &DOMAINS);
    let restarted = sim.node(4);
    sim.until("the new process is current through its peers", |_| {
        restarted.node.current().is_some()
    })
    .await;
    assert!(!restarted.node.is_member());
    sim.table.unavailable.store(false, SeqCst);
    assert_recovered(&mut sim).await;
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
    assert_recovered(&mut sim).await;
}

#[tokio::test(start_paused = true)]
async fn a_write_that_lands_late_takes_effect_once_or_never() {
    let mut sim = Sim::start(3, &DOMAINS).await;
    let node = sim.node(1);
    // The first two commits hang and the third succeeds, so the first two must fail when they arrive.
    sim.table.hold_commits.store(2, SeqCst);
    let number = submit(&node, "late").await;
    assert_eq!(number, TicketNumber(1));
    assert_eq!(sim.table.land(), 0, "their conditions no longer hold");
    // A commit hangs and takes effect before the writer reads the state again.
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
    assert_recovered(&mut sim).await;
    assert_eq!(sim.node(0).node.state().desired.workspaces.len(), 3);
}

#[tokio::test(start_paused = true)]
async fn an_idle_cluster_writes_nothing() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    sim.run(WINDOW).await;
    let (commits, reads) = (sim.table.commits.load(SeqCst), sim.table.reads.load(SeqCst));
    let seconds = 60;
    sim.run(Duration::from_secs(seconds)).await;
    assert_eq!(sim.table.commits.load(SeqCst), commits);
    let reads = sim.table.reads.load(SeqCst) - reads;
    // Each of the 5 nodes reads the head twice per second.
    assert!(reads <= 5 * 2 * (seconds + 1), "{reads} reads in {seconds} s");
}

#[tokio::test(start_paused = true)]
async fn concurrent_tickets_get_distinct_numbers_and_correct_outcomes() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    let submits = (0..5).flat_map(|index| (0..4).map(move |number| (index, number)));
    let tasks: Vec<_> = submits
        .map(|(index, number)| {
            let node = sim.node(index);
            tokio::spawn(async move { submit(&node, &format!("op-{index}-{number}")).await })
        })
        .collect();
    let mut numbers = Vec::new();
    for task in tasks {
        numbers.push(task.await.unwrap().0);
    }
    numbers.sort_unstable();
    assert_eq!(numbers, (1..=20).collect::<Vec<_>>(), "each ticket has its own number");
    let expecting = (0..5).map(|index| {
        let node = sim.node(index);
        let ticket = workspace_ticket(&format!("expect-{index}"), "same");
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
    assert_recovered(&mut sim).await;
    let state = sim.node(3).node.state();
    assert_eq!(state.desired.workspaces.len(), 22);
}

#[tokio::test(start_paused = true)]
async fn a_rolling_restart_loses_no_ticket() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    for index in 0..5 {
        let number = commit_in_force(&mut sim, (index + 1) % 5, &format!("round-{index}")).await;
        sim.stop(index).await;
        sim.boot(index);
        sim.until("the new member counts", |sim| {
            sim.node(index).node.with_tracker(|tracker| tracker.counts())
        })
        .await;
        assert!(sim.running().iter().all(|node| holds(node, number)));
    }
    assert_recovered(&mut sim).await;
    let state = sim.node(0).node.state();
    assert_eq!(state.view.members.len(), 5);
    assert!(state.view.members.iter().all(|row| row.member.incarnation.0 == 2));
}

#[tokio::test(start_paused = true)]
async fn forty_members_join_at_once() {
    let members = 40;
    let mut sim = Sim::start(members, &DOMAINS).await;
    let commits = sim.table.commits.load(SeqCst);
    // One commit for each member and at most one for each domain; no node repeats another's commit.
    assert!(commits <= (members + DOMAINS.len()) as u64, "{commits} commits");
    let number = commit_in_force(&mut sim, 7, "with-forty").await;
    assert!(sim.running().iter().all(|node| holds(node, number)));
}

#[tokio::test(start_paused = true)]
async fn killed_members_are_replaced_and_their_domains_taken_over() {
    let mut sim = Sim::start(5, &DOMAINS).await;
    sim.kill(3);
    sim.kill(4);
    sim.until("the killed members are removed from the view", |sim| {
        sim.node(0).node.state().view.members.len() == 3
    })
    .await;
    sim.until("every domain is settled again", |sim| sim.settled_domains() == DOMAINS.len()).await;
    commit_in_force(&mut sim, 1, "with-three").await;
    sim.boot(3);
    sim.boot(4);
    sim.until("all are back", |sim| sim.node(0).node.state().view.members.len() == 5).await;
    assert_recovered(&mut sim).await;
}

#[tokio::test(start_paused = true)]
async fn two_failure_domains_without_the_third_continue() {
    let mut sim = Sim::start(6, &DOMAINS).await;
    // Nodes 2 and 5 are the third failure domain; they lose the other nodes and the table.
    for index in [2, 5] {
        sim.set_partition(index, 1);
        sim.cut_table(index, true);
    }
    sim.run(WINDOW + Duration::from_millis(100)).await;
    assert!([2, 5].iter().all(|index| sim.node(*index).node.current().is_none()));
    let number = commit_in_force(&mut sim, 0, "parted").await;
    assert!(!holds(&sim.node(2), number));
    for index in [2, 5] {
        sim.set_partition(index, 0);
        sim.cut_table(index, false);
    }
    assert_recovered(&mut sim).await;
}

#[tokio::test(start_paused = true)]
async fn a_change_in_a_minority_partition_waits_for_a_majority() {
    let mut sim = Sim::start(6, &DOMAINS).await;
    // Only the third failure domain, nodes 2 and 5, reaches the table service.
    for index in [0, 1, 3, 4] {
        sim.set_partition(index, 1);
        sim.cut_table(index, true);
    }
    sim.run(WINDOW * 2).await;
    let minority = sim.node(2);
    let number = submit(&minority, "parted").await;
    sim.run(FORCE_LIMIT).await;
    let status = minority.tickets.status(number);
    assert!(
        matches!(&status, TicketStatus::Pending { missing, .. } if missing.len() == 4),
        "{status:?}"
    );
    for index in [0, 1, 3, 4] {
        assert!(
            sim.node(index).node.current().is_some(),
            "a majority stays current without the table"
        );
        sim.set_partition(index, 0);
        sim.cut_table(index, false);
    }
    let recovery = sim
        .until("the change is in force", |_| {
            minority.tickets.status(number) == TicketStatus::Accepted { number }
        })
        .await;
    assert!(recovery <= FORCE_LIMIT, "{recovery:?}");
    assert_recovered(&mut sim).await;
}
