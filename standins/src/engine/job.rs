//! Execution of one request.

use super::batch::Permit;
use super::chat::{self, Prompt, Usage};
use super::{Engine, Execution, answer};
use crate::digest::digest;
use crate::server::{self, Body, Dropped, REQUEST_ID_HEADER, Reply};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;
use hyper::{Response, StatusCode};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;

/// Prefill time for each byte of prompt that is not cached.
const PREFILL_PER_BYTE: Duration = Duration::from_micros(2);
/// Factor by which every step is slower during a cold start.
const COLD_SLOWDOWN: f64 = 4.0;
/// Number of further requests in the batch that doubles the time of a step.
const DOUBLING_BATCH_SIZE: f64 = 16.0;
/// Shortest wait that the timer can keep; shorter ones accumulate until a later step sleeps.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// Number of chunks that are buffered for a slow reader.
const BUFFERED_CHUNKS: usize = 16;

/// A running request with its slot.
pub(super) struct Job {
    engine: Arc<Engine>,
    crashes: watch::Receiver<u64>,
    request: Box<str>,
    model: Box<str>,
    stream: bool,
    words: Vec<Box<str>>,
    /// Number of words after which the answer is truncated.
    truncate_at: Option<usize>,
    prefill: Duration,
    /// Time at which the current step ends. The next step starts from it, so that the timer's
    /// rounding does not add up.
    step_end: Instant,
    usage: Usage,
    _permit: Permit,
}

type Frames = mpsc::Sender<io::Result<Frame<Bytes>>>;

impl Job {
    /// Records the request as executed and determines its answer.
    pub(super) fn start(
        engine: Arc<Engine>,
        permit: Permit,
        request: Box<str>,
        prompt: Prompt,
    ) -> Self {
        let faults = engine.faults.get();
        let question = prompt.question();
        let prefix = prompt.prefix();
        let execution = Execution {
            request: request.clone(),
            version: prompt.model.clone(),
            digest: answer::prompt_hash(&question),
        };
        let cached = {
            let mut state = engine.lock();
            *state.calls.entry(execution).or_default() += 1;
            state.served += 1;
            state.cache.use_prefix(digest(&prefix), prefix.len())
        };
        let uncached_bytes = if cached {
            question.len()
        } else {
            prefix.len() + question.len()
        };
        let mismatched = engine.faults.should_inject(faults.wrong_id);
        let skill = faults.skill_at(&prompt.model, server::unix_millis());
        let words = if mismatched {
            answer::words("another question", skill, prompt.token_limit())
        } else {
            answer::words(&question, skill, prompt.token_limit())
        };
        let truncate_at = engine
            .faults
            .should_inject(faults.end_early)
            .then_some(words.len() / 2);
        Self {
            crashes: engine.crashes.subscribe(),
            request: if mismatched {
                other_id(&request)
            } else {
                request
            },
            stream: prompt.stream,
            truncate_at,
            step_end: Instant::now(),
            prefill: PREFILL_PER_BYTE * uncached_bytes as u32,
            usage: Usage {
                prompt: prompt.tokens(),
                completion: words.len(),
            },
            words,
            model: prompt.model,
            engine,
            _permit: permit,
        }
    }

    /// Runs the request and returns its reply; the body of a streamed reply is written by a task.
    pub(super) async fn run(self) -> Result<Reply, Dropped> {
        let request = self.request.clone();
        let mut reply = if self.stream {
            self.streamed()
        } else {
            self.plain().await?
        };
        if let Ok(id) = request.parse() {
            reply.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        Ok(reply)
    }

    /// Waits for the duration of a step at the current batch size, given its duration in a batch of
    /// one.
    async fn step(&mut self, unbatched: Duration) -> Result<(), Dropped> {
        let mut slowdown = 1.0 + (self.engine.batch.running() - 1) as f64 / DOUBLING_BATCH_SIZE;
        if self.engine.is_cold() {
            slowdown *= COLD_SLOWDOWN;
        }
        self.step_end += unbatched.mul_f64(slowdown);
        if self.step_end.duration_since(Instant::now()) >= MIN_SLEEP {
            tokio::select! {
                _ = self.crashes.changed() => return Err(Dropped),
                () = tokio::time::sleep_until(self.step_end) => {}
            }
        }
        if self.crashes.has_changed().unwrap_or(true) || self.engine.faults.get().down {
            return Err(Dropped);
        }
        Ok(())
    }

    async fn token(&mut self) -> Result<(), Dropped> {
        let token_ms = self.engine.faults.get().token_ms.max(0.0);
        self.step(Duration::from_secs_f64(token_ms / 1000.0))
            .await?;
        self.engine.lock().tokens += 1;
        Ok(())
    }

    async fn plain(mut self) -> Result<Reply, Dropped> {
        self.step(self.prefill).await?;
        for _ in 0..self.words.len() {
            self.token().await?;
        }
        let text = self.words.concat();
        let completion = chat::completion(&self.request, &self.model, &text, self.usage);
        if self.truncate_at.is_none() {
            return Ok(server::json(StatusCode::OK, &completion));
        }
        Ok(server::truncated_json(&completion))
    }

    fn streamed(self) -> Reply {
        let (frames, receiver) = mpsc::channel(BUFFERED_CHUNKS);
        tokio::spawn(async move {
            // A disconnected caller cancels the request, also during a token.
            tokio::select! {
                () = frames.closed() => {}
                () = self.write(&frames) => {}
            }
        });
        let body: Body = StreamBody::new(ReceiverStream::new(receiver)).boxed_unsync();
        let mut reply = Response::new(body);
        reply.headers_mut().insert(
            CONTENT_TYPE,
            "text/event-stream".parse().expect("a valid header value"),
        );
        reply
    }

    async fn write(mut self, frames: &Frames) {
        let result = self.write_words(frames).await;
        if result.is_err() {
            let _ = frames
                .send(Err(io::Error::other("the answer is truncated")))
                .await;
        }
    }

    async fn write_words(&mut self, frames: &Frames) -> Result<(), Dropped> {
        self.step(self.prefill).await?;
        for index in 0..self.words.len() {
            if self.truncate_at == Some(index) {
                return Err(Dropped);
            }
            self.token().await?;
            let chunk = chat::chunk(&self.request, &self.model, Some(&self.words[index]));
            send(frames, chunk).await?;
        }
        send(frames, chat::chunk(&self.request, &self.model, None)).await?;
        send(
            frames,
            chat::final_chunks(&self.request, &self.model, self.usage),
        )
        .await
    }
}

async fn send(frames: &Frames, chunk: Bytes) -> Result<(), Dropped> {
    frames
        .send(Ok(Frame::data(chunk)))
        .await
        .map_err(|_| Dropped)
}

/// Returns an id that differs from the request's own.
fn other_id(request: &str) -> Box<str> {
    request.chars().rev().collect::<String>().into()
}
