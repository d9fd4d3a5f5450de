//! What may crash servers.

use {
    crate::prompt::PromptParts,
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr},
    twox_hash::XxHash3_64,
};

/// Most hexadecimal digits of the id of a part.
const PART_DIGITS: usize = 16;
/// Set in the ids of requests, so that none of them is the id of a part.
const REQUEST_BIT: u128 = 1 << 127;

/// What an id stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectKind {
    /// A part of prompts, which many requests share.
    Part,
    /// A request, which callers may repeat.
    Request,
}

impl fmt::Display for SuspectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Part => "part",
            Self::Request => "request",
        })
    }
}

/// Id of a part of a prompt or of a whole request. A part has up to 64 bits, a request 128.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SuspectId(u128);

impl SuspectId {
    /// The id of a part.
    pub const fn part(number: u64) -> Self {
        Self(number as u128)
    }

    /// The id of a request with this digest.
    pub const fn request(digest: u128) -> Self {
        Self(digest | REQUEST_BIT)
    }

    /// The id of a part as a caller wrote it: its value if it is a hexadecimal number of 64 bits,
    /// otherwise its hash.
    pub fn from_wire(text: &str) -> Self {
        let is_number =
            text.len() <= PART_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = is_number.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        Self::part(number.unwrap_or_else(|| XxHash3_64::oneshot(text.as_bytes())))
    }

    /// Folds the id into 64 bits, for checksums.
    pub(crate) const fn folded(self) -> u64 {
        (self.0 >> 64) as u64 ^ self.0 as u64
    }

    /// What the id stands for.
    pub const fn kind(self) -> SuspectKind {
        if self.0 & REQUEST_BIT == 0 { SuspectKind::Part } else { SuspectKind::Request }
    }
}

impl fmt::Display for SuspectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for SuspectId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// What of one request may crash servers: the shared parts of its prompt, and the request itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSuspects {
    /// The shared parts in order, then the request.
    all: Vec<SuspectId>,
    request: SuspectId,
    /// The last part of the prompt, or the request where it has no prompt.
    prompt: SuspectId,
}

impl RequestSuspects {
    /// The suspects of a request. `request` is its identity, which stays the same when a caller
    /// repeats it.
    pub fn new(parts: &PromptParts, request: SuspectId) -> Self {
        let all = parts.shared().iter().copied().chain([request]).collect();
        Self { all, request, prompt: parts.own().unwrap_or(request) }
    }

    /// All suspects: the shared parts of the prompt in order, then the request.
    pub fn all(&self) -> &[SuspectId] {
        &self.all
    }

    /// The request itself.
    pub fn request(&self) -> SuspectId {
        self.request
    }

    /// Tells prompts apart: the last part of the prompt, or the request where it has none.
    pub fn prompt(&self) -> SuspectId {
        self.prompt
    }
}

impl fmt::Display for RequestSuspects {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for suspect in &self.all {
            write!(f, "{suspect},")?;
        }
        Ok(())
    }
}
