//! Chat completions: version, upstream, answer, usage.

use crate::call::Call;
use crate::decider::Rated;
use crate::relay::Relay;
use crate::tries::{self, Dispatch, GivenUp, Job, Taken, Turn};
use crate::version::{self, Assignment};
use billing::usage;
use caller::{Chat, Refusal, Reply, Streamed, Whole};
use entity::unit::Bytes;
use entity::{Span, id, name};
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
pub const MAX_RATED: usize = rating::Answer::MAX_BYTES;

/// One chat request on its way.
#[derive(Clone)]
pub struct Run {
    /// The request.
    pub call: Call,
    /// What of it is about the chat.
    pub chat: Arc<Chat>,
}

impl Run {
    /// Runs the request.
    ///
    /// # Errors
    ///
    /// It was given up.
    pub async fn run(&self) -> Result<Reply, GivenUp> {
        let assignment = version::assign(&self.call, &self.chat).await?;
        let config = &self.call.snapshot.config;
        self.call.context.core.metric.count(Counter::Decisions);
        let draft = self
            .call
            .context
            .core
            .recorder
            .event(Kind::Routed)
            .request(self.call.request.id);
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
        let prompt = Bytes(self.chat.prompt.0 * BYTES_PER_TOKEN);
        Job {
            prefix: Some(self.chat.prefix),
            ..self.call.job(Some(version), prompt)
        }
    }

    /// The body for an engine: the version in place of the service, and usage asked for.
    fn body(&self, version: id::Version, priority: Priority, end: Instant) -> upstream::Chat {
        let mut body = self.chat.body.clone();
        let name = self.call.snapshot.config.versions[version].name.as_str();
        body.insert("model".to_owned(), name.into());
        if self.chat.stream {
            let options = serde_json::json!({ "include_usage": true });
            body.insert("stream_options".to_owned(), options);
        }
        let body = serde_json::to_vec(&body).unwrap_or_default().into();
        upstream::Chat {
            id: self.call.request.id,
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
            self.call.context.core.metric.count(Counter::Escalations);
            let draft = self.call.context.core.recorder.event(Kind::Escalated);
            let versions = &self.call.snapshot.config.versions;
            draft
                .request(self.call.request.id)
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
        let taken = tries::run(&self.call.context.core, &self.job(version), &dispatch).await?;
        let Taken {
            value: completion,
            choice,
            sent,
        } = taken;
        let took = Span::from(sent.elapsed());
        let step = self.step(version, &choice.upstream, completion.usage);
        // A plain answer arrives at once: its time says nothing about the first token.
        let outcome = Outcome::Done { first_token: None };
        self.call.context.core.decider.finish(choice, outcome).await;
        self.measured(version, took, completion.usage).await;
        Ok(Completed { completion, step })
    }

    /// Whether an answer is rated below a threshold; one that can't be rated in time is not.
    async fn is_poor(&self, text: &str, version: id::Version, threshold: f64) -> bool {
        let Some(rating) = &self.call.context.rating else {
            return false;
        };
        let Ok(score) = rating.rate(self.answer(version, text)).await else {
            return false;
        };
        self.call
            .context
            .core
            .decider
            .rated(self.rated(version, false, score))
            .await;
        score < threshold
    }

    fn rated(&self, version: id::Version, escalated: bool, score: f64) -> Rated {
        let config = &self.call.snapshot.config;
        Rated {
            service: config.services[self.call.service].name.clone(),
            version: config.versions[version].name.clone(),
            escalated,
            score,
        }
    }

    fn answer(&self, version: id::Version, text: &str) -> rating::Answer {
        let config = &self.call.snapshot.config;
        rating::Answer {
            request: self.call.request.id,
            service: config.services[self.call.service].name.clone(),
            version: config.versions[version].name.clone(),
            text: text.into(),
        }
    }

    /// Has an answer rated in the background, if it falls into the sample or was asked for that.
    pub async fn sample(&self, version: id::Version, text: &str, explored: bool) {
        let Some(rating) = &self.call.context.rating else {
            return;
        };
        if text.len() > MAX_RATED {
            return;
        }
        let generation = self.call.snapshot.generation;
        let share = self
            .call
            .context
            .core
            .decider
            .sampling(self.call.service, version, generation)
            .await;
        let sampled = share.is_ok_and(|share| rating::is_sampled(self.call.request.id, share));
        if explored || sampled {
            let _ = rating.submit(self.answer(version, text), self.call.context.scores.clone());
        }
    }

    /// Takes in how long a whole answer took.
    pub async fn measured(&self, version: id::Version, took: Span, usage: Usage) {
        let config = &self.call.snapshot.config;
        let service = config.services[self.call.service].name.clone();
        let version = config.versions[version].name.clone();
        self.call
            .context
            .core
            .decider
            .measured(service, version, took, usage.tokens_out)
            .await;
    }

    /// A run of a version at an upstream, with its cost.
    pub fn step(
        &self,
        version: id::Version,
        upstream: &name::Upstream,
        usage: Usage,
    ) -> usage::Step {
        let version = &self.call.snapshot.config.versions[version];
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
    ///
    /// # Errors
    ///
    /// Neither the log nor fellows took it.
    pub async fn bill(&self, version: id::Version, steps: Vec<usage::Step>) -> Result<(), Refusal> {
        let name = &self.call.snapshot.config.versions[version].name;
        let target = usage::Target::Version(name.clone());
        self.call.bill(target, steps).await
    }

    async fn stream(&self, assignment: Assignment) -> Result<Reply, GivenUp> {
        let version = assignment.version;
        let dispatch = Open { run: self, version };
        let taken = tries::run(&self.call.context.core, &self.job(version), &dispatch).await?;
        let Taken {
            value: (stream, first),
            choice,
            sent,
        } = taken;
        let first_token = Span::from(sent.elapsed());
        let arrival = Span::from(self.call.request.arrival.elapsed());
        self.call
            .context
            .core
            .metric
            .time(Timer::FirstByte, arrival);
        self.call
            .context
            .core
            .recorder
            .event(Kind::FirstByte)
            .request(self.call.request.id)
            .record();
        let (events, receiver) = mpsc::channel(EVENTS);
        let relay = Relay {
            run: self.clone(),
            version,
            choice,
            sent,
            first_token,
            events,
            explored: assignment.explored,
            text: String::new(),
            parts: 0,
        };
        self.call
            .context
            .core
            .streams
            .spawn(relay.run(stream, first));
        Ok(Reply::Streamed(Streamed {
            headers: assignment.headers,
            events: receiver,
        }))
    }
}

/// Runs a plain completion.
struct Complete<'a> {
    run: &'a Run,
    version: id::Version,
}

impl Dispatch for Complete<'_> {
    type Value = Completion;

    async fn dispatch(&self, choice: &Choice, turn: Turn) -> Result<Completion, Failure> {
        let call = self.run.body(self.version, choice.priority, turn.end);
        self.run
            .call
            .context
            .pool
            .complete(choice.address, &call)
            .await
    }
}

/// Begins a streamed completion. Until its first event is here, it can be tried again elsewhere.
struct Open<'a> {
    run: &'a Run,
    version: id::Version,
}

impl Dispatch for Open<'_> {
    type Value = (upstream::Stream, Option<Chunk>);

    async fn dispatch(&self, choice: &Choice, turn: Turn) -> Result<Self::Value, Failure> {
        let call = self.run.body(self.version, choice.priority, turn.end);
        let mut stream = self
            .run
            .call
            .context
            .pool
            .stream(choice.address, &call)
            .await?;
        let first = stream.next().await?;
        Ok((stream, first))
    }
}

struct Completed {
    completion: Completion,
    step: usage::Step,
}
