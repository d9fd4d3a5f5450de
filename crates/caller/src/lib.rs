//! Callers' connections.
//!
//! A server that works for a caller that has left holds a place that another caller could use. The
//! HTTP library notices the close of a connection only while it reads, and it reads nothing behind a
//! request that is not answered yet. [`CallerSocket`] reads ahead in that time; [`SocketWatch::left`]
//! tells the task that serves the connection, which then drops it with all that is at work.
//! [`CallerPresence`] is the state of one caller, for everything that works for it.
//! [`ConnectionTable`] bounds how many connections callers have open, and closes those that are of least
//! use when others need their place.

mod presence;
mod socket;
mod table;

pub use crate::{
    presence::{BodyGuard, CallerPresence, ConnectionUse, DepartureTimer, PresenceGuard},
    socket::{CallerSocket, SocketWatch},
    table::{ConnectionEntry, ConnectionTable, CutCause},
};
