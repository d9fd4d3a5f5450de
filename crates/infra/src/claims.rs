//! The row that lets a non-idempotent request be dispatched once.

use {
    crate::RowKey,
    base::{HostId, IdempotencyKey, WorkspaceId},
    sha2::{Digest, Sha256},
    smol_str::SmolStr,
    std::fmt::Write,
};

base::value_type!(
    /// The claim of a non-idempotent request; rows of this kind are never deleted while a gateway
    /// may still write one.
    pub struct ClaimRow {
        /// The caller's workspace.
        pub workspace: WorkspaceId,
        /// The caller's key.
        pub key: IdempotencyKey,
        /// Names the submission that wrote the claim.
        pub nonce: SmolStr,
        /// SHA-256 over method, path and body, in hexadecimal digits.
        pub digest: SmolStr,
        /// The gateway that wrote the claim.
        pub gateway: HostId,
        /// When it was written, in milliseconds since 1970.
        pub claimed_ms: u64,
        /// When the request must be over, in milliseconds since 1970.
        pub deadline_ms: u64,
        /// What became of the request.
        pub state: ClaimState,
    }
);

base::value_type!(
    /// What became of a claimed request.
    #[serde(rename_all = "snake_case")]
    pub enum ClaimState {
        /// The gateway may dispatch it, or has done so.
        Claimed,
        /// It had no effect and will have none; the key may be claimed again.
        NotRun,
        /// It ran, and this was its answer.
        Answered(KeptAnswer),
        /// It ran, and its answer was too large to be kept.
        AnswerTooLarge,
        /// It was dispatched, and what became of it is not known.
        Unknown,
    }
);

base::value_type!(
    /// An answer kept for a second submission.
    pub struct KeptAnswer {
        /// The HTTP status.
        pub status: u16,
        /// Type of the body.
        pub content_type: Option<SmolStr>,
        /// The body.
        pub body: KeptBody,
    }
);

base::value_type!(
    /// A kept body.
    #[serde(rename_all = "snake_case")]
    pub enum KeptBody {
        /// A text as it was.
        Text(String),
        /// Other bytes, in base64.
        Base64(String),
    }
);

/// The key of a claim's row.
pub fn claim_key(workspace: &WorkspaceId, key: &IdempotencyKey) -> RowKey {
    let digest = hex(&Sha256::digest(key.as_str().as_bytes()));
    RowKey::from(format!("claim/{workspace}/{digest}"))
}

/// Lower-case hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
