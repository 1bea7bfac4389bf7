//! Rendezvous hashing: highest random weight (Thaler and Ravishankar, 1998).
//!
//! The hash is the same at every instance and in every build. It distributes keys evenly, but does
//! not resist an adversary who chooses names.

/// Offset basis and prime of FNV-1a with 64 bits.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the hash of a text.
pub fn text(text: &str) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    mix(hash)
}

/// Applies the finaliser of SplitMix64 (Steele, Lea and Flood, 2014).
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the hash of one part of a key, such as one slot of an upstream.
pub fn part(key: u64, part: u64) -> u64 {
    mix(key.wrapping_add(mix(part.wrapping_add(1))))
}

/// Returns the weight of a node for a key. The node with the highest weight owns the key.
pub fn weight(key: u64, node: u64) -> u64 {
    mix(key ^ mix(node.rotate_left(32)))
}
