//! Our own rows in the store.

use {
    base::{FabricDomainId, FailureDomainId, HostId, Incarnation, Term},
    serde::de::DeserializeOwned,
    smol_str::{SmolStr, format_smolstr},
    std::net::SocketAddr,
};

/// What the keys of members' rows begin with.
const MEMBER_PREFIX: &str = "member/";
/// What the keys of fabric domains' rows begin with.
const DOMAIN_PREFIX: &str = "domain/";

base::value_type!(
    /// A process that serves; written once it is ready, deleted on a planned stop.
    pub struct MemberRow {
        /// Its life; a restarted process has another.
        pub incarnation: Incarnation,
        /// Where its datagrams arrive.
        pub peers: SocketAddr,
        /// Where it takes callers' requests.
        pub callers: SocketAddr,
        /// Where it stands.
        pub failure_domain: FailureDomainId,
    }
);

base::value_type!(
    /// Who decides for a fabric domain. Written when the owner changes and never renewed.
    pub struct OwnerRow {
        /// The number of this ownership; engines refuse orders of a lower one.
        pub term: Term,
        /// The owner; none after a planned stop.
        pub owner: Option<RowOwner>,
    }
);

base::value_type!(
    /// One life of one process.
    pub struct RowOwner {
        /// Its host.
        pub node: HostId,
        /// Its life.
        pub incarnation: Incarnation,
    }
);

/// What a key of ours names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowName {
    /// A process.
    Member(HostId),
    /// A fabric domain.
    Domain(FabricDomainId),
}

impl RowName {
    /// Reads a key; none if it is not one of ours.
    pub fn parse(key: &str) -> Option<Self> {
        if let Some(node) = key.strip_prefix(MEMBER_PREFIX) {
            return HostId::new(node).ok().map(Self::Member);
        }
        let domain = key.strip_prefix(DOMAIN_PREFIX)?;
        FabricDomainId::new(domain).ok().map(Self::Domain)
    }

    /// The key.
    pub fn key(&self) -> SmolStr {
        match self {
            Self::Member(node) => format_smolstr!("{MEMBER_PREFIX}{node}"),
            Self::Domain(domain) => format_smolstr!("{DOMAIN_PREFIX}{domain}"),
        }
    }
}

/// Reads a row's value; none, with a line in the log, if it can't be read.
pub(crate) fn read_value<T: DeserializeOwned>(key: &str, value: &str) -> Option<T> {
    serde_json::from_str(value)
        .inspect_err(|error| tracing::warn!(key, %error, "a row can't be read"))
        .ok()
}
