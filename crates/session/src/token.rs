//! Session tokens, authenticated with HMAC-SHA256 (RFC 2104, FIPS 198-1).

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use entity::Generation;
use entity::name;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// First field of the payload; another layout of fields gets another number.
const LAYOUT: &str = "1";

/// Longest session id, in bytes.
pub const MAX_SESSION_BYTES: usize = 256;

/// Longest token text, in bytes.
pub const MAX_TOKEN_BYTES: usize = 1024;

/// Shortest secret, in bytes: the output length of the hash, as RFC 2104 advises.
pub const MIN_SECRET_BYTES: usize = 32;

/// What a session token says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// The session id, as the caller gave it or as the system issued it.
    pub session: Box<str>,
    /// The service that the session is with.
    pub service: name::Service,
    /// The version that the session keeps.
    pub version: name::Version,
    /// The configuration in force when the version was assigned.
    pub generation: Generation,
}

/// Why a text is not a valid token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is longer than [`MAX_TOKEN_BYTES`].
    #[error("a session token has at most {MAX_TOKEN_BYTES} bytes")]
    Long,
    /// The text is not two parts in url-safe base64, separated by a dot.
    #[error("not a session token")]
    Form,
    /// The signature doesn't match: the token was altered or signed with another secret.
    #[error("the signature of the session token doesn't match")]
    Signature,
    /// The payload was signed, but its layout or one of its fields is unknown here.
    #[error("the session token has an unknown layout")]
    Layout,
}

/// Why a secret can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a session secret has at least {MIN_SECRET_BYTES} bytes")]
pub struct Weak;

/// Signs and verifies tokens with one secret, which all instances share.
#[derive(Clone)]
pub struct Signer {
    keyed: Hmac<Sha256>,
}

impl Signer {
    /// A signer with a secret of any length; [`Signer::open`] also checks that it is long enough.
    pub fn new(secret: &[u8]) -> Self {
        let keyed = Hmac::new_from_slice(secret).expect("HMAC takes keys of any length");
        Self { keyed }
    }

    /// A signer with a secret of at least [`MIN_SECRET_BYTES`] bytes.
    pub fn open(secret: &[u8]) -> Result<Self, Weak> {
        if secret.len() < MIN_SECRET_BYTES {
            return Err(Weak);
        }
        Ok(Self::new(secret))
    }

    /// The token as text: url-safe base64 of its fields and of their signature.
    pub fn sign(&self, token: &Token) -> Box<str> {
        debug_assert!(token.session.len() <= MAX_SESSION_BYTES);
        let payload = encode(token);
        let signature = self.signature(payload.as_bytes()).finalize().into_bytes();
        let payload = URL_SAFE_NO_PAD.encode(payload.as_bytes());
        let signature = URL_SAFE_NO_PAD.encode(signature);
        format!("{payload}.{signature}").into()
    }

    /// The token that a text holds, if it was signed with this secret.
    ///
    /// The signature is compared in constant time and before any field is read.
    pub fn verify(&self, text: &str) -> Result<Token, Error> {
        if text.len() > MAX_TOKEN_BYTES {
            return Err(Error::Long);
        }
        let (payload, signature) = text.split_once('.').ok_or(Error::Form)?;
        let payload = URL_SAFE_NO_PAD.decode(payload).map_err(|_| Error::Form)?;
        let signature = URL_SAFE_NO_PAD.decode(signature).map_err(|_| Error::Form)?;
        self.signature(&payload)
            .verify_slice(&signature)
            .map_err(|_| Error::Signature)?;
        decode(&payload).ok_or(Error::Layout)
    }

    fn signature(&self, payload: &[u8]) -> Hmac<Sha256> {
        self.keyed.clone().chain_update(payload)
    }
}

/// The fields, one a line. Names hold no line breaks and the session, which may, comes last, so
/// no two tokens have the same payload.
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
