//! Tells what one configuration changes about another one, as an operator would.

use {
    crate::{
        checks::shorten_key,
        draft::{ConfigDraft, HostRoute},
    },
    base::{ModelName, ServiceName, WorkspaceId},
    node::EngineService,
    relay::RouteRule,
    smol_str::{SmolStr, SmolStrBuilder, format_smolstr},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Write,
    },
};

base::value_type!(
    /// One difference between two configurations.
    pub struct ConfigChange {
        /// What changes, as a sentence without a full stop.
        pub text: String,
        /// Whether requests that are allowed now would be refused or go elsewhere.
        pub takes_away: bool,
    }
);

impl ConfigChange {
    fn new(text: impl Into<String>) -> Self {
        Self { text: text.into(), takes_away: false }
    }

    fn loss(text: impl Into<String>) -> Self {
        Self { text: text.into(), takes_away: true }
    }
}

/// What `new` changes about `old`, which is in force: what takes something away first.
pub fn compare_drafts(old: &ConfigDraft, new: &ConfigDraft) -> Vec<ConfigChange> {
    let mut changes = Vec::new();
    if new.version <= old.version {
        let (old, new) = (old.version, new.version);
        let text = format!("version {new} is not above {old}: it would never come into force");
        changes.push(ConfigChange::loss(text));
    }
    compare_routes(old, new, &mut changes);
    compare_workspaces(old, new, &mut changes);
    compare_services(old, new, &mut changes);
    if old.limits != new.limits {
        let text = format!("limits: {:?} instead of {:?}", new.limits, old.limits);
        let shrinks = new.limits.head_bytes < old.limits.head_bytes
            || new.limits.body_bytes < old.limits.body_bytes;
        changes.push(ConfigChange { text, takes_away: shrinks });
    }
    changes.sort_by_key(|change| !change.takes_away);
    changes
}

/// A host name and a prefix, which select a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RouteKey<'a> {
    host: &'a SmolStr,
    prefix: &'a SmolStr,
}

fn routes_by_key(draft: &ConfigDraft) -> BTreeMap<RouteKey<'_>, &RouteRule> {
    let mut routes = BTreeMap::new();
    for HostRoute { host, rule } in &draft.routes {
        // As in the matcher, the first of two equal ones counts.
        routes.entry(RouteKey { host, prefix: &rule.prefix }).or_insert(rule);
    }
    routes
}

fn compare_routes(old: &ConfigDraft, new: &ConfigDraft, changes: &mut Vec<ConfigChange>) {
    let (old, new) = (routes_by_key(old), routes_by_key(new));
    for (RouteKey { host, prefix }, before) in &old {
        let place = format_smolstr!("route {} ({host}{prefix})", before.name);
        match new.get(&RouteKey { host, prefix }) {
            None => changes.push(ConfigChange::loss(format!("{place} is removed"))),
            Some(after) if after != before => compare_route(&place, before, after, changes),
            Some(_) => {}
        }
    }
    for (RouteKey { host, prefix }, rule) in &new {
        if !old.contains_key(&RouteKey { host, prefix }) {
            let wider = old.iter().filter(|(key, _)| key.host == *host);
            let wider = wider.filter(|(key, _)| prefix.starts_with(key.prefix.as_str()));
            let shadowed = wider.max_by_key(|(key, _)| key.prefix.len());
            let from = shadowed.map(|(_, rule)| format!(", taken from route {}", rule.name));
            let text = format!("route {} ({host}{prefix}) is added", rule.name);
            changes.push(ConfigChange::new(text + &from.unwrap_or_default()));
        }
    }
}

fn compare_route(
    place: &SmolStr,
    before: &RouteRule,
    after: &RouteRule,
    changes: &mut Vec<ConfigChange>,
) {
    if before.public && !after.public {
        changes.push(ConfigChange::loss(format!("{place} needs a key from now on")));
    } else if after.public && !before.public {
        changes.push(ConfigChange::new(format!("{place} needs no key any more")));
    }
    if before.kind != after.kind {
        let text = format!("{place} is {:?} instead of {:?}", after.kind, before.kind);
        changes.push(ConfigChange::new(text));
    }
    if before.splits != after.splits {
        let text = format!("{place} goes to {} instead of {}", shares(after), shares(before));
        changes.push(ConfigChange::new(text));
    }
    if before.timeout != after.timeout {
        let (old, new) = (before.timeout, after.timeout);
        let text = format!("{place} has {} ms instead of {} ms", new.as_millis(), old.as_millis());
        changes.push(ConfigChange { text, takes_away: new < old });
    }
    if before.attempts != after.attempts {
        let text = format!(
            "{place} may be sent to {} servers instead of {}",
            after.attempts, before.attempts
        );
        changes.push(ConfigChange::new(text));
    }
    if before.name != after.name {
        changes.push(ConfigChange::new(format!("{place} is renamed to {}", after.name)));
    }
}

/// The services of a route with their shares, such as `a 90%, b 10%`.
fn shares(rule: &RouteRule) -> SmolStr {
    let total: f64 = rule.splits.iter().map(|split| split.weight.max(0.0)).sum();
    let mut text = SmolStrBuilder::new();
    for (number, split) in rule.splits.iter().enumerate() {
        let percent = if total > 0.0 { 100.0 * split.weight.max(0.0) / total } else { 0.0 };
        let comma = if number > 0 { ", " } else { "" };
        let _ = write!(text, "{comma}{} {percent:.0}%", split.service);
    }
    text.finish()
}

fn keys_by_workspace(draft: &ConfigDraft) -> BTreeMap<&WorkspaceId, BTreeSet<&SmolStr>> {
    let mut keys: BTreeMap<&WorkspaceId, BTreeSet<&SmolStr>> = BTreeMap::new();
    for workspace in &draft.workspaces {
        keys.entry(&workspace.name).or_default().extend(&workspace.keys);
    }
    keys
}

fn compare_workspaces(old: &ConfigDraft, new: &ConfigDraft, changes: &mut Vec<ConfigChange>) {
    let (old, new) = (keys_by_workspace(old), keys_by_workspace(new));
    let nobody = BTreeSet::new();
    for (name, before) in &old {
        let after = new.get(name).unwrap_or(&nobody);
        let gone: Vec<SmolStr> = before.difference(after).map(|key| shorten_key(key)).collect();
        if !new.contains_key(name) {
            changes.push(ConfigChange::loss(format!("tenant {name} is removed with all its keys")));
        } else if !gone.is_empty() {
            let left = after.len();
            let text = format!("tenant {name} loses {}; {left} keys left", gone.join(", "));
            changes.push(ConfigChange::loss(text));
        }
        let added = after.difference(before).count();
        if added > 0 {
            changes.push(ConfigChange::new(format!("tenant {name} gets {added} more keys")));
        }
    }
    for (name, keys) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        changes.push(ConfigChange::new(format!("tenant {name} is added with {} keys", keys.len())));
    }
    if old.is_empty() && !new.is_empty() {
        let text = "routes that are not public need a key from now on";
        changes.push(ConfigChange::loss(text));
    }
}

fn compare_services(old: &ConfigDraft, new: &ConfigDraft, changes: &mut Vec<ConfigChange>) {
    let names = |draft: &ConfigDraft| draft.services.iter().cloned().collect::<BTreeSet<_>>();
    let (before, after): (BTreeSet<ServiceName>, BTreeSet<ServiceName>) = (names(old), names(new));
    for service in before.difference(&after) {
        changes.push(ConfigChange::loss(format!("service {service} is removed")));
    }
    for service in after.difference(&before) {
        changes.push(ConfigChange::new(format!("service {service} is added")));
    }
    for engine in &new.engines {
        let known = old.engines.iter().find(|known| known.name == engine.name);
        if let Some(known) = known.filter(|known| *known != engine) {
            compare_engines(known, engine, changes);
        }
    }
}

fn compare_engines(old: &EngineService, new: &EngineService, changes: &mut Vec<ConfigChange>) {
    let names = |engine: &EngineService| {
        engine.models.iter().map(|model| model.name.clone()).collect::<BTreeSet<ModelName>>()
    };
    let (before, after) = (names(old), names(new));
    for model in before.difference(&after) {
        let text = format!("service {} serves model {model} no more", new.name);
        changes.push(ConfigChange::loss(text));
    }
    for model in after.difference(&before) {
        let text = format!("service {} serves model {model} from now on", new.name);
        changes.push(ConfigChange::new(text));
    }
    if before == after {
        let text = format!("the engines of service {} have other parameters", new.name);
        changes.push(ConfigChange::new(text));
    }
}
