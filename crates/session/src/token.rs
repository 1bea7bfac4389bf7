//! Session tokens, authenticated with HMAC-SHA256 (RFC 2104, FIPS 198-1).

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use entity::Generation;
use entity::name;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Version of the payload layout, which is the first field of the payload. It changes whenever the
/// layout of the fields does.
const LAYOUT: &str = "1";

/// Maximum length of a session id, in bytes.
pub const MAX_SESSION_BYTES: usize = 256;

/// Maximum length of a token text, in bytes.
pub const MAX_TOKEN_BYTES: usize = 1024;

/// Minimum length of a secret, in bytes: the output length of the hash, as RFC 2104 recommends.
pub const MIN_SECRET_BYTES: usize = 32;

/// Contents of a session token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Session id, given by the caller or issued by the router.
    pub session: Box<str>,
    /// Service of the session.
    pub service: name::Service,
    /// Version that the session keeps.
    pub version: name::Version,
    /// Configuration that was in force when the version was assigned.
    pub generation: Generation,
}

/// Error for a text that is not a valid token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is longer than [`MAX_TOKEN_BYTES`].
    #[error("a session token has at most {MAX_TOKEN_BYTES} bytes")]
    TooLong,
    /// The text does not consist of two parts in URL-safe base64, separated by a dot.
    #[error("not a session token")]
    Malformed,
    /// The signature doesn't match: the token was altered or signed with another secret.
    #[error("the signature of the session token doesn't match")]
    InvalidSignature,
    /// The signature is valid, but the layout of the payload is unknown or a field is malformed.
    #[error("the session token has an unknown layout")]
    UnknownLayout,
}

/// Error for a secret that is too short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a session secret has at least {MIN_SECRET_BYTES} bytes")]
pub struct ShortSecret;

/// Signs and verifies tokens with one secret, which all instances share.
#[derive(Clone)]
pub struct Signer {
    mac: Hmac<Sha256>,
}

impl Signer {
    /// Creates a signer with a secret of any length; [`Signer::checked`] also checks the length.
    pub fn new(secret: &[u8]) -> Self {
        let mac = Hmac::new_from_slice(secret).expect("HMAC takes keys of any length");
        Self { mac }
    }

    /// Creates a signer with a secret of at least [`MIN_SECRET_BYTES`] bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ShortSecret`] if the secret is shorter.
    pub fn checked(secret: &[u8]) -> Result<Self, ShortSecret> {
        if secret.len() < MIN_SECRET_BYTES {
            return Err(ShortSecret);
        }
        Ok(Self::new(secret))
    }

    /// Returns the token as text: its fields and their signature in URL-safe base64, separated by a dot.
    pub fn sign(&self, token: &Token) -> Box<str> {
        debug_assert!(token.session.len() <= MAX_SESSION_BYTES);
        let payload = encode(token);
        let signature = self.signature(payload.as_bytes()).finalize().into_bytes();
        let payload = URL_SAFE_NO_PAD.encode(payload.as_bytes());
        let signature = URL_SAFE_NO_PAD.encode(signature);
        format!("{payload}.{signature}").into()
    }

    /// Decodes a token from its text if it was signed with this secret.
    ///
    /// The signature is compared in constant time, before any field is parsed.
    pub fn verify(&self, text: &str) -> Result<Token, Error> {
        if text.len() > MAX_TOKEN_BYTES {
            return Err(Error::TooLong);
        }
        let (payload, signature) = text.split_once('.').ok_or(Error::Malformed)?;
        let payload = URL_SAFE_NO_PAD
            .decode(payload)
            .map_err(|_| Error::Malformed)?;
        let signature = URL_SAFE_NO_PAD
            .decode(signature)
            .map_err(|_| Error::Malformed)?;
        self.signature(&payload)
            .verify_slice(&signature)
            .map_err(|_| Error::InvalidSignature)?;
        decode(&payload).ok_or(Error::UnknownLayout)
    }

    fn signature(&self, payload: &[u8]) -> Hmac<Sha256> {
        self.mac.clone().chain_update(payload)
    }
}

/// Encodes the fields, one per line. Names contain no line breaks, and the session id, which may
/// contain some, comes last; distinct tokens therefore have distinct payloads.
fn encode(token: &Token) -> Box<str> {
    let Token {
        session,
        service,
        version,
        generation,
    } = token;
    format!("{LAYOUT}\n{generation}\n{service}\n{version}\n{session}").into()
}

fn decode(payload: &[u8]) -> Option<Token> {
    let payload = std::str::from_utf8(payload).ok()?;
    let mut fields = payload.splitn(5, '\n');
    if fields.next()? != LAYOUT {
        return None;
    }
    let generation = fields.next()?.parse().ok()?;
    let service = fields.next()?.parse().ok()?;
    let version = fields.next()?.parse().ok()?;
    let session = fields.next()?.into();
    Some(Token {
        session,
        service,
        version,
        generation,
    })
}
