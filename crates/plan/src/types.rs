//! Inputs and outputs of the planner: hosts, engine reports, orders and views of groups.

use {
    base::{
        AdapterName, Epoch, GroupId, GroupSetName, HostId, ModelName, ModelVersion, OrderSequence,
        Term,
    },
    std::net::SocketAddr,
};

base::value_type!(
    /// An engine host as it appears in the host list.
    pub struct EngineHost {
        /// Key of the entry; stays the same when the engine process restarts.
        pub host: HostId,
        /// Address at which the host's engine accepts probes and orders.
        pub address: SocketAddr,
        /// Number of accelerators of the host; they count as stranded while it serves in no group.
        pub accelerators: u32,
        /// Whether the host is about to leave the cluster and must get no new work.
        pub leaving: bool,
    }
);

base::value_type!(
    /// A host and the listen address of its engine: a member in a load command, or a host to probe.
    pub struct MemberHost {
        /// Id of the host, as in the host list.
        pub host: HostId,
        /// Listen address of the host's engine.
        pub address: SocketAddr,
    }
);

base::value_type!(
    /// Phase of an engine within its group, as the engine reports it.
    #[derive(Copy)]
    pub enum HostPhase {
        /// The engine belongs to no group.
        Idle,
        /// The engine loads the model of its group.
        Loading,
        /// The engine has loaded the model and can serve as part of its group.
        Ready,
        /// The engine finishes its requests and accepts no new ones.
        Draining,
    }
);

base::value_type!(
    /// State that an engine returns when it is probed.
    pub struct HostReport {
        /// Boot id, as the engine reports it: changes with every start of the engine process, so a
        /// member whose boot id has changed no longer belongs to its group.
        pub boot: u64,
        /// Highest term among the orders that the engine has received. An engine that ignores
        /// fencing numbers may report 0 throughout.
        pub term: Term,
        /// Phase of the engine when it answered the probe.
        pub phase: HostPhase,
        /// The load command in effect; none when the engine is idle.
        pub load: Option<LoadCommand>,
        /// Number of requests in flight. A draining group is removed once no member has
        /// any.
        pub in_flight: u32,
        /// Whether the engine process is about to stop; its group is then drained, or released
        /// if it does not serve.
        pub leaving: bool,
    }
);

base::value_type!(
    /// Makes a host a member of a group and names the model to load.
    pub struct LoadCommand {
        /// Id of the group to join; no other group of this fabric domain ever has it.
        pub group: GroupId,
        /// Epoch of the group's member list; always 1, because this planner changes no member list.
        pub epoch: Epoch,
        /// Model to load from the weight store.
        pub model: ModelName,
        /// Version of the model weights. A group whose version differs from its ticket is outdated.
        pub version: ModelVersion,
        /// Adapter to load on top of the model, if any.
        pub adapter: Option<AdapterName>,
        /// All members; the first one receives the group's requests.
        pub members: Vec<MemberHost>,
        /// Number of requests that the group runs concurrently.
        pub slots: u32,
    }
);

base::value_type!(
    /// Command that an order carries to an engine.
    pub enum HostCommand {
        /// Join the group and load its model.
        Load(LoadCommand),
        /// Accept no new requests for the group and finish those in flight.
        Drain {
            /// Group whose requests are to finish; assigned when the group was formed.
            group: GroupId,
            /// Epoch of the member list; an engine in another epoch refuses the order.
            epoch: Epoch,
        },
        /// Leave the group at once. Refused by an engine that is in another group.
        Release {
            /// Group that the engine is to leave; assigned when the group was formed.
            group: GroupId,
            /// Epoch of the member list; an engine in another epoch refuses the order.
            epoch: Epoch,
        },
    }
);

base::value_type!(
    /// A command addressed to one host, with its fencing number.
    pub struct HostOrder {
        /// Host whose engine receives the order.
        pub host: HostId,
        /// Address of its engine in the host list when the order was made.
        pub address: SocketAddr,
        /// Term of the owner that gives the order; the high part of the fencing number.
        pub term: Term,
        /// Sequence number inside the term; all copies of an order carry the same one.
        pub sequence: OrderSequence,
        /// The command to execute; the same for all copies of the order.
        pub command: HostCommand,
    }
);

base::value_type!(
    /// Result of sending one copy of an order.
    pub enum OrderOutcome {
        /// The order took effect, with this copy or an earlier one.
        Accepted,
        /// The engine has received a higher fencing number; the copy had no effect.
        Outdated {
            /// Highest term that the engine has received.
            term: Term,
        },
        /// The engine cannot execute the command in its current state; the copy had no effect.
        Refused,
        /// The copy was not sent, or certainly did not arrive; it had no effect.
        NotSent,
        /// No answer arrived; the copy may have taken effect or may still do so.
        Unknown,
    }
);

base::value_type!(
    /// Phase of a group, as its owner publishes it. A group returns from serving to loading when a
    /// member becomes unresponsive; draining is final.
    #[derive(Copy)]
    pub enum LifecyclePhase {
        /// Hosts are assigned and load orders are being sent; no member is known to have joined
        /// yet.
        Forming,
        /// Members load the model, or an unresponsive member keeps a loaded group from serving.
        Loading,
        /// Every member has reported that it is ready in this group and epoch. Only in this phase
        /// is the group available for new requests.
        Serving,
        /// Members accept no new requests and finish those in flight, for at most the drain limit.
        Draining,
    }
);

base::value_type!(
    /// A group as its owner publishes it.
    pub struct GroupView {
        /// Group set that the group belongs to; a new owner learns it from this record.
        pub set: GroupSetName,
        /// Phase in which the group was when the view was taken.
        pub phase: LifecyclePhase,
        /// Load command that all members receive.
        pub load: LoadCommand,
    }
);
