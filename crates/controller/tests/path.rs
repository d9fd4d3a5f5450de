//! Two controllers in one process: they join, own the fabric domains, accept a ticket and answer polls
//! of gateways.

mod support;

use {
    base::{HostId, TicketNumber},
    controller::{
        groups::port::DomainAuthority,
        operator::tickets::TicketService,
        state::{reader::StateReader, sync::TableSync, writer::ChangeWriter},
    },
    freshness::EvidenceKind,
    peer::{GatewayPoll, MessageCodec, PROTOCOL_VERSION, PeerClient, PeerReply, PeerRequest},
    std::{
        sync::{Arc, atomic::Ordering::SeqCst},
        time::Duration,
    },
    support::{TestCluster, TestNode, eventually, settings, workspace_ticket},
};

fn ticket_service(cluster: &TestCluster, at: &TestNode) -> TicketService {
    let reader = StateReader::new(cluster.table.clone(), at.node.clock().clone());
    TicketService::new(ChangeWriter::new(TableSync::new(reader, at.node.clone())))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_controllers_serve_tickets_gateways_and_handover() {
    let cluster = TestCluster::with_domains(&["fabric-1", "fabric-2", "fabric-3"]);
    let one = cluster.start("entry-1").await;
    let two = cluster.start("entry-2").await;
    eventually("both are members", || {
        one.node.state().view.members.len() == 2 && two.node.state().view.members.len() == 2
    })
    .await;
    eventually("every domain is owned and settled", || {
        let owned = [one.node.owned(), two.node.owned()].concat();
        owned.len() == 3 && owned.iter().all(|domain| domain.settled)
    })
    .await;
    for node in [&one.node, &two.node] {
        assert!(node.owned().iter().all(|owned| node.may_order(&owned.domain, owned.term)));
    }

    let tickets = ticket_service(&cluster, &one);
    let request =
        admin::SubmitRequest { ticket: workspace_ticket("sub-1", "alerts"), expect: None };
    cluster.table.lose_answers.store(1, SeqCst);
    tickets.submit(request.clone()).await;
    let number = TicketNumber(1);
    eventually("the ticket is in force", || {
        tickets.status(number) == admin::TicketStatus::Accepted { number }
    })
    .await;
    assert_eq!(tickets.submit(request).await, admin::TicketStatus::Accepted { number });
    assert_eq!(two.node.state().head.ticket, number, "a ticket in force is held by every member");
    let late = admin::SubmitRequest {
        ticket: workspace_ticket("sub-2", "surveys"),
        expect: Some(TicketNumber(0)),
    };
    let refused = tickets.submit(late).await;
    assert!(
        matches!(refused, admin::TicketStatus::Refused { latest: Some(TicketNumber(1)), .. }),
        "{refused:?}"
    );

    let poll = GatewayPoll {
        host: HostId::new("entry-1").unwrap(),
        address: one.row.gateway_address,
        load: 10,
        head: Default::default(),
        digests: Vec::new(),
        hosts_seen: 0,
        demands: Vec::new(),
    };
    let client = PeerClient::new(Duration::from_secs(5));
    let request = PeerRequest::Poll(poll);
    let reply = client.request(one.row.peer_address, &request).await.unwrap();
    let PeerReply::Update(update) = reply else { panic!("{reply:?}") };
    assert!(update.age_ms.is_some(), "the controller is current");
    assert_eq!(update.state.unwrap().head.ticket, number);
    assert_eq!(update.gateways.len(), 1);
    // The other controller receives the gateway's address by gossip.
    let other = two.row.peer_address;
    let mut received = false;
    for _ in 0..500 {
        let request = PeerRequest::Poll(GatewayPoll {
            host: HostId::new("entry-2").unwrap(),
            address: two.row.gateway_address,
            load: 20,
            head: Default::default(),
            digests: Vec::new(),
            hosts_seen: 0,
            demands: Vec::new(),
        });
        let Ok(PeerReply::Update(update)) = client.request(other, &request).await else { continue };
        received = update.gateways.len() == 2;
        if received {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(received, "the update lists the gateways of both hosts");
    stop(one).await;
    let two = two;
    eventually("the leaving member's domains are owned by the other", || {
        two.node.owned().len() == 3 && two.node.state().view.members.len() == 1
    })
    .await;
    stop(two).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_protocol_versions_work_together() {
    let cluster = TestCluster::with_domains(&["fabric-1"]);
    let newer = MessageCodec::up_to(PROTOCOL_VERSION + 1);
    let old = cluster.start("entry-1").await;
    let new = cluster.start_as(settings("entry-2"), newer).await;
    eventually("both members count towards a majority", || {
        [&old, &new].iter().all(|at| at.node.with_tracker(|tracker| tracker.counts()))
    })
    .await;
    let rows = old.node.state().view.members.clone();
    let versions: Vec<u8> = rows.iter().map(|row| row.protocol).collect();
    assert_eq!(versions, [PROTOCOL_VERSION, PROTOCOL_VERSION + 1]);
    // While the table is unreachable, only reports in a common protocol version keep them current.
    cluster.table.unavailable.store(true, SeqCst);
    let window = old.node.timing().fresh.window;
    tokio::time::sleep(window * 3).await;
    eventually("both are current through reports of each other", || {
        [&old, &new].iter().all(|at| {
            let evidence = at.node.current();
            evidence.is_some_and(|evidence| evidence.kind != EvidenceKind::Table)
        })
    })
    .await;
    cluster.table.unavailable.store(false, SeqCst);
    stop(old).await;
    stop(new).await;
}

async fn stop(node: TestNode) {
    node.stop.cancel();
    node.task.await.unwrap();
    drop(Arc::clone(&node.node));
}
