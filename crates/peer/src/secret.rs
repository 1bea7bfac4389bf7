//! Secret shared by the instances of one system.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

/// Length of the authentication tag of a frame.
pub const TAG_BYTES: usize = 32;

/// Key that authenticates frames, so that only instances of the same system are accepted as peers.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

impl Secret {
    /// Creates a key from a secret of any length; at least 32 random bytes are recommended.
    pub fn new(secret: &[u8]) -> Self {
        Self(Hmac::new_from_slice(secret).expect("HMAC accepts keys of any length"))
    }

    /// Returns the tag of a payload.
    pub fn tag(&self, payload: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = self.0.clone();
        mac.update(payload);
        mac.finalize().into_bytes().into()
    }

    /// Returns whether a tag belongs to a payload, in constant time.
    pub fn verify(&self, payload: &[u8], tag: &[u8]) -> bool {
        let mut mac = self.0.clone();
        mac.update(payload);
        mac.verify_slice(tag).is_ok()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}
