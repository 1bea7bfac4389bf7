//! Streams on their way from an engine to a caller.

use crate::chat::{MAX_RATED, Run};
use crate::tries;
use caller::Event;
use entity::request::Ran;
use entity::unit::Tokens;
use entity::{Span, id};
use routing::{Choice, Outcome};
use timeline::{Counter, Kind};
use tokio::sync::mpsc;
use tokio::time::Instant;
use upstream::{Chunk, Failure, Usage};

/// Passes a stream on, as a task of its own that outlives its caller.
pub struct Relay {
    /// The request.
    pub run: Run,
    /// The version that answers.
    pub version: id::Version,
    /// Where it runs.
    pub choice: Choice,
    /// When it was sent.
    pub sent: Instant,
    /// From then to the first event.
    pub first_token: Span,
    /// Goes to the caller.
    pub events: mpsc::Sender<Event>,
    /// Whether the version was chosen in order to be rated.
    pub explored: bool,
    /// The text so far, to be rated.
    pub text: String,
    /// Events with text so far.
    pub parts: u64,
}

/// How a stream ended.
enum Ended {
    /// All of it was passed on.
    Whole(Usage),
    /// The caller has gone.
    Gone,
    /// It broke off.
    Failed(Failure),
}

impl Relay {
    /// Passes the stream on to its end, and settles what it used.
    pub async fn run(mut self, mut stream: upstream::Stream, first: Option<Chunk>) {
        let ended = self.pass_on(&mut stream, first).await;
        drop(stream);
        match ended {
            Ended::Whole(usage) => self.finish(usage).await,
            Ended::Gone => self.cancel().await,
            Ended::Failed(failure) => self.fail(failure).await,
        }
    }

    async fn pass_on(&mut self, stream: &mut upstream::Stream, first: Option<Chunk>) -> Ended {
        let mut next = first;
        loop {
            match next {
                None => break,
                Some(Chunk::Usage(data)) if self.run.chat.usage => {
                    if self.send(data).await.is_err() {
                        return Ended::Gone;
                    }
                }
                Some(Chunk::Usage(_)) => {}
                Some(Chunk::Part { data, text }) => {
                    self.parts += u64::from(!text.is_empty());
                    if self.text.len() + text.len() <= MAX_RATED {
                        self.text.push_str(&text);
                    }
                    if self.send(data).await.is_err() {
                        return Ended::Gone;
                    }
                }
            }
            let read = tokio::select! {
                () = self.events.closed() => return Ended::Gone,
                read = stream.next() => read,
            };
            next = match read {
                Ok(next) => next,
                Err(failure) => return Ended::Failed(failure),
            };
        }
        stream.usage().map_or(Ended::Gone, Ended::Whole)
    }

    /// Passes an event on; a caller too slow to take it by the deadline counts as gone.
    async fn send(&self, data: bytes::Bytes) -> Result<(), ()> {
        let deadline = self
            .run
            .call
            .context
            .core
            .clock
            .instant(self.run.call.deadline);
        let sent = self.events.send(Event::Data(data));
        match tokio::time::timeout_at(deadline, sent).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(()),
        }
    }

    async fn finish(self, usage: Usage) {
        let outcome = Outcome::Done {
            first_token: Some(self.first_token),
        };
        let step = self.run.step(self.version, &self.choice.upstream, usage);
        let billed = self.run.bill(self.version, vec![step]).await;
        match billed {
            Ok(()) => {
                let _ = self.events.send(Event::End).await;
                self.run.call.context.core.metric.count(Counter::Answers);
                self.run
                    .call
                    .context
                    .core
                    .recorder
                    .event(Kind::Answered)
                    .request(self.run.call.request.id)
                    .record();
            }
            Err(refusal) => {
                let _ = self.events.send(Event::Failed(refusal)).await;
            }
        }
        let run = &self.run;
        run.measured(self.version, Span::from(self.sent.elapsed()), usage)
            .await;
        run.sample(self.version, &self.text, self.explored).await;
        self.run
            .call
            .context
            .core
            .decider
            .finish(self.choice, outcome)
            .await;
    }

    /// The caller left: it is billed for what was passed on, a token for each part.
    async fn cancel(self) {
        let usage = Usage {
            tokens_in: self.run.chat.prompt,
            tokens_out: Tokens(self.parts),
        };
        let step = self.run.step(self.version, &self.choice.upstream, usage);
        let _ = self.run.bill(self.version, vec![step]).await;
        let request = self.run.call.request.id;
        self.run
            .call
            .context
            .core
            .recorder
            .event(Kind::Cancelled)
            .request(request)
            .record();
        self.run
            .call
            .context
            .core
            .decider
            .finish(self.choice, Outcome::Cancelled)
            .await;
    }

    /// The answer broke off: what was passed on is not whole, and is not billed.
    async fn fail(self, failure: Failure) {
        let request = self.run.call.request.id;
        let draft = self
            .run
            .call
            .context
            .core
            .recorder
            .event(Kind::Failed)
            .request(request);
        draft.text("failure", &failure).record();
        let refusal = tries::refuse(&failure, Ran::Maybe);
        let draft = self
            .run
            .call
            .context
            .core
            .recorder
            .event(Kind::Refused)
            .request(request);
        draft
            .text("code", refusal.code)
            .text("run", refusal.ran)
            .record();
        let _ = self.events.send(Event::Failed(refusal)).await;
        self.run
            .call
            .context
            .core
            .decider
            .finish(self.choice, tries::outcome(&failure))
            .await;
    }
}
