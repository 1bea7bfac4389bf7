//! Reader of streamed answers.

use super::attempt::{self, Answer, Attempt, Outcome};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use std::time::Duration;
use tokio::time::Instant;

/// State of a stream that is being read.
struct Reader {
    answer: Answer,
    /// Id that all chunks must carry.
    id: Option<Box<str>>,
    text: String,
    last_token: Option<Instant>,
    finished: bool,
    usage: bool,
}

/// Reads a stream to its end and checks it.
pub(super) async fn read(
    mut body: Incoming,
    attempt: &Attempt<'_>,
    answer: Answer,
    due: Instant,
) -> Outcome {
    let mut reader = Reader {
        answer,
        id: None,
        text: String::new(),
        last_token: None,
        finished: false,
        usage: false,
    };
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return attempt::lost(
                &reader.answer.request,
                "the connection ended during the stream",
            );
        };
        buffer.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data));
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let Some(data) = line.strip_prefix(b"data:") else {
                continue;
            };
            if let Some(outcome) = reader.event(data.trim_ascii(), attempt, due) {
                return outcome;
            }
        }
    }
    attempt::lost(&reader.answer.request, "the stream ended before [DONE]")
}

impl Reader {
    /// Processes one event and returns the outcome if the event ends the stream.
    fn event(&mut self, data: &[u8], attempt: &Attempt<'_>, due: Instant) -> Option<Outcome> {
        if data == b"[DONE]" {
            return Some(self.end(attempt, due));
        }
        let request = self.answer.request.clone();
        let Ok(chunk) = serde_json::from_slice::<Value>(data) else {
            return Some(attempt::wrong(&request, "a chunk is not valid JSON"));
        };
        if chunk["error"].is_object() {
            return Some(attempt::refused(&chunk, request));
        }
        let id = chunk["id"].as_str().unwrap_or_default();
        if self.id.get_or_insert_with(|| id.into()).as_ref() != id {
            return Some(attempt::wrong(&request, "the chunks have different ids"));
        }
        self.usage |= chunk["usage"].is_object();
        self.finished |= !chunk["choices"][0]["finish_reason"].is_null();
        if let Some(token) = chunk["choices"][0]["delta"]["content"].as_str() {
            self.token(token, due);
        }
        if let Some(version) = chunk["model"].as_str() {
            self.answer.version = version.into();
        }
        None
    }

    fn token(&mut self, token: &str, due: Instant) {
        let now = Instant::now();
        self.answer.first.get_or_insert(now - due);
        let gap = self.last_token.map_or(Duration::ZERO, |last| now - last);
        if self.last_token.replace(now).is_some() {
            self.answer.gaps.push(gap);
        }
        self.text.push_str(token);
    }

    fn end(&mut self, attempt: &Attempt<'_>, due: Instant) -> Outcome {
        self.answer.whole = due.elapsed();
        let answer = std::mem::take(&mut self.answer);
        if !self.finished || !self.usage {
            return attempt::wrong(
                &answer.request,
                "the stream lacks a finish reason or the usage",
            );
        }
        attempt.check_text(&self.text, answer)
    }
}
