//! The port through which the controller sends orders to engines and reads their state.

use {
    async_trait::async_trait,
    base::{AdapterName, Epoch, GroupId, HostId, ModelName, ModelVersion, OrderSequence, Term},
    snafu::Snafu,
    std::net::SocketAddr,
};

/// Why a call to an engine failed, and whether an order may have taken effect.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum EngineError {
    /// Nothing was sent, so the call had no effect.
    #[snafu(display("the engine at {address} cannot be reached: {detail}"))]
    Unreachable {
        /// The address that was called.
        address: SocketAddr,
        /// The underlying error, for logs.
        detail: String,
    },
    /// No usable response; an order may have taken effect or may still do so.
    #[snafu(display("no answer from the engine at {address}: {detail}"))]
    Unknown {
        /// The address that was called.
        address: SocketAddr,
        /// The underlying error, for logs.
        detail: String,
    },
    /// A probe or a request for a report got an error status or a malformed body.
    #[snafu(display("the engine at {address} gave an answer that cannot be read: {detail}"))]
    Unreadable {
        /// The address that was called.
        address: SocketAddr,
        /// The status and body, or the decoding error, for logs.
        detail: String,
    },
}

base::value_type!(
    /// One order to one engine; engines apply orders with growing `(term, sequence)` only.
    pub struct EngineOrder {
        /// The fencing number: the owner's term of the fabric domain.
        pub term: Term,
        /// Position among the orders of the term; an engine refuses one lower than it has seen.
        pub sequence: OrderSequence,
        /// The change that the engine makes.
        pub command: OrderCommand,
    }
);

base::value_type!(
    /// The change that an order makes to an engine.
    #[serde(rename_all = "snake_case")]
    pub enum OrderCommand {
        /// Join a group and load its model.
        Load(LoadOrder),
        /// Accept no new requests for the group; finish those in flight.
        Drain(ReleaseOrder),
        /// Leave the group and unload the model; requests in flight are aborted.
        Release(ReleaseOrder),
    }
);

base::value_type!(
    /// Makes an engine a member of a serving group.
    pub struct LoadOrder {
        /// The group to join.
        pub group: GroupId,
        /// Number of the group's composition; grows when its members change.
        pub epoch: Epoch,
        /// The model that all members load together.
        pub model: ModelName,
        /// Selects the weights to load; a model may have several versions.
        pub version: ModelVersion,
        /// Additional weights applied to the model; absent for the plain model.
        pub adapter: Option<AdapterName>,
        /// All members, including this engine; the first is the head and takes the requests.
        pub members: Vec<EngineMember>,
        /// Largest number of requests that the group runs concurrently.
        pub slots: u32,
    }
);

base::value_type!(
    /// One member of a serving group, as the other members reach it.
    pub struct EngineMember {
        /// The host that the engine runs on.
        pub host: HostId,
        /// Address of the engine on that host.
        pub address: SocketAddr,
    }
);

base::value_type!(
    /// The group and epoch that a drain or release order applies to.
    pub struct ReleaseOrder {
        /// The group to drain or leave.
        pub group: GroupId,
        /// The epoch of the load order by which the engine joined the group.
        pub epoch: Epoch,
    }
);

base::value_type!(
    /// An engine's response to an order.
    #[serde(rename_all = "snake_case")]
    pub enum OrderAnswer {
        /// The order took effect, now or when an earlier copy of it arrived.
        Accepted,
        /// The engine has seen a higher fencing number or sequence; nothing took effect.
        Outdated {
            /// The highest term the engine has seen.
            term: Term,
        },
        /// The engine's present state does not allow the order; nothing took effect.
        Refused {
            /// Text from the engine, for logs.
            reason: String,
        },
    }
);

base::value_type!(
    /// Stage of an engine's membership in a serving group.
    #[serde(rename_all = "snake_case")]
    pub enum EnginePhase {
        /// The engine is in no group.
        Idle,
        /// The engine is loading the model of its group.
        Loading,
        /// The model is loaded, and the engine serves with its group.
        Ready,
        /// The engine finishes requests in flight and accepts no new ones.
        Draining,
    }
);

base::value_type!(
    /// The state that an engine reports.
    pub struct EngineState {
        /// Id of the host that responds; not the expected one when the address was reassigned.
        pub host: HostId,
        /// Identifies this start of the engine process; differs after a restart.
        pub boot: u64,
        /// The highest term the engine has seen; 0 before the first order, or when the engine does
        /// not check terms.
        pub term: Term,
        /// Stage of the engine's membership in the group of `order`.
        pub phase: EnginePhase,
        /// The load order that made the engine a member of its group; absent when idle.
        pub order: Option<LoadOrder>,
        /// Number of accepted requests that are not finished.
        pub in_flight: u32,
        /// Whether the engine is about to stop and must get no new work.
        pub leaving: bool,
    }
);

/// Sends orders to engines and reads their state.
#[async_trait]
pub trait EngineControl: Send + Sync {
    /// Sends an order. The caller must have checked that it still owns the fabric domain.
    async fn order(
        &self,
        address: SocketAddr,
        order: EngineOrder,
    ) -> Result<OrderAnswer, EngineError>;

    /// Probes an engine for its state.
    async fn state(&self, address: SocketAddr) -> Result<EngineState, EngineError>;
}
