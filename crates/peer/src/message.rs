//! The messages between controllers, and between gateways and controllers.
//!
//! They are encoded by postcard: the order of fields and variants is the format on the wire.

use {
    crate::state::{ClusterState, DomainRecord, Head},
    base::{
        FabricDomainId, HeadNumber, HostId, MemberId, RatePerSecond, RecordSequence, Term,
        ViewNumber, WorkspaceId,
    },
    conf::ticket::AcceptedTicket,
    std::net::SocketAddr,
};

base::value_type!(
    /// Identifies the version of a group record that a node holds; compared by (term, sequence).
    pub struct DomainDigest {
        /// Fabric domain that the record describes.
        pub domain: FabricDomainId,
        /// The owner's term in the record.
        pub term: Term,
        /// Sequence number of the record within the term.
        pub sequence: RecordSequence,
    }
);

base::value_type!(
    /// A query to a peer, over UDP. It also acknowledges the querying node's head.
    pub struct PeerQuery {
        /// The querying member.
        pub from: MemberId,
        /// Matches the answer to the query; the querying node stores the send time under it.
        pub nonce: u64,
        /// Head of the state that the querying node holds.
        pub head: Head,
        /// Digests of some of the querying node's records, in rotation.
        pub digests: Vec<DomainDigest>,
    }
);

base::value_type!(
    /// The answer to a [`PeerQuery`], over UDP.
    ///
    /// `ages`, `acknowledged` and `loads` have one entry for each member of the view `head.view`, or
    /// are empty.
    pub struct PeerAnswer {
        /// The answering member, on whose behalf the answer counts as evidence.
        pub from: MemberId,
        /// Copied from the query; an answer that matches no pending query is dropped.
        pub nonce: u64,
        /// Head of the state that the answering node holds.
        pub head: Head,
        /// Age of the evidence that `head` is the newest, in milliseconds; `None` when isolated.
        pub age_ms: Option<u32>,
        /// Whether the answering node's own row is in force, so that its report counts as evidence.
        pub counts: bool,
        /// For each member, the age of its last known report that it knows no head newer than
        /// `head`, in steps of [`AGE_STEP_MS`]; [`AGE_UNKNOWN`] if older or if there is none.
        pub ages: Vec<u8>,
        /// For each member, whether it acknowledged `head` or a newer one. Member `i` is bit `i % 8`
        /// of byte `i / 8`.
        pub acknowledged: Vec<u8>,
        /// For each member, the load of its gateway: up to [`LOAD_FULL`], [`LOAD_DRAINING`] or
        /// [`LOAD_NONE`]. Empty in some answers of a large view.
        pub loads: Vec<u8>,
        /// Records newer than those in the query's digests, as many as fit into the datagram.
        pub records: Vec<DomainRecord>,
    }
);

/// Unit of the ages in [`PeerAnswer::ages`], in milliseconds.
pub const AGE_STEP_MS: u64 = 50;
/// Value in [`PeerAnswer::ages`] for an age that is too large to encode or not known.
pub const AGE_UNKNOWN: u8 = 255;
/// Highest load value of a gateway that accepts callers.
pub const LOAD_FULL: u8 = 250;
/// Load value of a gateway that is draining; callers must not be sent to it.
pub const LOAD_DRAINING: u8 = 254;
/// Part of a workspace's limit, in percent, that the gateways of all members may use without a
/// grant, divided evenly; the rest is divided by grants.
pub const BASE_SHARE_PERCENT: u32 = 20;
/// Load value for a member whose gateway is down or has no known load.
pub const LOAD_NONE: u8 = 255;

base::value_type!(
    /// A request over TCP, from a controller or a gateway to a controller.
    pub enum PeerRequest {
        /// Requests the durable state if its head is new enough.
        FetchState {
            /// The oldest acceptable head.
            at_least: HeadNumber,
        },
        /// Announces a newer head; the receiver reads or fetches its state immediately.
        Announce {
            /// Head of the state that the sender holds.
            head: Head,
        },
        /// Requests all records that are newer than the requester's.
        FetchRecords {
            /// Digests of all records that the requester holds.
            digests: Vec<DomainDigest>,
        },
        /// Periodic request from a gateway; the reply is [`PeerReply::Update`].
        Poll(GatewayPoll),
        /// Requests shares of workspaces' limits from their grantor.
        RequestShares {
            /// The controller that forwards the requests.
            from: MemberId,
            /// Host of the gateway that the shares are for.
            holder: HostId,
            /// The holder's demand, one entry per workspace.
            demands: Vec<ShareDemand>,
        },
        /// Requests accepted tickets in the order of their numbers, as many as one reply holds.
        FetchTickets {
            /// Only tickets with a higher number are returned.
            after: base::TicketNumber,
        },
        /// Sends records that are new to the sender; the reply is [`PeerReply::Done`].
        OfferRecords {
            /// Records that the receiver stores if they are newer than its own.
            records: Vec<DomainRecord>,
        },
    }
);

base::value_type!(
    /// The reply to a [`PeerRequest`].
    pub enum PeerReply {
        /// The durable state that the node holds.
        State(Box<ClusterState>),
        /// The request was processed; there is no data to return.
        Done,
        /// Records that are newer than those in the request's digests, or missing there.
        Records(Vec<DomainRecord>),
        /// The reply to a gateway's poll.
        Update(Box<GatewayUpdate>),
        /// Grants for the requested shares; a request that is not granted has no entry.
        Shares(Vec<ShareGrant>),
        /// Accepted tickets in the order of their numbers.
        Tickets(Vec<AcceptedTicket>),
        /// The request cannot be served at present.
        Unavailable {
            /// Explanation for a person; not parsed.
            reason: String,
        },
    }
);

base::value_type!(
    /// A gateway's periodic request to a controller: its load and demands, and what it already holds.
    pub struct GatewayPoll {
        /// Host of the gateway, under which the controller records the load and the share requests.
        pub host: HostId,
        /// Address at which callers reach the gateway.
        pub address: SocketAddr,
        /// Its load, 0 to [`LOAD_FULL`], or [`LOAD_DRAINING`].
        pub load: u8,
        /// Head of the state that the gateway holds.
        pub head: HeadNumber,
        /// Digests of the records that the gateway holds.
        pub digests: Vec<DomainDigest>,
        /// [`HostTable::number`] of the last host list from this controller; 0 for none.
        pub hosts_seen: u64,
        /// Share requests, at most one per workspace; an idle workspace needs none.
        pub demands: Vec<ShareDemand>,
    }
);

base::value_type!(
    /// A controller's reply to a gateway's poll.
    pub struct GatewayUpdate {
        /// The controller that replies, whose evidence `age_ms` describes.
        pub from: MemberId,
        /// Head of the state that the controller holds.
        pub head: Head,
        /// Age of the controller's evidence that `head` is the newest, in milliseconds; `None` when
        /// isolated.
        pub age_ms: Option<u32>,
        /// The controller's state, if the gateway's is older.
        pub state: Option<Box<ClusterState>>,
        /// Records that are newer than those in the poll's digests, or missing there.
        pub records: Vec<DomainRecord>,
        /// The host list, if its number differs from the gateway's.
        pub hosts: Option<HostTable>,
        /// Gateways whose last known load is at most [`LOAD_FULL`], so that callers may be sent
        /// there.
        pub gateways: Vec<GatewayEntry>,
        /// Grants for the gateway's share requests, as far as they are known.
        pub shares: Vec<ShareGrant>,
    }
);

base::value_type!(
    /// The host list as a controller last read it.
    #[derive(Default)]
    pub struct HostTable {
        /// Increases with each change that the controller reads; other controllers count differently.
        pub number: u64,
        /// Backend servers of plain services, and engine hosts that are leaving.
        pub hosts: Vec<HostLine>,
    }
);

base::value_type!(
    /// A host in a [`HostTable`].
    pub struct HostLine {
        /// Id of the host in the host list.
        pub host: HostId,
        /// Address on which its process listens.
        pub address: SocketAddr,
        /// The plain service that it runs; `None` for an engine host.
        pub service: Option<base::ServiceName>,
        /// Whether the host is leaving and must get no new work.
        pub leaving: bool,
    }
);

base::value_type!(
    /// A gateway that accepts callers.
    pub struct GatewayEntry {
        /// Host of the gateway; a host has at most one.
        pub host: HostId,
        /// Address at which callers reach it.
        pub address: SocketAddr,
        /// Failure domain of its host, from the host's member row.
        pub failure_domain: base::FailureDomainId,
        /// Region of its host, from the host's member row.
        pub region: base::RegionId,
        /// Load of the gateway, 0 to [`LOAD_FULL`].
        pub load: u8,
    }
);

base::value_type!(
    /// A gateway's share request for one workspace.
    pub struct ShareDemand {
        /// Workspace whose limit the request concerns.
        pub workspace: WorkspaceId,
        /// Requests per second that it would start beyond its base part if it were not limited.
        pub requests_per_second: RatePerSecond,
        /// Requests that it would have in flight beyond its base part.
        pub in_flight: u32,
        /// Requests per second that it may start under an earlier grant until the answer arrives.
        pub holding_per_second: RatePerSecond,
        /// Requests that it may have in flight until the answer arrives.
        pub holding_in_flight: u32,
        /// Sequence number of the gateway's share requests for this workspace; not an order to an
        /// engine. A request that is sent again keeps its number.
        pub order: u64,
        /// The view by which the holder selected the grantor. The grantor of another view does not
        /// answer.
        pub view: ViewNumber,
    }
);

base::value_type!(
    /// A share of a workspace's limit, granted for a short time.
    pub struct ShareGrant {
        /// Workspace whose limit is shared.
        pub workspace: WorkspaceId,
        /// Requests per second that the holder may start.
        pub requests_per_second: RatePerSecond,
        /// Requests that the holder may have in flight.
        pub in_flight: u32,
        /// Sequence number (`order`) of the share request that this grant answers.
        pub order: u64,
        /// Validity in milliseconds, from the time at which the gateway first sent that request.
        pub valid_ms: u32,
        /// The view by which the grantor was selected.
        pub view: ViewNumber,
    }
);
