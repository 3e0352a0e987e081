//! Stable hashes, identical in every process and release.

/// Hashes `text`.
pub fn hash_text(text: &str) -> u64 {
    hash_bytes(text.as_bytes())
}

/// Hashes `bytes`: the first 8 bytes of their BLAKE3 digest, little-endian.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let digest = blake3::hash(bytes);
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}

/// Combines two hashes; the order matters. Applies the finaliser of SplitMix64 to their weighted
/// sum.
pub const fn combine_hashes(left: u64, right: u64) -> u64 {
    let mut mixed = left.wrapping_add(right.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
