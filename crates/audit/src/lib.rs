//! Checks a configuration before it is sent: errors, entries that never take effect, limits that
//! contradict each other, and what differs from the configuration in force.
//!
//! It does no I/O. The caller decodes the configuration with the decoder of the running processes, so
//! that a text which they refuse never gets here.

mod checks;
mod compare;
mod draft;
mod finding;

pub use crate::{
    checks::check_draft,
    compare::{ConfigChange, compare_drafts},
    draft::{ConfigDraft, HostRoute, ProcessBounds},
    finding::{AuditFinding, FindingLevel},
};
