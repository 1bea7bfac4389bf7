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

/// A client that keeps connections open between calls.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// Why a call had no whole reply.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There was no reply.
    #[error("no reply")]
    Reply(#[from] legacy::Error),
    /// The reply broke off.
    #[error("the reply broke off")]
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
    /// Sends a request and returns the reply with its body unread.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Reply`] where none came.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        Ok(self.http.request(request).await?)
    }

    /// Sends JSON and returns the status and the body, which is null where it is no JSON.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole reply came.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(u16, Value), Error> {
        let body = serde_json::to_vec(body).expect("bodies have a JSON form");
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::from(body))
            .expect("addresses and paths form a URI");
        let reply = self.send(request).await?;
        let status = reply.status().as_u16();
        let body = reply.into_body().collect().await?.to_bytes();
        Ok((status, serde_json::from_slice(&body).unwrap_or_default()))
    }

    /// Gets JSON.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole reply came.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<(u16, Value), Error> {
        self.call(Method::GET, address, path, &Value::Null).await
    }

    /// Posts JSON.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole reply came.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(u16, Value), Error> {
        self.call(Method::POST, address, path, body).await
    }
}
