//! Keeps the request rates that single servers name, over all processes together.
//!
//! A server in need names in its answers how many requests per second it accepts from all processes
//! together. No process sees what the others send, so a few processes, the same ones for everybody,
//! share the rate of such a server in equal parts, and the others send it nothing. Which ones they
//! are follows from a hash over the live processes; no message is needed to agree on it.
//!
//! [`LimitTracker`] holds what is known and decides; it does no I/O and has no clock.

mod notice;
mod pace;
mod settings;
mod sharers;
mod tracker;

pub use crate::{
    notice::{LimitChange, LimitNotice, NamedLimit},
    settings::LimitSettings,
    tracker::{KnownLimit, LimitTracker},
};
