//! The part of a node's state that the freshness rule uses: the head's number and the views.

use base::{HeadNumber, MemberId, ViewNumber};

base::value_type!(
    /// A view: the members at a head, with the number of the view.
    #[derive(Default)]
    pub struct MemberSet {
        /// Number of the view; increases with each change of the members.
        pub number: ViewNumber,
        /// The head that introduced the view.
        pub since: HeadNumber,
        /// The members, sorted by id.
        pub members: Vec<MemberId>,
    }
);

impl MemberSet {
    /// Index of a member in `members`; `None` if it is not in the view.
    pub fn position(&self, member: &MemberId) -> Option<usize> {
        self.members.binary_search(member).ok()
    }

    /// Number of members in a strict majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

base::value_type!(
    /// A state head that the node holds, with every view of which a majority may be needed.
    #[derive(Default)]
    pub struct HeldHead {
        /// Number of the head; 0 before the node holds any state.
        pub number: HeadNumber,
        /// The view at this head.
        pub view: MemberSet,
        /// Earlier views, oldest first, whose heads some node may still be current on.
        pub older: Vec<MemberSet>,
        /// Members of earlier views that have ended and never answer again. They are treated as
        /// holding every head, because they can no longer act on an older one.
        pub ended: Vec<MemberId>,
    }
);

impl HeldHead {
    /// The view at this head and the earlier views whose heads some node may still be current on,
    /// oldest first.
    pub fn views(&self) -> impl Iterator<Item = &MemberSet> {
        self.older.iter().chain(std::iter::once(&self.view))
    }

    /// The head that introduced a member, or that of the oldest known view if the member joined
    /// earlier. `None` if it is not in the current view.
    pub fn joined(&self, member: &MemberId) -> Option<HeadNumber> {
        self.view.position(member)?;
        self.views().find(|view| view.position(member).is_some()).map(|view| view.since)
    }
}
