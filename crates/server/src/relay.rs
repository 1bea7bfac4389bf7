//! Relays of streams from an engine to a caller.

use crate::chat::{MAX_RATED_BYTES, Run};
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

/// A relay of one stream, which runs as a task of its own and may outlive the caller's connection.
pub struct Relay {
    /// The chat request.
    pub run: Run,
    /// The version that answers.
    pub version: id::Version,
    /// The chosen upstream.
    pub choice: Choice,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time to first token.
    pub first_token: Span,
    /// Channel to the caller.
    pub events: mpsc::Sender<Event>,
    /// Whether the version was chosen in order to be rated.
    pub explored: bool,
    /// Text of the answer so far, to be rated.
    pub text: String,
    /// Number of events with text so far.
    pub text_events: u64,
}

/// The end of a stream.
enum End {
    /// The whole stream was relayed.
    Whole(Usage),
    /// The caller has disconnected.
    Disconnected,
    /// The stream broke off.
    Failed(Failure),
}

impl Relay {
    /// Relays the stream to its end, and bills its usage.
    pub async fn run(mut self, mut stream: upstream::Stream, first: Option<Chunk>) {
        let end = self.relay_events(&mut stream, first).await;
        drop(stream);
        match end {
            End::Whole(usage) => self.finish(usage).await,
            End::Disconnected => self.cancel().await,
            End::Failed(failure) => self.fail(failure).await,
        }
    }

    async fn relay_events(&mut self, stream: &mut upstream::Stream, first: Option<Chunk>) -> End {
        let mut next = first;
        loop {
            match next {
                None => break,
                Some(Chunk::Usage(data)) if self.run.chat.usage => {
                    if self.send(data).await.is_err() {
                        return End::Disconnected;
                    }
                }
                Some(Chunk::Usage(_)) => {}
                Some(Chunk::Part { data, text }) => {
                    self.text_events += u64::from(!text.is_empty());
                    if self.text.len() + text.len() <= MAX_RATED_BYTES {
                        self.text.push_str(&text);
                    }
                    if self.send(data).await.is_err() {
                        return End::Disconnected;
                    }
                }
            }
            let read = tokio::select! {
                () = self.events.closed() => return End::Disconnected,
                read = stream.next() => read,
            };
            next = match read {
                Ok(next) => next,
                Err(failure) => return End::Failed(failure),
            };
        }
        stream.usage().map_or(End::Disconnected, End::Whole)
    }

    /// Sends an event to the caller. A caller that doesn't accept it by the deadline counts as
    /// disconnected.
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
        run.record_latency(self.version, Span::from(self.sent.elapsed()), usage)
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

    /// Ends the relay after the caller has disconnected. The caller is billed for the relayed
    /// events, one token for each event with text.
    async fn cancel(self) {
        let usage = Usage {
            tokens_in: self.run.chat.prompt,
            tokens_out: Tokens(self.text_events),
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

    /// Ends the relay after the answer broke off. The incomplete answer isn't billed.
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
