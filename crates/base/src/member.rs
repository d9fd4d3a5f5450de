//! Identity of a member controller.

use {
    crate::{HostId, IdError, Incarnation},
    std::{fmt, str::FromStr},
};

crate::value_type!(
    /// Identifies one incarnation of an entry host's controller; a restarted controller is a new
    /// member.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct MemberId {
        /// The entry host that runs the controller.
        pub host: HostId,
        /// Assigned when the controller joins: one more than that of the last member on the host.
        pub incarnation: Incarnation,
    }
);

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}", self.host, self.incarnation)
    }
}

impl FromStr for MemberId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (host, incarnation) = text.rsplit_once('+').unwrap_or((text, ""));
        let incarnation =
            incarnation.parse().map_err(|_| IdError::Empty { kind: "Incarnation" })?;
        Ok(Self { host: HostId::new(host)?, incarnation })
    }
}
