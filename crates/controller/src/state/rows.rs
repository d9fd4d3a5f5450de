//! Keys and values of the rows.

use {
    base::{FabricDomainId, HostId, Incarnation, SubmissionId, TicketNumber},
    conf::ticket::ObjectName,
    infra::{RowKey, StoredRow},
    serde::{Serialize, de::DeserializeOwned},
    smol_str::{SmolStr, format_smolstr},
    snafu::{ResultExt, Snafu},
};

/// Key of the head row.
pub const HEAD_KEY: &str = "head";
/// Key of the row with the changes of the view.
pub const VIEW_KEY: &str = "view";
/// Prefix of the objects that tickets touch.
pub const OBJECT_PREFIX: &str = "object/";
/// Prefix of the members' rows.
pub const MEMBER_PREFIX: &str = "member/";
/// Prefix of the owners' rows.
pub const OWNER_PREFIX: &str = "owner/";
/// Prefix of the accepted tickets.
pub const TICKET_PREFIX: &str = "ticket/";

/// A row that is not what this version writes.
#[derive(Debug, Snafu)]
#[snafu(display("the row {key} cannot be read: {source}"))]
pub struct RowError {
    /// The row's key.
    pub key: RowKey,
    /// What the decoder found.
    pub source: serde_json::Error,
}

base::value_type!(
    /// The last incarnation of a host and the process that took it.
    pub struct IncarnationRow {
        /// The incarnation.
        pub incarnation: Incarnation,
        /// A value that only the process that wrote the row knows.
        pub nonce: SmolStr,
    }
);

/// Key of an accepted ticket.
pub fn ticket_key(number: TicketNumber) -> RowKey {
    format_smolstr!("{TICKET_PREFIX}{:012}", number.0)
}

/// Key of the number that a submission got.
pub fn submission_key(submission: &SubmissionId) -> RowKey {
    format_smolstr!("submission/{submission}")
}

/// Key of a member's row.
pub fn member_key(host: &HostId) -> RowKey {
    format_smolstr!("{MEMBER_PREFIX}{host}")
}

/// Key of a host's last incarnation.
pub fn incarnation_key(host: &HostId) -> RowKey {
    format_smolstr!("incarnation/{host}")
}

/// Key of a fabric domain's owner.
pub fn owner_key(domain: &FabricDomainId) -> RowKey {
    format_smolstr!("{OWNER_PREFIX}{domain}")
}

/// Key of an object's spec.
pub fn object_key(name: &ObjectName) -> RowKey {
    match name {
        ObjectName::GroupSet(name) => format_smolstr!("{OBJECT_PREFIX}group_set/{name}"),
        ObjectName::Workspace(name) => format_smolstr!("{OBJECT_PREFIX}workspace/{name}"),
        ObjectName::Service(name) => format_smolstr!("{OBJECT_PREFIX}service/{name}"),
        ObjectName::Flags => format_smolstr!("{OBJECT_PREFIX}flags/all"),
    }
}

/// Reads a row's value.
pub fn parse_row<T: DeserializeOwned>(row: &StoredRow) -> Result<T, RowError> {
    serde_json::from_str(&row.value).context(RowSnafu { key: row.key.clone() })
}

/// Writes a row's value.
pub fn row_text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows have text keys and finite numbers")
}
