//! Identifiers, sizes, rates and clocks shared by every crate of the workspace.
//!
//! Newtypes keep identifiers and units apart at compile time. Nothing here does I/O.
//!
//! Terms used below:
//! - An entry host runs a controller and a gateway. A member is one run of its controller.
//! - A view is the numbered set of member nodes.
//! - The state head is the small row that changes with every change of the durable state.
//! - The owner of a fabric domain is the controller that decides for it; its term is the fencing
//!   number that engines check.
//! - An incarnation is one run of a process on a host.
//! - A caller is an API client of a workspace.

mod clock;
mod derive;
mod id;
mod member;
mod placement;
mod quantity;

pub use crate::{
    clock::{BootClock, ManualClock, SharedClock, Tick, TickClock},
    id::{
        AdapterName, AttemptId, CallerName, Epoch, FabricDomainId, FailureDomainId, GroupId,
        GroupSetName, HeadNumber, HostId, IdError, IdempotencyKey, Incarnation, ModelName,
        ModelVersion, OrderSequence, RecordSequence, RegionId, RowVersion, ServiceName,
        SubmissionId, Term, TicketNumber, ViewNumber, WorkspaceId,
    },
    member::MemberId,
    placement::placement_weight,
    quantity::{ByteCount, QuantityError, RatePerSecond, TokenCount, Weight},
};
