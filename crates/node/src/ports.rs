//! What the node needs from the platform it runs on.

use {
    base::{FabricDomainId, FailureDomainId, ModelName, ServiceName, Term},
    infra::StoredRow,
    plan::staged::{EngineFacts, OrderEnd, StagedOrder},
    relay::{LoadWord, RelayConfig, ServerId},
    smol_str::SmolStr,
    snafu::Snafu,
    std::{future::Future, net::SocketAddr, time::Duration},
};

base::value_type!(
    /// A point in the store's history.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct WatchPosition(pub u64);
);

/// What a watch gives: changes since a position, or everything.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchPage<T> {
    /// The changes, in order.
    pub changes: Vec<T>,
    /// Where to go on.
    pub position: WatchPosition,
    /// Whether `changes` is the whole present state, so that what it lacks does not exist.
    pub whole: bool,
}

/// Why a watch gave nothing.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum WatchError {
    /// The store no longer has the history behind the position; everything must be read again.
    #[snafu(display("the store has dropped the history after {}", position.0))]
    HistoryGone {
        /// The position asked for.
        position: WatchPosition,
    },
    /// The store does not answer, or turns the call away.
    #[snafu(display("the store can't be read: {detail}"))]
    Unavailable {
        /// What went wrong.
        detail: String,
    },
}

/// One model of an engine service.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRule {
    /// The model.
    pub name: ModelName,
    /// Hosts of one group.
    pub size: usize,
    /// Its part of the service's work.
    pub share: f64,
    /// Factor on all times of its groups.
    pub pace: f64,
    /// Time to load it onto a host.
    pub load_time: Duration,
}

/// A service whose servers are model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineService {
    /// The service.
    pub name: ServiceName,
    /// Requests that a group runs at once.
    pub slots: u32,
    /// What its groups may serve.
    pub models: Vec<ModelRule>,
    /// Loads that may start each second over all its hosts.
    pub loads_per_s: f64,
    /// Loads at the same time that do not slow each other down.
    pub loads_at_once: usize,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigUpdate {
    /// What concerns callers.
    pub relay: RelayConfig,
    /// The services with model engines.
    pub engines: Vec<EngineService>,
}

base::value_type!(
    /// Whether a server takes requests.
    #[derive(Copy)]
    pub enum ServerStanding {
        /// It does.
        Live,
        /// It is about to leave.
        Leaving,
    }
);

base::value_type!(
    /// A server as the server list shows it.
    pub struct ServerEntry {
        /// The id of this start of it.
        pub id: ServerId,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its service.
        pub service: ServiceName,
        /// Where it stands.
        pub failure_domain: FailureDomainId,
        /// Whether it takes requests.
        pub standing: ServerStanding,
        /// For model engines, the fabric domain.
        pub fabric_domain: Option<FabricDomainId>,
        /// For model engines, its group and the models at hand.
        pub facts: Option<EngineFacts>,
    }
);

base::value_type!(
    /// A change of the server list.
    pub enum ServerChange {
        /// The server is listed, or its entry changed.
        Listed(Box<ServerEntry>),
        /// It is no longer listed, or its entry names no usable server.
        Dropped(ServerId),
    }
);

base::value_type!(
    /// A change of one of our own rows.
    pub enum RowChange {
        /// The row has this value.
        Written(StoredRow),
        /// The row is gone.
        Deleted(SmolStr),
    }
);

/// Reads and follows what lies in the platform's store.
///
/// Each call waits until there is something new, or until a time that the adapter chooses has
/// passed; `after` none reads everything.
pub trait PlatformWatch: Send + Sync + 'static {
    /// The configuration; an unreadable one is left out. A sentinel's watch is answered at short
    /// intervals, so that a store that never answers is found.
    fn watch_config(
        &self,
        after: Option<WatchPosition>,
        sentinel: bool,
    ) -> impl Future<Output = Result<WatchPage<ConfigUpdate>, WatchError>> + Send;

    /// The server list.
    fn watch_servers(
        &self,
        after: Option<WatchPosition>,
    ) -> impl Future<Output = Result<WatchPage<ServerChange>, WatchError>> + Send;

    /// Our own rows.
    fn watch_rows(
        &self,
        after: Option<WatchPosition>,
    ) -> impl Future<Output = Result<WatchPage<RowChange>, WatchError>> + Send;
}

/// What an engine said when asked.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineWord {
    /// Its group and models; these lag behind.
    pub facts: EngineFacts,
    /// Its load.
    pub load: LoadWord,
    /// How much slower than usual it is; 1 is usual.
    pub pace: f64,
}

/// Why an engine did not answer a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskError {
    /// Its address refused the connection, or another engine has it.
    Refused,
    /// No answer in time, or none that can be read.
    Silent,
}

/// Questions and orders to engines.
pub trait EngineAccess: Send + Sync + 'static {
    /// Asks an engine for its state.
    fn ask(
        &self,
        host: &ServerId,
        address: SocketAddr,
        limit: Duration,
    ) -> impl Future<Output = Result<EngineWord, AskError>> + Send;

    /// Gives an order under the owner's term.
    fn order(
        &self,
        order: &StagedOrder,
        term: Term,
        limit: Duration,
    ) -> impl Future<Output = OrderEnd> + Send;
}

/// Reads questions for addresses and writes their answers.
pub trait AddressCodec: Send + Sync + 'static {
    /// Reads a question from path and query; none if it is no such question.
    fn read_question(&self, uri: &::http::Uri) -> Option<crate::addresses::AddressQuestion>;

    /// Writes an answer, with its media type.
    fn write_answer(
        &self,
        answer: &crate::addresses::AddressAnswer,
    ) -> ::http::Response<http_body_util::Full<bytes::Bytes>>;

    /// Whether path and query ask if this process is ready.
    fn is_ready_question(&self, uri: &::http::Uri) -> bool;
}
