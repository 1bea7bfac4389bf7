//! Which answers are rated.

use entity::request;
use entity::unit::Share;

/// Whether an answer falls into a sample, by the random bits of its request's id.
///
/// Every instance decides alike, and a sample of a share contains those of all smaller shares.
pub fn is_sampled(request: request::Id, share: Share) -> bool {
    // Multiplication by an odd constant spreads the low bits over the high ones.
    let mixed = (request.0 as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    let position = (mixed * u64::from(Share::WHOLE.ppm())) >> 32;
    position < u64::from(share.ppm())
}
