//! The freshness rule: decides whether a node may act on its copy of the durable state, and when a
//! change of that state is in force.
//!
//! The state head is a small row that changes with each change of the durable state. "Head" in this
//! crate means a state head, and a later head has a higher number.
//!
//! [`HeadTracker`] does no I/O. Its caller records reads of the state head, reports of peers and the
//! heads that the node holds, with ticks of the node's own clock. The tracker guarantees that no
//! node is current on an older head once any node has found a newer one in force. This relies on two
//! assumptions: within a window, clocks drift apart by less than the margin, and a member that has
//! ended never answers again.

mod held_head;
mod policy;
mod report;
mod timing;
mod tracker;

pub use crate::{
    held_head::{HeldHead, MemberSet},
    policy::{HeadRule, RulePolicy},
    report::{MemberReport, PeerReport},
    timing::FreshTiming,
    tracker::{Evidence, EvidenceKind, ForceOutlook, HeadTracker},
};
