//! Claims: rows that let a non-idempotent request be dispatched only once.

use {
    crate::RowKey,
    base::{HostId, IdempotencyKey, WorkspaceId},
    sha2::{Digest, Sha256},
    smol_str::SmolStr,
    std::fmt::Write,
};

base::value_type!(
    /// The claim of a non-idempotent request. It is not deleted while a gateway may still write it.
    pub struct ClaimRow {
        /// Workspace of the caller; idempotency keys are unique within it.
        pub workspace: WorkspaceId,
        /// The idempotency key that the caller sent.
        pub key: IdempotencyKey,
        /// Identifies the submission that wrote the claim, so that a gateway recognises its own
        /// claim after a commit with unknown result.
        pub nonce: SmolStr,
        /// SHA-256 over method, path and body, in hexadecimal digits; detects a key that is reused
        /// for a different request.
        pub digest: SmolStr,
        /// The gateway that wrote the claim.
        pub gateway: HostId,
        /// When the claim was written, in Unix milliseconds.
        pub claimed_ms: u64,
        /// Deadline of the request, in Unix milliseconds.
        pub deadline_ms: u64,
        /// Outcome of the request, as last recorded.
        pub state: ClaimState,
    }
);

base::value_type!(
    /// Outcome of a claimed request.
    #[serde(rename_all = "snake_case")]
    pub enum ClaimState {
        /// The gateway may dispatch the request, or has dispatched it; no outcome is recorded yet.
        Claimed,
        /// The request certainly had no effect and will have none; the key may be claimed again.
        NotRun,
        /// The request ran and got this response.
        Answered(StoredAnswer),
        /// The request ran, and its response was too large to be stored.
        AnswerTooLarge,
        /// The request was dispatched, and it is not known whether it ran.
        Unknown,
    }
);

base::value_type!(
    /// A stored response, returned when the same request is submitted again.
    pub struct StoredAnswer {
        /// HTTP status code, 100 to 999.
        pub status: u16,
        /// Absent when the response has no `content-type`.
        pub content_type: Option<SmolStr>,
        /// The complete response body.
        pub body: StoredBody,
    }
);

base::value_type!(
    /// A response body in a claim row. Rows are JSON text, so a body that is not UTF-8 is stored in
    /// base64.
    #[serde(rename_all = "snake_case")]
    pub enum StoredBody {
        /// A UTF-8 body, unchanged.
        Text(String),
        /// A body that is not UTF-8, in base64.
        Base64(String),
    }
);

/// Key of a claim's row. The idempotency key is hashed, since it may contain `/`.
pub fn claim_key(workspace: &WorkspaceId, key: &IdempotencyKey) -> RowKey {
    let digest = hex(&Sha256::digest(key.as_str().as_bytes()));
    RowKey::from(format!("claim/{workspace}/{digest}"))
}

/// Encodes bytes as lower-case hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
    }
    text
}
