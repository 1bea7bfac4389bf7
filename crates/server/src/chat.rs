//! Chat completions: version, upstream, answer, usage.

use crate::context::Context;
use crate::decider::Rated;
use crate::tries::{self, Dispatch, GivenUp, Job, Taken};
use crate::version::{self, Admitted, Assignment};
use adoption::Snapshot;
use billing::usage;
use caller::{Chat, Event, Refusal, Reply, Request, Streamed, Whole};
use entity::unit::{Bytes, Tokens};
use entity::{Moment, Span, id, name};
use hyper::StatusCode;
use hyper::header::HeaderValue;
use routing::{Choice, Outcome, Priority};
use std::sync::Arc;
use timeline::{Counter, Kind, Timer};
use tokio::sync::mpsc;
use tokio::time::Instant;
use upstream::{Chunk, Completion, Failure, Usage};

/// Bytes of a prompt for one token, as the caller's side estimates.
const BYTES_PER_TOKEN: u64 = 4;
/// Events of a stream that wait for a slow caller.
const EVENTS: usize = 32;
/// Longest answer text that is kept to be rated, in bytes.
const MAX_RATED: usize = rating::Answer::MAX_BYTES;

/// One chat request on its way.
pub struct Run<'a> {
    /// What the instance shares.
    pub context: &'a Arc<Context>,
    /// The configuration that the ids belong to.
    pub snapshot: Arc<Snapshot>,
    /// Who asks.
    pub organisation: id::Organisation,
    /// What is asked for.
    pub service: id::Service,
    /// The request.
    pub request: &'a Request,
    /// What of it is about the chat.
    pub chat: &'a Chat,
    /// When the whole answer is due.
    pub deadline: Moment,
}

impl Run<'_> {
    /// Runs the request.
    ///
    /// # Errors
    ///
    /// It was given up.
    pub async fn run(&self) -> Result<Reply, GivenUp> {
        let admitted = Admitted {
            snapshot: &self.snapshot,
            organisation: self.organisation,
            service: self.service,
        };
        let budget = self.deadline.since(self.context.clock.now());
        let assigned =
            version::assign(self.context, admitted, self.request, self.chat, budget).await;
        let assignment = assigned.map_err(GivenUp::Refused)?;
        let config = &self.snapshot.config;
        self.context.metric.count(Counter::Decisions);
        let draft = self
            .context
            .recorder
            .event(Kind::Routed)
            .request(self.request.id);
        draft
            .text("version", &config.versions[assignment.version].name)
            .record();
        if self.chat.stream {
            self.stream(assignment).await
        } else {
            self.plain(assignment).await
        }
    }

    fn job(&self, version: id::Version) -> Job {
        Job {
            id: self.request.id,
            snapshot: self.snapshot.clone(),
            service: self.service,
            version: Some(version),
            organisation: self.organisation,
            prompt: Bytes(self.chat.prompt.0 * BYTES_PER_TOKEN),
            prefix: Some(self.chat.prefix),
            priority: Priority(u8::from(!self.request.live)),
            deadline: self.deadline,
            repeatable: true,
        }
    }

    /// The body for an engine: the version in place of the service, and usage asked for.
    fn call(&self, version: id::Version, priority: Priority, end: Instant) -> upstream::Chat {
        let mut body = self.chat.body.clone();
        let name = self.snapshot.config.versions[version].name.as_str();
        body.insert("model".to_owned(), name.into());
        if self.chat.stream {
            let options = serde_json::json!({ "include_usage": true });
            body.insert("stream_options".to_owned(), options);
        }
        let body = serde_json::to_vec(&body).unwrap_or_default().into();
        upstream::Chat {
            id: self.request.id,
            body,
            priority: priority.0,
            deadline: end,
        }
    }

    async fn plain(&self, assignment: Assignment) -> Result<Reply, GivenUp> {
        let first = self.complete(assignment.version).await?;
        let mut steps = vec![first.step];
        let mut answer = first.completion;
        let mut version = assignment.version;
        if let Some(escalation) = assignment.escalate
            && self
                .is_poor(&answer.text, version, escalation.threshold)
                .await
        {
            self.context.metric.count(Counter::Escalations);
            let draft = self.context.recorder.event(Kind::Escalated);
            let versions = &self.snapshot.config.versions;
            draft
                .request(self.request.id)
                .text("version", &versions[escalation.version].name)
                .record();
            // If the dearer version can't answer in time, the caller gets the first answer.
            if let Ok(second) = self.complete(escalation.version).await {
                version = escalation.version;
                steps.push(second.step);
                answer = second.completion;
            }
        }
        // An answer that was rated for the cascade is not rated again, which would count it twice.
        if assignment.escalate.is_none() {
            self.sample(version, &answer.text, assignment.explored)
                .await;
        }
        self.bill(version, steps).await.map_err(GivenUp::Refused)?;
        Ok(Reply::Whole(Whole {
            status: StatusCode::OK,
            content_type: Some(HeaderValue::from_static("application/json")),
            headers: assignment.headers,
            body: answer.body,
        }))
    }

    async fn complete(&self, version: id::Version) -> Result<Completed, GivenUp> {
        let dispatch = Complete { run: self, version };
        let taken = tries::run(self.context, &self.job(version), &dispatch).await?;
        let Taken {
            value: completion,
            choice,
            sent,
        } = taken;
        let took = Span::from(sent.elapsed());
        let step = self.step(version, &choice.upstream, completion.usage);
        // A plain answer arrives at once: its time says nothing about the first token.
        let outcome = Outcome::Done { first_token: None };
        self.context.decider.finish(choice, outcome).await;
        self.measured(version, took, completion.usage).await;
        Ok(Completed { completion, step })
    }

    /// Whether an answer is rated below a threshold; one that can't be rated in time is not.
    async fn is_poor(&self, text: &str, version: id::Version, threshold: f64) -> bool {
        let Some(rating) = &self.context.rating else {
            return false;
        };
        let Ok(score) = rating.rate(self.answer(version, text)).await else {
            return false;
        };
        self.context
            .decider
            .rated(self.rated(version, false, score))
            .await;
        score < threshold
    }

    fn rated(&self, version: id::Version, escalated: bool, score: f64) -> Rated {
        let config = &self.snapshot.config;
        Rated {
            service: config.services[self.service].name.clone(),
            version: config.versions[version].name.clone(),
            escalated,
            score,
        }
    }

    fn answer(&self, version: id::Version, text: &str) -> rating::Answer {
        let config = &self.snapshot.config;
        rating::Answer {
            request: self.request.id,
            service: config.services[self.service].name.clone(),
            version: config.versions[version].name.clone(),
            text: text.into(),
        }
    }

    /// Has an answer rated in the background, if it falls into the sample or was asked for that.
    async fn sample(&self, version: id::Version, text: &str, explored: bool) {
        let Some(rating) = &self.context.rating else {
            return;
        };
        if text.len() > MAX_RATED {
            return;
        }
        let generation = self.snapshot.generation;
        let share = self
            .context
            .decider
            .sampling(self.service, version, generation)
            .await;
        let sampled = share.is_ok_and(|share| rating::is_sampled(self.request.id, share));
        if explored || sampled {
            let _ = rating.submit(self.answer(version, text), self.context.scores.clone());
        }
    }

    async fn measured(&self, version: id::Version, took: Span, usage: Usage) {
        let config = &self.snapshot.config;
        let service = config.services[self.service].name.clone();
        let version = config.versions[version].name.clone();
        self.context
            .decider
            .measured(service, version, took, usage.tokens_out)
            .await;
    }

    fn step(&self, version: id::Version, upstream: &name::Upstream, usage: Usage) -> usage::Step {
        let version = &self.snapshot.config.versions[version];
        let cost =
            usage.tokens_in.cost(version.price_in) + usage.tokens_out.cost(version.price_out);
        usage::Step {
            target: usage::Target::Version(version.name.clone()),
            upstream: upstream.clone(),
            tokens_in: usage.tokens_in,
            tokens_out: usage.tokens_out,
            cost,
        }
    }

    /// Makes the one usage record of the request safe.
    async fn bill(&self, version: id::Version, steps: Vec<usage::Step>) -> Result<(), Refusal> {
        let config = &self.snapshot.config;
        let record = usage::Record {
            request: self.request.id,
            organisation: config.organisations[self.organisation].name.clone(),
            service: config.services[self.service].name.clone(),
            target: usage::Target::Version(config.versions[version].name.clone()),
            steps,
            lender: None,
        };
        crate::bill::commit(self.context, record).await
    }

    async fn stream(&self, assignment: Assignment) -> Result<Reply, GivenUp> {
        let version = assignment.version;
        let dispatch = Open { run: self, version };
        let taken = tries::run(self.context, &self.job(version), &dispatch).await?;
        let Taken {
            value: (stream, first),
            choice,
            sent,
        } = taken;
        let first_token = Span::from(sent.elapsed());
        let arrival = Span::from(self.request.arrival.elapsed());
        self.context.metric.time(Timer::FirstByte, arrival);
        self.context
            .recorder
            .event(Kind::FirstByte)
            .request(self.request.id)
            .record();
        let (events, receiver) = mpsc::channel(EVENTS);
        let relay = Relay {
            context: self.context.clone(),
            snapshot: self.snapshot.clone(),
            organisation: self.organisation,
            service: self.service,
            request: self.request.clone(),
            chat: self.chat.clone(),
            deadline: self.deadline,
            version,
            choice,
            sent,
            first_token,
            events,
            explored: assignment.explored,
            text: String::new(),
            parts: 0,
        };
        self.context.streams.spawn(relay.run(stream, first));
        Ok(Reply::Streamed(Streamed {
            headers: assignment.headers,
            events: receiver,
        }))
    }
}

/// Runs a plain completion.
struct Complete<'a> {
    run: &'a Run<'a>,
    version: id::Version,
}

impl Dispatch for Complete<'_> {
    type Value = Completion;

    async fn dispatch(&self, choice: &Choice, end: Instant) -> Result<Completion, Failure> {
        let call = self.run.call(self.version, choice.priority, end);
        self.run.context.pool.complete(choice.address, &call).await
    }
}

/// Begins a streamed completion. Until its first event is here, it can be tried again elsewhere.
struct Open<'a> {
    run: &'a Run<'a>,
    version: id::Version,
}

impl Dispatch for Open<'_> {
    type Value = (upstream::Stream, Option<Chunk>);

    async fn dispatch(&self, choice: &Choice, end: Instant) -> Result<Self::Value, Failure> {
        let call = self.run.call(self.version, choice.priority, end);
        let mut stream = self.run.context.pool.stream(choice.address, &call).await?;
        let first = stream.next().await?;
        Ok((stream, first))
    }
}

struct Completed {
    completion: Completion,
    step: usage::Step,
}

/// Passes a stream on, as a task of its own that outlives its caller.
struct Relay {
    context: Arc<Context>,
    snapshot: Arc<Snapshot>,
    organisation: id::Organisation,
    service: id::Service,
    request: Request,
    chat: Chat,
    deadline: Moment,
    version: id::Version,
    choice: Choice,
    sent: Instant,
    first_token: Span,
    events: mpsc::Sender<Event>,
    explored: bool,
    text: String,
    parts: u64,
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
    async fn run(mut self, mut stream: upstream::Stream, first: Option<Chunk>) {
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
                Some(Chunk::Usage(data)) if self.chat.usage => {
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
        let deadline = self.context.clock.instant(self.deadline);
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
        let step = self
            .run_of()
            .step(self.version, &self.choice.upstream, usage);
        let billed = self.run_of().bill(self.version, vec![step]).await;
        let Self {
            context,
            choice,
            events,
            request,
            ..
        } = &self;
        match billed {
            Ok(()) => {
                let _ = events.send(Event::End).await;
                context.metric.count(Counter::Answers);
                context
                    .recorder
                    .event(Kind::Answered)
                    .request(request.id)
                    .record();
            }
            Err(refusal) => {
                let _ = events.send(Event::Failed(refusal)).await;
            }
        }
        let _ = choice;
        let run = self.run_of();
        run.measured(self.version, Span::from(self.sent.elapsed()), usage)
            .await;
        run.sample(self.version, &self.text, self.explored).await;
        self.context.decider.finish(self.choice, outcome).await;
    }

    /// The caller left: it is billed for what was passed on, a token for each part.
    async fn cancel(self) {
        let usage = Usage {
            tokens_in: self.chat.prompt,
            tokens_out: Tokens(self.parts),
        };
        let step = self
            .run_of()
            .step(self.version, &self.choice.upstream, usage);
        let _ = self.run_of().bill(self.version, vec![step]).await;
        let request = self.request.id;
        self.context
            .recorder
            .event(Kind::Cancelled)
            .request(request)
            .record();
        self.context
            .decider
            .finish(self.choice, Outcome::Cancelled)
            .await;
    }

    /// The answer broke off: what was passed on is not whole, and is not billed.
    async fn fail(self, failure: Failure) {
        let request = self.request.id;
        let draft = self.context.recorder.event(Kind::Failed).request(request);
        draft.text("failure", &failure).record();
        let refusal = tries::refuse(&failure, entity::request::Ran::Maybe);
        let draft = self.context.recorder.event(Kind::Refused).request(request);
        draft
            .text("code", refusal.code)
            .text("run", refusal.ran)
            .record();
        let _ = self.events.send(Event::Failed(refusal)).await;
        self.context
            .decider
            .finish(self.choice, tries::outcome(&failure))
            .await;
    }

    fn run_of(&self) -> Run<'_> {
        Run {
            context: &self.context,
            snapshot: self.snapshot.clone(),
            organisation: self.organisation,
            service: self.service,
            request: &self.request,
            chat: &self.chat,
            deadline: self.deadline,
        }
    }
}
