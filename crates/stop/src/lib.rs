//! Planned stops of a process that answers requests.
//!
//! [`OpenWork`] knows the requests that have begun and not ended, so that the end of a process can say
//! which of them it cuts.

mod open_work;

pub use crate::open_work::{OpenRequest, OpenWork, WorkGuard, WorkStage};
