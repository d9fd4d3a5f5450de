//! Assignment of keys to hosts by rendezvous hashing.

use {crate::HostId, std::hash::Hasher, twox_hash::XxHash64};

/// Must not change between releases: nodes that run different releases have to compute the same
/// weights.
const PLACEMENT_SEED: u64 = 0;

/// Computes the weight of `host` for `key`, which is the same on every node. The host with the
/// highest weight is responsible for the key.
pub fn placement_weight(key: &str, host: &HostId) -> u64 {
    let mut hasher = XxHash64::with_seed(PLACEMENT_SEED);
    hasher.write(key.as_bytes());
    hasher.write_u8(0);
    hasher.write(host.as_str().as_bytes());
    hasher.finish()
}
