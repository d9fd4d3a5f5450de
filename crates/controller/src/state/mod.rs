//! The durable state: its rows in the table service, reads and changes of it, and this node's copy.
//!
//! The state consists of the view (the numbered set of members), the owners of the fabric domains, and
//! the desired state that accepted tickets produce. The state head is a small row that changes with
//! each change of any of these; "head" in this module means the state head. A node is current while
//! it holds evidence, not older than the window of the freshness settings, that its head is the
//! newest. Otherwise it is isolated and takes no new work. A head is in force once no node can be
//! current on an older one.
//!
//! The chain of changes leads from the oldest view that some node may still be current on to the
//! present view. Its oldest changes are dropped when later views are in force.

pub mod change;
pub mod held_head;
pub mod node;
pub mod reader;
pub mod rows;
pub mod sync;
pub mod writer;
