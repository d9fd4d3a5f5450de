//! The operators' HTTP interface, including its handling of invalid input.

mod support;

use {
    base::{HostId, IdempotencyKey, WorkspaceId},
    infra::{ClaimRow, ClaimState, TableStore, Transaction, claim_key},
    std::net::SocketAddr,
    support::{TestCluster, TestNode},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
    yare::parameterized,
};

struct HttpReply {
    status: u16,
    body: String,
}

async fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> HttpReply {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    // The server may refuse a body before it has read all of it, so the write may fail.
    let _ = stream.write_all(body.as_bytes()).await;
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text).await;
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.unwrap_or_else(|| panic!("no answer: {text:?}"));
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned();
    HttpReply { status, body }
}

async fn stop(node: TestNode) {
    node.stop.cancel();
    node.task.await.unwrap();
}

#[parameterized(
    invalid_json = { "{", 400, "no ticket" },
    unknown_field = { r#"{"ticket": {"submission": "s", "group_set": []}}"#, 400, "group_set" },
    bad_name = { r#"{"ticket": {"submission": "s", "workspaces": [{"name": "a b"}]}}"#, 400, "' '" },
    no_submission = { r#"{"ticket": {"workspaces": [{"name": "a"}]}}"#, 200, "submission id" },
    duplicate_name = {
        r#"{"ticket": {"submission": "s", "workspaces": [{"name": "a"}, {"name": "a"}]}}"#,
        200,
        "refused"
    },
    unknown_removed = {
        r#"{"ticket": {"submission": "s", "removed": [{"workspace": "none"}]}}"#,
        200,
        "refused"
    },
)]
#[test_macro(tokio::test)]
async fn an_invalid_ticket_is_refused_with_a_reason_and_has_no_effect(
    body: &str,
    status: u16,
    expected: &str,
) {
    let cluster = TestCluster::with_domains(&[]);
    let node = cluster.start("entry-1").await;
    let answer = call(node.row.admin_address, "POST", "/v1/tickets", body).await;
    assert_eq!(answer.status, status, "{}", answer.body);
    assert!(answer.body.contains(expected), "{}", answer.body);
    assert_eq!(
        call(node.row.admin_address, "GET", "/v1/tickets/1", "").await.status,
        404,
        "no ticket was accepted"
    );
    stop(node).await;
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let cluster = TestCluster::with_domains(&[]);
    let node = cluster.start("entry-1").await;
    let body = " ".repeat(2 * 1024 * 1024);
    let answer = call(node.row.admin_address, "POST", "/v1/tickets", &body).await;
    assert!((400..500).contains(&answer.status), "{}", answer.status);
    stop(node).await;
}

/// Guards against a mismatch between the row that gateways write and the one that the controller
/// reads, which made this request fail with status 503.
#[parameterized(
    running = { ClaimState::Claimed, u64::MAX / 2_000_000, "running" },
    its_gateway_ended = { ClaimState::Claimed, 0, "unknown" },
    not_run = { ClaimState::NotRun, 0, "not_run" },
    too_large = { ClaimState::AnswerTooLarge, 0, "done_unkept" },
)]
#[test_macro(tokio::test)]
async fn the_state_of_a_claim_follows_from_its_row(
    state: ClaimState,
    deadline_ms: u64,
    expected: &str,
) {
    let cluster = TestCluster::with_domains(&[]);
    let node = cluster.start("entry-1").await;
    let workspace = WorkspaceId::new("alerts").unwrap();
    let key = IdempotencyKey::new("closure-17").unwrap();
    let row = ClaimRow {
        workspace: workspace.clone(),
        key: key.clone(),
        nonce: "n".into(),
        digest: "d".into(),
        gateway: HostId::new("entry-2").unwrap(),
        claimed_ms: 0,
        deadline_ms,
        state,
    };
    let text = serde_json::to_string(&row).unwrap();
    let write = Transaction::default().put(claim_key(&workspace, &key), text);
    cluster.table.commit(write).await.unwrap();
    let address = node.row.admin_address;
    let answer = call(address, "GET", "/v1/keys/alerts/closure-17", "").await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert!(answer.body.contains(expected), "{}", answer.body);
    assert!(answer.body.contains("entry-2"), "{}", answer.body);
    stop(node).await;
}

#[tokio::test]
async fn every_endpoint_answers() {
    let cluster = TestCluster::with_domains(&["fabric-1"]);
    let node = cluster.start("entry-1").await;
    support::eventually("the node is current", || node.node.current().is_some()).await;
    let endpoints = [
        ("/v1/state", "\"currency\""),
        ("/v1/groups", "\"domains\""),
        ("/v1/hosts", "fabric-1"),
        ("/v1/members", "\"members\""),
        ("/v1/tickets", "\"tickets\""),
        ("/metrics", "gf_controller_head"),
        ("/healthz", "ok"),
        ("/readyz", "current"),
    ];
    for (path, expected) in endpoints {
        let answer = call(node.row.admin_address, "GET", path, "").await;
        assert_eq!(answer.status, 200, "{path}: {}", answer.body);
        assert!(answer.body.contains(expected), "{path}: {}", answer.body);
    }
    let key = call(node.row.admin_address, "GET", "/v1/keys/alerts/none", "").await;
    assert_eq!(key.status, 404);
    stop(node).await;
}
