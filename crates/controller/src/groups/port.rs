//! Interface through which the group tasks use the rest of the controller.

use {
    base::{FabricDomainId, Term},
    infra::HostEntry,
    peer::{ClusterState, DomainRecord},
    std::sync::Arc,
};

/// A fabric domain that this node owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedDomain {
    /// Id of the domain, unique in the deployment.
    pub domain: FabricDomainId,
    /// Fencing number of the ownership; increases with each change of owner.
    pub term: Term,
    /// Whether the term has been in force for so long that no order of an earlier term can still
    /// reach an engine. Only then does the node probe the domain's engines and send them orders.
    pub settled: bool,
}

/// Authority over fabric domains, derived from the durable state that the node holds and from its
/// evidence that this state is the newest.
pub trait DomainAuthority: Send + Sync {
    /// The fabric domains that this node owns according to the state it holds.
    fn owned(&self) -> Vec<OwnedDomain>;

    /// Whether the node may send an order under `term` now: it is current, owns the domain under this
    /// term, and the term is settled. The result can change at any time, so callers check as the last
    /// step before each order.
    fn may_order(&self, domain: &FabricDomainId, term: Term) -> bool;

    /// The durable state that the node holds, which may be outdated.
    fn state(&self) -> Arc<ClusterState>;

    /// The host list as last read; empty before the first read.
    fn hosts(&self) -> Arc<Vec<HostEntry>>;

    /// The newest known record of a fabric domain, from this or another owner.
    fn record(&self, domain: &FabricDomainId) -> Option<DomainRecord>;

    /// Sends a record of an owned fabric domain to the peers and gateways.
    fn publish(&self, record: DomainRecord);
}
