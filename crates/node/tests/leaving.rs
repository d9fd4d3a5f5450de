//! Servers that say in their answers that they are leaving.

#[path = "support/mod.rs"]
mod support;

use {
    base::{FailureDomainId, HostId, Incarnation, ManualClock, ServiceName, StoreEra},
    node::{
        ConfigStamp, ServerChange, ServerEntry, ServerStanding, WatchPage, WatchPosition,
        config_tracker::ConfigClaim,
        members::MemberTable,
        peers::{GossipMessage, HeadPace, LeavingNotice, PeerHeartbeat, PeerSocket},
        view::NodeView,
    },
    std::{sync::Arc, time::Duration},
    support::relay_shared,
};

fn entry(boot_id: u64) -> ServerChange {
    ServerChange::Listed(Box::new(ServerEntry {
        cold_left: Duration::ZERO,
        id: server(),
        address: ([127, 0, 0, 1], 80).into(),
        service: ServiceName::new("s").unwrap(),
        failure_domain: FailureDomainId::new("z").unwrap(),
        standing: ServerStanding::Live,
        boot_id: Some(boot_id),
        fabric_domain: None,
        facts: None,
    }))
}

fn server() -> HostId {
    HostId::new("i-1").unwrap()
}

fn apply(view: &NodeView, changes: Vec<ServerChange>, version: u64, is_snapshot: bool) {
    let position = WatchPosition { era: StoreEra(0), version };
    view.apply_servers(WatchPage { changes, position, is_snapshot, age: None });
}

fn standing(view: &NodeView) -> Option<ServerStanding> {
    view.with(|state| state.servers.entry(&server()).map(|entry| entry.standing))
}

fn new_view(clock: Arc<ManualClock>) -> NodeView {
    let members = MemberTable::new(HostId::new("n0").unwrap());
    NodeView::new(members, Arc::new(relay_shared(clock)))
}

/// The entry goes on saying that the server is ready, is dropped and comes back: none of it matters
/// until the server is started again.
#[test]
fn leaving_outlasts_entries_that_say_otherwise() {
    let view = new_view(Arc::new(ManualClock::new()));
    apply(&view, vec![entry(7)], 1, true);
    let notice = view.note_own_leaving(&server()).expect("it was not known");
    assert_eq!(notice, LeavingNotice { server: server(), boot_id: Some(7) });
    assert!(view.note_own_leaving(&server()).is_none(), "the others are told once");
    apply(&view, vec![entry(7)], 2, false);
    assert_eq!(standing(&view), Some(ServerStanding::Leaving));
    apply(&view, vec![ServerChange::Dropped(server())], 3, false);
    apply(&view, vec![entry(7)], 4, true);
    assert_eq!(standing(&view), Some(ServerStanding::Leaving));
    apply(&view, vec![entry(8)], 5, false);
    assert_eq!(standing(&view), Some(ServerStanding::Live), "another start of the server");
}

#[test]
fn a_notice_counts_before_the_server_is_listed_and_not_for_a_later_start() {
    let view = new_view(Arc::new(ManualClock::new()));
    assert!(view.note_leaving(&LeavingNotice { server: server(), boot_id: Some(7) }));
    apply(&view, vec![entry(7)], 1, true);
    assert_eq!(standing(&view), Some(ServerStanding::Leaving));
    apply(&view, vec![entry(8)], 2, false);
    assert!(!view.note_leaving(&LeavingNotice { server: server(), boot_id: Some(7) }));
    assert_eq!(standing(&view), Some(ServerStanding::Live));
}

/// During a rolling replacement the program's previous version reads these messages too.
#[tokio::test]
async fn notices_travel_behind_the_fields_that_earlier_versions_know() {
    let receiver = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = receiver.address().unwrap();
    let sender = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let plain = GossipMessage {
        own: PeerHeartbeat { incarnation: Incarnation(5), counter: 9, leaving: false },
        forwarded: Vec::new(),
        config_version: 12,
        in_traffic: true,
        stalled: Vec::new(),
        broken: Vec::new(),
        loads: Vec::new(),
        paces: Vec::new(),
        leaving_servers: Vec::new(),
        config: None,
        poison: None,
        limits: None,
        turn: None,
    };
    let notice = LeavingNotice { server: server(), boot_id: Some(7) };
    let with_notice = GossipMessage { leaving_servers: vec![notice], ..plain.clone() };
    // A socket sends only once the runtime has seen that it is writable.
    tokio::time::sleep(Duration::from_millis(50)).await;
    let stamp = ConfigStamp { version: 12, era: StoreEra(3) };
    let config = Some(ConfigClaim { stamp, age_ms: Some(900) });
    let with_claim = GossipMessage { config, ..plain.clone() };
    let with_both = GossipMessage { config, ..with_notice.clone() };
    let paces = vec![HeadPace { head: server(), percent: 500 }];
    let with_paces = GossipMessage { paces, ..with_both.clone() };
    for message in [&plain, &with_notice, &with_claim, &with_both, &with_paces] {
        sender.send(message, address);
        let received = tokio::time::timeout(Duration::from_secs(2), receiver.receive());
        assert_eq!(received.await.expect("no message arrived").0, *message);
    }
    let encoded = [postcard::to_stdvec(&with_notice).unwrap(), vec![1, 2, 3]].concat();
    let read: GossipMessage = postcard::from_bytes(&encoded).unwrap();
    assert_eq!(read, plain, "bytes after the known fields are ignored");
}
