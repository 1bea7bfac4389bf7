//! One attempt of a request, and the check of its answer.

use super::workload::{Arrival, Class};
use super::{bearer_key, body_digest, stream};
use crate::client::Client;
use crate::engine::answer;
use crate::plain;
use crate::server::REQUEST_ID_HEADER;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use hyper::{HeaderMap, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time that the tool waits beyond the timeout that it sends to the instance.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// One attempt of a request.
pub struct Attempt<'a> {
    /// Address of the instance.
    pub address: SocketAddr,
    /// Class of the request.
    pub class: &'a Class,
    /// Planned arrival of the request.
    pub arrival: &'a Arrival,
    /// Body of the request.
    pub body: &'a str,
    /// Idempotency key, if the class uses them.
    pub key: Option<&'a str>,
    /// Attempt number, from 1.
    pub number: u32,
    /// Session token, if the instance has returned one.
    pub token: Option<Box<str>>,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// A complete answer to this request.
    Answered(Answer),
    /// A refusal by the instance.
    Refused {
        /// Request id that the instance assigned.
        request: Box<str>,
        /// Error code of the refusal.
        code: Box<str>,
        /// `not-run` or `may-have-run`.
        run: Box<str>,
        /// Time to wait before a retry, from the Retry-After header.
        #[serde(skip)]
        retry_after: Option<Duration>,
        /// Whether a retry is pointless.
        #[serde(skip)]
        final_: bool,
    },
    /// No complete reply was received, so that the request may have been executed.
    Lost {
        /// Request id that the instance assigned, empty if no headers were received.
        request: Box<str>,
        /// Reason of the loss.
        reason: Box<str>,
    },
    /// A complete reply that is not a valid answer to this request.
    Wrong {
        /// Request id that the instance assigned.
        request: Box<str>,
        /// Description of the error.
        reason: Box<str>,
    },
}

/// A complete answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Answer {
    /// Request id that the instance assigned.
    pub request: Box<str>,
    /// Id of the request that was executed, which differs if an earlier attempt was executed.
    pub ran: Box<str>,
    /// Version that the answer names.
    pub version: Box<str>,
    /// Quality that is written in the answer.
    pub quality: Option<f64>,
    /// Session token that the instance returned.
    #[serde(skip)]
    pub token: Option<Box<str>>,
    /// Time from the due time of the request to the first token.
    #[serde(skip)]
    pub first: Option<Duration>,
    /// Time from the due time of the request to the end of the answer.
    #[serde(skip)]
    pub whole: Duration,
    /// Intervals between tokens.
    #[serde(skip)]
    pub gaps: Vec<Duration>,
}

impl Attempt<'_> {
    /// Sends the request and checks the answer; times are measured from when the request was due.
    pub async fn send(&self, client: &Client, due: Instant) -> Outcome {
        let timeout = Duration::from_millis(self.class.timeout_ms) + TIMEOUT_MARGIN;
        let exchange = self.exchange(client, due);
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| lost("", "timeout"))
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let path = match self.class.service_path(self.arrival) {
            Some(service_path) => format!("/services/{}{service_path}", self.class.service),
            None => "/v1/chat/completions".to_owned(),
        };
        let live = if self.class.live { "live" } else { "draft" };
        let mut request = Request::builder()
            .method(self.class.method())
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .header(
                "authorization",
                format!("Bearer {}", bearer_key(&self.arrival.organisation)),
            )
            .header("x-timeout-ms", self.class.timeout_ms)
            .header("x-latency-class", live);
        if let Some(session) = self.arrival.session {
            request = request.header("x-session-id", format!("session-{session}"));
        }
        if let Some(token) = &self.token {
            request = request.header("x-session-token", &**token);
        }
        if let Some(key) = self.key {
            request = request
                .header("idempotency-key", key)
                .header("idempotency-attempt", self.number);
        }
        request
            .body(Full::from(self.body.to_owned()))
            .expect("the parts of the request are valid")
    }

    async fn exchange(&self, client: &Client, due: Instant) -> Outcome {
        let Ok(reply) = client.send(self.request()).await else {
            return lost("", "no reply");
        };
        let id = header_text(reply.headers(), REQUEST_ID_HEADER);
        if !reply.status().is_success() {
            return refusal(reply, id).await;
        }
        let token = reply.headers().get("x-session-token");
        let mut answer = Answer {
            ran: id.clone(),
            request: id,
            token: token.and_then(|token| Some(token.to_str().ok()?.into())),
            ..Answer::default()
        };
        if self.arrival.streamed {
            return stream::read(reply.into_body(), self, answer, due).await;
        }
        let Ok(body) = reply.into_body().collect().await else {
            return lost(
                &answer.request,
                "the connection ended before the answer was complete",
            );
        };
        answer.whole = due.elapsed();
        let Ok(body) = serde_json::from_slice::<Value>(&body.to_bytes()) else {
            return wrong(&answer.request, "the answer is not valid JSON");
        };
        if self.class.path.is_some() {
            return self.check_plain(&body, answer);
        }
        self.check_chat(&body, answer)
    }

    fn check_plain(&self, body: &Value, mut answer: Answer) -> Outcome {
        let Ok(echoed) = serde_json::from_value::<plain::Answer>(body.clone()) else {
            return wrong(
                &answer.request,
                "the answer does not have the format of a plain service",
            );
        };
        if *echoed.ran.organisation != *self.arrival.organisation {
            return wrong(&answer.request, "the answer names another organisation");
        }
        if self.key.is_some_and(|key| *echoed.ran.key != *key) {
            return wrong(&answer.request, "the answer names another key");
        }
        // The answer to a repeated key is that of the attempt that was executed.
        if self.key.is_none() && echoed.ran.request != answer.request {
            return wrong(&answer.request, "the answer names another request");
        }
        let service_path = self.class.service_path(self.arrival).unwrap_or_default();
        if *echoed.ran.path != format!("{} {service_path}", self.class.method()) {
            return wrong(&answer.request, "the answer names another path");
        }
        if echoed.digest != body_digest(self.body) {
            return wrong(&answer.request, "the answer is to another body");
        }
        answer.ran = echoed.ran.request;
        Outcome::Answered(answer)
    }

    fn check_chat(&self, body: &Value, mut answer: Answer) -> Outcome {
        let choice = &body["choices"][0];
        if choice["finish_reason"].is_null() || !body["usage"].is_object() {
            return wrong(&answer.request, "the answer is not whole");
        }
        answer.version = body["model"].as_str().unwrap_or_default().into();
        let content = choice["message"]["content"].as_str();
        self.check_text(content.unwrap_or_default(), answer)
    }

    /// Checks the complete text of a chat answer.
    pub(super) fn check_text(&self, content: &str, mut answer: Answer) -> Outcome {
        if !answer::is_answer_to(content, &self.arrival.question()) {
            return wrong(
                &answer.request,
                "the text is not a complete answer to this request",
            );
        }
        answer.quality = answer::quality(content);
        Outcome::Answered(answer)
    }
}

pub(super) fn lost(request: &str, reason: &'static str) -> Outcome {
    Outcome::Lost {
        request: request.into(),
        reason: reason.into(),
    }
}

pub(super) fn wrong(request: &str, reason: &'static str) -> Outcome {
    Outcome::Wrong {
        request: request.into(),
        reason: reason.into(),
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Box<str> {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().into()
}

async fn refusal(reply: Response<Incoming>, id: Box<str>) -> Outcome {
    let after = header_text(reply.headers(), RETRY_AFTER.as_str()).parse();
    let final_ = reply.status().is_client_error() && after.is_err();
    let Ok(body) = reply.into_body().collect().await else {
        return lost(&id, "the connection ended before the refusal was complete");
    };
    let body: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    let mut refused = refused(&body, id);
    if let Outcome::Refused {
        retry_after,
        final_: last,
        ..
    } = &mut refused
    {
        *retry_after = after.ok().map(Duration::from_secs);
        *last = final_;
    }
    refused
}

/// Parses a refusal from a body; a body without the fields of a refusal is a wrong reply.
pub(super) fn refused(body: &Value, request: Box<str>) -> Outcome {
    let error = &body["error"];
    let (Some(code), Some(run)) = (error["code"].as_str(), error["run"].as_str()) else {
        return wrong(
            &request,
            "the refusal does not state its code and whether the request was executed",
        );
    };
    Outcome::Refused {
        request,
        code: code.into(),
        run: run.into(),
        retry_after: None,
        final_: false,
    }
}
