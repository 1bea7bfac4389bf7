//! The secret that instances of one system share.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::fmt;

/// Length of a frame's authentication tag, in bytes.
pub const TAG_BYTES: usize = 32;

/// Authenticates frames, so that only instances of one system are taken for fellows.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

impl Secret {
    /// A secret of any length; 32 random bytes or more are advised.
    pub fn new(secret: &[u8]) -> Self {
        Self(Hmac::new_from_slice(secret).expect("HMAC takes keys of any length"))
    }

    /// The tag of a payload.
    pub fn tag(&self, payload: &[u8]) -> [u8; TAG_BYTES] {
        let mut mac = self.0.clone();
        mac.update(payload);
        mac.finalize().into_bytes().into()
    }

    /// Whether a tag belongs to a payload; takes the same time for any tag.
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
