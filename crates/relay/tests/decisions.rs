//! Tests decisions about a request without a network: server choice, retry limits, routes, keys and
//! event boundaries.

use {
    base::{FailureDomainId, HostId, ModelName, ServiceName, Tick, WorkspaceId},
    bytes::Bytes,
    relay::{
        BackendServer, CallerLimits, ChoiceFacts, RelayConfig, RequestKind, RetryBudget,
        RetryLimits, RouteRule, ServerChoice, ServerLoad, ServiceSplit, WorkspaceRule,
        choose_beside_limits, choose_server, events::EventSplitter,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    yare::parameterized,
};

fn server(name: &str) -> BackendServer {
    BackendServer {
        id: HostId::new(name).unwrap(),
        address: ([127, 0, 0, 1], 9).into(),
        failure_domain: FailureDomainId::new("z").unwrap(),
        model: Some(ModelName::new("m").unwrap()),
        counters: Arc::default(),
    }
}

fn facts(sample: u64, now: Tick) -> ChoiceFacts<'static> {
    ChoiceFacts { tried: &[], sample, now, work: None }
}

fn chosen(choice: ServerChoice<'_>) -> String {
    match choice {
        ServerChoice::Server(server) => server.id.to_string(),
        ServerChoice::Full => "full".to_owned(),
        ServerChoice::NoCandidate => "no candidate".to_owned(),
    }
}

const NOW: Tick = Tick(1_000_000_000_000);

/// Load reports are equal on all processes: if each process took the least loaded server, that one
/// would get all requests until the next report.
#[test]
fn equal_load_reports_do_not_send_every_process_to_one_server() {
    let servers: Vec<BackendServer> = (0..6).map(|index| server(&format!("s{index}"))).collect();
    for (index, server) in servers.iter().enumerate() {
        let running = if index == 0 { 4 } else { 6 };
        server.counters.note_load(ServerLoad { running, waiting: 0, slots: 26 }, NOW);
    }
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    let mut sample = 1_u64;
    for _ in 0..6_000 {
        sample =
            sample.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let choice = choose_server(servers.iter(), &facts(sample >> 16, NOW));
        *counts.entry(chosen(choice)).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count < 3_000), "{counts:?}");
    assert!(counts.values().all(|count| *count <= counts["s0"]), "the least loaded: {counts:?}");
}

/// An idle server gets nearly every request for which it is one of the two compared servers, if the
/// others are nearly full.
#[test]
fn an_idle_server_is_found() {
    let servers: Vec<BackendServer> = (0..6).map(|index| server(&format!("s{index}"))).collect();
    for (index, server) in servers.iter().enumerate() {
        let running = if index == 0 { 0 } else { 20 };
        server.counters.note_load(ServerLoad { running, waiting: 0, slots: 26 }, NOW);
    }
    let mut idle = 0;
    let mut sample = 1_u64;
    for _ in 0..6_000 {
        sample =
            sample.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let choice = choose_server(servers.iter(), &facts(sample >> 16, NOW));
        idle += u32::from(chosen(choice) == "s0");
    }
    assert!(idle > 1_800, "chosen for {idle} of about 2,000 pairs that include it");
}

/// Requests queued beyond a server's slots are answered late and delay all later ones.
#[test]
fn full_servers_get_nothing_more() {
    let servers = [server("a"), server("b")];
    for server in &servers {
        server.counters.note_load(ServerLoad { running: 26, waiting: 4, slots: 26 }, NOW);
    }
    assert_eq!(chosen(choose_server(servers.iter(), &facts(0, NOW))), "full");
    servers[1].counters.note_load(ServerLoad { running: 20, waiting: 0, slots: 26 }, NOW);
    assert_eq!(chosen(choose_server(servers.iter(), &facts(0, NOW))), "b");
}

#[test]
fn a_load_report_decays() {
    let servers = [server("a")];
    servers[0].counters.note_load(ServerLoad { running: 26, waiting: 4, slots: 26 }, NOW);
    let later = NOW + Duration::from_secs(2);
    assert_eq!(chosen(choose_server(servers.iter(), &facts(0, later))), "a");
}

#[test]
fn servers_in_backoff_are_the_last_resort() {
    let servers = [server("a"), server("b")];
    servers[0].counters.note_failure(NOW, Duration::from_millis(800));
    for sample in 0..50 {
        assert_eq!(chosen(choose_server(servers.iter(), &facts(sample, NOW))), "b");
    }
    servers[1].counters.note_failure(NOW, Duration::from_millis(800));
    assert_ne!(chosen(choose_server(servers.iter(), &facts(0, NOW))), "no candidate");
}

#[test]
fn a_tried_server_is_not_tried_again() {
    let servers = [server("a")];
    let tried = [servers[0].id.clone()];
    let facts = ChoiceFacts { tried: &tried, sample: 0, now: NOW, work: None };
    assert_eq!(chosen(choose_server(servers.iter(), &facts)), "no candidate");
}

fn retry_limits() -> RetryLimits {
    RetryLimits { ratio: 0.2, slack: 260.0, window: Duration::from_secs(10) }
}

/// Twelve processes that each keep to their share keep to the limit together, in every window.
#[test]
fn all_processes_together_stay_within_the_retry_limit() {
    let service = ServiceName::new("pool").unwrap();
    let began = Tick(0);
    let budgets: Vec<RetryBudget> =
        (0..12).map(|_| RetryBudget::new(retry_limits(), began)).collect();
    let mut retries: Vec<Tick> = Vec::new();
    let mut requests: Vec<Tick> = Vec::new();
    for step in 0..4_000_u64 {
        let now = Tick(20_000_000_000 + step * 10_000_000);
        for budget in &budgets {
            if step % 7 == 0 {
                budget.note_request(&service, now);
                requests.push(now);
            }
            if budget.try_take(&service, budgets.len(), now) {
                retries.push(now);
            }
        }
    }
    for end in &retries {
        let window = |time: &&Tick| **time <= *end && end.since(**time) < retry_limits().window;
        let retry_count = retries.iter().filter(window).count() as f64;
        let request_count = requests.iter().filter(window).count() as f64;
        let bound = retry_limits().ratio * request_count + retry_limits().slack;
        assert!(retry_count <= bound, "{retry_count} retries in a window, limit {bound}");
    }
    assert!(!retries.is_empty());
}

/// A restarted process does not know how many retries its previous incarnation used.
#[test]
fn a_new_process_does_not_use_the_slack() {
    let service = ServiceName::new("pool").unwrap();
    let budget = RetryBudget::new(retry_limits(), NOW);
    assert!(!budget.try_take(&service, 1, NOW + Duration::from_secs(1)));
    for _ in 0..20 {
        budget.note_request(&service, NOW + Duration::from_secs(1));
    }
    assert!(budget.try_take(&service, 1, NOW + Duration::from_secs(1)));
    assert!(budget.try_take(&service, 1, NOW + Duration::from_secs(12)));
}

#[test]
fn changed_retry_limits_apply_at_once() {
    let service = ServiceName::new("s").unwrap();
    let budget = RetryBudget::new(retry_limits(), NOW);
    let later = NOW + Duration::from_secs(1);
    (0..20).for_each(|_| budget.note_request(&service, later));
    budget.set_limits(RetryLimits { ratio: 0.0, ..retry_limits() });
    assert!(!budget.try_take(&service, 1, later));
    budget.set_limits(retry_limits());
    assert!(budget.try_take(&service, 1, later));
}

/// A request that asked for a second server and stayed at the first one used up a retry of others.
#[test]
fn a_retry_that_is_not_used_is_given_back() {
    let service = ServiceName::new("s").unwrap();
    let budget = Arc::new(RetryBudget::new(retry_limits(), Tick(0)));
    budget.set_limits(RetryLimits { ratio: 0.0, slack: 2.5, ..retry_limits() });
    let first = budget.take_permit(&service, 1, NOW).unwrap();
    let second = budget.take_permit(&service, 1, NOW).unwrap();
    assert!(budget.take_permit(&service, 1, NOW).is_none());
    drop(first);
    let third = budget.take_permit(&service, 1, NOW).unwrap();
    second.spend();
    third.spend();
    assert!(!budget.try_take(&service, 1, NOW), "both were used");
}

fn route(name: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: name.into(),
        prefix: prefix.into(),
        kind: RequestKind::Safe,
        timeout: Duration::from_secs(1),
        attempts: 2,
        public: false,
        splits: vec![ServiceSplit { service: ServiceName::new("s").unwrap(), weight: 1.0 }],
    }
}

#[parameterized(
    longest = { "h", "/a/b/c", Some("long") },
    shorter = { "h", "/a/x", Some("short") },
    other_host = { "g", "/a/x", None },
    no_prefix = { "h", "/b/", None },
    part_of_a_segment = { "h", "/ab", None },
)]
fn the_longest_prefix_of_the_host_decides(host: &str, path: &str, wanted: Option<&str>) {
    let routes = vec![("h".into(), route("short", "/a/")), ("h".into(), route("long", "/a/b/"))];
    let config = RelayConfig::new(1, routes, Vec::new(), CallerLimits::default());
    assert_eq!(config.route(host, path).map(|rule| rule.name.as_str()), wanted);
}

#[test]
fn each_key_belongs_to_its_workspace() {
    let workspace = |name: &str, keys: &[&str]| WorkspaceRule {
        name: WorkspaceId::new(name).unwrap(),
        keys: keys.iter().map(|key| (*key).into()).collect(),
    };
    let workspaces = vec![workspace("a", &["k1", "k2"]), workspace("b", &["k3"])];
    let config = RelayConfig::new(1, Vec::new(), workspaces, CallerLimits::default());
    assert_eq!(config.workspace("k2").map(|name| name.as_str()), Some("a"));
    assert_eq!(config.workspace("k3").map(|name| name.as_str()), Some("b"));
    assert_eq!(config.workspace("k4"), None);
}

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\ndata: c\n\n";

/// However the bytes of a stream are split, the splitter returns only complete events, and no byte
/// is lost or duplicated.
#[test]
fn a_stream_split_anywhere_is_forwarded_in_whole_events() {
    for first in 0..STREAM.len() {
        for second in first..STREAM.len() {
            let mut splitter = EventSplitter::new(None);
            let mut passed = String::new();
            for part in [&STREAM[..first], &STREAM[first..second], &STREAM[second..]] {
                if let Some(events) =
                    splitter.push(Bytes::copy_from_slice(part.as_bytes())).unwrap()
                {
                    passed.push_str(std::str::from_utf8(&events).unwrap());
                    assert!(passed.ends_with("\n\n"));
                    assert!(STREAM.starts_with(&passed));
                    let whole = passed.matches("id:").count() as u64;
                    assert_eq!(splitter.last_id(), Some(whole));
                }
            }
            assert_eq!(passed, STREAM);
            assert!(!splitter.discard_partial());
        }
    }
}

#[test]
fn a_partial_event_is_discarded_before_another_server_resumes() {
    let mut splitter = EventSplitter::new(None);
    let part = Bytes::from_static(b"id: 4\ndata: a\n\nid: 5\ndat");
    assert_eq!(splitter.push(part).unwrap().unwrap(), "id: 4\ndata: a\n\n");
    assert!(splitter.discard_partial());
    assert_eq!(splitter.last_id(), Some(4));
    let next = Bytes::from_static(b"id: 5\ndata: b\n\n");
    assert_eq!(splitter.push(next).unwrap().unwrap(), "id: 5\ndata: b\n\n");
}

#[test]
fn an_endless_event_is_rejected() {
    let mut splitter = EventSplitter::new(None);
    let part = Bytes::from(vec![b'x'; 64 * 1024]);
    let results: Vec<bool> = (0..8).map(|_| splitter.push(part.clone()).is_err()).collect();
    assert!(results.contains(&true));
}

/// Servers with a limit have room for one request now and then. Picked at random like the others, they
/// kept half of their room while the others filled up.
#[test]
fn room_below_a_limit_is_used_before_other_servers_fill_up() {
    let others: Vec<BackendServer> = (0..6).map(|index| server(&format!("s{index}"))).collect();
    for other in &others {
        other.counters.note_load(ServerLoad { running: 20, waiting: 0, slots: 26 }, NOW);
    }
    let limited = [server("limited")];
    limited[0].counters.note_load(ServerLoad { running: 2, waiting: 0, slots: 26 }, NOW);
    let choose = |sample| choose_beside_limits(others.iter(), limited.iter(), &facts(sample, NOW));
    let sample = |number: u64| number.wrapping_mul(6_364_136_223_846_793_005) >> 8;
    let taken = (0..1_000).filter(|number| chosen(choose(sample(*number))) == "limited").count();
    assert!(taken >= 900, "{taken} of 1,000 requests use the room");
}

#[test]
fn a_server_with_a_limit_in_backoff_is_the_last_resort() {
    let (others, limited) = ([server("a")], [server("limited")]);
    limited[0].counters.note_failure(NOW, Duration::from_millis(800));
    for sample in 0..50 {
        let choice = choose_beside_limits(others.iter(), limited.iter(), &facts(sample, NOW));
        assert_eq!(chosen(choice), "a");
    }
    let choice = choose_beside_limits([].iter(), limited.iter(), &facts(0, NOW));
    assert_eq!(chosen(choice), "limited");
}
