//! Sizes, rates and weights with their units.

use {
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, str::FromStr},
};

/// Why a string cannot be parsed as a quantity.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum QuantityError {
    /// The string, without its unit, does not parse as the number type of the quantity.
    #[snafu(display("`{text}` is not {wanted}"))]
    NotANumber {
        /// The whole rejected string, with any unit.
        text: String,
        /// Description of the expected value, such as `a whole number of bytes`.
        wanted: &'static str,
    },
}

macro_rules! quantity {
    ($(#[$meta:meta])* $name:ident, $inner:ty, $wanted:literal, $unit:literal) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = QuantityError;

            fn from_str(text: &str) -> Result<Self, QuantityError> {
                let digits = text.strip_suffix($unit).unwrap_or(text).trim();
                digits.parse().map(Self).map_err(|_| QuantityError::NotANumber {
                    text: text.to_owned(),
                    wanted: $wanted,
                })
            }
        }
    };
}

quantity!(
    /// A size in bytes; the suffix ` B` is optional when parsed.
    ByteCount,
    u64,
    "a whole number of bytes",
    " B"
);
quantity!(
    /// A number of model tokens; the suffix ` tokens` is optional when parsed.
    TokenCount,
    u64,
    "a whole number of tokens",
    " tokens"
);
quantity!(
    /// Events per second; the suffix `/s` is optional when parsed.
    RatePerSecond,
    f64,
    "a number of events a second",
    "/s"
);
quantity!(
    /// A dimensionless relative weight.
    Weight,
    f64,
    "a number",
    ""
);

impl Eq for ByteCount {}
impl Eq for TokenCount {}
// `Eq` requires that no value is NaN: the range checks of `conf` reject NaN in settings and
// tickets.
impl Eq for RatePerSecond {}
impl Eq for Weight {}
