//! The durable state and the group records, of which every daemon holds copies.

use {
    base::{
        AdapterName, Epoch, FabricDomainId, FailureDomainId, GroupId, GroupSetName, HeadNumber,
        HostId, MemberId, ModelName, ModelVersion, RecordSequence, RegionId, Term, TicketNumber,
        ViewNumber,
    },
    conf::ticket::DesiredState,
    std::net::SocketAddr,
};

base::value_type!(
    /// The small row that changes with every change of the durable state.
    #[derive(Copy, Default)]
    pub struct Head {
        /// Increases by one with every change of the durable state.
        pub number: HeadNumber,
        /// Number of the last accepted ticket.
        pub ticket: TicketNumber,
        /// Number of the member view.
        pub view: ViewNumber,
        /// Increases whenever the owner of a fabric domain changes.
        pub ownership: u64,
    }
);

base::value_type!(
    /// A member's row in the view, with its addresses.
    pub struct MemberRow {
        /// Host and incarnation, so that a restarted process is another member.
        pub member: MemberId,
        /// Failure domain of its host.
        pub failure_domain: FailureDomainId,
        /// Region of its host.
        pub region: RegionId,
        /// Address of its controller for peers and gateways (UDP and TCP).
        pub peer_address: SocketAddr,
        /// Address of its controller's HTTP interface for operators.
        pub admin_address: SocketAddr,
        /// Address of its gateway for callers.
        pub gateway_address: SocketAddr,
        /// The highest message version that it supports.
        pub protocol: u8,
    }
);

base::value_type!(
    /// The set of member nodes. Its number distinguishes it from older and newer sets.
    #[derive(Default)]
    pub struct MemberView {
        /// Increases with every change of the set.
        pub number: ViewNumber,
        /// The members in the order of their ids; messages refer to them by index.
        pub members: Vec<MemberRow>,
    }
);

impl MemberView {
    /// Index of a member in the view, `None` if it is not a member.
    pub fn position(&self, member: &MemberId) -> Option<usize> {
        self.members.binary_search_by(|row| row.member.cmp(member)).ok()
    }

    /// Number of members in a strict majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

base::value_type!(
    /// Reason for which a member left the view.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum LeaveReason {
        /// It performed a planned stop and no longer answers.
        Stopped,
        /// A later incarnation on the same host replaced it.
        Replaced,
        /// It was unresponsive for a short time and its host is no longer in the host list, which
        /// counts as proof that the member has ended.
        Gone,
        /// It was unresponsive for longer while its host was in the host list; it may still be
        /// running, for example cut off from the network.
        Silent,
    }
);

impl LeaveReason {
    /// Whether the member has certainly ended, so that no acknowledgement from it is needed.
    pub fn has_ended(self) -> bool {
        self != LeaveReason::Silent
    }
}

base::value_type!(
    /// A member that left the view.
    pub struct LeftMember {
        /// Host and incarnation; a later incarnation on the same host is another member.
        pub member: MemberId,
        /// Reason for leaving; decides whether the member may still be running.
        pub reason: LeaveReason,
    }
);

base::value_type!(
    /// One change of the view.
    pub struct ViewChange {
        /// Number of the view that resulted.
        pub view: ViewNumber,
        /// Number of the head that introduced it.
        pub since: HeadNumber,
        /// Members that are not in the previous view.
        pub joined: Vec<MemberId>,
        /// Members of the previous view that are not in this one.
        pub left: Vec<LeftMember>,
        /// Members that left an earlier view as unresponsive and are now known to have ended.
        #[serde(default)]
        pub ended: Vec<MemberId>,
    }
);

base::value_type!(
    /// The changes that lead from the oldest view that may still be in use to the present one.
    #[derive(Default)]
    pub struct ViewChain {
        /// Number of the head that introduced the oldest of these views.
        pub oldest: HeadNumber,
        /// The changes, oldest first.
        pub changes: Vec<ViewChange>,
    }
);

base::value_type!(
    /// The member that manages the hosts and groups of a fabric domain.
    pub struct DomainOwner {
        /// Id of the fabric domain; at most one entry per domain.
        pub domain: FabricDomainId,
        /// The only member that may order the engines of the domain, while it is current.
        pub owner: MemberId,
        /// Fencing number, assigned by the write that made the member the owner.
        pub term: Term,
        /// Number of the head that introduced the term.
        pub since: HeadNumber,
    }
);

base::value_type!(
    /// The complete durable state at one head.
    #[derive(Default)]
    pub struct ClusterState {
        /// The head that this state belongs to.
        pub head: Head,
        /// The desired state after all accepted tickets.
        pub desired: DesiredState,
        /// The newest view at this head.
        pub view: MemberView,
        /// The view changes since the oldest view that may still be in use.
        pub chain: ViewChain,
        /// The owners, ordered by fabric domain.
        pub owners: Vec<DomainOwner>,
    }
);

base::value_type!(
    /// Phase of a group in its owner's record.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum GroupPhase {
        /// Its hosts are selected; no engine has answered an order yet.
        Forming,
        /// The engines of its hosts are loading the model.
        Loading,
        /// The engines of all hosts reported this group and epoch ready.
        Serving,
        /// It accepts no new requests; those in flight finish.
        Draining,
        /// It no longer uses its hosts.
        Released,
    }
);

base::value_type!(
    /// A host of a group, with its engine's address.
    pub struct GroupMember {
        /// Id of the host in the host list.
        pub host: HostId,
        /// Address on which its engine listens.
        pub address: SocketAddr,
    }
);

base::value_type!(
    /// A group, as the owner of its fabric domain publishes it.
    pub struct GroupRecord {
        /// Assigned by the owner that formed the group.
        pub group: GroupId,
        /// Group set of the desired state towards whose number of groups it counts.
        pub set: GroupSetName,
        /// Model whose weights its engines load.
        pub model: ModelName,
        /// Version of the model's weights.
        pub version: ModelVersion,
        /// The adapter applied to the model, if any.
        pub adapter: Option<AdapterName>,
        /// Increases whenever the set of its hosts changes.
        pub epoch: Epoch,
        /// Phase between formation and release.
        pub phase: GroupPhase,
        /// Its hosts; requests are sent to the first one.
        pub members: Vec<GroupMember>,
        /// Number of requests that it runs concurrently.
        pub slots: u32,
    }
);

base::value_type!(
    /// All groups of one fabric domain, as its owner last published them.
    pub struct DomainRecord {
        /// Fabric domain whose groups the record lists.
        pub domain: FabricDomainId,
        /// The owner's term; a record with a lower term never replaces one with a higher term.
        pub term: Term,
        /// Increases with each record that the owner publishes in the term.
        pub sequence: RecordSequence,
        /// Groups of the domain, including those being formed or released.
        pub groups: Vec<GroupRecord>,
    }
);

impl DomainRecord {
    /// Whether this record replaces `other`, a record of the same fabric domain.
    pub fn replaces(&self, other: &DomainRecord) -> bool {
        (self.term, self.sequence) > (other.term, other.sequence)
    }
}
