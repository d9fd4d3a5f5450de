//! Conversions between the types of the planner, of the engine interface and of published records.

use {
    engine::{
        EngineError, EngineMember, EngineOrder, EnginePhase, EngineState, LoadOrder, OrderAnswer,
        OrderCommand, ReleaseOrder,
    },
    peer::{GroupMember, GroupPhase, GroupRecord},
    plan::{
        GroupView, HostCommand, HostOrder, HostPhase, HostReport, LifecyclePhase, LoadCommand,
        MemberHost, OrderOutcome,
    },
};

pub(super) fn engine_order(order: &HostOrder) -> EngineOrder {
    EngineOrder {
        term: order.term,
        sequence: order.sequence,
        command: match &order.command {
            HostCommand::Load(load) => OrderCommand::Load(load_order(load)),
            HostCommand::Drain { group, epoch } => {
                OrderCommand::Drain(ReleaseOrder { group: group.clone(), epoch: *epoch })
            }
            HostCommand::Release { group, epoch } => {
                OrderCommand::Release(ReleaseOrder { group: group.clone(), epoch: *epoch })
            }
        },
    }
}

fn load_order(load: &LoadCommand) -> LoadOrder {
    let member =
        |member: &MemberHost| EngineMember { host: member.host.clone(), address: member.address };
    LoadOrder {
        group: load.group.clone(),
        epoch: load.epoch,
        model: load.model.clone(),
        version: load.version.clone(),
        adapter: load.adapter.clone(),
        members: load.members.iter().map(member).collect(),
        slots: load.slots,
    }
}

fn load_command(order: LoadOrder) -> LoadCommand {
    let member = |member: EngineMember| MemberHost { host: member.host, address: member.address };
    LoadCommand {
        group: order.group,
        epoch: order.epoch,
        model: order.model,
        version: order.version,
        adapter: order.adapter,
        members: order.members.into_iter().map(member).collect(),
        slots: order.slots,
    }
}

pub(super) fn host_report(state: EngineState) -> HostReport {
    HostReport {
        boot: state.boot,
        term: state.term,
        phase: match state.phase {
            EnginePhase::Idle => HostPhase::Idle,
            EnginePhase::Loading => HostPhase::Loading,
            EnginePhase::Ready => HostPhase::Ready,
            EnginePhase::Draining => HostPhase::Draining,
        },
        load: state.order.map(load_command),
        in_flight: state.in_flight,
        leaving: state.leaving,
    }
}

pub(super) fn order_outcome(result: Result<OrderAnswer, EngineError>) -> OrderOutcome {
    match result {
        Ok(OrderAnswer::Accepted) => OrderOutcome::Accepted,
        Ok(OrderAnswer::Outdated { term }) => OrderOutcome::Outdated { term },
        Ok(OrderAnswer::Refused { .. }) => OrderOutcome::Refused,
        Err(EngineError::Unreachable { .. }) => OrderOutcome::NotSent,
        Err(EngineError::Unknown { .. } | EngineError::Unreadable { .. }) => OrderOutcome::Unknown,
    }
}

pub(super) fn group_record(view: GroupView) -> GroupRecord {
    let member = |member: MemberHost| GroupMember { host: member.host, address: member.address };
    GroupRecord {
        group: view.load.group,
        set: view.set,
        model: view.load.model,
        version: view.load.version,
        adapter: view.load.adapter,
        epoch: view.load.epoch,
        phase: match view.phase {
            LifecyclePhase::Forming => GroupPhase::Forming,
            LifecyclePhase::Loading => GroupPhase::Loading,
            LifecyclePhase::Serving => GroupPhase::Serving,
            LifecyclePhase::Draining => GroupPhase::Draining,
        },
        members: view.load.members.into_iter().map(member).collect(),
        slots: view.load.slots,
    }
}
