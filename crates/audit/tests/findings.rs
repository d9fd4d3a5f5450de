//! What the checks of a configuration find, and what the comparison of two tells.

use {
    audit::{ConfigDraft, FindingLevel, HostRoute, ProcessBounds, check_draft, compare_drafts},
    base::{ByteCount, ModelName, ServiceName, WorkspaceId},
    node::{EngineService, ModelRule},
    relay::{MemorySettings, RequestKind, RouteRule, ServiceSplit, WorkspaceRule},
    std::time::Duration,
    yare::parameterized,
};

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).unwrap()
}

fn route(name: &str, prefix: &str, to: &str) -> HostRoute {
    let rule = RouteRule {
        name: name.into(),
        prefix: prefix.into(),
        kind: RequestKind::Safe,
        timeout: Duration::from_secs(5),
        attempts: 2,
        public: false,
        splits: vec![ServiceSplit { service: service(to), weight: 1.0 }],
    };
    HostRoute { host: "example.org".into(), rule }
}

fn workspace(name: &str, keys: &[&str]) -> WorkspaceRule {
    let keys = keys.iter().map(|key| (*key).into()).collect();
    WorkspaceRule { name: WorkspaceId::new(name).unwrap(), keys }
}

/// A configuration without any finding.
fn sound() -> ConfigDraft {
    let model = ModelRule {
        name: ModelName::new("m1").unwrap(),
        size: 4,
        share: 1.0,
        slowdown: 1.0,
        load_time: Duration::from_secs(16),
    };
    let engine = EngineService {
        name: service("pool"),
        slots: 8,
        models: vec![model],
        loads_per_s: 1.0,
        loads_at_once: 1,
    };
    ConfigDraft {
        version: 7,
        routes: vec![route("chat", "/chat/", "pool"), route("orders", "/chat/orders/", "shop")],
        services: vec![service("pool"), service("shop")],
        engines: vec![engine],
        workspaces: vec![workspace("acme", &["first-key", "second-key"])],
        ..ConfigDraft::default()
    }
}

const BOUNDS: ProcessBounds = ProcessBounds {
    memory: MemorySettings { limit: ByteCount(64_000_000) },
    grace: Duration::from_secs(8),
    allows_retries: true,
};

#[test]
fn a_sound_configuration_has_no_findings() {
    assert_eq!(check_draft(&sound(), Some(&BOUNDS)), []);
    assert_eq!(compare_drafts(&ConfigDraft { version: 6, ..sound() }, &sound()), []);
}

#[parameterized(
    no_routes = { |draft| draft.routes.clear(), "routes" },
    prefix = { |draft| draft.routes[0].rule.prefix = "/chat".into(), "routes[0] (chat)" },
    host = { |draft| draft.routes[1].host = "example.org:80".into(), "routes[1] (orders)" },
    no_service = { |draft| draft.routes[0].rule.splits.clear(), "routes[0] (chat)" },
    no_weight = { |draft| draft.routes[0].rule.splits[0].weight = 0.0, "routes[0] (chat)" },
    unknown_service = { |draft| { draft.services.pop(); }, "routes[1] (orders)" },
    no_time = { |draft| draft.routes[0].rule.timeout = Duration::ZERO, "routes[0] (chat)" },
    never_matches = {
        |draft| draft.routes.push(route("late", "/chat/", "shop")), "routes[2] (late)"
    },
    no_slots = { |draft| draft.engines[0].slots = 0, "services (pool).engine" },
    no_loads = { |draft| draft.engines[0].loads_per_s = 0.0, "services (pool).engine" },
    no_hosts = {
        |draft| draft.engines[0].models[0].size = 0, "services (pool).engine.models (m1)"
    },
    key_of_two = {
        |draft| draft.workspaces.push(workspace("other", &["first-key"])), "tenants[1] (other)"
    },
    no_bodies = { |draft| draft.limits.body_bytes = 0, "limits.max_body_bytes" },
    large_bodies = { |draft| draft.limits.body_bytes = 60_000_000, "limits.max_body_bytes" },
)]
fn an_error_names_its_entry(damage: fn(&mut ConfigDraft), place: &str) {
    let mut draft = sound();
    damage(&mut draft);
    let findings = check_draft(&draft, Some(&BOUNDS));
    let found = findings.iter().find(|finding| finding.place == place);
    assert_eq!(found.map(|finding| finding.level), Some(FindingLevel::Error), "{findings:?}");
}

#[parameterized(
    unused_service = { |draft| draft.services.push(service("idle")), "services[2] (idle)" },
    no_keys = { |draft| draft.workspaces.push(workspace("new", &[])), "tenants[1] (new)" },
    beyond_grace = {
        |draft| draft.routes[0].rule.timeout = Duration::from_secs(30), "routes[0] (chat)"
    },
    no_attempts = { |draft| draft.routes[0].rule.attempts = 0, "routes[0] (chat)" },
)]
fn a_warning_is_no_error(damage: fn(&mut ConfigDraft), place: &str) {
    let mut draft = sound();
    damage(&mut draft);
    let findings = check_draft(&draft, Some(&BOUNDS));
    assert!(findings.iter().all(|finding| finding.level == FindingLevel::Warning), "{findings:?}");
    assert!(findings.iter().any(|finding| finding.place == place), "{findings:?}");
}

#[parameterized(
    removed = { |draft| { draft.routes.pop(); }, "route orders (example.org/chat/orders/) is removed" },
    keyed = { |draft| draft.routes[0].rule.public = false, "route chat (example.org/chat/) needs a key from now on" },
    shorter = {
        |draft| draft.routes[1].rule.timeout = Duration::from_secs(1),
        "route orders (example.org/chat/orders/) has 1000 ms instead of 5000 ms"
    },
    key_gone = {
        |draft| draft.workspaces[0] = workspace("acme", &["first-key"]),
        "tenant acme loses seco...; 1 keys left"
    },
    tenant_gone = { |draft| draft.workspaces.clear(), "tenant acme is removed with all its keys" },
    model_gone = { |draft| draft.engines[0].models.clear(), "service pool serves model m1 no more" },
    old_version = { |draft| draft.version = 7, "version 7 is not above 7: it would never come into force" },
)]
fn what_is_taken_away_is_told(change: fn(&mut ConfigDraft), text: &str) {
    let mut old = sound();
    old.routes[0].rule.public = true;
    let mut new = ConfigDraft { version: 8, ..old.clone() };
    change(&mut new);
    let changes = compare_drafts(&old, &new);
    let told = changes.iter().find(|change| change.text == text);
    assert_eq!(told.map(|change| change.takes_away), Some(true), "{changes:?}");
}

/// A narrower route takes requests from a wider one, which the list of added routes alone hides.
#[test]
fn a_route_that_narrows_another_names_it() {
    let mut new = ConfigDraft { version: 8, ..sound() };
    new.routes.push(route("news", "/chat/news/", "shop"));
    let changes = compare_drafts(&sound(), &new);
    let texts: Vec<&str> = changes.iter().map(|change| change.text.as_str()).collect();
    assert_eq!(texts, ["route news (example.org/chat/news/) is added, taken from route chat"]);
}
