//! Ports to the platform's services and the HTTP adapters behind them.
//!
//! The ports are the traits [`TableStore`], [`ObjectStore`] and [`HostDirectory`]. Another platform
//! is met by another implementation of them.

pub mod claims;
pub mod hosts;
pub mod http;
pub mod objects;
pub mod table;

pub use crate::{
    claims::{ClaimRow, ClaimState, KeptAnswer, KeptBody, claim_key},
    hosts::{HostDirectory, HostEntry, HostRole, HostStanding},
    objects::ObjectStore,
    table::{CommitOutcome, Condition, RowKey, RowWrite, StoredRow, TableStore, Transaction},
};

use snafu::Snafu;

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum PlatformError {
    /// The service refused the call before it had any effect.
    #[snafu(display("the {service} refused the call: {detail}"))]
    Refused {
        /// Which service.
        service: &'static str,
        /// What it said.
        detail: String,
    },
    /// The call had certainly no effect: nothing of it left this process.
    #[snafu(display("the {service} cannot be reached: {detail}"))]
    Unreachable {
        /// Which service.
        service: &'static str,
        /// What went wrong.
        detail: String,
    },
    /// No answer came; a write may have taken effect or may still do so.
    #[snafu(display("no answer from the {service}; a write may take effect later: {detail}"))]
    Unknown {
        /// Which service.
        service: &'static str,
        /// What went wrong.
        detail: String,
    },
    /// The answer could not be read.
    #[snafu(display("the {service} gave an answer that cannot be read: {detail}"))]
    Unreadable {
        /// Which service.
        service: &'static str,
        /// What was wrong with it.
        detail: String,
    },
}
