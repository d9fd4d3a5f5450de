//! Gives callers the addresses of gateways, ordered to balance load and to avoid shared failures.

use {
    crate::{
        core::{DEFAULT_RETRY_AFTER, GatewayCore},
        refusal::{Refusal, RefusalKind},
        snapshot::RoutingSnapshot,
    },
    base::{FailureDomainId, HostId, RegionId},
    dropshot::Body,
    http::{HeaderValue, Response, header},
    peer::{GatewayEntry, message::LOAD_FULL},
    serde::Serialize,
    std::{collections::BTreeMap, net::SocketAddr},
    twox_hash::XxHash3_64,
};

/// Maximum number of gateways in one answer.
const MAX_ADDRESSES: usize = 8;

/// Body of the answer to `GET /v1/addresses`.
#[derive(Debug, Serialize)]
pub struct AddressAnswer {
    /// The gateways, in the order in which the caller should try them.
    pub addresses: Vec<AddressLine>,
    /// Time for which the caller may use the answer, in milliseconds.
    pub keep_ms: u64,
}

/// One gateway of an [`AddressAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AddressLine {
    /// Address at which the gateway accepts requests of callers.
    pub address: SocketAddr,
    /// The host on which the gateway runs.
    pub host: HostId,
    /// Failure domain of the host. Adjacent entries differ in it where possible.
    pub failure_domain: FailureDomainId,
    /// Region of the host. Entries in the answering gateway's region come first.
    pub region: RegionId,
}

impl From<&GatewayEntry> for AddressLine {
    fn from(entry: &GatewayEntry) -> Self {
        Self {
            address: entry.address,
            host: entry.host.clone(),
            failure_domain: entry.failure_domain.clone(),
            region: entry.region.clone(),
        }
    }
}

/// Handles `GET /v1/addresses` from a caller at `remote`.
///
/// Draining gateways are left out, and so is this one while it is isolated or draining.
///
/// # Errors
///
/// Refuses the request if no gateway remains.
pub fn serve_addresses(core: &GatewayCore, remote: SocketAddr) -> Result<Response<Body>, Refusal> {
    let snapshot = core.state.load();
    let can_serve = core.current_state().is_ok() && !core.stop.is_stopping();
    let entries: Vec<&GatewayEntry> = snapshot
        .gateways
        .iter()
        .filter(|entry| entry.load <= LOAD_FULL)
        .filter(|entry| can_serve || entry.host != core.settings.host)
        .collect();
    if entries.is_empty() {
        return Err(no_gateway_refusal(core, &snapshot));
    }
    let ordered = order_entries(&entries, &core.settings.region, remote);
    let addresses = ordered.into_iter().take(MAX_ADDRESSES).map(AddressLine::from).collect();
    let answer = AddressAnswer { addresses, keep_ms: core.settings.address_keep_ms };
    let body = serde_json::to_vec(&answer).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    Ok(response)
}

fn no_gateway_refusal(core: &GatewayCore, snapshot: &RoutingSnapshot) -> Refusal {
    if !core.stop.is_stopping() {
        return core.isolated_refusal(snapshot);
    }
    let detail = "this gateway is stopping and knows no other; ask another host";
    Refusal::not_run(RefusalKind::Draining, detail).retry_after(DEFAULT_RETRY_AFTER)
}

/// Orders gateways for one caller.
///
/// Gateways in `region` come first. Within a region the order alternates between failure domains,
/// and the probability of coming early grows with the gateway's free capacity. The same caller
/// address and port get the same order while the loads do not change.
pub fn order_entries<'a>(
    entries: &[&'a GatewayEntry],
    region: &RegionId,
    caller: SocketAddr,
) -> Vec<&'a GatewayEntry> {
    let (near, far): (Vec<_>, Vec<_>) =
        entries.iter().copied().partition(|entry| entry.region == *region);
    let mut ordered = spread_domains(rank(near, caller));
    ordered.extend(spread_domains(rank(far, caller)));
    ordered
}

/// Sorts by weighted rendezvous hashing: the probability that a gateway comes first is proportional
/// to its free capacity.
fn rank(mut entries: Vec<&GatewayEntry>, caller: SocketAddr) -> Vec<&GatewayEntry> {
    entries.sort_by(|one, other| score(one, caller).total_cmp(&score(other, caller)));
    entries
}

fn score(entry: &GatewayEntry, caller: SocketAddr) -> f64 {
    let text = format!("{caller} {}", entry.host);
    let hash = XxHash3_64::oneshot(text.as_bytes());
    let sample = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    let free = f64::from(LOAD_FULL.saturating_sub(entry.load)) + 1.0;
    -sample.ln() / free
}

/// Reorders ranked gateways: the best of each failure domain, then the second of each, and so on.
fn spread_domains(ranked: Vec<&GatewayEntry>) -> Vec<&GatewayEntry> {
    let mut domain_counts: BTreeMap<&FailureDomainId, usize> = BTreeMap::new();
    let mut rounds: Vec<(usize, &GatewayEntry)> = Vec::with_capacity(ranked.len());
    for entry in ranked {
        let round = domain_counts.entry(&entry.failure_domain).or_default();
        rounds.push((*round, entry));
        *round += 1;
    }
    // The sort is stable and thus preserves the rank within a round.
    rounds.sort_by_key(|(round, _)| *round);
    rounds.into_iter().map(|(_, entry)| entry).collect()
}
