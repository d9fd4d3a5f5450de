//! JSON messages between operators' tools and a controller's admin address.

use {
    base::{
        Epoch, GroupId, HeadNumber, HostId, IdempotencyKey, MemberId, SubmissionId, TicketNumber,
        WorkspaceId,
    },
    conf::ticket::{AcceptedTicket, ChangeTicket},
    infra::HostEntry,
    peer::{ClusterState, DomainRecord, MemberRow},
    smol_str::SmolStr,
};

base::value_type!(
    /// Submits a ticket.
    #[serde(deny_unknown_fields)]
    pub struct SubmitRequest {
        /// The ticket; its submission id must be set.
        pub ticket: ChangeTicket,
        /// Refuse the ticket when a later one than this was accepted.
        #[serde(default)]
        pub expect: Option<TicketNumber>,
    }
);

base::value_type!(
    /// Where a ticket stands.
    #[serde(tag = "state", rename_all = "snake_case")]
    pub enum TicketStatus {
        /// Committed and in force everywhere.
        Accepted {
            /// Its number.
            number: TicketNumber,
        },
        /// Committed; it cannot be undone, and comes into force once these members know it.
        Pending {
            /// Its number.
            number: TicketNumber,
            /// Members that have not acknowledged it.
            missing: Vec<MemberId>,
            /// Time until it is in force if nothing more is missing, in milliseconds.
            remaining_ms: u64,
        },
        /// Not committed; nothing of it takes effect.
        Refused {
            /// Why.
            reason: String,
            /// The last accepted ticket, when the ticket is based on an older one.
            latest: Option<TicketNumber>,
        },
        /// Whether it was committed is not known; submit it again with the same submission id.
        Unknown {
            /// The submission.
            submission: SubmissionId,
            /// Why.
            reason: String,
        },
    }
);

base::value_type!(
    /// One accepted ticket and where it stands.
    pub struct TicketView {
        /// The ticket.
        pub accepted: AcceptedTicket,
        /// Where it stands.
        pub status: TicketStatus,
    }
);

base::value_type!(
    /// A page of tickets, in the order of their numbers.
    pub struct TicketPage {
        /// The tickets.
        pub tickets: Vec<TicketView>,
    }
);

base::value_type!(
    /// How a node knows that its head is the newest.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum Currency {
        /// It read the head itself.
        Table,
        /// A peer's evidence.
        Peer,
        /// A majority of the members knows none newer.
        Majority,
        /// It does not know; it takes no new work.
        Isolated,
    }
);

base::value_type!(
    /// A node's copy of the durable state.
    pub struct StateView {
        /// The node.
        pub node: MemberId,
        /// How it knows that its copy is the newest.
        pub currency: Currency,
        /// Age of that evidence, in milliseconds.
        pub age_ms: Option<u64>,
        /// The copy.
        pub state: ClusterState,
    }
);

base::value_type!(
    /// All groups a node knows of.
    pub struct GroupsView {
        /// A record for each fabric domain.
        pub domains: Vec<DomainRecord>,
    }
);

base::value_type!(
    /// One host and what it does.
    pub struct HostView {
        /// The host list's line.
        pub entry: HostEntry,
        /// The group it belongs to.
        pub group: Option<GroupId>,
        /// The group's epoch.
        pub epoch: Option<Epoch>,
    }
);

base::value_type!(
    /// Every host of the host list.
    pub struct HostsView {
        /// The hosts.
        pub hosts: Vec<HostView>,
    }
);

base::value_type!(
    /// One member and what is known of it.
    pub struct MemberStanding {
        /// The member's row.
        pub row: MemberRow,
        /// The newest head it is known to have acknowledged.
        pub acknowledged: Option<HeadNumber>,
        /// Age of its last word, in milliseconds.
        pub age_ms: Option<u64>,
        /// Its gateway's load; none when it has none or drains.
        pub load: Option<u8>,
    }
);

base::value_type!(
    /// The members, as one node sees them.
    pub struct MembersView {
        /// The members.
        pub members: Vec<MemberStanding>,
    }
);

base::value_type!(
    /// Where a non-idempotent request stands.
    #[serde(rename_all = "snake_case")]
    pub enum ClaimState {
        /// It may run now.
        Running,
        /// It ran; its answer is kept.
        Done {
            /// HTTP status of the kept answer.
            status: u16,
        },
        /// It ran; its answer was too large to be kept.
        DoneUnkept,
        /// It was not run and never will be under this claim.
        NotRun,
        /// It was dispatched; whether it ran is not known.
        Unknown,
    }
);

base::value_type!(
    /// The claim of a non-idempotent request.
    pub struct ClaimView {
        /// The workspace.
        pub workspace: WorkspaceId,
        /// The key.
        pub key: IdempotencyKey,
        /// Host of the gateway that holds or held the claim.
        pub gateway: HostId,
        /// Where it stands.
        pub state: ClaimState,
    }
);

base::value_type!(
    /// What a controller answers when it cannot do what was asked.
    pub struct AdminError {
        /// What went wrong and the way out.
        pub detail: SmolStr,
    }
);
