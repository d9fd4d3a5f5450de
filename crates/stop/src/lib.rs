//! Planned stops of a process that answers requests.
//!
//! A process that is told to stop has a grace time, after which it is killed. Until shortly before
//! then it goes on answering requests, but begins only work that is sure to end by that moment; what
//! can't is refused at once, so that its caller goes elsewhere. What still runs then gets its last
//! answer while there is time to write it.
//!
//! [`PlannedStop`] leads through the phases, [`StopWatch`] tells them to everything that begins or
//! does work, and [`OpenWork`] knows the requests that have begun and not ended.

mod open_work;
mod pause_watch;
mod planned;
mod settings;
mod watch;

pub use crate::{
    open_work::{OpenRequest, OpenWork, WorkCounts, WorkEnd, WorkGuard, WorkStage},
    pause_watch::PauseWatch,
    planned::{Draining, Ending, Leaving, PlannedStop, Running},
    settings::StopSettings,
    watch::{StopPhase, StopWatch},
};
