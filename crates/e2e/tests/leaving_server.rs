//! A backend server that is leaving receives nothing new after 3 s, and what it runs is not cut.
//!
//! The host list says so, or the engine itself while the host list stays as it was, or the host
//! list while every gateway is cut off from the controllers.

use {
    base::HostId,
    e2e::{
        CallEnd, ClusterShape, LoadKind, LoadShape, SteadyLoad, TestCluster,
        checks::{contradictions, runs_started_after, service_runs_started_after},
    },
    infra::HostStanding,
    standin::fault::{Fault, FaultTarget, HostListFaults},
    std::time::Duration,
    tokio::time::sleep,
    yare::parameterized,
};

/// Longest time in which a leaving server still gets new work.
const LEAVE_LIMIT_MS: u64 = 3_000;
/// How long the load goes on after that.
const WATCHED: Duration = Duration::from_millis(LEAVE_LIMIT_MS + 2_000);
/// Tokens of a stream that runs past the limit.
const LONG_TOKENS: u64 = 400;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sign {
    HostList,
    Engine,
}

impl Sign {
    async fn give(self, cluster: &TestCluster, host: HostId) {
        match self {
            Self::HostList => {
                let standing = HostStanding::Leaving;
                cluster.switch(Fault::Standing { hosts: vec![host], standing }).await;
            }
            Self::Engine => {
                let faults = HostListFaults { lag_ms: 0, frozen: true };
                cluster.switch(Fault::HostList(faults)).await;
                let target = FaultTarget::Hosts(vec![host]);
                cluster.switch(Fault::Leaving { target, leaving: true }).await;
            }
        }
    }
}

#[parameterized(
    the_host_list_says_so = { Sign::HostList },
    the_engine_says_so_first = { Sign::Engine }
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_leaving_engine_gets_nothing_new(sign: Sign) {
    let cluster = TestCluster::start_serving(ClusterShape::default(), 2, 4).await;
    let caller = cluster.caller();
    let gateway = cluster.nodes[0].addresses.gateway;
    // The host of one of these streams leaves; all of them must still end whole.
    let longs: Vec<_> = (0..8).map(|_| caller.new_completion("long", LONG_TOKENS)).collect();
    let running = longs.iter().map(|long| caller.complete(gateway, long));
    let running = futures::future::join_all(running);
    let watching = async {
        sleep(Duration::from_millis(500)).await;
        let load = SteadyLoad::start(&cluster, LoadShape::default());
        let given = cluster.history().await;
        let long = given.runs.iter().find(|run| run.prompt == longs[0].prompt_name().as_str());
        let (host, given_ms) = (long.expect("the stream runs").host.clone(), given.now_ms);
        sign.give(&cluster, host.clone()).await;
        sleep(WATCHED).await;
        (load.stop().await, host, given_ms)
    };
    let (ends, (records, host, given_ms)) = tokio::join!(running, watching);
    let history = cluster.history().await;
    let late = runs_started_after(&history, &host, given_ms + LEAVE_LIMIT_MS);
    assert!(late.is_empty(), "{} prompts, first {:?}", late.len(), late.first());
    assert!(ends.iter().all(CallEnd::is_whole), "{ends:?}");
    assert_eq!(contradictions(&records, &history, |_| false), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_server_of_a_service_gets_nothing_new() {
    let shape = ClusterShape { service_servers: 3, ..ClusterShape::default() };
    let cluster = TestCluster::start_serving(shape, 1, 4).await;
    let kinds = vec![LoadKind::KeyedService];
    let load = SteadyLoad::start(&cluster, LoadShape { kinds, ..LoadShape::default() });
    sleep(Duration::from_millis(1_000)).await;
    let host = HostId::new("forms-s1").unwrap();
    let given = cluster.history().await;
    assert!(service_runs_started_after(&given, &host, 0) > 0);
    Sign::HostList.give(&cluster, host.clone()).await;
    sleep(WATCHED).await;
    let records = load.stop().await;
    let history = cluster.history().await;
    let limit_ms = given.now_ms + LEAVE_LIMIT_MS;
    assert_eq!(service_runs_started_after(&history, &host, limit_ms), 0);
    assert_eq!(contradictions(&records, &history, |_| false), Vec::<String>::new());
    assert!(records.iter().filter(|record| record.end.is_whole()).count() * 2 > records.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateways_cut_off_from_controllers_send_nothing_to_a_leaving_engine() {
    let cluster = TestCluster::start_serving(ClusterShape::default(), 1, 4).await;
    let load = SteadyLoad::start(&cluster, LoadShape::default());
    sleep(Duration::from_millis(1_000)).await;
    let host = cluster.serving_groups().await[0].members[0].host.clone();
    assert!(!runs_started_after(&cluster.history().await, &host, 0).is_empty());
    for node in &cluster.nodes {
        node.controller.as_ref().unwrap().pause();
    }
    let given_ms = cluster.history().await.now_ms;
    Sign::HostList.give(&cluster, host.clone()).await;
    sleep(WATCHED).await;
    let cut_off = cluster.history().await;
    for node in &cluster.nodes {
        node.controller.as_ref().unwrap().resume();
    }
    cluster.wait_answers().await;
    let records = load.stop().await;
    let late = runs_started_after(&cut_off, &host, given_ms + LEAVE_LIMIT_MS);
    assert!(late.is_empty(), "{} prompts, first {:?}", late.len(), late.first());
    let history = cluster.history().await;
    assert_eq!(contradictions(&records, &history, |_| false), Vec::<String>::new());
}
