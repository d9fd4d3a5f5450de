//! Starts a world inside the test, and a plain HTTP client.

#![allow(dead_code, reason = "each test file uses its own part")]

use {
    base::{
        Epoch, FabricDomainId, FailureDomainId, GroupId, HostId, ModelName, ModelVersion,
        OrderSequence, RegionId, ServiceName, Term,
    },
    bytes::Bytes,
    engine::{
        EngineControl, EngineMember, EngineOrder, EnginePhase, LoadOrder, OrderAnswer,
        OrderCommand, http::HttpEngineControl,
    },
    http::{Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    standin::{
        StandinSettings, World,
        fault::{Fault, FaultRequest, FaultTarget},
        settings::{DomainSettings, EngineSettings, ServiceSettings},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
    tokio_util::sync::CancellationToken,
};

/// Longest wait for a condition.
const CONDITION_LIMIT: Duration = Duration::from_secs(20);
/// Longest wait of an adapter for an answer.
pub(crate) const CALL_LIMIT: Duration = Duration::from_millis(500);

/// Settings with one fabric domain of four hosts and one service.
pub(crate) fn settings() -> StandinSettings {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let failure_domain = FailureDomainId::new("fd-1").unwrap();
    let region = RegionId::new("local").unwrap();
    StandinSettings {
        host_lag_ms: 0,
        engine: EngineSettings { load_ms: 20, token_interval_ms: 5, ..EngineSettings::default() },
        fabric_domains: vec![DomainSettings {
            name: FabricDomainId::new("fab").unwrap(),
            failure_domain: failure_domain.clone(),
            region: region.clone(),
            hosts: 4,
            accelerators: 8,
            listen,
        }],
        services: vec![ServiceSettings {
            name: ServiceName::new("forms").unwrap(),
            failure_domains: vec![failure_domain],
            region,
            servers: 1,
            run_ms: 20,
            slots: 2,
            listen,
        }],
        ..StandinSettings::default()
    }
}

/// Starts a world; it ends with the returned guard.
pub(crate) fn start(settings: StandinSettings) -> (Arc<World>, tokio_util::sync::DropGuard) {
    let cancel = CancellationToken::new();
    let control = SocketAddr::from(([127, 0, 0, 1], 0));
    let world = World::start(settings, control, cancel.clone()).unwrap();
    (Arc::new(world), cancel.drop_guard())
}

/// Switches a fault that stays.
pub(crate) fn switch(world: &Arc<World>, fault: Fault) {
    world.apply(FaultRequest { fault, for_ms: None });
}

/// The target of one host.
pub(crate) fn host(name: &str) -> FaultTarget {
    FaultTarget::Hosts(vec![HostId::new(name).unwrap()])
}

/// The members `fab-h1` to `fab-h{count}`.
pub(crate) fn members(world: &World, count: usize) -> Vec<EngineMember> {
    let entries = &world.addresses().backend_servers;
    let member = |entry: &infra::HostEntry| EngineMember {
        host: entry.host.clone(),
        address: entry.address,
    };
    entries.iter().take(count).map(member).collect()
}

/// A load order for a group `g` of `count` members.
pub(crate) fn load_order(world: &World, count: usize, epoch: u64, slots: u32) -> LoadOrder {
    LoadOrder {
        group: GroupId::new("g").unwrap(),
        epoch: Epoch(epoch),
        model: ModelName::new("m").unwrap(),
        version: ModelVersion::new("v1").unwrap(),
        adapter: None,
        members: members(world, count),
        slots,
    }
}

/// An order of term 1.
pub(crate) fn order(sequence: u64, command: OrderCommand) -> EngineOrder {
    EngineOrder { term: Term(1), sequence: OrderSequence(sequence), command }
}

/// Forms the group `g` and waits until every member is ready; gives the first member's address.
pub(crate) async fn form_group(world: &World, count: usize, epoch: u64, slots: u32) -> SocketAddr {
    let control = HttpEngineControl::new(CALL_LIMIT);
    let load = load_order(world, count, epoch, slots);
    for member in &load.members {
        let command = OrderCommand::Load(load.clone());
        let answer = control.order(member.address, order(epoch, command)).await.unwrap();
        assert_eq!(answer, OrderAnswer::Accepted);
    }
    for member in &load.members {
        let address = member.address;
        wait_for("the member to be ready", async || {
            control.state(address).await.is_ok_and(|state| state.phase == EnginePhase::Ready)
        })
        .await;
    }
    load.members[0].address
}

/// Waits until `condition` holds.
pub(crate) async fn wait_for(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < CONDITION_LIMIT, "no sign of {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// A completion of the prompt `prompt` with the header of its attempt and further ones.
pub(crate) fn completion(
    address: SocketAddr,
    attempt: &str,
    prompt: &str,
    tokens: u64,
    headers: &[(&str, &str)],
) -> Request<Full<Bytes>> {
    let body = serde_json::json!({
        "model": "m",
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": true,
    });
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}/v1/completions"))
        .header("x-gf-group", "g")
        .header("x-gf-attempt", attempt);
    if !headers.iter().any(|(name, _)| *name == "x-gf-epoch") {
        request = request.header("x-gf-epoch", "1");
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Full::new(Bytes::from(body.to_string()))).unwrap()
}

/// An HTTP client.
pub(crate) fn client() -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Sends a request and waits for the head of its answer.
pub(crate) async fn send(request: Request<Full<Bytes>>) -> Response<Incoming> {
    client().request(request).await.unwrap()
}

/// What came of a stream: the events' JSON objects, and whether it ended by its end mark.
#[derive(Debug, Default)]
pub(crate) struct ReadStream {
    pub(crate) status: StatusCode,
    pub(crate) events: Vec<serde_json::Value>,
    pub(crate) done: bool,
}

impl ReadStream {
    /// The text of all events, in the order they came.
    pub(crate) fn text(&self) -> String {
        let texts = self.events.iter().map(|event| event["choices"][0]["text"].as_str().unwrap());
        texts.collect()
    }

    /// The numbers of the tokens, in the order they came.
    pub(crate) fn indexes(&self) -> Vec<u64> {
        self.events.iter().map(|event| event["gf_index"].as_u64().unwrap()).collect()
    }
}

/// Reads a stream until it ends or breaks.
pub(crate) async fn read_stream(response: Response<Incoming>) -> ReadStream {
    let mut read = ReadStream { status: response.status(), ..ReadStream::default() };
    let mut body = response.into_body();
    let mut text = String::new();
    while let Some(Ok(frame)) = body.frame().await {
        if let Some(data) = frame.data_ref() {
            text.push_str(std::str::from_utf8(data).unwrap());
        }
    }
    for event in text.split("\n\n").filter_map(|event| event.strip_prefix("data: ")) {
        match event {
            "[DONE]" => read.done = true,
            json => read.events.push(serde_json::from_str(json).unwrap()),
        }
    }
    read
}
