//! HTTP calls to one address over pooled connections.

use bytes::Bytes;
use entity::Span;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request, StatusCode, header};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{self};
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum size of an answer's body, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Reason why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection was made or no request was built, so the call certainly had no effect.
    #[error("not sent: {0}")]
    Unsent(Box<str>),
    /// The call may have taken effect, or may still do so.
    #[error("unknown outcome: {0}")]
    Unknown(Box<str>),
}

/// Complete answer to a call.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Time to wait before a retry, if the answer has a `Retry-After` header in seconds.
    pub retry_after: Option<Span>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// HTTP client of one address.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Span,
    pool: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client whose calls take at most `timeout`, including the time to connect.
    pub fn new(address: SocketAddr, timeout: Span) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout.duration()));
        connector.set_nodelay(true);
        let pool = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .build(connector);
        Self {
            address,
            timeout,
            pool,
        }
    }

    /// Returns the address that is called.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a GET request for a path.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete answer arrives within the timeout.
    pub async fn get(&self, path: &str) -> Result<Answer, Error> {
        self.call(Method::GET, path, Bytes::new(), Span::ZERO).await
    }

    /// Sends a request with a body. The timeout is extended by `extra_timeout`, for long polls.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete answer arrives within the timeout.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        extra_timeout: Span,
    ) -> Result<Answer, Error> {
        let limit = self.timeout.duration() + extra_timeout.duration();
        tokio::time::timeout(limit, self.exchange(method, path, body))
            .await
            .unwrap_or_else(|_| Err(Error::Unknown("timed out".into())))
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::HOST, self.address.to_string())
            .body(Full::new(body))
            .map_err(|error| Error::Unsent(error.to_string().into()))?;
        let response = self.pool.request(request).await.map_err(|error| {
            let text = error.to_string().into();
            if error.is_connect() {
                Error::Unsent(text)
            } else {
                Error::Unknown(text)
            }
        })?;
        let (parts, body) = response.into_parts();
        let retry_after = parts
            .headers
            .get(header::RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map(Span::from_secs);
        let body = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| Error::Unknown(error.to_string().into()))?
            .to_bytes();
        Ok(Answer {
            status: parts.status,
            retry_after,
            headers: parts.headers,
            body,
        })
    }
}
