//! The operators' HTTP interface: tickets, views of the state and metrics.

pub mod api;
pub mod metrics;
pub mod tickets;
pub mod views;
