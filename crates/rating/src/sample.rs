//! Sampling of the answers to rate.

use entity::request;
use entity::unit::Share;

/// Returns whether an answer belongs to the sample of a share, by the random bits of its request's
/// id.
///
/// All instances take the same decision, and the sample of a share contains those of all smaller
/// shares.
pub fn is_sampled(request: request::Id, share: Share) -> bool {
    // Multiplication by an odd constant mixes the low bits into the high ones.
    let mixed = (request.0 as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    let position = (mixed * u64::from(Share::WHOLE.ppm())) >> 32;
    position < u64::from(share.ppm())
}
