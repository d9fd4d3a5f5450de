//! Reports that nodes exchange as evidence.

use {
    base::{HeadNumber, MemberId, ViewNumber},
    std::time::Duration,
};

base::value_type!(
    /// What the reporting node knows about one member.
    #[derive(Copy, Default)]
    pub struct MemberReport {
        /// Time since the latest tick at which the member is known to have counted towards a
        /// majority and to have held no head newer than the reporting node's; `None` if no such
        /// tick is known.
        pub age: Option<Duration>,
        /// Whether the member is known to hold the reporting node's head or a newer one.
        pub acknowledged: bool,
    }
);

base::value_type!(
    /// The answer of a node to a peer that asks for its head.
    pub struct PeerReport {
        /// Id and incarnation of the reporting node.
        pub from: MemberId,
        /// The state head that the reporting node holds.
        pub head: HeadNumber,
        /// Number of the view at that head.
        pub view: ViewNumber,
        /// Age of its evidence that this head is the newest; `None` if it has no evidence within
        /// the window.
        pub age: Option<Duration>,
        /// Whether the reporting node itself counts towards a majority.
        pub counts: bool,
        /// One entry for each member of the view, in the same order.
        pub members: Vec<MemberReport>,
    }
);
