//! Keeps the request rates that single servers name, or tolerate while they are cold, over all processes
//! together.
//!
//! A server in need names in its answers how many requests per second it accepts from all processes
//! together. No process sees what the others send, so a few processes, the same ones for everybody,
//! share the rate of such a server in equal parts, and the others ask one of them before each request.
//! Which ones they are follows from a hash over the live processes; no message is needed to agree on it.
//! Where two processes disagree about one that has just started or ended, a part of the rate is used
//! twice or not at all, not the whole.
//!
//! A cold server has started a short time ago, or says for another reason that it tolerates few requests
//! for a while. The rate is that of its service, and the spell ends by the clock.
//!
//! [`LimitTracker`] holds what is known and decides; it does no I/O and has no clock.

mod notice;
mod pace;
mod settings;
mod sharers;
mod tracker;

pub use crate::{
    notice::{AskOutcome, LimitChange, LimitNotice, NamedLimit},
    settings::LimitSettings,
    tracker::{KnownLimit, LimitTracker, ServerRoom},
};
