//! Occupancies, shares and priorities.

use {
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{error::Error, fmt, str::FromStr},
};

/// Why a text is none of the quantities of this module.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomError {
    /// The rejected text.
    pub text: SmolStr,
}

impl fmt::Display for RoomError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not a number", self.text)
    }
}

impl Error for RoomError {}

macro_rules! number {
    ($(#[$meta:meta])* $name:ident, $inner:ty, $format:literal) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, $format, self.0)
            }
        }

        impl FromStr for $name {
            type Err = RoomError;

            fn from_str(text: &str) -> Result<Self, RoomError> {
                text.trim().parse().map(Self).map_err(|_| RoomError { text: text.into() })
            }
        }
    };
}

number!(
    /// Requests at the servers of a pool, running and waiting, for each slot: the mean over its servers.
    Occupancy,
    f64,
    "{:.2}"
);
number!(
    /// The share of requests that are admitted, from 0 to 1.
    AdmitShare,
    f64,
    "{:.2}"
);
number!(
    /// Rank of a request among those that compete for room; 0 is the most urgent.
    #[derive(Eq, Ord, Hash)]
    PriorityLevel,
    u8,
    "{}"
);
