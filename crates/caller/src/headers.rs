//! Names of the headers that callers and the system exchange.

use hyper::header::HeaderName;

/// The id that the system gave the request, on answers.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The caller's name for a session.
pub const SESSION_ID: HeaderName = HeaderName::from_static("x-session-id");
/// The session's token: set on answers, returned by the caller on later requests.
pub const SESSION_TOKEN: HeaderName = HeaderName::from_static("x-session-token");
/// Set on an answer whose session had to leave its version.
pub const SESSION_MOVED: HeaderName = HeaderName::from_static("x-session-moved");
/// The caller's key of a request that must not be repeated.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// `1` on the first sending of an idempotency key, larger on repeats.
pub const IDEMPOTENCY_ATTEMPT: HeaderName = HeaderName::from_static("idempotency-attempt");
/// When the key was made, in milliseconds since the Unix epoch, unless the key is a UUIDv7.
pub const IDEMPOTENCY_CREATED: HeaderName = HeaderName::from_static("idempotency-created");
/// How long the caller waits, in milliseconds.
pub const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout-ms");
/// `live` where somebody waits on the line, `draft` where nobody does.
pub const LATENCY_CLASS: HeaderName = HeaderName::from_static("x-latency-class");
/// Set to `true` on an answer that is the stored outcome of an earlier call.
pub const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");
