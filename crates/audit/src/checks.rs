//! Checks one configuration by itself and against the processes that will use it.

use {
    crate::{
        draft::{ConfigDraft, HostRoute, ProcessBounds},
        finding::AuditFinding,
    },
    base::{ServiceName, WorkspaceId},
    relay::{CallerLimits, RelayConfig, RouteRule},
    smol_str::{SmolStr, format_smolstr},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Finds what is wrong with a configuration, errors first. `bounds` adds what contradicts the settings of
/// the processes.
pub fn check_draft(draft: &ConfigDraft, bounds: Option<&ProcessBounds>) -> Vec<AuditFinding> {
    let mut findings = Vec::new();
    check_routes(draft, &mut findings);
    check_services(draft, &mut findings);
    check_workspaces(draft, &mut findings);
    check_limits(draft, &mut findings);
    if let Some(bounds) = bounds {
        check_bounds(draft, bounds, &mut findings);
    }
    findings.sort_by_key(|finding| std::cmp::Reverse(finding.level));
    findings
}

fn check_routes(draft: &ConfigDraft, findings: &mut Vec<AuditFinding>) {
    if draft.routes.is_empty() {
        findings.push(AuditFinding::error("routes", "there is none", "add the routes to serve"));
    }
    let index = index_repeated(&draft.routes);
    let known: BTreeSet<&ServiceName> = draft.services.iter().collect();
    for (number, HostRoute { host, rule }) in draft.routes.iter().enumerate() {
        let place = route_place(number, rule);
        if host.is_empty() || host.contains([':', '/']) {
            let problem = format!("hostname {host:?} is not the name of a host");
            findings.push(AuditFinding::error(&place, problem, "give the name without a port"));
        }
        if !rule.prefix.starts_with('/') || !rule.prefix.ends_with('/') {
            let problem = format!("prefix {:?} does not begin and end with a slash", rule.prefix);
            findings.push(AuditFinding::error(&place, problem, "write it as /PATH/"));
        }
        // The processes' own matcher decides which route gets the requests.
        let matched = index.route(host, &rule.prefix).filter(|matched| *matched != rule);
        if let Some(matched) = matched.filter(|matched| matched.prefix == rule.prefix) {
            let problem =
                format!("never matches: {} has the same hostname and prefix", matched.name);
            findings.push(AuditFinding::error(&place, problem, "remove one of them"));
        }
        check_route_services(rule, &place, &known, findings);
        if rule.timeout.is_zero() {
            let problem = "timeout is not above zero: all its requests would time out";
            findings.push(AuditFinding::error(&place, problem, "give a time in milliseconds"));
        }
        if rule.attempts == 0 {
            let problem = "attempts is 0; 1 is used";
            findings.push(AuditFinding::warning(&place, problem, "write 1 or more"));
        }
    }
}

fn check_route_services(
    rule: &RouteRule,
    place: &SmolStr,
    known: &BTreeSet<&ServiceName>,
    findings: &mut Vec<AuditFinding>,
) {
    let is_served = |weight: f64| weight > 0.0 && weight.is_finite();
    if !rule.splits.iter().any(|split| is_served(split.weight)) {
        let problem = "no service has a weight above zero: all its requests would be refused";
        findings.push(AuditFinding::error(place, problem, "name a service"));
    }
    for split in &rule.splits {
        if !known.contains(&split.service) {
            let problem = format!("service {} is not in the list of services", split.service);
            findings.push(AuditFinding::error(place, problem, "add the service or name another"));
        }
        if !split.weight.is_finite() || split.weight < 0.0 {
            let problem = format!("weight {} of service {}", split.weight, split.service);
            findings.push(AuditFinding::error(place, problem, "give a number from zero"));
        }
    }
}

fn check_services(draft: &ConfigDraft, findings: &mut Vec<AuditFinding>) {
    let splits = draft.routes.iter().flat_map(|route| &route.rule.splits);
    let used: BTreeSet<&ServiceName> = splits.map(|split| &split.service).collect();
    let mut seen = BTreeSet::new();
    for (number, service) in draft.services.iter().enumerate() {
        let place = format_smolstr!("services[{number}] ({service})");
        if !seen.insert(service) {
            let problem = "the name is used before";
            findings.push(AuditFinding::error(&place, problem, "give each service one entry"));
        }
        if !used.contains(service) {
            let problem = "no route sends requests to it";
            findings.push(AuditFinding::warning(&place, problem, "remove it or add a route"));
        }
    }
    for engine in &draft.engines {
        let place = format_smolstr!("services ({}).engine", engine.name);
        if engine.slots == 0 {
            let problem = "slots is 0: its groups would count as full";
            findings.push(AuditFinding::error(&place, problem, "give the slots of a group"));
        }
        if !engine.loads_per_s.is_finite() || engine.loads_per_s <= 0.0 {
            let problem = format!("loads_per_s is {}: no model can be loaded", engine.loads_per_s);
            findings.push(AuditFinding::error(&place, problem, "give a rate above zero"));
        }
        let mut models = BTreeSet::new();
        for model in &engine.models {
            let place = format_smolstr!("{place}.models ({})", model.name);
            if !models.insert(&model.name) {
                let problem = "the model is named before";
                findings.push(AuditFinding::error(&place, problem, "give each model one entry"));
            }
            if model.size == 0 {
                let problem = "size is 0: it never gets a group";
                findings.push(AuditFinding::error(&place, problem, "give the hosts of a group"));
            }
            if !model.share.is_finite() || model.share <= 0.0 {
                let problem = format!("share is {}: it gets a group last", model.share);
                findings.push(AuditFinding::warning(&place, problem, "give a number above zero"));
            }
        }
    }
}

fn check_workspaces(draft: &ConfigDraft, findings: &mut Vec<AuditFinding>) {
    let mut names: BTreeSet<&WorkspaceId> = BTreeSet::new();
    let mut holders: BTreeMap<&SmolStr, &WorkspaceId> = BTreeMap::new();
    for (number, workspace) in draft.workspaces.iter().enumerate() {
        let place = format_smolstr!("tenants[{number}] ({})", workspace.name);
        if !names.insert(&workspace.name) {
            let problem = "the name is used before";
            findings.push(AuditFinding::warning(&place, problem, "join the two entries"));
        }
        if workspace.keys.is_empty() {
            let problem = "it has no key: nobody can call as it";
            findings.push(AuditFinding::warning(&place, problem, "add a key or remove it"));
        }
        for key in &workspace.keys {
            if key.is_empty() || key.contains(char::is_whitespace) {
                let problem = "a key is empty or has white space: no caller can send it";
                findings.push(AuditFinding::error(&place, problem, "replace the key"));
            }
            if let Some(holder) = holders.insert(key, &workspace.name)
                && holder != &workspace.name
            {
                let problem = format!("key {} is also that of {holder}", shorten_key(key));
                findings.push(AuditFinding::error(&place, problem, "give each its own keys"));
            }
        }
    }
    let needs_keys = draft.routes.iter().any(|route| !route.rule.public);
    if needs_keys && !draft.workspaces.is_empty() && holders.is_empty() {
        let problem = "no key exists: all routes that are not public refuse everybody";
        findings.push(AuditFinding::error("tenants", problem, "add keys"));
    }
}

fn check_limits(draft: &ConfigDraft, findings: &mut Vec<AuditFinding>) {
    let limits = &draft.limits;
    let is_zero = [
        ("max_header_bytes", limits.head_bytes == 0),
        ("max_body_bytes", limits.body_bytes == 0),
        ("header_timeout_ms", limits.head_time.is_zero()),
        ("idle_timeout_ms", limits.idle_time.is_zero()),
    ];
    for (field, _) in is_zero.into_iter().filter(|(_, is_zero)| *is_zero) {
        let place = format_smolstr!("limits.{field}");
        let problem = "is not above zero: no caller can stay inside it";
        findings.push(AuditFinding::error(place, problem, "give a value above zero"));
    }
}

fn check_bounds(draft: &ConfigDraft, bounds: &ProcessBounds, findings: &mut Vec<AuditFinding>) {
    let body_memory = bounds.memory.large_bodies();
    if draft.limits.body_bytes as u64 > body_memory.0 {
        let problem = format!(
            "{} bytes are more than the {} that a process holds of large bodies",
            draft.limits.body_bytes, body_memory.0
        );
        let advice = "lower it or give the processes more memory";
        findings.push(AuditFinding::error("limits.max_body_bytes", problem, advice));
    }
    for (number, HostRoute { rule, .. }) in draft.routes.iter().enumerate() {
        let place = route_place(number, rule);
        if rule.timeout > bounds.grace {
            let problem = format!(
                "timeout of {} ms is beyond the grace of {} ms: long requests are refused before a stop",
                millis(rule.timeout),
                millis(bounds.grace)
            );
            findings.push(AuditFinding::warning(&place, problem, "shorten it or extend the grace"));
        }
        if rule.attempts > 1 && !bounds.allows_retries {
            let problem = format!("attempts is {}, and the retry budget is empty", rule.attempts);
            findings.push(AuditFinding::warning(&place, problem, "write 1 or raise `repeats`"));
        }
    }
}

/// The routes whose hostname and prefix are those of another one, in the processes' own index.
fn index_repeated(routes: &[HostRoute]) -> RelayConfig {
    let mut counts: BTreeMap<(&SmolStr, &SmolStr), usize> = BTreeMap::new();
    for route in routes {
        *counts.entry((&route.host, &route.rule.prefix)).or_default() += 1;
    }
    let repeated = routes.iter().filter(|route| counts[&(&route.host, &route.rule.prefix)] > 1);
    let repeated = repeated.map(|route| (route.host.clone(), route.rule.clone())).collect();
    RelayConfig::new(0, repeated, Vec::new(), CallerLimits::default())
}

fn route_place(number: usize, rule: &RouteRule) -> SmolStr {
    format_smolstr!("routes[{number}] ({})", rule.name)
}

fn millis(span: Duration) -> u128 {
    span.as_millis()
}

/// The begin of a key, which is a secret.
pub(crate) fn shorten_key(key: &str) -> SmolStr {
    const SHOWN_CHARACTERS: usize = 4;
    let shown: String = key.chars().take(SHOWN_CHARACTERS).collect();
    format_smolstr!("{shown}...")
}
