//! `gf-load`: an open-arrival load tool that checks every answer.
//!
//! Requests arrive by a seeded Poisson process, whether earlier ones are answered or not. Every
//! request ends as whole, not run, unknown, cut or lost, and the sums are checked; an answer that
//! is not whole or not its own is a violation.

pub mod address;
pub mod answer;
pub mod args;
pub mod caller;
pub mod events;
pub mod plan;
pub mod record;
pub mod report;
pub mod run;
pub mod settings;

pub use crate::{
    args::main_with,
    report::RunReport,
    run::run_load,
    settings::{ClassKind, ClassSettings, LoadSettings},
};
