//! A stable text hash, from which stand-ins derive repeatable values.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of a text.
pub fn digest(text: &str) -> u64 {
    let mut hash = OFFSET_BASIS;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    }
    hash
}

/// Maps a text to a number from 0 to 1; the same text always gives the same number.
pub fn digest_fraction(text: &str) -> f64 {
    let mixed = digest(text).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}
