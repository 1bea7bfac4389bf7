//! Requests and replies of the chat-completions API.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};

/// Number of tokens of an answer if the request sets no limit.
const DEFAULT_MAX_TOKENS: usize = 32;
/// Maximum number of tokens of an answer.
const MAX_TOKENS: usize = 4096;

/// A request, with the fields that the engine uses.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Prompt {
    pub(super) model: Box<str>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    pub(super) stream: bool,
    max_tokens: Option<usize>,
}

#[derive(Clone, Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: Value,
}

/// Token counts of a request and its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    pub(super) prompt: usize,
    pub(super) completion: usize,
}

impl Message {
    fn text(&self) -> String {
        match &self.content {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        }
    }
}

impl Prompt {
    /// Returns the question, which is the text of the last message.
    pub(super) fn question(&self) -> String {
        self.messages.last().map(Message::text).unwrap_or_default()
    }

    /// Returns the prefix that requests share, which is the text of the first message.
    pub(super) fn prefix(&self) -> String {
        self.messages.first().map(Message::text).unwrap_or_default()
    }

    /// Returns the number of tokens of the prompt, at four bytes each.
    pub(super) fn tokens(&self) -> usize {
        let bytes: usize = self
            .messages
            .iter()
            .map(|message| message.text().len())
            .sum();
        bytes.div_ceil(4)
    }

    /// Returns the number of tokens to generate.
    pub(super) fn token_limit(&self) -> usize {
        self.max_tokens
            .unwrap_or(DEFAULT_MAX_TOKENS)
            .clamp(3, MAX_TOKENS)
    }
}

impl Usage {
    fn json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.completion,
            "total_tokens": self.prompt + self.completion,
        })
    }
}

/// Builds a complete answer that is not streamed.
pub(super) fn completion(request: &str, model: &str, text: &str, usage: Usage) -> Value {
    json!({
        "id": format!("chatcmpl-{request}"),
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }],
        "usage": usage.json(),
    })
}

/// Builds a chunk with a token, or with the finish reason if there is no token.
pub(super) fn chunk(request: &str, model: &str, token: Option<&str>) -> Bytes {
    let (delta, reason) = match token {
        Some(token) => (json!({"content": token}), Value::Null),
        None => (json!({}), json!("stop")),
    };
    let choices = json!([{"index": 0, "delta": delta, "finish_reason": reason}]);
    event(&json!({
        "id": format!("chatcmpl-{request}"),
        "object": "chat.completion.chunk",
        "model": model,
        "choices": choices,
    }))
}

/// Builds the chunk with the usage, followed by the end marker of the stream.
pub(super) fn final_chunks(request: &str, model: &str, usage: Usage) -> Bytes {
    let usage = event(&json!({
        "id": format!("chatcmpl-{request}"),
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [],
        "usage": usage.json(),
    }));
    [&usage[..], b"data: [DONE]\n\n"].concat().into()
}

fn event(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}
