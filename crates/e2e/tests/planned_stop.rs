//! A planned stop is a graceful shutdown: it cuts off no request in flight.

use {
    e2e::{
        CallEnd, ClusterShape, LoadKind, LoadShape, SteadyLoad, TestCluster,
        checks::{contradictions, count_ends},
    },
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Tokens of a stream that is open while its gateway or group is stopped.
const LONG_TOKENS: u64 = 300;
/// Requests in flight at the moment of the stop.
const LONG_STREAMS: usize = 8;
const BEFORE_STOP: Duration = Duration::from_millis(700);

/// Long streams through the gateway of entry host 0.
async fn long_streams(cluster: &TestCluster, tokens: u64) -> Vec<CallEnd> {
    let caller = cluster.caller();
    let gateway = cluster.nodes[0].addresses.gateway;
    let streams: Vec<_> =
        (0..LONG_STREAMS).map(|_| caller.new_completion("long", tokens)).collect();
    let running = streams.iter().map(|stream| caller.complete(gateway, stream));
    futures::future::join_all(running).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_gateway_cuts_off_nobody() {
    let mut cluster = TestCluster::start_serving(ClusterShape::default(), 2, 4).await;
    // These callers keep an address answer for a while, and come to the old address until then.
    let load = SteadyLoad::start(&cluster, LoadShape::default());
    let mut gateway = cluster.nodes[0].gateway.take().unwrap();
    let stopping = async {
        sleep(BEFORE_STOP).await;
        tokio::task::spawn_blocking(move || (gateway.stop().success(), gateway.log_end())).await
    };
    let (ends, stopped) = tokio::join!(long_streams(&cluster, LONG_TOKENS), stopping);
    let (success, log) = stopped.unwrap();
    assert!(success, "{log}");
    assert!(ends.iter().all(CallEnd::is_whole), "{ends:?}");
    let records = load.stop().await;
    let history = cluster.history().await;
    assert_eq!(contradictions(&records, &history, |_| false), Vec::<String>::new());
    assert_eq!(count_ends(&records).whole, records.len(), "{:?}", count_ends(&records));
}

/// A gateway whose stop limit is shorter than its requests dropped them without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_that_must_end_tells_the_callers_of_what_runs() {
    const STOP_LIMIT: Duration = Duration::from_secs(4);
    let gateway_stop_limit_ms = STOP_LIMIT.as_millis() as u64;
    let shape = ClusterShape { gateway_stop_limit_ms, ..ClusterShape::default() };
    let mut cluster = TestCluster::start_serving(shape, 2, 4).await;
    let kinds = vec![LoadKind::Completion, LoadKind::KeyedCompletion];
    let load = SteadyLoad::start(&cluster, LoadShape { kinds, ..LoadShape::default() });
    let mut gateway = cluster.nodes[0].gateway.take().unwrap();
    let stopping = async {
        sleep(BEFORE_STOP).await;
        let stop = move || {
            let begun = Instant::now();
            let success = gateway.stop().success();
            (success, begun.elapsed(), gateway.log_end())
        };
        tokio::task::spawn_blocking(stop).await
    };
    let (ends, stopped) = tokio::join!(long_streams(&cluster, 800), stopping);
    let (success, took, log) = stopped.unwrap();
    assert!(!success && took < STOP_LIMIT, "{took:?}: {log}");
    assert!(ends.iter().all(|end| *end == CallEnd::Cut), "{ends:?}");
    let ends = [r#"outcome="cut""#, r#"outcome="not-run""#];
    for line in ["ended-by-stop", ends[0], ends[1], "planned stop: ended"] {
        assert!(log.contains(line), "no line with {line}: {log}");
    }
    let records = load.stop().await;
    let history = cluster.history().await;
    assert_eq!(contradictions(&records, &history, |_| false), Vec::<String>::new());
    // Requests that came after the signal have longer deadlines than the rest of the stop.
    let ends = count_ends(&records);
    assert_eq!(ends.whole + ends.not_run, records.len(), "{ends:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_controller_cuts_off_nobody() {
    let shape = ClusterShape { entry_hosts: 3, ..ClusterShape::default() };
    let mut cluster = TestCluster::start_serving(shape, 2, 4).await;
    let load = SteadyLoad::start(&cluster, LoadShape::default());
    let mut controller = cluster.nodes[0].controller.take().unwrap();
    let stopping = async {
        sleep(BEFORE_STOP).await;
        tokio::task::spawn_blocking(move || (controller.stop().success(), controller.log_end()))
            .await
    };
    let (ends, stopped) = tokio::join!(long_streams(&cluster, LONG_TOKENS), stopping);
    let (success, log) = stopped.unwrap();
    assert!(success, "{log}");
    assert!(ends.iter().all(CallEnd::is_whole), "{ends:?}");
    cluster.wait_serving(2).await;
    let records = load.stop().await;
    let history = cluster.history().await;
    assert_eq!(contradictions(&records, &history, |_| false), Vec::<String>::new());
    assert_eq!(count_ends(&records).whole, records.len(), "{:?}", count_ends(&records));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_released_group_finishes_its_streams() {
    let cluster = TestCluster::start_serving(ClusterShape::default(), 2, 4).await;
    let shrinking = async {
        sleep(BEFORE_STOP).await;
        cluster.submit(&cluster.base_ticket(1, 4)).await;
    };
    let (ends, ()) = tokio::join!(long_streams(&cluster, LONG_TOKENS), shrinking);
    assert!(ends.iter().all(CallEnd::is_whole), "{ends:?}");
    cluster.wait_serving(1).await;
}
