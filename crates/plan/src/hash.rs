//! A hash that is the same on every node and in every version.

/// FNV-1a with a final mix.
pub(crate) fn hash_text(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    const MIX: u64 = 0xff51_afd7_ed55_8ccd;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    let hash = text.bytes().fold(OFFSET, step);
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(MIX);
    mixed ^ (mixed >> 33)
}
