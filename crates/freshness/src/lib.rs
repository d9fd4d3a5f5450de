//! The freshness rule: decides whether a node may act on its copy of the durable state, and when a
//! change of that state is in force.
//!
//! Terms of this crate:
//!
//! - State head, or head: a small row of the table service that gets the next higher number with
//!   each change of the durable state.
//! - Holds: a node holds a head if it has the durable state of that head in memory.
//! - Member, member row: a member is one incarnation of a node with a row in the durable state.
//! - View: the members at a head. A change of the members introduces a new view.
//! - Evidence: proof that a head was the newest at some tick of the node's own clock.
//! - Window: the maximum age of evidence on which a node may act.
//! - Current: a node is current on the head that it holds while it has evidence for it within the
//!   window. It may act only then.
//! - Isolated: not current.
//! - Margin: the time added to the window to cover the drift between clocks.
//! - In force: a head is in force once a majority of each view in use has held it for the window
//!   and the margin. Then no node is current on an older head.
//! - Counts: a member counts if its reports may be part of a majority as evidence, which is so once
//!   the head that introduced its member row is in force.
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
