//! `gfctl`: the operators' command line.
//!
//! Talks to the admin address of any controller, tries several in turn, and prints tables for
//! people or JSON for programs.

pub mod args;
pub mod client;
pub mod command;
pub mod exit;
mod follow;
mod submit;
mod tables;
mod views;

pub use crate::{
    args::{CtlArgs, CtlCommand, CtlSettings},
    client::{ClientError, ControllerClient},
    command::run,
    exit::ExitStatus,
};
