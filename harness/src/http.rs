//! A caller.

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use serde_json::Value;
use standins::client::Client;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a whole answer.
const LIMIT: Duration = Duration::from_secs(60);

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Response {
    /// The body as JSON; null where it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// A header, empty where it is not there.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// The `run` of an error, empty where it is none.
    pub fn run(&self) -> String {
        self.json()["error"]["run"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// The `code` of an error, empty where it is none.
    pub fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

/// A caller with a bearer key.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
    bearer: Box<str>,
}

impl Http {
    /// A caller.
    pub fn new(bearer: &str) -> Self {
        Self {
            client: Client::default(),
            bearer: bearer.into(),
        }
    }

    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// There was no whole answer in time.
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
                .context("the answer broke off")?
                .to_bytes();
            Ok(Response {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        tokio::time::timeout(LIMIT, exchange)
            .await
            .context("no answer in time")?
    }

    /// Asks for a chat completion.
    ///
    /// # Errors
    ///
    /// There was no whole answer in time.
    pub async fn chat(
        &self,
        address: SocketAddr,
        service: &str,
        stream: bool,
        headers: &[(&str, &str)],
        question: &str,
    ) -> Result<Response> {
        let body = serde_json::json!({
            "model": service,
            "stream": stream,
            "max_tokens": 24,
            "messages": [
                { "role": "system", "content": "You answer for a public service." },
                { "role": "user", "content": question },
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
