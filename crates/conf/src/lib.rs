//! Settings of the daemons and schema of change tickets, with their validation.
//!
//! A change ticket is an operator's change of the desired state; it takes effect once accepted. A
//! configuration error is one problem in a settings file or ticket, with its place and a remedy;
//! [`ConfigErrorList`] collects them. The terms of the cluster protocol, such as view, state head and
//! window, are defined in the crates `base` and `freshness`.

pub mod args;
pub mod bounds;
pub mod check;
pub mod config_error;
pub mod load;
pub mod settings;
pub mod ticket;

pub use crate::{
    args::{DaemonInfo, start_daemon},
    check::{check_ticket, load_ticket, parse_ticket},
    config_error::{ConfigError, ConfigErrorList, ConfigErrorReport, FieldPath},
    load::{CheckSettings, SettingsError, load_settings, parse_settings},
};
