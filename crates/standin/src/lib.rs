//! `gf-standin`: stand-ins for the platform, model engines and plain services.
//!
//! One process serves a table service, an object store, a host list, model engines and plain
//! services as docs/INTERFACES.md describes them. Faults are switched and histories are read over
//! HTTP at the control address; [`fault::Fault`] lists them. It is made for tests and the quick
//! start, and keeps everything in memory.

pub mod answer;
pub mod command;
pub mod control;
pub mod engine;
pub mod fault;
pub mod history;
pub mod hosts;
pub mod link;
pub mod objects;
pub mod platform_api;
pub mod serve;
pub mod service;
pub mod settings;
pub mod table;
pub mod time;
pub mod world;

pub use crate::{
    settings::StandinSettings,
    world::{BoundAddresses, World},
};

use {snafu::Snafu, std::net::SocketAddr};

/// Why the process cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StandinError {
    /// A name made from the settings is no identifier.
    #[snafu(display("a host cannot be named: {detail}"))]
    BadName {
        /// What is wrong.
        detail: String,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {detail}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        detail: String,
    },
    /// The calls of a server contradict each other.
    #[snafu(display("a server cannot be built: {detail}"))]
    BadServer {
        /// What is wrong.
        detail: String,
    },
}
