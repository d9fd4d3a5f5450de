//! The answers of stand-in engines, which anybody can work out from the request.
//!
//! Token `i` of the answer to a prompt is eight hexadecimal digits and a space: the low 32 bits of
//! XXH3 (64 bits, seed `i`) over the prompt digest of `engine::prompt` in little-endian bytes. A
//! checker that knows the prompt can tell a whole answer from a torn one, and from another's.

use twox_hash::XxHash3_64;

/// The text of token `index` of the answer to the prompt with this digest.
pub fn token_text(digest: u64, index: u64) -> String {
    let hash = XxHash3_64::oneshot_with_seed(index, &digest.to_le_bytes());
    format!("{:08x} ", hash as u32)
}

/// The whole answer of `tokens` tokens.
pub fn whole_text(digest: u64, tokens: u64) -> String {
    (0..tokens).map(|index| token_text(digest, index)).collect()
}
