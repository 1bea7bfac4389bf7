//! A small HTTP client for the load tool and for tests.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde_json::Value;
use std::net::SocketAddr;

/// An HTTP client that reuses connections between calls.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// Reason why a call did not return a complete reply.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No reply was received.
    #[error("no reply was received")]
    Reply(#[from] legacy::Error),
    /// The connection ended before the body of the reply was complete.
    #[error("the connection ended before the reply was complete")]
    Body(#[from] hyper::Error),
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            http: legacy::Client::builder(TokioExecutor::new()).build(connector),
        }
    }
}

impl Client {
    /// Sends a request and returns the reply without reading its body.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Reply`] if no reply is received.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        Ok(self.http.request(request).await?)
    }

    /// Sends JSON and returns the status and the body, which is null if it is not valid JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete reply is received.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(u16, Value), Error> {
        let body = serde_json::to_vec(body).expect("a request body serializes to JSON");
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::from(body))
            .expect("the address and path form a valid URI");
        let reply = self.send(request).await?;
        let status = reply.status().as_u16();
        let body = reply.into_body().collect().await?.to_bytes();
        Ok((status, serde_json::from_slice(&body).unwrap_or_default()))
    }

    /// Sends a GET request and returns the status and the JSON body.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete reply is received.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<(u16, Value), Error> {
        self.call(Method::GET, address, path, &Value::Null).await
    }

    /// Sends a POST request with a JSON body and returns the status and the JSON body.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete reply is received.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(u16, Value), Error> {
        self.call(Method::POST, address, path, body).await
    }
}
