//! The prompt text of a completion, and the hashes that identify its cached prefixes.

use {serde_json::Value, std::fmt::Write, twox_hash::XxHash3_64};

/// Size of a prefix block, in bytes of the prompt text; only whole blocks are hashed.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// The prompt text of a completion's body.
///
/// It is the value of `prompt` if present; otherwise, for each message, the role, a line feed, the
/// content and a line feed. A value that is not a string is written as JSON.
pub fn prompt_text(body: &Value) -> String {
    if let Some(prompt) = body.get("prompt") {
        return plain_text(prompt);
    }
    let mut text = String::new();
    for message in body.get("messages").and_then(Value::as_array).into_iter().flatten() {
        let role = plain_text(&message["role"]);
        let content = plain_text(&message["content"]);
        // Writing to a string never fails.
        let _ = write!(text, "{role}\n{content}\n");
    }
    text
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Hash of a complete prompt text: XXH3, 64 bits, seed 0.
pub fn prompt_digest(text: &str) -> u64 {
    XxHash3_64::oneshot(text.as_bytes())
}

/// The hashes of a prompt's prefixes of 1, 2, ... whole blocks, shortest first.
///
/// Each is the 64-bit XXH3 of one block, seeded with the hash of the previous block (0 for the
/// first), so that a hash identifies the whole prefix up to the end of its block.
pub fn prefix_hashes(text: &str) -> Vec<u64> {
    let mut hash = 0;
    let mut hashes = Vec::with_capacity(text.len() / PREFIX_BLOCK_BYTES);
    for block in text.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES) {
        hash = XxHash3_64::oneshot_with_seed(hash, block);
        hashes.push(hash);
    }
    hashes
}

/// Formats a prefix hash as in cache events: 16 lower-case hexadecimal digits.
pub fn prefix_name(hash: u64) -> String {
    format!("{hash:016x}")
}
