//! Pure planning for engines whose groups are joined, opened and closed in separate orders.
//!
//! These engines keep a few models *staged* on their host, so that a join of a staged model is fast
//! and any other has to load its weights first. A group serves once its head was opened; nothing
//! checks the other members then, so [`StagedPlanner`] does:
//!
//! - a head is opened only after every member was seen ready under the same group and epoch;
//! - a member of a group that may be open joins another group only after the head was seen out of
//!   the group, or is gone.
//!
//! Like the rest of this crate it does no I/O and has no time of its own.

mod composition;
mod dissolve;
mod divide;
mod form;
mod host;
mod planner;
mod prewarm;
mod types;

pub use self::{
    divide::divide_groups,
    planner::{StagedInput, StagedPlanner},
    types::{
        DemandWeight, EngineFacts, LossMark, MemberPhase, Membership, ObservationSource, OrderEnd,
        StagedCommand, StagedHost, StagedModel, StagedOrder, StagedSettings,
    },
};
