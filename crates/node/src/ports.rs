//! The interfaces that the platform implements for a node.

use {
    crate::{cold_servers::ColdRule, evacuation::EvacuationChange},
    base::{FabricDomainId, FailureDomainId, ModelName, ServiceName, StoreEra, Term},
    infra::StoredRow,
    limit::NamedLimit,
    plan::staged::{EngineState, OrderEnd, ProbeFailure, StagedOrder},
    relay::{RelayConfig, ServerId, ServerLoad},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    snafu::Snafu,
    std::{future::Future, net::SocketAddr, time::Duration},
};

base::value_type!(
    /// A revision in the store's history. Revisions of a later era are higher, also those with a
    /// lower version.
    #[derive(Copy, Default, PartialOrd, Ord)]
    pub struct WatchPosition {
        /// The era in which the revision was read.
        pub era: StoreEra,
        /// The number of the revision in its era's history.
        pub version: u64,
    }
);

/// The response of a watch: the changes since a position, or a full snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchPage<T> {
    /// The changes, in the order of the store.
    pub changes: Vec<T>,
    /// The position to pass to the next watch.
    pub position: WatchPosition,
    /// Whether `changes` is a full snapshot, so that anything missing from it no longer exists.
    pub is_snapshot: bool,
    /// Time since the page was complete: later changes may be missing from it. `None` if that is
    /// not known.
    pub age: Option<Duration>,
}

/// Why a watch returned no page.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum WatchError {
    /// The store no longer has the history after the position; everything must be read again.
    #[snafu(display("the store has dropped the history after {} of era {}", position.version, position.era))]
    HistoryGone {
        /// The position passed to the watch.
        position: WatchPosition,
    },
    /// The store does not answer or rejects the call.
    #[snafu(display("the store can't be read: {detail}"))]
    Unavailable {
        /// The cause, for logs.
        detail: String,
    },
}

/// The settings of one model of an engine service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelRule {
    /// Name of the model, as requests give it.
    pub name: ModelName,
    /// Number of hosts in a group.
    pub size: usize,
    /// Weight of the demand for the model, relative to the service's other models.
    pub share: f64,
    /// Factor on all service times of the model's groups; 1 is usual, and larger means slower.
    pub slowdown: f64,
    /// Time to load the model onto a host.
    pub load_time: Duration,
}

/// A service whose servers are model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineService {
    /// Name of the service, as its servers register under it.
    pub name: ServiceName,
    /// Maximum number of concurrent requests of a group.
    pub slots: u32,
    /// The models that the groups may serve.
    pub models: Vec<ModelRule>,
    /// Model loads that may start per second, over all hosts of the service.
    pub loads_per_s: f64,
    /// Number of model loads that the weight store can serve at once without slowing them down.
    pub loads_at_once: usize,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// The store's era in which it was read.
    pub era: StoreEra,
    /// The settings of the request path: version, routes, workspaces and limits.
    pub relay: RelayConfig,
    /// The services with model engines.
    pub engines: Vec<EngineService>,
    /// The services whose servers may be cold.
    pub cold: Vec<ColdRule>,
}

base::value_type!(
    /// Identifies a configuration. The operator's version decides first, so that a store that came
    /// back with an older configuration does not take a newer one out of force.
    #[derive(Copy, Default, PartialOrd, Ord)]
    pub struct ConfigStamp {
        /// The operator's version.
        pub version: u64,
        /// The store's era in which it was read.
        pub era: StoreEra,
    }
);

/// A change of what the operator sets.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorChange {
    /// A version of the configuration was written.
    Config(Box<ConfigUpdate>),
    /// A failure domain was evacuated or taken back. A snapshot has the evacuated ones.
    Evacuation(EvacuationChange),
}

impl From<ConfigUpdate> for OperatorChange {
    fn from(update: ConfigUpdate) -> Self {
        Self::Config(Box::new(update))
    }
}

impl<T> WatchPage<T> {
    /// The page with its changes in another form.
    pub fn with_changes<U>(&self, changes: Vec<U>) -> WatchPage<U> {
        let Self { position, is_snapshot, age, .. } = *self;
        WatchPage { changes, position, is_snapshot, age }
    }

    /// Whether the page says more than that nothing has changed.
    pub fn has_news(&self) -> bool {
        self.is_snapshot || !self.changes.is_empty()
    }
}

impl ConfigUpdate {
    /// The configuration's place in the order of all of them.
    pub fn stamp(&self) -> ConfigStamp {
        ConfigStamp { version: self.relay.version, era: self.era }
    }
}

base::value_type!(
    /// Whether a server accepts requests.
    #[derive(Copy)]
    pub enum ServerStanding {
        /// The server accepts requests.
        Live,
        /// The server is about to leave and gets no new requests.
        Leaving,
    }
);

base::value_type!(
    /// A server's entry in the server list.
    pub struct ServerEntry {
        /// The server's id; a restarted server has a new one.
        pub id: ServerId,
        /// The address for requests.
        pub address: SocketAddr,
        /// The service that the server belongs to.
        pub service: ServiceName,
        /// The failure domain that the server's host is in.
        pub failure_domain: FailureDomainId,
        /// Whether the server accepts requests.
        pub standing: ServerStanding,
        /// When the server process started, in Unix milliseconds; distinguishes a restarted server
        /// from the process before it. `None` if the entry does not say.
        pub boot_id: Option<u64>,
        /// Time for which the server stays cold, as of the entry; zero if it is not cold.
        pub cold_left: Duration,
        /// The fabric domain; `None` unless the server is a model engine.
        pub fabric_domain: Option<FabricDomainId>,
        /// The state of a model engine: its group and the models staged on its host.
        pub facts: Option<EngineState>,
    }
);

base::value_type!(
    /// A change of the server list.
    pub enum ServerChange {
        /// The server was added, or its entry changed.
        Listed(Box<ServerEntry>),
        /// The server is no longer listed, or its entry can't be used.
        Dropped(ServerId),
    }
);

base::value_type!(
    /// A change of a member or owner row.
    pub enum RowChange {
        /// The row was written.
        Written(StoredRow),
        /// The row with this key was deleted.
        Deleted(SmolStr),
    }
);

/// Reads and watches the platform's store.
///
/// Each call returns when there is a change, or after a wait that the implementation chooses. With
/// `after` set to `None` it returns a full snapshot.
pub trait PlatformWatch: Send + Sync + 'static {
    /// Watches the configuration and the evacuated failure domains; rows that can't be used are left out.
    /// With `short_poll` the watch is answered at short intervals even without changes, so that an
    /// unresponsive store is detected.
    fn watch_config(
        &self,
        after: Option<WatchPosition>,
        short_poll: bool,
    ) -> impl Future<Output = Result<WatchPage<OperatorChange>, WatchError>> + Send;

    /// Watches the entries that servers register in the store, with `short_poll` as in
    /// [`Self::watch_config`].
    fn watch_servers(
        &self,
        after: Option<WatchPosition>,
        short_poll: bool,
    ) -> impl Future<Output = Result<WatchPage<ServerChange>, WatchError>> + Send;

    /// Reads what changed in the server list since `after` from the store itself, without waiting for a
    /// change where the implementation can.
    fn read_servers(
        &self,
        after: WatchPosition,
    ) -> impl Future<Output = Result<WatchPage<ServerChange>, WatchError>> + Send {
        self.watch_servers(Some(after), true)
    }

    /// Watches the rows that this program writes: members and owners of fabric domains.
    fn watch_rows(
        &self,
        after: Option<WatchPosition>,
    ) -> impl Future<Output = Result<WatchPage<RowChange>, WatchError>> + Send;

    /// Ends the watches whose response has not begun, which then fail. Called when there are signs
    /// that they wait for a response that never arrives. Responses that are arriving go on.
    fn abandon_waiting(&self);

    /// Makes the next watch of the configuration read the store, where it would read from another
    /// process.
    fn read_store_next(&self) {}
}

/// An engine's report of its state.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// The engine's group and models; this part lags behind the true state.
    pub facts: EngineState,
    /// Its running and waiting requests, and how many it can run at once.
    pub load: ServerLoad,
    /// Factor on the engine's usual service times; 1 is usual, and larger means slower.
    pub slowdown: f64,
    /// What the response says about a limit on requests to the server.
    pub limit: NamedLimit,
}

/// Why a probe of an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeError {
    /// The address refused the connection, or a server answered there that is not the probed
    /// engine.
    Refused,
    /// All other failures: no response within the timeout, a broken connection, an error status or
    /// a response that can't be parsed. The engine may be running.
    Silent,
    /// No response, while this process reached no engine of the service or not all of them by its own
    /// links, and no other process confirmed it: the links are as likely the cause as the engine.
    Inconclusive,
}

impl From<ProbeError> for ProbeFailure {
    fn from(error: ProbeError) -> Self {
        match error {
            ProbeError::Refused => Self::Refused,
            ProbeError::Silent => Self::Silent,
            ProbeError::Inconclusive => Self::Inconclusive,
        }
    }
}

/// Sends probes and orders to engines.
pub trait EngineAccess: Send + Sync + 'static {
    /// Probes an engine for its state.
    fn probe(
        &self,
        host: &ServerId,
        address: SocketAddr,
        limit: Duration,
    ) -> impl Future<Output = Result<EngineReport, ProbeError>> + Send;

    /// Sends an order under the owner's term.
    fn order(
        &self,
        order: &StagedOrder,
        term: Term,
        limit: Duration,
    ) -> impl Future<Output = OrderEnd> + Send;
}

/// Parses address queries of callers and encodes the responses.
pub trait AddressCodec: Send + Sync + 'static {
    /// Parses an address query from a URI; `None` if the URI is not that of an address query.
    fn parse_query(&self, uri: &::http::Uri) -> Option<crate::addresses::AddressQuery>;

    /// Builds the response to an address query.
    fn write_answer(
        &self,
        answer: &crate::addresses::AddressAnswer,
    ) -> ::http::Response<http_body_util::Full<bytes::Bytes>>;

    /// Whether the URI is that of the platform's readiness probe.
    fn is_readiness_probe(&self, uri: &::http::Uri) -> bool;
}
