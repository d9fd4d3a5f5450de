//! What a link does with traffic.

use {
    standin::{
        link::{LinkState, NetworkLink},
        serve::private_address,
    },
    std::time::{Duration, Instant},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::timeout,
    },
    tokio_util::sync::CancellationToken,
};

/// Longest time for something that should come at once.
const SOON: Duration = Duration::from_secs(2);
/// Time in which something would have come that must not.
const A_WHILE: Duration = Duration::from_millis(200);

/// A link in front of a server that answers each byte and tells of it.
struct LinkRig {
    link: NetworkLink,
    arrived: mpsc::UnboundedReceiver<u8>,
    _stop: tokio_util::sync::DropGuard,
}

impl LinkRig {
    async fn start() -> Self {
        let listener = TcpListener::bind(private_address()).await.unwrap();
        let stop = CancellationToken::new();
        let upstream = listener.local_addr().unwrap();
        let link = NetworkLink::open(private_address(), upstream, stop.clone()).unwrap();
        let (told, arrived) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let told = told.clone();
                tokio::spawn(async move {
                    while let Ok(byte) = stream.read_u8().await {
                        told.send(byte).unwrap();
                        stream.write_u8(byte).await.unwrap();
                    }
                });
            }
        });
        Self { link, arrived, _stop: stop.drop_guard() }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.link.address()).await.unwrap()
    }
}

#[tokio::test]
async fn a_delayed_link_passes_later() {
    let rig = LinkRig::start().await;
    rig.link.set_state(LinkState::Delayed(Duration::from_millis(80)));
    let mut caller = rig.connect().await;
    let began = Instant::now();
    caller.write_u8(7).await.unwrap();
    assert_eq!(timeout(SOON, caller.read_u8()).await.unwrap().unwrap(), 7);
    assert!(began.elapsed() >= Duration::from_millis(160), "once each way");
}

#[tokio::test]
async fn a_one_way_link_keeps_answers_back() {
    let mut rig = LinkRig::start().await;
    rig.link.set_state(LinkState::OneWay);
    let mut caller = rig.connect().await;
    caller.write_u8(7).await.unwrap();
    assert_eq!(timeout(SOON, rig.arrived.recv()).await.unwrap(), Some(7));
    assert!(timeout(A_WHILE, caller.read_u8()).await.is_err(), "an answer came");
    rig.link.set_state(LinkState::Open);
    assert_eq!(timeout(SOON, caller.read_u8()).await.unwrap().unwrap(), 7);
}

#[tokio::test]
async fn a_silent_link_keeps_everything_back() {
    let mut rig = LinkRig::start().await;
    let mut caller = rig.connect().await;
    rig.link.set_state(LinkState::Silent);
    caller.write_u8(7).await.unwrap();
    assert!(timeout(A_WHILE, rig.arrived.recv()).await.is_err(), "a byte came");
    rig.link.set_state(LinkState::Open);
    assert_eq!(timeout(SOON, caller.read_u8()).await.unwrap().unwrap(), 7);
}

#[tokio::test]
async fn a_resetting_link_ends_open_and_new_connections() {
    let rig = LinkRig::start().await;
    let mut open = rig.connect().await;
    open.write_u8(7).await.unwrap();
    assert_eq!(timeout(SOON, open.read_u8()).await.unwrap().unwrap(), 7);
    rig.link.set_state(LinkState::Reset);
    let kind = |ended: std::io::Result<u8>| ended.unwrap_err().kind();
    let ended = timeout(SOON, open.read_u8()).await.unwrap();
    assert_eq!(kind(ended), std::io::ErrorKind::ConnectionReset);
    let mut fresh = rig.connect().await;
    let ended = timeout(SOON, fresh.read_u8()).await.unwrap();
    assert_eq!(kind(ended), std::io::ErrorKind::ConnectionReset);
}
