//! Chat completions: choice of version and upstream, answer, escalation and usage.

use crate::call::Call;
use crate::decider::RatedAnswer;
use crate::relay::Relay;
use crate::tries::{self, Abort, Accepted, Dispatch, Job, TryLimits};
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

/// Number of prompt bytes per token, as in the estimate of the `caller` package.
const BYTES_PER_TOKEN: u64 = 4;
/// Number of events of a stream that are buffered for a slow caller.
const EVENT_BUFFER_CAPACITY: usize = 32;
/// Longest answer text that is kept for a rating, in bytes.
pub const MAX_RATED_BYTES: usize = rating::Answer::MAX_BYTES;

/// A chat request.
#[derive(Clone)]
pub struct Run {
    /// The request with its resolved organisation and service.
    pub call: Call,
    /// The part of the request that is specific to chat.
    pub chat: Arc<Chat>,
}

impl Run {
    /// Runs the request.
    ///
    /// # Errors
    ///
    /// The request was aborted.
    pub async fn run(&self) -> Result<Reply, Abort> {
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

    /// Returns the body for an engine, which names the version instead of the service. A streamed
    /// one requests a usage event.
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

    async fn plain(&self, assignment: Assignment) -> Result<Reply, Abort> {
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
            // If the more expensive version can't answer in time, the caller gets the first answer.
            if let Ok(second) = self.complete(escalation.version).await {
                version = escalation.version;
                steps.push(second.step);
                answer = second.completion;
            }
        }
        // An answer that was rated for the cascade isn't rated again, since it would count twice.
        if assignment.escalate.is_none() {
            self.sample(version, &answer.text, assignment.explored)
                .await;
        }
        self.bill(version, steps).await.map_err(Abort::Refused)?;
        Ok(Reply::Whole(Whole {
            status: StatusCode::OK,
            content_type: Some(HeaderValue::from_static("application/json")),
            headers: assignment.headers,
            body: answer.body,
        }))
    }

    async fn complete(&self, version: id::Version) -> Result<Completed, Abort> {
        let dispatch = CompletionDispatch { run: self, version };
        let accepted = tries::run(&self.call.context.core, &self.job(version), &dispatch).await?;
        let Accepted {
            value: completion,
            choice,
            sent,
        } = accepted;
        let latency = Span::from(sent.elapsed());
        let step = self.step(version, &choice.upstream, completion.usage);
        // A plain answer arrives as a whole, so its latency isn't the time to first token.
        let outcome = Outcome::Done { first_token: None };
        self.call.context.core.decider.finish(choice, outcome).await;
        self.record_latency(version, latency, completion.usage)
            .await;
        Ok(Completed { completion, step })
    }

    /// Returns whether an answer is rated below a threshold; false if it can't be rated in time.
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
            .record_rating(self.rated_answer(version, false, score))
            .await;
        score < threshold
    }

    fn rated_answer(&self, version: id::Version, escalated: bool, score: f64) -> RatedAnswer {
        let config = &self.call.snapshot.config;
        RatedAnswer {
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

    /// Submits an answer for a rating in the background, if it falls into the sample or its version
    /// was chosen in order to be rated.
    pub async fn sample(&self, version: id::Version, text: &str, explored: bool) {
        let Some(rating) = &self.call.context.rating else {
            return;
        };
        if text.len() > MAX_RATED_BYTES {
            return;
        }
        let generation = self.call.snapshot.generation;
        let share = self
            .call
            .context
            .core
            .decider
            .sampling_share(self.call.service, version, generation)
            .await;
        let sampled = share.is_ok_and(|share| rating::is_sampled(self.call.request.id, share));
        if explored || sampled {
            let _ = rating.submit(self.answer(version, text), self.call.context.scores.clone());
        }
    }

    /// Records the latency of a whole answer.
    pub async fn record_latency(&self, version: id::Version, latency: Span, usage: Usage) {
        let config = &self.call.snapshot.config;
        let service = config.services[self.call.service].name.clone();
        let version = config.versions[version].name.clone();
        self.call
            .context
            .core
            .decider
            .record_latency(service, version, latency, usage.tokens_out)
            .await;
    }

    /// Returns the step of the usage record for a run of a version at an upstream, with its cost.
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

    /// Commits the usage record of the request; each request has exactly one.
    ///
    /// # Errors
    ///
    /// Neither the log nor peers accepted the record.
    pub async fn bill(&self, version: id::Version, steps: Vec<usage::Step>) -> Result<(), Refusal> {
        let name = &self.call.snapshot.config.versions[version].name;
        let target = usage::Target::Version(name.clone());
        self.call.bill(target, steps).await
    }

    async fn stream(&self, assignment: Assignment) -> Result<Reply, Abort> {
        let version = assignment.version;
        let dispatch = StreamDispatch { run: self, version };
        let accepted = tries::run(&self.call.context.core, &self.job(version), &dispatch).await?;
        let Accepted {
            value: (stream, first),
            choice,
            sent,
        } = accepted;
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
        let (events, receiver) = mpsc::channel(EVENT_BUFFER_CAPACITY);
        let relay = Relay {
            run: self.clone(),
            version,
            choice,
            sent,
            first_token,
            events,
            explored: assignment.explored,
            text: String::new(),
            text_events: 0,
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

/// The dispatch of a plain completion.
struct CompletionDispatch<'a> {
    run: &'a Run,
    version: id::Version,
}

impl Dispatch for CompletionDispatch<'_> {
    type Value = Completion;

    async fn dispatch(&self, choice: &Choice, limits: TryLimits) -> Result<Completion, Failure> {
        let call = self.run.body(self.version, choice.priority, limits.end);
        self.run
            .call
            .context
            .pool
            .complete(choice.address, &call)
            .await
    }
}

/// The dispatch of a streamed completion. It can be tried again elsewhere until its first event has
/// arrived.
struct StreamDispatch<'a> {
    run: &'a Run,
    version: id::Version,
}

impl Dispatch for StreamDispatch<'_> {
    type Value = (upstream::Stream, Option<Chunk>);

    async fn dispatch(&self, choice: &Choice, limits: TryLimits) -> Result<Self::Value, Failure> {
        let call = self.run.body(self.version, choice.priority, limits.end);
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
