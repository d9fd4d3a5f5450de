//! Macros that generate the common derives and conversions of value types.

/// Adds the derives that every plain value type of the crates shares.
///
/// `value_type!(pub struct Name { .. })` derives `Clone`, `Debug`, `PartialEq`, `Eq`, `Serialize`
/// and `Deserialize`. Attributes of the item itself are kept.
#[macro_export]
macro_rules! value_type {
    ($(#[$meta:meta])* $vis:vis struct $($rest:tt)*) => {
        #[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
        $(#[$meta])* $vis struct $($rest)*
    };
    ($(#[$meta:meta])* $vis:vis enum $($rest:tt)*) => {
        #[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
        $(#[$meta])* $vis enum $($rest)*
    };
}

/// Declares a newtype over a short string with a restricted alphabet.
macro_rules! text_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "smol_str::SmolStr", into = "smol_str::SmolStr")]
        pub struct $name(smol_str::SmolStr);

        impl $name {
            /// Fails if the string is empty, longer than 128 bytes or has a character other than
            /// ASCII letters, digits and `-_.:/@`.
            pub fn new(text: impl AsRef<str>) -> Result<Self, IdError> {
                validate_id(stringify!($name), text.as_ref()).map(Self)
            }

            /// The identifier without normalization; case is significant.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(self.as_str())
            }
        }

        impl std::str::FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                Self::new(text)
            }
        }

        impl TryFrom<smol_str::SmolStr> for $name {
            type Error = IdError;

            fn try_from(text: smol_str::SmolStr) -> Result<Self, IdError> {
                Self::new(text)
            }
        }

        impl From<$name> for smol_str::SmolStr {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

/// Declares a newtype over a 64-bit term, version or sequence number.
macro_rules! number_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number plus one; panics on overflow in debug builds.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

pub(crate) use {number_id, text_id};
