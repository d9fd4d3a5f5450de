//! Decisions on a request's way, without a network.

use {
    base::{FailureDomainId, HostId, ModelName, ServiceName, Tick, WorkspaceId},
    bytes::Bytes,
    relay::{
        BackendServer, CallerLimits, ChoiceFacts, LoadWord, RelayConfig, RepeatBudget, RepeatTerms,
        RequestKind, RouteRule, ServerChoice, ServiceSplit, WorkspaceRule, choose_server,
        events::EventCutter,
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

fn facts(draw: u64, now: Tick) -> ChoiceFacts<'static> {
    ChoiceFacts { tried: &[], draw, now }
}

fn chosen(choice: ServerChoice<'_>) -> String {
    match choice {
        ServerChoice::Server(server) => server.id.to_string(),
        ServerChoice::Full => "full".to_owned(),
        ServerChoice::Nothing => "nothing".to_owned(),
    }
}

const NOW: Tick = Tick(1_000_000_000_000);

/// Every process sees the same words. The least loaded of all would get everything that arrives
/// until the next word.
#[test]
fn equal_words_do_not_send_every_process_to_one_server() {
    let servers: Vec<BackendServer> = (0..6).map(|at| server(&format!("s{at}"))).collect();
    for (at, server) in servers.iter().enumerate() {
        let running = if at == 0 { 4 } else { 6 };
        server.counters.note_load(LoadWord { running, waiting: 0, slots: 26 }, NOW);
    }
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    let mut draw = 1_u64;
    for _ in 0..6_000 {
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let choice = choose_server(servers.iter(), &facts(draw >> 16, NOW));
        *counts.entry(chosen(choice)).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count < 3_000), "{counts:?}");
    assert!(counts.values().all(|count| *count <= counts["s0"]), "the least loaded: {counts:?}");
}

/// A server without work next to others that are nearly full gets all that the pairs allow.
#[test]
fn an_idle_server_is_found() {
    let servers: Vec<BackendServer> = (0..6).map(|at| server(&format!("s{at}"))).collect();
    for (at, server) in servers.iter().enumerate() {
        let running = if at == 0 { 0 } else { 20 };
        server.counters.note_load(LoadWord { running, waiting: 0, slots: 26 }, NOW);
    }
    let mut idle = 0;
    let mut draw = 1_u64;
    for _ in 0..6_000 {
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let choice = choose_server(servers.iter(), &facts(draw >> 16, NOW));
        idle += u32::from(chosen(choice) == "s0");
    }
    assert!(idle > 1_800, "{idle} of 2,000 pairs with it");
}

/// What waits beyond the slots is answered late, and everything behind it too.
#[test]
fn full_servers_get_nothing_more() {
    let servers = [server("a"), server("b")];
    for server in &servers {
        server.counters.note_load(LoadWord { running: 26, waiting: 4, slots: 26 }, NOW);
    }
    assert_eq!(chosen(choose_server(servers.iter(), &facts(0, NOW))), "full");
    servers[1].counters.note_load(LoadWord { running: 20, waiting: 0, slots: 26 }, NOW);
    assert_eq!(chosen(choose_server(servers.iter(), &facts(0, NOW))), "b");
}

#[test]
fn a_full_word_fades() {
    let servers = [server("a")];
    servers[0].counters.note_load(LoadWord { running: 26, waiting: 4, slots: 26 }, NOW);
    let later = NOW + Duration::from_secs(2);
    assert_eq!(chosen(choose_server(servers.iter(), &facts(0, later))), "a");
}

#[test]
fn shunned_servers_are_the_last_resort() {
    let servers = [server("a"), server("b")];
    servers[0].counters.note_failure(NOW, Duration::from_millis(800));
    for draw in 0..50 {
        assert_eq!(chosen(choose_server(servers.iter(), &facts(draw, NOW))), "b");
    }
    servers[1].counters.note_failure(NOW, Duration::from_millis(800));
    assert_ne!(chosen(choose_server(servers.iter(), &facts(0, NOW))), "nothing");
}

#[test]
fn a_tried_server_is_not_tried_again() {
    let servers = [server("a")];
    let tried = [servers[0].id.clone()];
    let facts = ChoiceFacts { tried: &tried, draw: 0, now: NOW };
    assert_eq!(chosen(choose_server(servers.iter(), &facts)), "nothing");
}

fn terms() -> RepeatTerms {
    RepeatTerms { ratio: 0.2, slack: 260.0, window: Duration::from_secs(10) }
}

/// Twelve processes, each with its part: together they keep the bound in every window.
#[test]
fn all_processes_together_keep_the_bound_on_repeats() {
    let service = ServiceName::new("pool").unwrap();
    let began = Tick(0);
    let budgets: Vec<RepeatBudget> = (0..12).map(|_| RepeatBudget::new(terms(), began)).collect();
    let mut repeats: Vec<Tick> = Vec::new();
    let mut requests: Vec<Tick> = Vec::new();
    for step in 0..4_000_u64 {
        let now = Tick(20_000_000_000 + step * 10_000_000);
        for budget in &budgets {
            if step % 7 == 0 {
                budget.note_request(&service, now);
                requests.push(now);
            }
            if budget.take(&service, budgets.len(), now) {
                repeats.push(now);
            }
        }
    }
    for end in &repeats {
        let window = |time: &&Tick| **time <= *end && end.since(**time) < terms().window;
        let repeated = repeats.iter().filter(window).count() as f64;
        let asked = requests.iter().filter(window).count() as f64;
        let bound = terms().ratio * asked + terms().slack;
        assert!(repeated <= bound, "{repeated} repeats against {bound}");
    }
    assert!(!repeats.is_empty());
}

/// A process that was restarted does not know what its earlier life used.
#[test]
fn a_new_process_leaves_the_slack_alone() {
    let service = ServiceName::new("pool").unwrap();
    let budget = RepeatBudget::new(terms(), NOW);
    assert!(!budget.take(&service, 1, NOW + Duration::from_secs(1)));
    for _ in 0..20 {
        budget.note_request(&service, NOW + Duration::from_secs(1));
    }
    assert!(budget.take(&service, 1, NOW + Duration::from_secs(1)));
    assert!(budget.take(&service, 1, NOW + Duration::from_secs(12)));
}

#[test]
fn a_changed_bound_on_repeats_counts_at_once() {
    let service = ServiceName::new("s").unwrap();
    let budget = RepeatBudget::new(terms(), NOW);
    let later = NOW + Duration::from_secs(1);
    (0..20).for_each(|_| budget.note_request(&service, later));
    budget.change_terms(RepeatTerms { ratio: 0.0, ..terms() });
    assert!(!budget.take(&service, 1, later));
    budget.change_terms(terms());
    assert!(budget.take(&service, 1, later));
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

/// However a stream is cut into parts, what is passed on ends with a whole event, and nothing is
/// lost or doubled.
#[test]
fn a_stream_cut_anywhere_is_passed_on_by_whole_events() {
    for first in 0..STREAM.len() {
        for second in first..STREAM.len() {
            let mut cutter = EventCutter::new(None);
            let mut passed = String::new();
            for part in [&STREAM[..first], &STREAM[first..second], &STREAM[second..]] {
                if let Some(events) = cutter.push(Bytes::copy_from_slice(part.as_bytes())).unwrap()
                {
                    passed.push_str(std::str::from_utf8(&events).unwrap());
                    assert!(passed.ends_with("\n\n"));
                    assert!(STREAM.starts_with(&passed));
                    let whole = passed.matches("id:").count() as u64;
                    assert_eq!(cutter.last_id(), Some(whole));
                }
            }
            assert_eq!(passed, STREAM);
            assert!(!cutter.drop_partial());
        }
    }
}

#[test]
fn half_an_event_is_dropped_before_another_server_goes_on() {
    let mut cutter = EventCutter::new(None);
    let part = Bytes::from_static(b"id: 4\ndata: a\n\nid: 5\ndat");
    assert_eq!(cutter.push(part).unwrap().unwrap(), "id: 4\ndata: a\n\n");
    assert!(cutter.drop_partial());
    assert_eq!(cutter.last_id(), Some(4));
    let next = Bytes::from_static(b"id: 5\ndata: b\n\n");
    assert_eq!(cutter.push(next).unwrap().unwrap(), "id: 5\ndata: b\n\n");
}

#[test]
fn an_endless_event_is_given_up() {
    let mut cutter = EventCutter::new(None);
    let part = Bytes::from(vec![b'x'; 64 * 1024]);
    let results: Vec<bool> = (0..8).map(|_| cutter.push(part.clone()).is_err()).collect();
    assert!(results.contains(&true));
}
