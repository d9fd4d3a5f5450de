//! Pure planning of serving groups inside one fabric domain.
//!
//! [`DomainPlanner`] takes the desired state, what engines reported and the caller's clock, and
//! gives the orders that the owner of the fabric domain should send. It does no I/O and has no
//! time of its own. [`place_sets`] divides the replicas of each group set over the fabric domains;
//! every owner computes the same division from the same input without talking to the others.
//! [`staged`] does the same for engines with another life cycle of groups.

mod adopt;
mod capacity;
mod form;
mod group;
mod hash;
mod host;
mod ledger;
mod mend;
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
    group::{Draining, Forming, Group, GroupPlan, LiveGroup, Loading, MemberSlot, Serving},
    ledger::{CostLedger, CostTotals},
    pace::LoadPacer,
    placement::{DomainCapacity, PlacementTable, place_sets},
    planner::{DomainPlanner, PlanInput},
    repair::{
        BrokenCase, ChosenRepair, DissolveRepair, MergeRepair, RepairChoice, RepairRule,
        RepairVictim, SpareRepair, WaitRepair,
    },
    settings::{PlanSettings, Safeguards},
    types::{
        EngineHost, GroupView, HostCommand, HostOrder, HostPhase, HostReport, LifePhase,
        LoadCommand, MemberHost, OrderOutcome,
    },
};
