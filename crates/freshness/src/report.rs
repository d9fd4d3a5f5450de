//! Reports that nodes exchange as evidence.

use {
    base::{HeadNumber, MemberId, ViewNumber},
    std::time::Duration,
};

base::value_type!(
    /// What the reporting node knows of one member.
    #[derive(Copy, Default)]
    pub struct MemberReport {
        /// Age of the last evidence that the member counts and holds no head newer than the reporting
        /// node's; `None` without such evidence.
        pub age: Option<Duration>,
        /// Whether the member is known to hold the reporting node's head or a newer one.
        pub acknowledged: bool,
    }
);

base::value_type!(
    /// What a node answers to a peer that asks for its head.
    pub struct PeerReport {
        /// Id and incarnation of the reporting node.
        pub from: MemberId,
        /// The state head that the reporting node holds.
        pub head: HeadNumber,
        /// Number of the view at that head.
        pub view: ViewNumber,
        /// Age of its evidence that this head is the newest; `None` when it is isolated.
        pub age: Option<Duration>,
        /// Whether the reporting node itself counts towards a majority.
        pub counts: bool,
        /// One entry for each member of the view, in the same order.
        pub members: Vec<MemberReport>,
    }
);
