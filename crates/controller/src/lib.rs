//! `gf-controller`: tickets, membership, ownership of fabric domains, groups and engine orders.
//!
//! Terms: the view is the numbered set of member nodes; the state head, or head, is the small row
//! that changes with every change of the durable state. A node is current while it has evidence, not
//! older than the freshness window, that its head is the newest, and isolated otherwise. A head is in
//! force when no node can be current on an older one. A member counts, that is, its reports count
//! towards a majority, when its own row in the view is in force. A ticket is an operator's accepted
//! change of the desired state. A group record lists the groups of one fabric domain as its owner
//! published them.

pub mod groups;
pub mod logging;
pub mod member;
pub mod net;
pub mod operator;
pub mod run;
pub mod state;
pub mod stop;
pub mod tasks;
