//! Membership of controllers: joining, leaving, liveness of the other members, and which member owns
//! which fabric domain.
//!
//! The members are the rows of the view, a numbered set in the durable state. Each member is one
//! incarnation of a host's controller process.

pub mod join;
pub mod leave;
pub mod liveness;
pub mod ownership;
pub mod placement;
