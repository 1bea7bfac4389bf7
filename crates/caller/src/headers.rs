//! Names of the headers exchanged with callers.

use hyper::header::HeaderName;

/// On answers: the id assigned to the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The caller's id for a session.
pub const SESSION_ID: HeaderName = HeaderName::from_static("x-session-id");
/// Session token: set on answers and returned by the caller on later requests.
pub const SESSION_TOKEN: HeaderName = HeaderName::from_static("x-session-token");
/// Set on an answer whose session was moved to another version.
pub const SESSION_MOVED: HeaderName = HeaderName::from_static("x-session-moved");
/// The caller's idempotency key for a request that must run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Attempt number of an idempotency key: `1` when it is first sent, larger on repeats.
pub const IDEMPOTENCY_ATTEMPT: HeaderName = HeaderName::from_static("idempotency-attempt");
/// Creation time of the key, in milliseconds since the Unix epoch; not needed if the key is a UUIDv7.
pub const IDEMPOTENCY_CREATED: HeaderName = HeaderName::from_static("idempotency-created");
/// The caller's time budget, in milliseconds.
pub const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout-ms");
/// `live` if a person waits for the answer, `draft` otherwise.
pub const LATENCY_CLASS: HeaderName = HeaderName::from_static("x-latency-class");
/// Set to `true` on an answer that replays the stored outcome of an earlier call.
pub const REPLAYED: HeaderName = HeaderName::from_static("idempotency-replayed");
