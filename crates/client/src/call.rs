//! Calls over pooled connections to one address.

use bytes::Bytes;
use entity::Span;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, header};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{self};
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection was made: the call certainly had no effect.
    #[error("not sent: {0}")]
    Unsent(Box<str>),
    /// The call may have taken effect, or may still do so.
    #[error("unknown outcome: {0}")]
    Unknown(Box<str>),
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// How long to wait before another try, where the answer says so.
    pub retry_after: Option<Span>,
    /// Its body.
    pub body: Bytes,
}

/// A client of one address.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Span,
    pool: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// A client whose calls take at most `timeout`, connecting included.
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

    /// The address that is called.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads a path.
    ///
    /// # Errors
    ///
    /// No whole answer came within the time-out.
    pub async fn get(&self, path: &str) -> Result<Answer, Error> {
        self.call(Method::GET, path, Bytes::new(), Span::ZERO).await
    }

    /// Calls a path with a body; the time-out is extended by `extra`, for calls that wait.
    ///
    /// # Errors
    ///
    /// No whole answer came within the time-out.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        extra: Span,
    ) -> Result<Answer, Error> {
        let limit = self.timeout.duration() + extra.duration();
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
        let status = response.status();
        let retry_after = response
            .headers()
            .get(header::RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map(Span::from_secs);
        let body = Limited::new(response.into_body(), MAX_ANSWER)
            .collect()
            .await
            .map_err(|error| Error::Unknown(error.to_string().into()))?
            .to_bytes();
        Ok(Answer {
            status,
            retry_after,
            body,
        })
    }
}
