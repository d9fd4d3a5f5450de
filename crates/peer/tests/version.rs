//! Communication between daemons of different versions, and rejection of malformed messages.

use {
    async_trait::async_trait,
    base::HeadNumber,
    peer::{
        CodecError, MessageCodec, PeerClient, PeerReply, PeerRequest, PeerServer, RequestHandler,
        TransportError,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
    yare::parameterized,
};

const OLD: u8 = 1;
const NEW: u8 = 2;

struct EchoHandler;

#[async_trait]
impl RequestHandler for EchoHandler {
    async fn handle(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::FetchState { at_least } => {
                PeerReply::Unavailable { reason: format!("requested {at_least}") }
            }
            _ => PeerReply::Done,
        }
    }
}

async fn serve(highest: u8, token: &CancellationToken) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let codec = MessageCodec::up_to(highest);
    let server = PeerServer::with_codec(Arc::new(EchoHandler), codec, Arc::default());
    tokio::spawn(server.run(listener, token.clone()));
    address
}

fn client(highest: u8) -> PeerClient {
    let codec = MessageCodec::up_to(highest);
    PeerClient::with_codec(Duration::from_secs(5), codec, Arc::default())
}

#[parameterized(
    old_client_new_server = { OLD, NEW },
    new_client_old_server = { NEW, OLD },
    new_client_new_server = { NEW, NEW },
)]
#[test_macro(tokio::test)]
async fn peers_use_the_greatest_common_version(client_version: u8, server_version: u8) {
    let token = CancellationToken::new();
    let address = serve(server_version, &token).await;
    let request = PeerRequest::FetchState { at_least: HeadNumber(7) };
    let client = client(client_version);
    for _ in 0..3 {
        let reply = client.request_as(address, server_version, &request).await.unwrap();
        assert_eq!(reply, PeerReply::Unavailable { reason: "requested 7".into() });
    }
    token.cancel();
}

#[tokio::test]
async fn a_request_of_an_unknown_version_is_refused_with_the_reason() {
    let token = CancellationToken::new();
    let address = serve(OLD, &token).await;
    let request = PeerRequest::FetchState { at_least: HeadNumber(7) };
    // The client wrongly assumes that the peer supports the new version.
    let reply = client(NEW).request_as(address, NEW, &request).await.unwrap();
    let PeerReply::Unavailable { reason } = reply else { panic!("{reply:?}") };
    assert!(reason.contains("version 2"), "{reason}");
    token.cancel();
}

#[tokio::test]
async fn a_request_to_an_unresponsive_peer_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = PeerClient::new(Duration::from_millis(50));
    let request = PeerRequest::FetchState { at_least: HeadNumber(1) };
    let error = client.request(address, &request).await.unwrap_err();
    assert!(matches!(error, TransportError::TimedOut { .. }), "{error}");
}

#[tokio::test]
async fn a_closed_idle_connection_is_replaced() {
    let token = CancellationToken::new();
    let address = serve(OLD, &token).await;
    let client = client(OLD);
    let request = PeerRequest::FetchState { at_least: HeadNumber(1) };
    client.request(address, &request).await.unwrap();
    token.cancel();
    let token = CancellationToken::new();
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let server = PeerServer::new(Arc::new(EchoHandler));
    tokio::spawn(server.run(listener, token.clone()));
    client.request(address, &request).await.unwrap();
    token.cancel();
}

#[parameterized(
    empty = { &[] },
    version_zero = { &[0, 1] },
    version_too_high = { &[9, 1] },
    no_value = { &[1] },
    unknown_variant = { &[1, 200] },
    trailing = { &[1, 0, 1, 1] },
)]
fn malformed_messages_are_rejected(bytes: &[u8]) {
    let codec = MessageCodec::default();
    let error = codec.decode::<PeerRequest>(bytes).unwrap_err();
    match bytes {
        [] => assert!(matches!(error, CodecError::Empty)),
        [0 | 9, ..] => assert!(matches!(error, CodecError::UnknownVersion { .. })),
        [1, 0, ..] => assert!(matches!(error, CodecError::Trailing { bytes: 1 })),
        _ => assert!(matches!(error, CodecError::Malformed { .. })),
    }
}
