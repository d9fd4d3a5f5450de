//! Updates about parts of prompts that crash servers, as they travel between processes.

#[path = "support/plain_message.rs"]
mod plain_message;

use {
    base::{HostId, RatePerSecond},
    limit::LimitNotice,
    node::{
        config_tracker::ConfigClaim,
        peers::{GossipMessage, LimitClaim, PeerSocket, PoisonClaim, TurnClaim, split_update},
    },
    plain_message::plain_message,
    poison::{CrashNotice, PoisonUpdate, RefusalNotice, SoundNotice, SuspectId},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::time::Duration,
    tokio::{
        net::UdpSocket,
        time::{sleep, timeout},
    },
};

/// Every piece of the largest update that a process can have fits into a datagram and arrives.
#[tokio::test]
async fn large_update_arrives_in_pieces() {
    let long = Duration::new(1 << 32, 999_999_999);
    let part = |number: u64| SuspectId::part(u64::MAX - number);
    let request = |number: u64| SuspectId::request(u128::MAX - u128::from(number));
    let crash = |number: u64| CrashNotice {
        server: HostId::new("i".repeat(64)).unwrap(),
        prompt: request(number),
        suspects: (0..16).map(part).chain([request(number)]).collect(),
        age: long,
    };
    let sound = |number: u64| SoundNotice { suspect: request(number), age: long };
    let refusal = |number: u64| RefusalNotice {
        suspect: request(number),
        age: long,
        left: long,
        term: long,
        was_sound: true,
        probe_rank: u64::MAX,
    };
    let update = PoisonUpdate {
        crashes: (0..30).map(crash).collect(),
        sound: (0..100).map(sound).collect(),
        refused: (0..32).map(refusal).collect(),
    };
    let receiver = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = receiver.address().unwrap();
    let sender = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    // A socket sends only once the runtime has seen that it is writable.
    sleep(Duration::from_millis(50)).await;
    let mut arrived = PoisonUpdate::default();
    for piece in split_update(update.clone()) {
        let claim = PoisonClaim { digest: u64::MAX, update: piece };
        sender.send(&GossipMessage { poison: Some(claim), ..plain_message() }, address);
        let received = timeout(Duration::from_secs(2), receiver.receive());
        let piece = received.await.expect("the piece did not arrive").0.poison.unwrap().update;
        arrived.crashes.extend(piece.crashes);
        arrived.sound.extend(piece.sound);
        arrived.refused.extend(piece.refused);
    }
    assert_eq!(arrived, update);
}

/// During a rolling replacement the program's previous version reads these messages too: it stops
/// after the claim about the configuration.
#[test]
fn an_earlier_version_ignores_the_update() {
    let claim = plain_message().config.unwrap();
    let bytes = postcard::to_stdvec(&claim).unwrap();
    let with_update = postcard::to_extend(&PoisonClaim::default(), bytes).unwrap();
    assert_eq!(postcard::from_bytes::<ConfigClaim>(&with_update).unwrap(), claim);
}

/// Damaged datagrams are skipped, and the next proper one is received.
#[tokio::test]
async fn damaged_messages_are_skipped() {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let receiver = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = receiver.address().unwrap();
    let sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut message = plain_message();
    let sound = SoundNotice { suspect: SuspectId::part(7), age: Duration::from_millis(5) };
    let update = PoisonUpdate { sound: vec![sound], ..Default::default() };
    message.poison = Some(PoisonClaim { digest: 9, update });
    let rate = Some(RatePerSecond(4.5));
    let server = HostId::new("i-1").unwrap();
    let limit = LimitNotice { server, rate, age: Duration::from_millis(5) };
    message.limits = Some(LimitClaim { digest: 9, notices: vec![limit], ..Default::default() });
    let valid = [
        vec![1],
        postcard::to_stdvec(&message).unwrap(),
        postcard::to_stdvec(&message.leaving_servers).unwrap(),
        postcard::to_stdvec(&message.config.unwrap()).unwrap(),
        postcard::to_stdvec(&message.poison.clone().unwrap()).unwrap(),
        postcard::to_stdvec(&message.limits.clone().unwrap()).unwrap(),
    ]
    .concat();
    for _ in 0..500 {
        let mut bytes = valid.clone();
        for _ in 0..random.random_range(1..4) {
            let place = random.random_range(0..bytes.len());
            bytes[place] = random.random();
        }
        bytes.truncate(random.random_range(0..=bytes.len()));
        sender.send_to(&bytes, address).await.unwrap();
        sender.send_to(&valid, address).await.unwrap();
        // A damaged message may still be one, with other content.
        while timeout(Duration::from_secs(2), receiver.receive()).await.unwrap().0 != message {}
    }
}

/// A question for a turn and its reply arrive with the numbers that they had.
#[tokio::test]
async fn turn_claims_arrive() {
    let receiver = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let address = receiver.address().unwrap();
    let sender = PeerSocket::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    let claims = [
        TurnClaim::Ask { request: SuspectId::request(u128::MAX), number: u64::MAX },
        TurnClaim::Reply { number: 7, has_turn: true },
    ];
    for turn in claims {
        let message = GossipMessage {
            poison: Some(PoisonClaim::default()),
            limits: Some(LimitClaim::default()),
            turn: Some(turn),
            ..plain_message()
        };
        sender.send(&message, address);
        let received = timeout(Duration::from_secs(2), receiver.receive());
        assert_eq!(received.await.expect("it did not arrive").0, message);
    }
}
