//! Calls of plain services, both those that may be repeated and those that run at most once.

use crate::call::Call;
use crate::once;
use crate::tries::{self, Abort, Accepted, Dispatch, Job, TryLimits};
use adoption::Snapshot;
use billing::usage;
use caller::{Plain, Refusal, Reply, Whole};
use config::{Repeat, Route};
use entity::request::Ran;
use entity::unit::{Bytes, Tokens};
use entity::{Span, id, name};
use hyper::StatusCode;
use hyper::header::HeaderValue;
use routing::{Choice, Outcome};
use tokio::time::Instant;
use upstream::{Failure, Reply as Answer};

/// A call of a plain service.
pub struct Run<'a> {
    /// The request with its resolved organisation and service.
    pub call: Call,
    /// The part of the request that is specific to plain services.
    pub plain: &'a Plain,
}

/// Finds the route of a call by its path and method.
pub fn route<'a>(
    snapshot: &'a Snapshot,
    service: id::Service,
    plain: &Plain,
) -> Result<&'a Route, Refusal> {
    let path = plain.path.split('?').next().unwrap_or_default();
    let mut method_differs = false;
    for route in &snapshot.config.routes {
        if route.service != service || !matches(&route.path, path) {
            continue;
        }
        if *route.method == *plain.method.as_str() {
            return Ok(route);
        }
        method_differs = true;
    }
    let (status, code) = if method_differs {
        (StatusCode::METHOD_NOT_ALLOWED, "bad-method")
    } else {
        (StatusCode::NOT_FOUND, "unknown-route")
    };
    let message = format!("the service has no route {} {path}", plain.method);
    Err(Refusal::not_run(status, code, message))
}

fn matches(pattern: &str, path: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => path.starts_with(prefix),
        None => pattern == path,
    }
}

impl Run<'_> {
    /// Runs the call.
    ///
    /// # Errors
    ///
    /// The call was aborted.
    pub async fn run(&self) -> Result<Reply, Abort> {
        let route =
            route(&self.call.snapshot, self.call.service, self.plain).map_err(|refusal| {
                Abort::Refused(refusal.before_claim(self.call.request.idempotency.as_ref()))
            })?;
        match route.repeat {
            Repeat::Safe => self.repeatable(route).await,
            Repeat::Never => self.once(route).await,
        }
    }

    /// Returns the job of this call.
    pub fn job(&self, repeatable: bool) -> Job {
        let size = Bytes(self.plain.body.len() as u64);
        Job {
            repeatable,
            ..self.call.job(None, size)
        }
    }

    /// Dispatches a job until an upstream accepts it.
    ///
    /// # Errors
    ///
    /// The call was aborted.
    pub async fn dispatch(&self, job: &Job) -> Result<Called, Abort> {
        let accepted = tries::run(&self.call.context.core, job, self).await?;
        let Accepted {
            value,
            choice,
            sent,
        } = accepted;
        let upstream = choice.upstream.clone();
        let first_token = Some(Span::from(sent.elapsed()));
        self.call
            .context
            .core
            .decider
            .finish(choice, Outcome::Done { first_token })
            .await;
        Ok(Called {
            answer: value,
            upstream,
        })
    }

    fn body(&self, end: Instant) -> upstream::Plain {
        let organisations = &self.call.snapshot.config.organisations;
        upstream::Plain {
            id: self.call.request.id,
            organisation: organisations[self.call.organisation].name.clone(),
            key: self
                .call
                .request
                .idempotency
                .as_ref()
                .map(|idempotency| idempotency.key.clone()),
            method: self.plain.method.clone(),
            path: self.plain.path.clone(),
            content_type: self.plain.content_type.clone(),
            body: self.plain.body.clone(),
            deadline: end,
        }
    }

    async fn repeatable(&self, route: &Route) -> Result<Reply, Abort> {
        let called = self.dispatch(&self.job(true)).await?;
        self.bill(route, &called.upstream)
            .await
            .map_err(Abort::Refused)?;
        Ok(reply(called.answer))
    }

    /// Commits the usage record of the call; each call has exactly one.
    ///
    /// # Errors
    ///
    /// Neither the log nor peers accepted the record in time.
    pub async fn bill(&self, route: &Route, upstream: &name::Upstream) -> Result<(), Refusal> {
        let target = once::target(route);
        let step = usage::Step {
            target: target.clone(),
            upstream: upstream.clone(),
            tokens_in: Tokens(0),
            tokens_out: Tokens(0),
            cost: route.price,
        };
        self.call.bill(target, vec![step]).await
    }
}

impl Dispatch for Run<'_> {
    type Value = Answer;

    async fn dispatch(&self, choice: &Choice, limits: TryLimits) -> Result<Answer, Failure> {
        self.call
            .context
            .pool
            .call(choice.address, &self.body(limits.end))
            .await
    }
}

/// A call that an upstream answered.
#[derive(Debug)]
pub struct Called {
    /// The answer of the upstream.
    pub answer: Answer,
    /// The upstream that gave the answer.
    pub upstream: name::Upstream,
}

/// Converts an answer of an upstream into a reply to the caller.
pub fn reply(answer: Answer) -> Reply {
    Reply::Whole(Whole {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY),
        content_type: answer.content_type,
        headers: Vec::new(),
        body: answer.body,
    })
}

/// Returns a media type as text; empty if there is none.
pub fn media_type(value: Option<&HeaderValue>) -> &str {
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Returns whether an aborted job may have run.
pub fn ran(abort: &Abort) -> Ran {
    match abort {
        Abort::Stale => Ran::No,
        Abort::Refused(refusal) => refusal.ran,
    }
}
