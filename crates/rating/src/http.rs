//! One call of the rating service.

use crate::client::Answer;
use crate::error::Error;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest answer of the service that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 4096;

/// Idle connections that are kept.
const IDLE_CONNECTIONS: usize = 4;

#[derive(Serialize)]
struct Body<'a> {
    request: entity::request::Id,
    service: &'a entity::name::Service,
    version: &'a entity::name::Version,
    answer: &'a str,
}

#[derive(Deserialize)]
struct Reply {
    score: f64,
}

/// The address of the service, with connections to it.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Endpoint {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .build_http();
        Self { address, client }
    }

    /// Asks for the score of an answer, from 0 to 1.
    pub(crate) async fn call(&self, answer: &Answer) -> Result<f64, Error> {
        let response = self.client.request(self.request(answer)).await;
        let response = response.map_err(|_| Error::Connection)?;
        if response.status() != StatusCode::OK {
            return Err(Error::Status(response.status().as_u16()));
        }
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.map_err(|_| Error::Connection)?;
        let reply: Reply = serde_json::from_slice(&body.to_bytes()).map_err(|_| Error::Form)?;
        if !(0.0..=1.0).contains(&reply.score) {
            return Err(Error::Form);
        }
        Ok(reply.score)
    }

    fn request(&self, answer: &Answer) -> Request<Full<Bytes>> {
        let body = Body {
            request: answer.request,
            service: &answer.service,
            version: &answer.version,
            answer: &answer.text,
        };
        let body = serde_json::to_vec(&body).expect("a body has only text");
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/ratings", self.address))
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("an address makes a valid request")
    }
}
