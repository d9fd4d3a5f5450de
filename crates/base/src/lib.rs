//! Identifiers, sizes, rates and clocks shared by every crate of the workspace.
//!
//! Newtypes keep identifiers and units apart at compile time. Nothing here does I/O.
//!
//! Terms used below:
//! - An entry host runs a controller and a gateway.
//! - A node is a controller or a process of the `node` crate. A gateway is not a node.
//! - A member is one incarnation of a node that has a row in the durable state.
//! - A view is the numbered set of member controllers.
//! - The state head is the small row of the table service that gets a higher number with every
//!   change of the durable state.
//! - The owner of a fabric domain is the node that sends orders to the domain's engines; its term
//!   is the fencing number: an engine ignores orders with a lower term than it has seen.
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
        ModelVersion, OrderCount, OrderSequence, RecordSequence, RegionId, RowVersion, ServiceName,
        StoreEra, SubmissionId, Term, TicketNumber, ViewNumber, WorkspaceId,
    },
    member::MemberId,
    placement::placement_weight,
    quantity::{ByteCount, QuantityError, RatePerSecond, TokenCount, Weight},
};
