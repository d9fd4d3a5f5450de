//! Ports to the platform's services, and their HTTP adapters.
//!
//! A port is a trait that hides how a service is reached: [`TableStore`], [`ObjectStore`] and
//! [`HostDirectory`]. Another platform is supported by implementing these traits for it.
//!
//! A claim ([`ClaimRow`]) is the row that lets a non-idempotent request be dispatched only once. A
//! request is "not run" when it certainly had no effect and will have none.

pub mod claims;
pub mod hosts;
pub mod http;
pub mod objects;
pub mod table;

pub use crate::{
    claims::{ClaimRow, ClaimState, StoredAnswer, StoredBody, claim_key},
    hosts::{HostDirectory, HostEntry, HostRole, HostStanding},
    objects::ObjectStore,
    table::{CommitOutcome, Condition, RowKey, RowWrite, StoredRow, TableStore, Transaction},
};

use snafu::Snafu;

/// Why a call to a service of the platform failed, and whether a write may have taken effect.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum PlatformError {
    /// The service refused the call before it had any effect.
    #[snafu(display("the {service} refused the call: {detail}"))]
    Refused {
        /// Name of the service, for messages.
        service: &'static str,
        /// The response's status and, if available, the beginning of its body, or the error in
        /// building the call.
        detail: String,
    },
    /// Nothing was sent, so the call had no effect.
    #[snafu(display("the {service} cannot be reached: {detail}"))]
    Unreachable {
        /// Name of the service, for messages.
        service: &'static str,
        /// The underlying error, for logs.
        detail: String,
    },
    /// No usable response; a write may have taken effect or may still do so.
    #[snafu(display("no answer from the {service}; a write may take effect later: {detail}"))]
    Unknown {
        /// Name of the service, for messages.
        service: &'static str,
        /// The underlying error, for logs.
        detail: String,
    },
    /// The response body could not be decoded.
    #[snafu(display("the {service} gave an answer that cannot be read: {detail}"))]
    Unreadable {
        /// Name of the service, for messages.
        service: &'static str,
        /// The decoding error, for logs.
        detail: String,
    },
}
