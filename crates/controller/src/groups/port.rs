//! What the group keeper needs of the rest of the controller.

use {
    base::{FabricDomainId, Term},
    infra::HostEntry,
    peer::{ClusterState, DomainRecord},
    std::sync::Arc,
};

/// A fabric domain that this node decides for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedDomain {
    /// The fabric domain.
    pub domain: FabricDomainId,
    /// The term of the ownership.
    pub term: Term,
    /// Whether the term is in force and every order of an earlier term has landed or never will,
    /// so that engines may be asked for their state and then given orders.
    pub settled: bool,
}

/// Authority over fabric domains, as the membership side of the controller knows it.
pub trait DomainAuthority: Send + Sync {
    /// The fabric domains this node owns by the head it holds.
    fn owned(&self) -> Vec<OwnedDomain>;

    /// Whether an order under `term` may leave at this moment. To be asked as the last step before
    /// each order: the node must be current, own the domain under this term, and the term must be
    /// settled.
    fn may_order(&self, domain: &FabricDomainId, term: Term) -> bool;

    /// The durable state the node holds.
    fn state(&self) -> Arc<ClusterState>;

    /// The host list as last read.
    fn hosts(&self) -> Arc<Vec<HostEntry>>;

    /// The newest known record of a fabric domain, from whichever owner.
    fn record(&self, domain: &FabricDomainId) -> Option<DomainRecord>;

    /// Spreads a record of an owned fabric domain to the peers and gateways.
    fn publish(&self, record: DomainRecord);
}
