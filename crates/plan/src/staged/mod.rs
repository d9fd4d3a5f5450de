//! Pure planning for engines whose groups are joined, opened and closed by separate orders.
//!
//! These engines keep the weights of a few models *staged* on their host: joining a group of a
//! staged model is fast, joining any other loads the weights first. A group serves as soon as its
//! head is opened. The head does not check the other members, so [`StagedPlanner`] does:
//!
//! - it opens a head only after every member has reported ready under the same group and epoch;
//! - it lets a member of a possibly open group join another group only after the head has left the
//!   group, has ended, or must be broken because another member has left.
//!
//! A *composition* is a group's model and ordered list of members under one group id and epoch. To
//! replace a member, a planner dissolves the composition and forms another.
//!
//! The prefix `Staged` of the public types marks this protocol, in which a group is joined, opened
//! and closed in separate steps; it does not mean that weights are staged.
//!
//! Like the rest of this crate, the module does no I/O and reads no clock.

mod composition;
mod dissolve;
mod divide;
mod form;
mod host;
mod ledger;
mod planner;
mod prewarm;
mod types;

pub use self::{
    divide::divide_groups,
    planner::{StagedInput, StagedPlanner},
    types::{
        DemandWeight, EngineState, GroupDeparture, MemberPhase, Membership, ObservationSource,
        OrderEnd, ProbeFailure, StagedCommand, StagedHost, StagedModel, StagedOrder,
        StagedSettings,
    },
};
