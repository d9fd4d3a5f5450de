//! News about limits of servers, as they travel between processes.

#[path = "support/plain_message.rs"]
mod plain_message;

use {
    base::{HostId, RatePerSecond},
    limit::LimitNotice,
    node::peers::{GossipMessage, LIMITS_PER_MESSAGE, LimitClaim, PeerSocket, PoisonClaim},
    plain_message::plain_message,
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// As many limits as a message may hold fit into a datagram, with the longest ids, and arrive.
#[tokio::test]
async fn the_largest_message_with_limits_arrives() {
    let notice = |index: usize| LimitNotice {
        server: HostId::new(format!("{index}{}", "i".repeat(127))).unwrap(),
        rate: index.is_multiple_of(2).then_some(RatePerSecond(f64::MAX)),
        age: Duration::new(u64::MAX, 999_999_999),
    };
    let notices = (0..LIMITS_PER_MESSAGE).map(notice).collect();
    let claim = LimitClaim { digest: u64::MAX, notices, ..Default::default() };
    let poison = Some(PoisonClaim::default());
    let sent = GossipMessage { poison, limits: Some(claim), ..plain_message() };
    let receiver = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = receiver.address().unwrap();
    let sender = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    // A socket sends only once the runtime has seen that it is writable.
    sleep(Duration::from_millis(50)).await;
    sender.send(&sent, address);
    let received = timeout(Duration::from_secs(2), receiver.receive()).await;
    assert_eq!(received.expect("the message did not arrive").0, sent);
}

/// During a rolling replacement the program's previous version reads these messages too: it stops
/// after the claim about parts of prompts.
#[test]
fn an_earlier_version_ignores_limits() {
    let claim = PoisonClaim { digest: 7, ..PoisonClaim::default() };
    let bytes = postcard::to_stdvec(&claim).unwrap();
    let with_limits = postcard::to_extend(&LimitClaim::default(), bytes).unwrap();
    assert_eq!(postcard::from_bytes::<PoisonClaim>(&with_limits).unwrap(), claim);
}
