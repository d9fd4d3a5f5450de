//! Identifiers: short validated strings and 64-bit numbers.

use {
    crate::derive::{number_id, text_id},
    smol_str::SmolStr,
    snafu::Snafu,
};

const MAX_ID_BYTES: usize = 128;

/// Why a string is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum IdError {
    /// The string is empty. Parsing a [`MemberId`](crate::MemberId) also returns this error when
    /// the incarnation is missing or not a number.
    #[snafu(display("{kind} must not be empty"))]
    Empty {
        /// Name of the identifier type, such as `HostId`.
        kind: &'static str,
    },
    /// The string is longer than 128 bytes.
    #[snafu(display("{kind} has {bytes} bytes; at most {MAX_ID_BYTES} are allowed"))]
    TooLong {
        /// Name of the identifier type, such as `HostId`.
        kind: &'static str,
        /// Length of the rejected string, in bytes.
        bytes: usize,
    },
    /// The string has a character other than ASCII letters, digits and `-_.:/@`.
    #[snafu(display(
        "{kind} `{text}` has the character {bad:?}; letters, digits and -_.:/@ are allowed"
    ))]
    BadCharacter {
        /// Name of the identifier type, such as `HostId`.
        kind: &'static str,
        /// The whole rejected string.
        text: SmolStr,
        /// The first disallowed character.
        bad: char,
    },
}

fn validate_id(kind: &'static str, text: &str) -> Result<SmolStr, IdError> {
    if text.is_empty() {
        return EmptySnafu { kind }.fail();
    }
    if text.len() > MAX_ID_BYTES {
        return TooLongSnafu { kind, bytes: text.len() }.fail();
    }
    match text.chars().find(|c| !is_allowed(*c)) {
        Some(bad) => BadCharacterSnafu { kind, text, bad }.fail(),
        None => Ok(SmolStr::new(text)),
    }
}

fn is_allowed(c: char) -> bool {
    c.is_ascii_alphanumeric() || "-_.:/@".contains(c)
}

text_id!(
    /// A machine: an entry host (controller and gateway) or the host of a backend server.
    HostId
);
text_id!(
    /// A set of hosts that can fail together.
    FailureDomainId
);
text_id!(
    /// A set of hosts joined by a fast network fabric; a serving group has hosts of only one.
    FabricDomainId
);
text_id!(
    /// A set of failure domains that are close in network terms.
    RegionId
);
text_id!(
    /// A workspace: the unit of access keys, limits and capacity shares.
    WorkspaceId
);
text_id!(
    /// An API client, unique within its workspace.
    CallerName
);
text_id!(
    /// A model, as callers name it in the `model` field of a request.
    ModelName
);
text_id!(
    /// A version of a model's weights; engines load the weights by model and version.
    ModelVersion
);
text_id!(
    /// An adapter that engines load together with the weights of a model version.
    AdapterName
);
text_id!(
    /// A set of serving groups with the same specification, named by an operator.
    GroupSetName
);
text_id!(
    /// One serving group; not reused after the group is released.
    GroupId
);
text_id!(
    /// A service other than the model engines, whose servers come from the host list.
    ServiceName
);
text_id!(
    /// Id of an operator's submission of a ticket. A resubmission has the same id and gets the same
    /// ticket number.
    SubmissionId
);
text_id!(
    /// Key that a caller sends with a non-idempotent request, so that the request runs at most
    /// once.
    IdempotencyKey
);
text_id!(
    /// One attempt to run one request at one backend server.
    AttemptId
);

number_id!(
    /// Number of the state head; increases with every change of the durable state.
    HeadNumber
);
number_id!(
    /// Number of a change ticket, assigned in the transaction that accepts it.
    TicketNumber
);
number_id!(
    /// Number of a view, the set of member controllers.
    ViewNumber
);
number_id!(
    /// Ownership term of a fabric domain; engines receive it as the fencing number.
    Term
);
number_id!(
    /// Number of a serving group's composition, which grows when the group's hosts change. A load
    /// order makes an engine join the group in the order's epoch; the engine refuses requests,
    /// drain orders and release orders for any other epoch.
    Epoch
);
number_id!(
    /// Number of one run of a process on a host; a restarted process gets another.
    Incarnation
);
number_id!(
    /// Position of an order to an engine within one term.
    OrderSequence
);
number_id!(
    /// Number of orders that an engine has accepted since its start.
    OrderCount
);
number_id!(
    /// Position of a domain record within one term. The owner of a fabric domain publishes domain
    /// records, each with all groups of the domain; a later record replaces an earlier one.
    RecordSequence
);
number_id!(
    /// Version of a row of the table service; 0 if the row does not exist.
    RowVersion
);
number_id!(
    /// How often the platform's store has come back from an older copy of its data. What was read in
    /// an earlier era may be newer than what the store has.
    StoreEra
);
