//! Chat completions, plain and streamed.

use crate::failure::{Failure, Reason};
use crate::pool::{self, PRIORITY, Pool, REQUEST_ID, TIMEOUT};
use crate::sse::Splitter;
use bytes::Bytes;
use entity::unit::Tokens;
use entity::{Span, request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, StatusCode, header};
use serde::Deserialize;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Chat completion to run on an engine.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Request id.
    pub id: request::Id,
    /// JSON body, with the version as its model.
    pub body: Bytes,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Request deadline.
    pub deadline: Instant,
}

/// Tokens used by a completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens in the prompt.
    pub tokens_in: Tokens,
    /// Generated tokens.
    pub tokens_out: Tokens,
}

/// Complete answer that was not streamed.
#[derive(Clone, Debug)]
pub struct Completion {
    /// JSON body as the engine sent it.
    pub body: Bytes,
    /// Tokens used.
    pub usage: Usage,
    /// Text of the first choice.
    pub text: Box<str>,
}

#[derive(Deserialize)]
struct WireUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

#[derive(Deserialize, Default)]
struct Message {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    message: Message,
    #[serde(default)]
    delta: Message,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct WireAnswer {
    id: String,
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<WireUsage>,
}

impl From<WireUsage> for Usage {
    fn from(usage: WireUsage) -> Self {
        Self {
            tokens_in: Tokens(usage.prompt_tokens),
            tokens_out: Tokens(usage.completion_tokens),
        }
    }
}

/// Returns the time until the deadline, or zero if it has passed.
fn remaining(deadline: Instant) -> Span {
    Span::from(deadline.saturating_duration_since(Instant::now()))
}

/// Returns whether an answer's id is the one that belongs to the request.
fn has_id(wire: &WireAnswer, id: request::Id) -> bool {
    wire.id
        .strip_prefix("chatcmpl-")
        .and_then(|text| text.parse().ok())
        == Some(id)
}

impl Pool {
    /// Runs a completion that is not streamed.
    ///
    /// # Errors
    ///
    /// Returns a failure unless the engine sends a complete answer to this request.
    pub async fn complete(&self, address: SocketAddr, chat: &Chat) -> Result<Completion, Failure> {
        let response = self.open(address, chat).await?;
        let body = pool::collect(response, remaining(chat.deadline)).await?;
        let wire: WireAnswer =
            serde_json::from_slice(&body).map_err(|_| Failure::may_have_run(Reason::Malformed))?;
        if !has_id(&wire, chat.id) {
            return Err(Failure::may_have_run(Reason::WrongId));
        }
        let early = || Failure::may_have_run(Reason::Truncated);
        let choice = wire.choices.into_iter().next().ok_or_else(early)?;
        choice.finish_reason.ok_or_else(early)?;
        let usage = wire.usage.ok_or_else(early)?.into();
        let text = choice.message.content.unwrap_or_default().into();
        Ok(Completion { body, usage, text })
    }

    /// Starts a streamed completion; dropping the stream cancels it at the engine.
    ///
    /// # Errors
    ///
    /// Returns a failure unless the engine starts an answer to this request.
    pub async fn stream(&self, address: SocketAddr, chat: &Chat) -> Result<Stream, Failure> {
        let body = self.open(address, chat).await?;
        Ok(Stream {
            id: chat.id,
            deadline: chat.deadline,
            body,
            splitter: Splitter::default(),
            finished: false,
            usage: None,
            done: false,
        })
    }

    async fn open(&self, address: SocketAddr, chat: &Chat) -> Result<Incoming, Failure> {
        let limit = remaining(chat.deadline);
        if limit == Span::ZERO {
            return Err(Failure::not_run(Reason::Timeout));
        }
        let request = Request::post(format!("http://{address}/v1/chat/completions"))
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID, chat.id.to_string())
            .header(PRIORITY, u16::from(chat.priority))
            .header(TIMEOUT, limit.as_micros() / 1000)
            .body(Full::new(chat.body.clone()))
            .map_err(|_| Failure::not_run(Reason::Malformed))?;
        let response = self.send(chat.id, request, limit).await?;
        if response.status() != StatusCode::OK {
            return Err(Failure::may_have_run(Reason::Status(
                response.status().as_u16(),
            )));
        }
        Ok(response.into_body())
    }
}

/// Event of a streamed answer.
#[derive(Clone, Debug)]
pub enum Chunk {
    /// Part of the answer.
    Part {
        /// JSON of the event.
        data: Bytes,
        /// Text that the event adds to the first choice.
        text: Box<str>,
    },
    /// Event that reports usage and has no text.
    Usage(Bytes),
}

/// Streamed answer that is being received.
#[derive(Debug)]
pub struct Stream {
    id: request::Id,
    deadline: Instant,
    body: Incoming,
    splitter: Splitter,
    finished: bool,
    usage: Option<Usage>,
    done: bool,
}

impl Stream {
    /// Returns the next event, or `None` after the last event of a complete answer.
    ///
    /// # Errors
    ///
    /// Returns a failure if the answer ends early, misses the deadline, is malformed or has an event of
    /// another request.
    pub async fn next(&mut self) -> Result<Option<Chunk>, Failure> {
        loop {
            if let Some(data) = self.splitter.next() {
                return self.parse_event(data);
            }
            let frame = tokio::time::timeout_at(self.deadline, self.body.frame()).await;
            let frame = frame.map_err(|_| Failure::may_have_run(Reason::Timeout))?;
            let Some(Ok(frame)) = frame else {
                return Err(Failure::may_have_run(Reason::Truncated));
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            self.splitter
                .push(&bytes)
                .map_err(|_| Failure::may_have_run(Reason::Malformed))?;
        }
    }

    /// Returns the usage once [`Stream::next`] has returned `None`.
    pub fn usage(&self) -> Option<Usage> {
        self.usage.filter(|_| self.done)
    }

    fn parse_event(&mut self, data: Vec<u8>) -> Result<Option<Chunk>, Failure> {
        if data == b"[DONE]" {
            if !self.finished || self.usage.is_none() {
                return Err(Failure::may_have_run(Reason::Truncated));
            }
            self.done = true;
            return Ok(None);
        }
        let wire: WireAnswer =
            serde_json::from_slice(&data).map_err(|_| Failure::may_have_run(Reason::Malformed))?;
        if !has_id(&wire, self.id) {
            return Err(Failure::may_have_run(Reason::WrongId));
        }
        let data = Bytes::from(data);
        if let Some(usage) = wire.usage {
            self.usage = Some(usage.into());
            if wire.choices.is_empty() {
                return Ok(Some(Chunk::Usage(data)));
            }
        }
        let mut text = String::new();
        for choice in wire.choices {
            self.finished |= choice.finish_reason.is_some();
            text.push_str(choice.delta.content.as_deref().unwrap_or_default());
        }
        Ok(Some(Chunk::Part {
            data,
            text: text.into(),
        }))
    }
}
