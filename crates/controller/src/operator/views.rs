//! Views of a node's state, as the operators' interface returns them.

use {
    crate::{groups::port::DomainAuthority, net::loads::LoadTable, state::node::NodeCore},
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

/// The node's copy of the durable state, with the kind and age of the evidence that it is the newest.
pub fn state_view(node: &NodeCore) -> StateView {
    let current = node.current();
    StateView {
        node: node.me(),
        currency: current.map_or(Currency::Isolated, |evidence| currency(evidence.kind)),
        age_ms: current.map(|evidence| node.now().since(evidence.tick).as_millis() as u64),
        state: (*node.state()).clone(),
    }
}

/// The newest known group record of every fabric domain.
pub fn groups_view(node: &NodeCore) -> GroupsView {
    GroupsView { domains: node.records().all() }
}

/// The host list with the group of each host.
pub fn hosts_view(node: &NodeCore) -> HostsView {
    let records = node.records().all();
    let hosts = node.hosts().iter().map(|entry| host_view(entry, &records)).collect();
    HostsView { hosts }
}

/// The members with the head that each acknowledged, the age of its last report and its load.
pub fn members_view(node: &NodeCore, loads: &LoadTable) -> MembersView {
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

/// Reads the claim of a non-idempotent request from the table service.
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

/// Derives the state of a claim. If its deadline has passed without an outcome, the gateway ended
/// before it wrote one, so the outcome is unknown.
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
