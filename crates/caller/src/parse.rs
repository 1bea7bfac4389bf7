//! Parses HTTP requests into typed requests.

use crate::headers;
use crate::reply::Refusal;
use crate::request::{Chat, Idempotency, Plain, Session, Target};
use bytes::Bytes;
use entity::unit::Tokens;
use entity::{Span, name};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderName};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use serde_json::{Map, Value};

/// Longest session id or idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Longest time budget that a caller may give.
const MAX_TIMEOUT: Span = Span::from_secs(3600);
/// Initial value of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Estimated bytes of a prompt per token.
const BYTES_PER_TOKEN: u64 = 4;

/// Values parsed from the headers of a request.
pub(crate) struct Head {
    pub(crate) bearer: Option<Box<str>>,
    pub(crate) session: Session,
    pub(crate) idempotency: Option<Idempotency>,
    pub(crate) timeout: Option<Span>,
    pub(crate) live: bool,
}

/// Creates a refusal of a malformed request, with status 400.
pub(crate) fn bad(code: &'static str, message: impl Into<String>) -> Refusal {
    Refusal::not_run(StatusCode::BAD_REQUEST, code, message.into())
}

fn text<'a>(map: &'a HeaderMap, header: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = map.get(header) else {
        return Ok(None);
    };
    let value = value.to_str().map_err(|_| {
        bad(
            "bad-header",
            format!("{header} has characters outside of ASCII"),
        )
    })?;
    if value.is_empty() || value.len() > MAX_KEY_BYTES && header != headers::SESSION_TOKEN {
        return Err(bad(
            "bad-header",
            format!("{header} has between 1 and {MAX_KEY_BYTES} bytes"),
        ));
    }
    Ok(Some(value))
}

fn number(map: &HeaderMap, header: &HeaderName) -> Result<Option<u64>, Refusal> {
    let Some(value) = text(map, header)? else {
        return Ok(None);
    };
    let number = value.parse();
    number
        .map(Some)
        .map_err(|_| bad("bad-header", format!("{header} is a whole number")))
}

/// Parses the headers.
pub(crate) fn head(map: &HeaderMap) -> Result<Head, Refusal> {
    let bearer = map
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(|bearer| bearer.trim().into());
    let session = Session {
        id: text(map, &headers::SESSION_ID)?.map(Into::into),
        token: text(map, &headers::SESSION_TOKEN)?.map(Into::into),
    };
    let timeout = number(map, &headers::TIMEOUT)?.map(Span::from_millis);
    if timeout.is_some_and(|timeout| timeout == Span::ZERO || timeout > MAX_TIMEOUT) {
        return Err(bad(
            "bad-header",
            format!("X-Timeout-Ms is at least 1 and at most {MAX_TIMEOUT}"),
        ));
    }
    let live = match text(map, &headers::LATENCY_CLASS)? {
        None | Some("live") => true,
        Some("draft") => false,
        Some(other) => {
            return Err(bad(
                "bad-header",
                format!("X-Latency-Class is live or draft, not {other}"),
            ));
        }
    };
    Ok(Head {
        bearer,
        session,
        idempotency: idempotency(map)?,
        timeout,
        live,
    })
}

fn idempotency(map: &HeaderMap) -> Result<Option<Idempotency>, Refusal> {
    let Some(key) = text(map, &headers::IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    let created = number(map, &headers::IDEMPOTENCY_CREATED)?;
    let attempt_number = number(map, &headers::IDEMPOTENCY_ATTEMPT)?.unwrap_or(0);
    let Ok(attempt_number) = u32::try_from(attempt_number) else {
        return Err(bad("bad-header", "idempotency-attempt is below 2^32"));
    };
    Ok(Some(Idempotency {
        key: key.into(),
        created_ms: created.or_else(|| uuid_millis(key)),
        attempt_number,
    }))
}

/// Returns the timestamp of a version 7 UUID (RFC 9562, section 5.7), in milliseconds since the Unix
/// epoch, or `None` for any other key.
fn uuid_millis(key: &str) -> Option<u64> {
    let digits: String = key.chars().filter(|character| *character != '-').collect();
    if digits.len() != 32 || digits.as_bytes()[12] != b'7' {
        return None;
    }
    u64::from_str_radix(digits.get(..12)?, 16).ok()
}

/// Parses the requested operation from the request line and the whole body.
pub(crate) fn target(parts: &Parts, body: Bytes) -> Result<Target, Refusal> {
    let path = parts.uri.path();
    match (&parts.method, path) {
        (&Method::GET, "/v1/models") => return Ok(Target::Models),
        (&Method::POST, "/v1/chat/completions") => return Ok(Target::Chat(chat(&body)?)),
        (_, "/v1/models" | "/v1/chat/completions") => {
            let message = format!("{path} does not take {}", parts.method);
            return Err(Refusal::not_run(
                StatusCode::METHOD_NOT_ALLOWED,
                "bad-method",
                message,
            ));
        }
        _ => {}
    }
    let Some(rest) = path.strip_prefix("/services/") else {
        let message = "paths are /v1/models, /v1/chat/completions and /services/NAME/…";
        return Err(Refusal::not_run(
            StatusCode::NOT_FOUND,
            "unknown-path",
            message,
        ));
    };
    plain(parts, rest, body).map(Target::Plain)
}

fn plain(parts: &Parts, rest: &str, body: Bytes) -> Result<Plain, Refusal> {
    let (service, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let service = service.parse::<name::Service>().map_err(|error| {
        Refusal::not_run(StatusCode::NOT_FOUND, "unknown-service", error.to_string())
    })?;
    let path = if path.is_empty() { "/" } else { path };
    let path = match parts.uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    Ok(Plain {
        service,
        method: parts.method.clone(),
        path: path.into(),
        content_type: parts.headers.get(CONTENT_TYPE).cloned(),
        body,
    })
}

fn chat(bytes: &[u8]) -> Result<Chat, Refusal> {
    let body: Map<String, Value> = serde_json::from_slice(bytes).map_err(|error| {
        bad(
            "bad-json",
            format!("the body is not a JSON object: {error}"),
        )
    })?;
    let Some(model) = body.get("model").and_then(Value::as_str) else {
        return Err(bad("bad-body", "model: a text is missing"));
    };
    let service = model.parse::<name::Service>().map_err(|error| {
        Refusal::not_run(
            StatusCode::NOT_FOUND,
            "unknown-model",
            format!("model: {error}"),
        )
    })?;
    let messages = body.get("messages").and_then(Value::as_array);
    let Some(messages) = messages.filter(|messages| !messages.is_empty()) else {
        return Err(bad(
            "bad-body",
            "messages: an array with at least one message is missing",
        ));
    };
    for (index, message) in messages.iter().enumerate() {
        if message.get("role").and_then(Value::as_str).is_none() {
            return Err(bad(
                "bad-body",
                format!("messages[{index}].role: a text is missing"),
            ));
        }
    }
    let stream = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(bad("bad-body", "stream: true or false is expected")),
    };
    let usage = body
        .get("stream_options")
        .and_then(|options| options.get("include_usage"))
        .and_then(Value::as_bool)
        .unwrap_or(false);
    let prefix = prefix(&messages[0]);
    let prompt = Tokens((bytes.len() as u64).div_ceil(BYTES_PER_TOKEN));
    Ok(Chat {
        service,
        stream,
        usage,
        prefix,
        prompt,
        body,
    })
}

/// Returns the 64-bit FNV-1a hash of a message's content, which engines report in the same form with
/// their load
/// (<https://datatracker.ietf.org/doc/html/draft-eastlake-fnv>).
fn prefix(message: &Value) -> u64 {
    let content = match message.get("content") {
        Some(Value::String(text)) => text.clone(),
        Some(parts) => parts.to_string(),
        None => String::new(),
    };
    let mut hash = FNV_OFFSET_BASIS;
    for byte in content.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hash
}
