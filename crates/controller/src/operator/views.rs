//! What operators see of a node's state.

use {
    crate::{groups::port::DomainAuthority, net::loads::LoadBook, state::node::NodeCore},
    admin::{
        ClaimState, ClaimView, Currency, GroupsView, HostView, HostsView, MemberStanding,
        MembersView, StateView,
    },
    base::{IdempotencyKey, WorkspaceId},
    freshness::EvidenceKind,
    infra::{ClaimRow, HostEntry, PlatformError, TableStore, claim_key},
    peer::{DomainRecord, message::LOAD_FULL},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The node's copy of the durable state and how it is current.
pub fn state_view(node: &NodeCore) -> StateView {
    let current = node.current();
    StateView {
        node: node.me(),
        currency: current.map_or(Currency::Isolated, |evidence| currency(evidence.kind)),
        age_ms: current.map(|evidence| node.now().since(evidence.tick).as_millis() as u64),
        state: (*node.state()).clone(),
    }
}

/// Every known record.
pub fn groups_view(node: &NodeCore) -> GroupsView {
    GroupsView { domains: node.records().all() }
}

/// The host list with the group of each host.
pub fn hosts_view(node: &NodeCore) -> HostsView {
    let records = node.records().all();
    let hosts = node.hosts().iter().map(|entry| host_view(entry, &records)).collect();
    HostsView { hosts }
}

/// The members and what is known of each.
pub fn members_view(node: &NodeCore, loads: &LoadBook) -> MembersView {
    let now = node.now();
    let state = node.state();
    let members = state.view.members.iter().map(|row| {
        let member = &row.member;
        let acknowledged = node.with_tracker(|tracker| tracker.acknowledged(member));
        let tick = match *member == node.me() {
            true => Some(now),
            false => node.with_tracker(|tracker| tracker.last_report_tick(member)),
        };
        let load = loads.load(&member.host, now);
        MemberStanding {
            row: row.clone(),
            acknowledged,
            age_ms: tick.map(|tick| now.since(tick).as_millis() as u64),
            load: (load <= LOAD_FULL).then_some(load),
        }
    });
    MembersView { members: members.collect() }
}

/// The claim of a non-idempotent request, as its row says.
pub async fn claim_view(
    table: &dyn TableStore,
    workspace: &WorkspaceId,
    key: &IdempotencyKey,
) -> Result<Option<ClaimView>, PlatformError> {
    let rows = table.read(&[claim_key(workspace, key)]).await?;
    let Some(row) = rows.into_iter().flatten().next() else { return Ok(None) };
    let claim: ClaimRow = serde_json::from_str(&row.value).map_err(|error| {
        let detail = error.to_string();
        PlatformError::Unreadable { service: "table service", detail }
    })?;
    let state = claim_state(&claim, SystemTime::now());
    Ok(Some(ClaimView {
        workspace: claim.workspace,
        key: claim.key,
        gateway: claim.gateway,
        state,
    }))
}

/// A claim without an outcome after its deadline belongs to a gateway that did not live to write it.
fn claim_state(claim: &ClaimRow, now: SystemTime) -> ClaimState {
    let deadline = UNIX_EPOCH + Duration::from_millis(claim.deadline_ms);
    match &claim.state {
        infra::ClaimState::Claimed if now <= deadline => ClaimState::Running,
        infra::ClaimState::Claimed | infra::ClaimState::Unknown => ClaimState::Unknown,
        infra::ClaimState::NotRun => ClaimState::NotRun,
        infra::ClaimState::Answered(kept) => ClaimState::Done { status: kept.status },
        infra::ClaimState::AnswerTooLarge => ClaimState::DoneUnkept,
    }
}

fn currency(kind: EvidenceKind) -> Currency {
    match kind {
        EvidenceKind::Table => Currency::Table,
        EvidenceKind::Peer => Currency::Peer,
        EvidenceKind::Majority => Currency::Majority,
    }
}

fn host_view(entry: &HostEntry, records: &[DomainRecord]) -> HostView {
    let groups = records.iter().flat_map(|record| &record.groups);
    let mut groups = groups.filter(|group| group.phase != peer::GroupPhase::Released);
    let group = groups.find(|group| group.members.iter().any(|m| m.host == entry.host));
    HostView {
        entry: entry.clone(),
        group: group.map(|group| group.group.clone()),
        epoch: group.map(|group| group.epoch),
    }
}
