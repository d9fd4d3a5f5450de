//! Encoding of messages: one version byte, then a postcard value.
//!
//! A node supports every version from [`OLDEST_PROTOCOL_VERSION`] to the highest of its build. To a
//! peer whose member row is known it sends the greatest common version, to any other process the
//! oldest. An answer has the version of its request.

use {
    crate::PROTOCOL_VERSION,
    serde::{Serialize, de::DeserializeOwned},
    snafu::{ResultExt, Snafu, ensure},
};

/// The oldest version that this build still supports.
pub const OLDEST_PROTOCOL_VERSION: u8 = 1;

/// Error when a message is encoded or decoded.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The message has no bytes, so not even a version byte.
    #[snafu(display("the message is empty"))]
    Empty,
    /// The message has a version that this node does not support.
    #[snafu(display(
        "the message has version {version}; versions {OLDEST_PROTOCOL_VERSION} to {highest} are spoken here"
    ))]
    UnknownVersion {
        /// Version byte of the message.
        version: u8,
        /// The highest version that this node supports.
        highest: u8,
    },
    /// The version is supported, but the value cannot be decoded.
    #[snafu(display("the message cannot be read: {source}"))]
    Malformed {
        /// The decoder's error.
        source: postcard::Error,
    },
    /// There are bytes after the value.
    #[snafu(display("{bytes} bytes follow the message"))]
    Trailing {
        /// Number of bytes after the value.
        bytes: usize,
    },
    /// The value cannot be encoded.
    #[snafu(display("the message cannot be written: {source}"))]
    Unwritable {
        /// The encoder's error.
        source: postcard::Error,
    },
}

/// The result of decoding a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoded<T> {
    /// The version byte, in which an answer is sent.
    pub version: u8,
    /// The value that followed the version byte.
    pub message: T,
}

/// Encodes and decodes messages up to a highest version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageCodec {
    highest: u8,
}

impl Default for MessageCodec {
    fn default() -> Self {
        Self { highest: PROTOCOL_VERSION }
    }
}

impl MessageCodec {
    /// Creates a codec for all versions up to `highest`.
    pub fn up_to(highest: u8) -> Self {
        Self { highest: highest.max(OLDEST_PROTOCOL_VERSION) }
    }

    /// The highest supported version; a node publishes it in its member row.
    pub fn highest(&self) -> u8 {
        self.highest
    }

    /// The greatest version that both this node and a peer with the given highest version support.
    pub fn common(&self, peer_highest: u8) -> u8 {
        self.highest.min(peer_highest.max(OLDEST_PROTOCOL_VERSION))
    }

    /// Encodes a message in a version that [`MessageCodec::common`] returned or a request had.
    pub fn encode<T: Serialize>(&self, version: u8, message: &T) -> Result<Vec<u8>, CodecError> {
        self.check(version)?;
        postcard::to_extend(message, vec![version]).context(UnwritableSnafu)
    }

    /// Decodes a message; fails on an unsupported version, a malformed value or bytes after it.
    pub fn decode<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<Decoded<T>, CodecError> {
        let (version, body) = bytes.split_first().ok_or(CodecError::Empty)?;
        self.check(*version)?;
        let (message, rest) = postcard::take_from_bytes(body).context(MalformedSnafu)?;
        ensure!(rest.is_empty(), TrailingSnafu { bytes: rest.len() });
        Ok(Decoded { version: *version, message })
    }

    fn check(&self, version: u8) -> Result<(), CodecError> {
        let known = (OLDEST_PROTOCOL_VERSION..=self.highest).contains(&version);
        ensure!(known, UnknownVersionSnafu { version, highest: self.highest });
        Ok(())
    }
}
