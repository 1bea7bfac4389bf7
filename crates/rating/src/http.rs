//! HTTP calls to the rating service.

use crate::client::Answer;
use crate::error::Error;
use ::client::Client;
use bytes::Bytes;
use entity::Span;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[derive(Serialize)]
struct RatingRequest<'a> {
    request: entity::request::Id,
    service: &'a entity::name::Service,
    version: &'a entity::name::Version,
    answer: &'a str,
}

#[derive(Deserialize)]
struct RatingReply {
    score: f64,
}

/// The rating service, with a pool of connections to it.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    client: Client,
}

impl Endpoint {
    pub(crate) fn new(address: SocketAddr, timeout: Span) -> Self {
        let client = Client::new(address, timeout);
        Self { client }
    }

    /// Requests the score of an answer, from 0 to 1.
    pub(crate) async fn call(&self, answer: &Answer) -> Result<f64, Error> {
        let body = RatingRequest {
            request: answer.request,
            service: &answer.service,
            version: &answer.version,
            answer: &answer.text,
        };
        let body = serde_json::to_vec(&body).expect("a rating request serialises to JSON");
        let called = self
            .client
            .call(Method::POST, "/ratings", Bytes::from(body), Span::ZERO);
        let reply = called.await.map_err(|_| Error::Connection)?;
        if reply.status != StatusCode::OK {
            return Err(Error::Status(reply.status.as_u16()));
        }
        let reply: RatingReply =
            serde_json::from_slice(&reply.body).map_err(|_| Error::InvalidReply)?;
        if !(0.0..=1.0).contains(&reply.score) {
            return Err(Error::InvalidReply);
        }
        Ok(reply.score)
    }
}
