//! Keys and values of the rows in the table service. Values are JSON.

use {
    base::{FabricDomainId, HostId, Incarnation, SubmissionId, TicketNumber},
    conf::ticket::ObjectName,
    infra::{RowKey, StoredRow},
    serde::{Serialize, de::DeserializeOwned},
    smol_str::{SmolStr, format_smolstr},
    snafu::{ResultExt, Snafu},
};

/// Key of the state head's row.
pub const HEAD_KEY: &str = "head";
/// Key of the row with the chain of changes of the view.
pub const VIEW_KEY: &str = "view";
/// Key prefix of the objects of the desired state.
pub const OBJECT_PREFIX: &str = "object/";
/// Key prefix of the members' rows, followed by the host's id.
pub const MEMBER_PREFIX: &str = "member/";
/// Key prefix of the owners' rows, followed by the fabric domain's id.
pub const OWNER_PREFIX: &str = "owner/";
/// Key prefix of accepted tickets, followed by the ticket's number.
pub const TICKET_PREFIX: &str = "ticket/";

/// A row's value does not have the form that this version writes.
#[derive(Debug, Snafu)]
#[snafu(display("the row {key} cannot be read: {source}"))]
pub struct RowError {
    /// Key of the row that was read.
    pub key: RowKey,
    /// Error of the JSON decoder.
    pub source: serde_json::Error,
}

base::value_type!(
    /// The last incarnation of a host. The row stays when the member leaves, so that no incarnation
    /// is used twice.
    pub struct IncarnationRow {
        /// Incarnation of the process that joined last.
        pub incarnation: Incarnation,
        /// Random value of that process, which shows it whether it wrote the row itself.
        pub nonce: SmolStr,
    }
);

/// Key of an accepted ticket. The number is padded so that keys sort by number.
pub fn ticket_key(number: TicketNumber) -> RowKey {
    format_smolstr!("{TICKET_PREFIX}{:012}", number.0)
}

/// Key of the row that maps an operator's submission id to the ticket's number.
pub fn submission_key(submission: &SubmissionId) -> RowKey {
    format_smolstr!("submission/{submission}")
}

/// Key of the row with the addresses and failure domain of a host's member.
pub fn member_key(host: &HostId) -> RowKey {
    format_smolstr!("{MEMBER_PREFIX}{host}")
}

/// Key of a host's [`IncarnationRow`].
pub fn incarnation_key(host: &HostId) -> RowKey {
    format_smolstr!("incarnation/{host}")
}

/// Key of the row with a fabric domain's owner and term.
pub fn owner_key(domain: &FabricDomainId) -> RowKey {
    format_smolstr!("{OWNER_PREFIX}{domain}")
}

/// Key of the row with an object's latest spec.
pub fn object_key(name: &ObjectName) -> RowKey {
    match name {
        ObjectName::GroupSet(name) => format_smolstr!("{OBJECT_PREFIX}group_set/{name}"),
        ObjectName::Workspace(name) => format_smolstr!("{OBJECT_PREFIX}workspace/{name}"),
        ObjectName::Service(name) => format_smolstr!("{OBJECT_PREFIX}service/{name}"),
        ObjectName::Flags => format_smolstr!("{OBJECT_PREFIX}flags/all"),
    }
}

/// Decodes a row's value from JSON. The error names the row.
pub fn parse_row<T: DeserializeOwned>(row: &StoredRow) -> Result<T, RowError> {
    serde_json::from_str(&row.value).context(RowSnafu { key: row.key.clone() })
}

/// Encodes a row's value as JSON, which cannot fail for the types of this module's rows.
pub fn row_text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows have text keys and finite numbers")
}
