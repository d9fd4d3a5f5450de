//! Decides which serving groups the hosts of one fabric domain form, without performing I/O.
//!
//! [`DomainPlanner`] computes the orders that the owner of the fabric domain sends, from the
//! desired state, the reports of the engines and the time that the caller passes in. [`place_sets`]
//! divides the replicas of each group set over the fabric domains; it is deterministic, so owners
//! that have the same input compute the same division without exchanging messages. [`staged`] plans
//! for engines that use a different group life cycle.

mod adopt;
mod apply_repair;
mod capacity;
mod form;
mod group;
mod hash;
mod host;
mod ledger;
mod orders;
mod pace;
mod placement;
mod planner;
mod repair;
mod reshape;
mod review;
mod settings;
pub mod staged;
mod types;

pub use crate::{
    group::{ActiveGroup, Draining, Forming, Group, GroupMember, GroupPlan, Loading, Serving},
    ledger::{CostLedger, CostTotals},
    pace::LoadPacer,
    placement::{DomainCapacity, PlacementTable, place_sets},
    planner::{DomainPlanner, PlanInput},
    repair::{
        BrokenCase, CostBasedRepair, DissolveCandidate, DissolveRepair, MergeRepair, RepairChoice,
        RepairPolicy, SpareRepair, WaitRepair,
    },
    settings::{PlanSettings, Safeguards},
    types::{
        EngineHost, GroupView, HostCommand, HostOrder, HostPhase, HostReport, LifecyclePhase,
        LoadCommand, MemberHost, OrderOutcome,
    },
};
