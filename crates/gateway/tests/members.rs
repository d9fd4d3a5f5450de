//! A stalled group gets no new requests while one of its members is unavailable.

mod support;

use {
    base::{Epoch, GroupId, HostId, ModelName, ModelVersion, Term},
    engine::{EnginePhase, EngineState, LoadOrder},
    gateway::members::MemberProber,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    support::{
        client::CallerRequest,
        models::{Script, Step},
        reports::ScriptedReports,
        test_gateway::TestGateway,
    },
    tokio::time::sleep,
};

/// Longer than the time without tokens after which a group is stalled.
const STALL_WAIT: Duration = Duration::from_millis(1_050);

fn address_of(group: &GroupId) -> SocketAddr {
    let number = if group.as_str() == "g1" { 1 } else { 2 };
    ([127, 0, 0, 1], number).into()
}

/// Creates a gateway with a request in flight whose group sends no tokens; returns both.
async fn gateway_with_stalled_group() -> (TestGateway, GroupId) {
    let gateway = TestGateway::new().await;
    gateway.models.plan([Script::Silence]);
    let core = gateway.core.clone();
    let request = CallerRequest::chat(true).into_request();
    let kind = engine::CompletionKind::Chat;
    tokio::spawn(async move { gateway::serve::serve_completion(&core, kind, request).await });
    while gateway.models.dispatches().is_empty() {
        sleep(Duration::from_millis(1)).await;
    }
    let group = gateway.models.dispatches()[0].group.clone();
    (gateway, group)
}

async fn groups_of(gateway: &TestGateway, calls: usize) -> Vec<GroupId> {
    let before = gateway.models.dispatches().len();
    for _ in 0..calls {
        gateway.call(CallerRequest::chat(true)).await;
    }
    let later = gateway.models.dispatches().split_off(before);
    later.into_iter().map(|dispatch| dispatch.group).collect()
}

fn state_of(group: &GroupId, epoch: Epoch, phase: EnginePhase) -> EngineState {
    let order = LoadOrder {
        group: group.clone(),
        epoch,
        model: ModelName::new("tiny").unwrap(),
        version: ModelVersion::new("1").unwrap(),
        adapter: None,
        members: Vec::new(),
        slots: 8,
    };
    EngineState {
        host: HostId::new("host").unwrap(),
        boot: 1,
        term: Term(1),
        phase,
        order: Some(order),
        in_flight: 0,
        leaving: false,
    }
}

#[tokio::test(start_paused = true)]
async fn stalled_group_gets_no_requests_until_all_members_are_ready() {
    let (gateway, stalled) = gateway_with_stalled_group().await;
    let reports = Arc::new(ScriptedReports::default());
    reports.set_unreachable(address_of(&stalled), true);
    let mut prober = MemberProber::new(gateway.core.clone(), reports.clone());
    prober.probe_round().await;
    assert_eq!(reports.state_probe_count(), 0, "probed before the stall timeout");
    sleep(STALL_WAIT).await;
    prober.probe_round().await;
    assert!(!groups_of(&gateway, 40).await.contains(&stalled));
    reports.set_unreachable(address_of(&stalled), false);
    prober.probe_round().await;
    assert!(groups_of(&gateway, 40).await.contains(&stalled));
}

#[tokio::test(start_paused = true)]
async fn member_in_another_epoch_or_loading_is_not_ready() {
    let (gateway, stalled) = gateway_with_stalled_group().await;
    let epoch = gateway.models.dispatches()[0].epoch;
    let reports = Arc::new(ScriptedReports::default());
    let mut prober = MemberProber::new(gateway.core.clone(), reports.clone());
    prober.probe_round().await;
    sleep(STALL_WAIT).await;
    let other = state_of(&stalled, epoch.next(), EnginePhase::Ready);
    reports.set_state(address_of(&stalled), other);
    prober.probe_round().await;
    assert!(!groups_of(&gateway, 40).await.contains(&stalled));
    reports.set_state(address_of(&stalled), state_of(&stalled, epoch, EnginePhase::Loading));
    prober.probe_round().await;
    assert!(!groups_of(&gateway, 40).await.contains(&stalled));
    reports.set_state(address_of(&stalled), state_of(&stalled, epoch, EnginePhase::Ready));
    prober.probe_round().await;
    assert!(groups_of(&gateway, 40).await.contains(&stalled));
}

#[tokio::test(start_paused = true)]
async fn group_that_sends_tokens_is_not_probed() {
    let gateway = TestGateway::new().await;
    let reports = Arc::new(ScriptedReports::default());
    let mut prober = MemberProber::new(gateway.core.clone(), reports.clone());
    let pause = || Step::Pause(Duration::from_millis(250));
    let steps = (0..20).flat_map(|index| [pause(), Step::Token(index)]);
    gateway.models.plan([Script::Stream(steps.chain([Step::Last(20), Step::End]).collect())]);
    let core = gateway.core.clone();
    let request = CallerRequest::chat(true).into_request();
    let kind = engine::CompletionKind::Chat;
    let call = tokio::spawn(async move {
        support::test_gateway::read(gateway::serve::serve_completion(&core, kind, request).await)
            .await
    });
    while !call.is_finished() {
        prober.probe_round().await;
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(call.await.unwrap().tokens().0.len(), 21);
    assert_eq!(reports.state_probe_count(), 0);
}
