//! An HTTP client that sends requests as a caller does.

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use serde_json::Value;
use standins::client::Client;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Response {
    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the value of a header, or an empty text if the header is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the field `run` of an error, or an empty text if the answer is no error.
    pub fn run(&self) -> String {
        self.json()["error"]["run"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the field `code` of an error, or an empty text if the answer is no error.
    pub fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

/// An HTTP client with a bearer key.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client,
    bearer: Box<str>,
}

impl HttpClient {
    /// Creates a client that authenticates with `bearer`.
    pub fn new(bearer: &str) -> Self {
        Self {
            client: Client::default(),
            bearer: bearer.into(),
        }
    }

    /// Sends a request and waits for the complete answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete answer arrives in time.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.bearer));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::copy_from_slice(body.as_bytes())))?;
        let exchange = async {
            let response = self.client.send(request).await?;
            let (parts, body) = response.into_parts();
            let body = body
                .collect()
                .await
                .context("the answer was truncated")?
                .to_bytes();
            Ok(Response {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        tokio::time::timeout(ANSWER_TIMEOUT, exchange)
            .await
            .context("no answer in time")?
    }

    /// Requests a chat completion from a service.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete answer arrives in time.
    pub async fn chat(
        &self,
        address: SocketAddr,
        service: &str,
        stream: bool,
        headers: &[(&str, &str)],
        prompt: &str,
    ) -> Result<Response> {
        let body = serde_json::json!({
            "model": service,
            "stream": stream,
            "max_tokens": 24,
            "messages": [
                { "role": "system", "content": "You answer for a public service." },
                { "role": "user", "content": prompt },
            ],
        });
        self.send(
            Method::POST,
            address,
            "/v1/chat/completions",
            headers,
            &body.to_string(),
        )
        .await
    }
}
