//! One sending of a request, and the check of its answer.

use super::workload::{Arrival, Class};
use super::{bearer, body_digest, stream};
use crate::client::Client;
use crate::engine::answer;
use crate::plain;
use crate::server::REQUEST_ID;
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

/// How much longer the tool waits than it tells the instance.
const GRACE: Duration = Duration::from_secs(2);

/// One sending.
pub struct Attempt<'a> {
    /// The instance that it is sent to.
    pub address: SocketAddr,
    /// The class of the request.
    pub class: &'a Class,
    /// The request.
    pub arrival: &'a Arrival,
    /// Its body.
    pub body: &'a str,
    /// Its idempotency key.
    pub key: Option<&'a str>,
    /// Its number, from 1.
    pub number: u32,
    /// The token of its session.
    pub token: Option<Box<str>>,
}

/// What came of a sending.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer to this request.
    Answered(Answer),
    /// A refusal.
    Refused {
        /// The id that the instance gave the request.
        request: Box<str>,
        /// The code of the refusal.
        code: Box<str>,
        /// `not-run` or `may-have-run`.
        run: Box<str>,
        /// When the instance wants to be asked again.
        #[serde(skip)]
        retry_after: Option<Duration>,
        /// Whether another sending can't help.
        #[serde(skip)]
        final_: bool,
    },
    /// No whole reply came, so that the request may have run.
    Lost {
        /// The id that the instance gave the request, empty where no headers came.
        request: Box<str>,
        /// What came instead.
        reason: Box<str>,
    },
    /// A whole reply that is no answer to this request.
    Wrong {
        /// The id that the instance gave the request.
        request: Box<str>,
        /// What is wrong with it.
        reason: Box<str>,
    },
}

/// A whole answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Answer {
    /// The id that the instance gave the request.
    pub request: Box<str>,
    /// The request that ran, which is another one where an earlier sending had run.
    pub ran: Box<str>,
    /// The version that the answer names.
    pub version: Box<str>,
    /// The quality that the answer bears.
    pub quality: Option<f64>,
    /// The session's token.
    #[serde(skip)]
    pub token: Option<Box<str>>,
    /// Time from when the request was due to the first token.
    #[serde(skip)]
    pub first: Option<Duration>,
    /// Time from when the request was due to the end of the answer.
    #[serde(skip)]
    pub whole: Duration,
    /// Times between tokens.
    #[serde(skip)]
    pub gaps: Vec<Duration>,
}

impl Attempt<'_> {
    /// Sends it; times count from when the request was due.
    pub async fn send(&self, client: &Client, due: Instant) -> Outcome {
        let timeout = Duration::from_millis(self.class.timeout_ms) + GRACE;
        let exchange = self.exchange(client, due);
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| lost("", "timeout"))
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let path = match self.class.below(self.arrival) {
            Some(below) => format!("/services/{}{below}", self.class.service),
            None => "/v1/chat/completions".to_owned(),
        };
        let live = if self.class.live { "live" } else { "draft" };
        let mut request = Request::builder()
            .method(self.class.method())
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .header(
                "authorization",
                format!("Bearer {}", bearer(&self.arrival.organisation)),
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
            .expect("the parts are valid")
    }

    async fn exchange(&self, client: &Client, due: Instant) -> Outcome {
        let Ok(reply) = client.send(self.request()).await else {
            return lost("", "no reply");
        };
        let id = text(reply.headers(), REQUEST_ID);
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
            return lost(&answer.request, "the answer broke off");
        };
        answer.whole = due.elapsed();
        let Ok(body) = serde_json::from_slice::<Value>(&body.to_bytes()) else {
            return wrong(&answer.request, "the answer is no JSON");
        };
        if self.class.path.is_some() {
            return self.check_plain(&body, answer);
        }
        self.check_chat(&body, answer)
    }

    fn check_plain(&self, body: &Value, mut answer: Answer) -> Outcome {
        let Ok(told) = serde_json::from_value::<plain::Answer>(body.clone()) else {
            return wrong(&answer.request, "the answer is no plain service's");
        };
        if *told.ran.organisation != *self.arrival.organisation {
            return wrong(&answer.request, "the answer names another organisation");
        }
        if self.key.is_some_and(|key| *told.ran.key != *key) {
            return wrong(&answer.request, "the answer names another key");
        }
        // The answer to a repeated key is that of the sending that ran.
        if self.key.is_none() && told.ran.request != answer.request {
            return wrong(&answer.request, "the answer names another request");
        }
        let below = self.class.below(self.arrival).unwrap_or_default();
        if *told.ran.path != format!("{} {below}", self.class.method()) {
            return wrong(&answer.request, "the answer names another path");
        }
        if told.digest != body_digest(self.body) {
            return wrong(&answer.request, "the answer is to another body");
        }
        answer.ran = told.ran.request;
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

    /// Checks the whole text of a chat answer.
    pub(super) fn check_text(&self, content: &str, mut answer: Answer) -> Outcome {
        if !answer::answers(content, &self.arrival.question()) {
            return wrong(&answer.request, "the text is no whole answer to this");
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

fn text(headers: &HeaderMap, name: &str) -> Box<str> {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().into()
}

async fn refusal(reply: Response<Incoming>, id: Box<str>) -> Outcome {
    let after = text(reply.headers(), RETRY_AFTER.as_str()).parse();
    let final_ = reply.status().is_client_error() && after.is_err();
    let Ok(body) = reply.into_body().collect().await else {
        return lost(&id, "the refusal broke off");
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

/// The refusal that a body tells; one without the fields of a refusal is a wrong reply.
pub(super) fn refused(body: &Value, request: Box<str>) -> Outcome {
    let error = &body["error"];
    let (Some(code), Some(run)) = (error["code"].as_str(), error["run"].as_str()) else {
        return wrong(&request, "the refusal does not say whether it ran");
    };
    Outcome::Refused {
        request,
        code: code.into(),
        run: run.into(),
        retry_after: None,
        final_: false,
    }
}
