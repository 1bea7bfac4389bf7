//! One request that runs.

use super::batch::Permit;
use super::chat::{self, Prompt, Usage};
use super::{Engine, Ran, answer};
use crate::digest::digest;
use crate::server::{self, Body, Dropped, REQUEST_ID, Reply};
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

/// Time to read a byte of prompt that is not cached.
const PREFILL_PER_BYTE: Duration = Duration::from_micros(2);
/// How many times longer everything takes in cold start.
const COLD_SLOWDOWN: f64 = 4.0;
/// Running requests that make a token take twice as long as in a batch of one.
const DOUBLING: f64 = 16.0;
/// Shortest wait that the timer keeps; shorter ones are made up for by later steps.
const TIMER_STEP: Duration = Duration::from_millis(1);
/// Chunks that a stream holds for a slow reader.
const BUFFERED_CHUNKS: usize = 16;

/// A request with its slot.
pub(super) struct Job {
    engine: Arc<Engine>,
    falls: watch::Receiver<u64>,
    request: Box<str>,
    model: Box<str>,
    stream: bool,
    words: Vec<Box<str>>,
    /// Words after which the answer is cut off.
    cut: Option<usize>,
    prefill: Duration,
    /// When the present step ends; steps follow without the timer's rounding between them.
    pace: Instant,
    usage: Usage,
    _permit: Permit,
}

type Frames = mpsc::Sender<io::Result<Frame<Bytes>>>;

impl Job {
    /// Counts the request and settles its answer.
    pub(super) fn begin(
        engine: Arc<Engine>,
        permit: Permit,
        request: Box<str>,
        prompt: Prompt,
    ) -> Self {
        let faults = engine.faults.get();
        let question = prompt.question();
        let prefix = prompt.prefix();
        let ran = Ran {
            request: request.clone(),
            version: prompt.model.clone(),
            digest: answer::mark(&question),
        };
        let cached = {
            let mut state = engine.lock();
            *state.calls.entry(ran).or_default() += 1;
            state.served += 1;
            state.cache.touch(digest(&prefix), prefix.len())
        };
        let read = if cached {
            question.len()
        } else {
            prefix.len() + question.len()
        };
        let crossed = engine.faults.happens(faults.wrong_id);
        let skill = faults.skill_at(&prompt.model, server::unix_millis());
        let words = if crossed {
            answer::words("another question", skill, prompt.limit())
        } else {
            answer::words(&question, skill, prompt.limit())
        };
        let cut = engine
            .faults
            .happens(faults.end_early)
            .then_some(words.len() / 2);
        Self {
            falls: engine.falls.subscribe(),
            request: if crossed { other(&request) } else { request },
            stream: prompt.stream,
            cut,
            pace: Instant::now(),
            prefill: PREFILL_PER_BYTE * read as u32,
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

    /// Runs to the end, or to the first token of a stream.
    pub(super) async fn run(self) -> Result<Reply, Dropped> {
        let request = self.request.clone();
        let mut reply = if self.stream {
            self.streamed()
        } else {
            self.plain().await?
        };
        if let Ok(id) = request.parse() {
            reply.headers_mut().insert(REQUEST_ID, id);
        }
        Ok(reply)
    }

    /// Waits as long as a step takes at the present batch size.
    async fn step(&mut self, alone: Duration) -> Result<(), Dropped> {
        let mut slowdown = 1.0 + (self.engine.batch.running() - 1) as f64 / DOUBLING;
        if self.engine.cold() {
            slowdown *= COLD_SLOWDOWN;
        }
        self.pace += alone.mul_f64(slowdown);
        if self.pace.duration_since(Instant::now()) >= TIMER_STEP {
            tokio::select! {
                _ = self.falls.changed() => return Err(Dropped),
                () = tokio::time::sleep_until(self.pace) => {}
            }
        }
        if self.falls.has_changed().unwrap_or(true) || self.engine.faults.get().down {
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
        let whole = chat::whole(&self.request, &self.model, &text, self.usage);
        if self.cut.is_none() {
            return Ok(server::json(StatusCode::OK, &whole));
        }
        Ok(server::cut(&whole))
    }

    fn streamed(self) -> Reply {
        let (frames, receiver) = mpsc::channel(BUFFERED_CHUNKS);
        tokio::spawn(async move {
            // A caller that has gone cancels the request, also in the middle of a token.
            tokio::select! {
                () = frames.closed() => {}
                () = self.write(&frames) => {}
            }
        });
        let body: Body = StreamBody::new(ReceiverStream::new(receiver)).boxed_unsync();
        let mut reply = Response::new(body);
        reply
            .headers_mut()
            .insert(CONTENT_TYPE, "text/event-stream".parse().expect("a header"));
        reply
    }

    async fn write(mut self, frames: &Frames) {
        let written = self.write_words(frames).await;
        if written.is_err() {
            let _ = frames
                .send(Err(io::Error::other("the answer is cut off")))
                .await;
        }
    }

    async fn write_words(&mut self, frames: &Frames) -> Result<(), Dropped> {
        self.step(self.prefill).await?;
        for index in 0..self.words.len() {
            if self.cut == Some(index) {
                return Err(Dropped);
            }
            self.token().await?;
            let chunk = chat::chunk(&self.request, &self.model, Some(&self.words[index]));
            send(frames, chunk).await?;
        }
        send(frames, chat::chunk(&self.request, &self.model, None)).await?;
        send(frames, chat::last(&self.request, &self.model, self.usage)).await
    }
}

async fn send(frames: &Frames, chunk: Bytes) -> Result<(), Dropped> {
    frames
        .send(Ok(Frame::data(chunk)))
        .await
        .map_err(|_| Dropped)
}

/// The id of another request.
fn other(request: &str) -> Box<str> {
    request.chars().rev().collect::<String>().into()
}
