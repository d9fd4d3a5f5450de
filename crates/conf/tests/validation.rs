//! All errors in a settings file or ticket are reported at once, each with line, path and remedy.

use {
    conf::{
        ConfigError, check_ticket, parse_settings, parse_ticket,
        settings::{ControllerSettings, GatewaySettings},
        ticket::{ChangeTicket, DesiredState, WorkspaceSpec},
    },
    yare::parameterized,
};

fn error_locations(errors: &[ConfigError]) -> Vec<(Option<usize>, String)> {
    errors.iter().map(|error| (error.line, error.path.to_string())).collect()
}

#[test]
fn all_errors_of_settings_are_reported() {
    let text = "\
host: entry-1
lisen: 127.0.0.1:7303
max_body_bytes: much
freshness:
  window_ms: -5
  marginn_ms: 3
retry_percent: 700
default_deadline_ms: 5000
max_deadline_ms: 4000
other_controllers:
  - 127.0.0.1:9
  - nowhere
";
    let report = parse_settings::<GatewaySettings>("gateway.yaml", text).unwrap_err();
    let expected = [
        (Some(2), "lisen"),
        (Some(3), "max_body_bytes"),
        (Some(5), "freshness.window_ms"),
        (Some(6), "freshness.marginn_ms"),
        (Some(7), "retry_percent"),
        (Some(8), "default_deadline_ms"),
        (Some(12), "other_controllers[1]"),
    ];
    let expected = expected.map(|(line, path)| (line, path.to_owned()));
    assert_eq!(error_locations(&report.errors), expected, "{report}");
    let first = report.to_string().lines().next().unwrap().to_owned();
    assert!(first.starts_with("gateway.yaml:2: lisen: unknown field; remove it"), "{first}");
}

#[parameterized(
    bad_syntax = { "host: [", "(root)" },
    doubled_field = { "host: a\nhost: b", "(root)" },
    window_below_poll = { "freshness: {window_ms: 400}", "peer_poll_ms" },
    same_address = { "admin_listen: 127.0.0.1:7301", "admin_listen" },
    bad_host = { "host: 'a b'", "host" },
    empty_filter = { "log_filter: ''", "log_filter" },
    wrong_format = { "log_format: xml", "log_format" },
    not_finite = { "head_poll_ms: .inf", "head_poll_ms" },
)]
fn invalid_controller_setting_is_reported_with_its_path(text: &str, path: &str) {
    let report = parse_settings::<ControllerSettings>("c.yaml", text).unwrap_err();
    assert!(report.errors.iter().any(|error| error.path.to_string() == path), "{report}");
}

#[test]
fn defaults_are_valid() {
    let gateway = parse_settings::<GatewaySettings>("g.yaml", "").unwrap();
    assert_eq!(gateway, GatewaySettings::default());
    let controller = parse_settings::<ControllerSettings>("c.yaml", "{}").unwrap();
    assert_eq!(controller, ControllerSettings::default());
}

#[test]
fn all_errors_of_a_ticket_are_reported() {
    let text = "\
note: x
group_sets:
  - name: chat
    model: m
    replicas: 2
    hosts_per_group: 0
    value: -1.5
  - name: chat
    model: m
    version: v1
    replicas: lots
    hosts_per_group: 4
workspaces:
  - name: pricing
    share: .nan
    callers:
      - name: field
        key_sha256: secret
removed:
  - workspace: pricing
  - gruop: x
";
    let report = parse_ticket("t.yaml", text, None).unwrap_err();
    let expected = [
        (Some(3), "group_sets[0].version"),
        (Some(6), "group_sets[0].hosts_per_group"),
        (Some(7), "group_sets[0].value"),
        (Some(8), "group_sets[1].name"),
        (Some(11), "group_sets[1].replicas"),
        (Some(15), "workspaces[0].share"),
        (Some(18), "workspaces[0].callers[0].key_sha256"),
        (Some(20), "removed[0]"),
        (Some(21), "removed[1]"),
    ];
    let expected = expected.map(|(line, path)| (line, path.to_owned()));
    assert_eq!(error_locations(&report.errors), expected, "{report}");
}

const KEY: &str = "4c806362b613f7496abf284146efd31da90e4b16169fe001841ca17290f427c4";

#[parameterized(
    nothing = { "note: x", "touches nothing" },
    duplicate_caller_key = {
        "workspaces: [{name: a, callers: [{name: x, key_sha256: KEY}, {name: y, key_sha256: KEY}]}]",
        "has the same key"
    },
    duplicate_caller = {
        "workspaces: [{name: a, callers: [{name: x, key_sha256: KEY}, {name: x, key_sha256: OTHER}]}]",
        "stands already at"
    },
    upper_case_hash = { "workspaces: [{name: a, callers: [{name: x, key_sha256: UPPER}]}]", "not a SHA-256" },
    key_of_other_workspace = { "workspaces: [{name: a, callers: [{name: x, key_sha256: OTHER}]}]", "has the same key" },
    unknown_workspace = {
        "group_sets: [{name: s, model: m, version: v, replicas: 1, hosts_per_group: 1, workspaces: [nobody]}]",
        "no workspace `nobody`"
    },
    removes_unknown = { "removed: [{service: nothing}]", "does not exist" },
    removes_twice = { "removed: [{workspace: old}, {workspace: old}]", "removed twice" },
    removes_used = { "removed: [{workspace: used}]", "still names workspace `used`" },
    zero_slots = { "services: [{name: s, slots_per_server: 0}]", "out of bounds" },
    negative_rate = { "workspaces: [{name: a, limits: {requests_per_second: -1}}]", "out of bounds" },
    weight_over_one = { "flags: {downtime_weight: 1.5}", "out of bounds" },
    no_loads = { "flags: {weight_loads_per_second: 0}", "out of bounds" },
    wrong_fencing = { "flags: {fencing: maybe}", "unknown variant `maybe`" },
    bad_name = { "services: [{name: 'a b'}]", "has the character" },
    unknown_field = { "services: [{name: a, slot: 3}]", "unknown field" },
    not_a_mapping = { "- a", "a list where a mapping belongs" },
    nested_not_a_mapping = { "services: [[a]]", "a list where a mapping belongs" },
)]
fn invalid_ticket_is_rejected(text: &str, problem: &str) {
    let upper = KEY.to_uppercase();
    let other = KEY.replace('4', "5");
    let text = text.replace("KEY", KEY).replace("OTHER", &other).replace("UPPER", &upper);
    let report = parse_ticket("t.yaml", &text, Some(&desired(&other))).unwrap_err();
    assert!(report.to_string().contains(problem), "{report}");
}

fn desired(key: &str) -> DesiredState {
    let ticket = format!(
        "workspaces: [{{name: old}}, {{name: used, callers: [{{name: x, key_sha256: {key}}}]}}]\n\
         services: [{{name: svc, workspaces: [used]}}]"
    );
    let ticket = parse_ticket("base.yaml", &ticket, None).unwrap();
    let mut desired = DesiredState::default();
    for spec in ticket.workspaces {
        desired.workspaces.insert(spec.name.clone(), spec);
    }
    for spec in ticket.services {
        desired.services.insert(spec.name.clone(), spec);
    }
    desired
}

#[test]
fn oversized_ticket_is_rejected() {
    let text = format!("note: {}", "x".repeat(conf::check::MAX_TICKET_BYTES));
    let report = parse_ticket("t.yaml", &text, None).unwrap_err();
    assert!(report.to_string().contains("split it"), "{report}");
}

#[test]
fn ticket_in_a_message_is_checked_like_a_file() {
    let spec: WorkspaceSpec = serde_json::from_str(r#"{"name": "a", "share": 0.0}"#).unwrap();
    let ticket: ChangeTicket = serde_json::from_str("{}").unwrap();
    let ticket = ChangeTicket { workspaces: vec![spec], ..ticket };
    let report = check_ticket(&ticket, None).unwrap_err();
    assert_eq!(report.to_string().lines().count(), 1, "{report}");
    assert!(report.to_string().contains("workspaces[0].share"), "{report}");
}
