//! A harness for tests over the real processes.
//!
//! A [`TestCluster`] starts `gf-standin`, controllers and gateways as processes of their own, each
//! entry host on a loopback address of its own, and ends them when it is dropped. The programs are
//! taken from beside the test executable; `scripts/test` builds them first.

pub mod caller;
pub mod checks;
pub mod cluster;
pub mod http;
pub mod load;
pub mod process;
pub mod shape;
pub mod wait;

pub use crate::{
    caller::{CallEnd, Caller, Completion},
    cluster::TestCluster,
    load::{LoadKind, LoadShape, SteadyLoad},
    process::ChildProcess,
    shape::ClusterShape,
    wait::{WAIT_LIMIT, wait_for},
};
