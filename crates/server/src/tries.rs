//! Tries of one request at upstreams: choice, dispatch, and retries within the budget.

use crate::context::Context;
use crate::decider::Want;
use adoption::Snapshot;
use caller::Refusal;
use entity::request::{self, Ran};
use entity::unit::Bytes;
use entity::{Moment, Span, id, name};
use hyper::StatusCode;
use routing::{Choice, Outcome, Priority};
use std::sync::Arc;
use timeline::{Counter, Kind};
use tokio::time::Instant;
use upstream::{Failure, Reason};

/// Most tries of one request, the first included.
const MAX_TRIES: u32 = 4;

/// A request for one version or plain service.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request.
    pub id: request::Id,
    /// The configuration that its ids belong to.
    pub snapshot: Arc<Snapshot>,
    /// The service.
    pub service: id::Service,
    /// The version; none for a plain service.
    pub version: Option<id::Version>,
    /// The organisation.
    pub organisation: id::Organisation,
    /// Size of the prompt or body.
    pub prompt: Bytes,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// How urgent it is.
    pub priority: Priority,
    /// When the whole answer is due.
    pub deadline: Moment,
    /// Whether a try that may have run can be followed by another.
    pub repeatable: bool,
}

/// Why a job was given up.
#[derive(Debug)]
pub enum GivenUp {
    /// The configuration changed before anything was sent: the request is to be looked at anew.
    Stale,
    /// The caller is refused.
    Refused(Refusal),
}

/// A try that an upstream took.
#[derive(Debug)]
pub struct Taken<T> {
    /// What the dispatch gave.
    pub value: T,
    /// The choice, which must be finished.
    pub choice: Choice,
    /// When it was sent.
    pub sent: Instant,
}

impl Job {
    fn want(&self, excluded: &[name::Upstream]) -> Want {
        Want {
            generation: self.snapshot.generation,
            service: self.service,
            version: self.version,
            organisation: self.organisation,
            prompt: self.prompt,
            prefix: self.prefix,
            priority: self.priority,
            excluded: excluded.to_vec(),
            deadline: self.deadline,
        }
    }

    /// What every dispatch goes by, whatever the decider knew a moment ago: the configuration that
    /// is in force at this instance as the first byte is about to be sent.
    fn permitted(&self, context: &Context, upstream: &name::Upstream) -> bool {
        let Some(now) = context.snapshot() else {
            return false;
        };
        if now.generation != self.snapshot.generation {
            return false;
        }
        let config = &now.config;
        let Some(upstream) = config.upstream(upstream.as_str()) else {
            return false;
        };
        let allowed = match self.version {
            Some(version) => config.allows(self.organisation, self.service, version),
            None => {
                let organisation = &config.organisations[self.organisation];
                organisation.services.binary_search(&self.service).is_ok()
            }
        };
        allowed && config.in_service(upstream)
    }
}

/// Sends a request to one upstream.
pub trait Dispatch: Sync {
    /// What an upstream that takes it gives.
    type Value: Send;

    /// Sends the request to the upstream of a choice; it has to end by an instant.
    fn dispatch(
        &self,
        choice: &Choice,
        end: Instant,
    ) -> impl Future<Output = Result<Self::Value, Failure>> + Send;
}

/// Dispatches a job until an upstream takes it.
///
/// # Errors
///
/// The configuration changed, or no upstream took it.
pub async fn run<D: Dispatch>(
    context: &Context,
    job: &Job,
    dispatch: &D,
) -> Result<Taken<D::Value>, GivenUp> {
    let mut excluded = Vec::new();
    let mut ran = Ran::No;
    let mut last: Option<Failure> = None;
    for retry in 0..MAX_TRIES {
        let choice = choose(context, job, &excluded, last.as_ref(), ran).await?;
        if context.clock.now().since(choice.made) > context.bounds.slack {
            // The process was paused: what was chosen may be another instance's slot by now.
            context.decider.finish(choice, Outcome::Cancelled).await;
            continue;
        }
        if !job.permitted(context, &choice.upstream) {
            context.decider.finish(choice, Outcome::Cancelled).await;
            // What may have run is not looked at anew: it would count as not run.
            return match ran {
                Ran::No => Err(GivenUp::Stale),
                Ran::Maybe => Err(GivenUp::Refused(changed())),
            };
        }
        let draft = context.recorder.event(Kind::Sent).request(job.id);
        draft
            .text("upstream", &choice.upstream)
            .count("try", u64::from(retry))
            .record();
        let sent = Instant::now();
        let end = context.clock.instant(choice.end.min(job.deadline));
        let failure = match dispatch.dispatch(&choice, end).await {
            Ok(value) => {
                return Ok(Taken {
                    value,
                    choice,
                    sent,
                });
            }
            Err(failure) => failure,
        };
        ran = ran.max(failure.ran);
        note_failure(context, job, &choice, &failure);
        excluded.push(choice.upstream.clone());
        context.decider.finish(choice, outcome(&failure)).await;
        let again = failure.ran == Ran::No || job.repeatable;
        let delay = if again {
            pause(context, job, retry).await?
        } else {
            None
        };
        let Some(delay) = delay else {
            return Err(GivenUp::Refused(refuse(&failure, ran)));
        };
        last = Some(failure);
        tokio::time::sleep(delay.duration()).await;
    }
    let message = "no upstream gave a whole answer";
    let refusal = Refusal {
        ran,
        ..Refusal::not_run(StatusCode::BAD_GATEWAY, "upstream-failed", message)
    };
    Err(GivenUp::Refused(refusal.after(Span::from_secs(1))))
}

async fn choose(
    context: &Context,
    job: &Job,
    excluded: &[name::Upstream],
    last: Option<&Failure>,
    ran: Ran,
) -> Result<Choice, GivenUp> {
    let chosen = context.decider.choose(job.want(excluded)).await;
    let chosen = chosen.map_err(|_| GivenUp::Refused(closing(ran)))?;
    let refusal = match chosen {
        Ok(choice) => return Ok(choice),
        Err(refusal) => refusal,
    };
    if refusal.reason == routing::Reason::Generation && ran == Ran::No {
        return Err(GivenUp::Stale);
    }
    // After a try, the caller is told why that failed, not that there is no other upstream.
    let refused = last.map_or_else(|| no_upstream(&refusal), |failure| refuse(failure, ran));
    Err(GivenUp::Refused(Refusal { ran, ..refused }))
}

/// The pause before another try; none if there may be none.
async fn pause(context: &Context, job: &Job, retry: u32) -> Result<Option<Span>, GivenUp> {
    if retry + 1 == MAX_TRIES {
        return Ok(None);
    }
    let delay = context.decider.retry(retry, job.deadline).await;
    let delay = delay.map_err(|_| GivenUp::Refused(closing(Ran::Maybe)))?;
    if delay.is_some() {
        context.metric.count(Counter::Retries);
        context
            .recorder
            .event(Kind::Retried)
            .request(job.id)
            .record();
    }
    Ok(delay)
}

fn note_failure(context: &Context, job: &Job, choice: &Choice, failure: &Failure) {
    let kind = match failure.reason {
        Reason::WrongId => Kind::Discarded,
        _ => Kind::Failed,
    };
    let draft = context.recorder.event(kind).request(job.id);
    draft
        .text("upstream", &choice.upstream)
        .text("failure", failure)
        .record();
}

/// What a failure says about its upstream.
pub fn outcome(failure: &Failure) -> Outcome {
    match failure.reason {
        Reason::Refused => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

/// A refusal of an instance that is being shut down.
pub fn closing(ran: Ran) -> Refusal {
    let message = "this instance is being shut down; another one serves";
    let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "closing", message);
    Refusal {
        ran,
        ..refusal.after(Span::from_secs(1))
    }
}

fn changed() -> Refusal {
    let message = "the configuration changed while the request was tried";
    Refusal::may_have_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "configuration-changed",
        message,
    )
    .after(Span::from_secs(1))
}

fn no_upstream(refusal: &routing::Refusal) -> Refusal {
    use routing::Reason as Why;
    let (status, code) = match refusal.reason {
        Why::NoUpstream | Why::NotServed => (StatusCode::SERVICE_UNAVAILABLE, "no-upstream"),
        Why::NotAllowed => (StatusCode::FORBIDDEN, "not-allowed"),
        Why::Withdrawn => (StatusCode::GONE, "version-withdrawn"),
        Why::Deadline => (StatusCode::GATEWAY_TIMEOUT, "timed-out"),
        Why::ZoneOut | Why::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "upstreams-out"),
        Why::Cold => (StatusCode::SERVICE_UNAVAILABLE, "upstreams-cold"),
        Why::Failing | Why::Excluded => (StatusCode::BAD_GATEWAY, "upstream-failed"),
        Why::Full => (StatusCode::TOO_MANY_REQUESTS, "overloaded"),
        Why::Generation => (StatusCode::SERVICE_UNAVAILABLE, "configuration-changed"),
    };
    let refused = Refusal::not_run(status, code, refusal.reason.to_string());
    match refusal.retry_after {
        Some(span) => refused.after(span),
        None => refused,
    }
}

/// The refusal after the last try failed; `ran` is over all tries.
pub fn refuse(failure: &Failure, ran: Ran) -> Refusal {
    let (status, code) = match failure.reason {
        Reason::Timeout => (StatusCode::GATEWAY_TIMEOUT, "timed-out"),
        Reason::Refused => (StatusCode::SERVICE_UNAVAILABLE, "upstream-refused"),
        Reason::Connect | Reason::Lost => (StatusCode::BAD_GATEWAY, "upstream-lost"),
        Reason::WrongId => (StatusCode::BAD_GATEWAY, "answer-crossed"),
        Reason::Early | Reason::Malformed => (StatusCode::BAD_GATEWAY, "answer-incomplete"),
        Reason::Status(_) => (StatusCode::BAD_GATEWAY, "upstream-failed"),
    };
    let refusal = Refusal::not_run(status, code, failure.reason.to_string());
    let wait = failure.retry_after.unwrap_or(Span::from_secs(1));
    Refusal {
        ran,
        ..refusal.after(wait)
    }
}
