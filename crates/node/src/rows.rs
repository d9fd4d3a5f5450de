//! The member rows, owner rows and challenges that this program keeps in the store.

use {
    base::{FabricDomainId, FailureDomainId, HostId, Incarnation, Term},
    serde::de::DeserializeOwned,
    smol_str::{SmolStr, format_smolstr},
    std::net::SocketAddr,
};

/// Key prefix of member rows.
const MEMBER_PREFIX: &str = "member/";
/// Key prefix of the fabric domains' owner rows.
const DOMAIN_PREFIX: &str = "domain/";
/// Key prefix of challenges.
const CHALLENGE_PREFIX: &str = "challenge/";

base::value_type!(
    /// A member: a process that serves requests. Written once the process is ready, deleted on a
    /// planned stop.
    pub struct MemberRow {
        /// The process's incarnation; a restarted process has a new one.
        pub incarnation: Incarnation,
        /// The address for gossip messages and connections from other processes.
        pub peers: SocketAddr,
        /// The address for callers' requests.
        pub callers: SocketAddr,
        /// The failure domain that the process's host is in.
        pub failure_domain: FailureDomainId,
    }
);

base::value_type!(
    /// The owner of a fabric domain. Written when the owner changes and never renewed.
    pub struct OwnerRow {
        /// Fencing number of this ownership; engines reject orders with a lower one.
        pub term: Term,
        /// The owner; `None` after a planned stop of the last one.
        pub owner: Option<RowOwner>,
    }
);

base::value_type!(
    /// One incarnation of one process.
    pub struct RowOwner {
        /// The host that the process runs on.
        pub node: HostId,
        /// The incarnation; a restart on the same host has a new one.
        pub incarnation: Incarnation,
    }
);

base::value_type!(
    /// A question whether an incarnation of a process still runs. The process answers by writing its
    /// member row again and deleting the question.
    pub struct ChallengeRow {
        /// The incarnation that is asked.
        pub incarnation: Incarnation,
        /// The process that asks.
        pub asked_by: RowOwner,
    }
);

/// What the key of a row identifies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowName {
    /// A process, by its host.
    Member(HostId),
    /// A fabric domain.
    Domain(FabricDomainId),
    /// The challenge of a process, by its host.
    Challenge(HostId),
}

impl RowName {
    /// Parses a key; `None` if it is not the key of a member, an owner row or a challenge.
    pub fn parse(key: &str) -> Option<Self> {
        if let Some(node) = key.strip_prefix(MEMBER_PREFIX) {
            return HostId::new(node).ok().map(Self::Member);
        }
        if let Some(node) = key.strip_prefix(CHALLENGE_PREFIX) {
            return HostId::new(node).ok().map(Self::Challenge);
        }
        let domain = key.strip_prefix(DOMAIN_PREFIX)?;
        FabricDomainId::new(domain).ok().map(Self::Domain)
    }

    /// The key of the row in the store.
    pub fn key(&self) -> SmolStr {
        match self {
            Self::Member(node) => format_smolstr!("{MEMBER_PREFIX}{node}"),
            Self::Domain(domain) => format_smolstr!("{DOMAIN_PREFIX}{domain}"),
            Self::Challenge(node) => format_smolstr!("{CHALLENGE_PREFIX}{node}"),
        }
    }
}

/// Parses a row's value. Logs a warning and returns `None` if the value can't be parsed.
pub(crate) fn read_value<T: DeserializeOwned>(key: &str, value: &str) -> Option<T> {
    serde_json::from_str(value)
        .inspect_err(|error| tracing::warn!(key, %error, "failed to parse a row"))
        .ok()
}
