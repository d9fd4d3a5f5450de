//! A simulated deployment around real trackers: table, network, processes and faults.

pub(crate) mod faults;
pub(crate) mod process;
pub(crate) mod queue;
pub(crate) mod table;
pub(crate) mod world;
