//! Tries of one request: choice of an upstream, dispatch, and retries within the retry budget.

use crate::core::Core;
use crate::decider::UpstreamQuery;
use adoption::Snapshot;
use caller::Refusal;
use entity::request::{self, Ran};
use entity::unit::Bytes;
use entity::{Moment, Span, id, name};
use hyper::StatusCode;
use routing::demand::Demand;
use routing::{Choice, Outcome, Priority};
use std::sync::Arc;
use timeline::{Counter, EventBuilder, Kind};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use upstream::{Failure, Reason};

/// Largest number of tries of one request of the chat front, including the first.
pub const MAX_TRIES: u32 = 4;

/// A request for one version or plain service.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the request.
    pub id: request::Id,
    /// The configuration that the ids belong to.
    pub snapshot: Arc<Snapshot>,
    /// Service that the request is for.
    pub service: id::Service,
    /// Version that is to run the request; none for a plain service.
    pub version: Option<id::Version>,
    /// Organisation of the caller.
    pub organisation: id::Organisation,
    /// Size of the prompt or body, in bytes.
    pub prompt: Bytes,
    /// Hash of the prompt's prefix.
    pub prefix: Option<u64>,
    /// Estimated load on an engine; none where only the size of the prompt or body is known.
    pub demand: Option<Demand>,
    /// Regions that the request may be sent to, sorted; none if it may go to all.
    pub regions: Option<Box<[name::Region]>>,
    /// Priority in the wait queues.
    pub priority: Priority,
    /// Deadline of the whole answer.
    pub deadline: Moment,
    /// Whether another try may follow one that may have run.
    pub repeatable: bool,
    /// Largest number of tries that may run the request.
    pub max_runs: u32,
    /// Largest number of tries of the request, including those that an upstream refuses.
    pub max_tries: u32,
    /// Token that is cancelled when the caller has disconnected and the request is to be stopped.
    pub cancellation: CancellationToken,
    /// Whether retries count against the bound on repeats of the service instead of the retry
    /// budget.
    pub uses_service_bound: bool,
}

/// The outcomes of the tries of a request so far.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Upstreams that were tried.
    excluded: Vec<name::Upstream>,
    /// Number of tries that may have run.
    runs: u32,
    /// Number of tries that certainly did not run.
    not_run: u32,
    /// Failure of the last failed try.
    last_failure: Option<Failure>,
    /// Whether an answer was dropped in favour of an escalation to a better model.
    dropped: bool,
}

impl History {
    /// Returns whether the request may have run.
    pub fn ran(&self) -> Ran {
        if self.runs > 0 { Ran::Maybe } else { Ran::No }
    }

    /// Returns the number of tries.
    pub fn tries(&self) -> u32 {
        self.runs + self.not_run
    }

    /// Records a run whose answer broke off after it had begun.
    pub fn count_broken(&mut self, upstream: name::Upstream) {
        self.runs += 1;
        self.excluded.push(upstream);
    }

    /// Records a run whose answer was dropped in favour of an escalation to a better model. Its
    /// upstream is not excluded, as it may run the escalation too.
    pub fn count_dropped(&mut self) {
        self.runs += 1;
        self.dropped = true;
    }

    /// Returns whether an answer was dropped in favour of an escalation to a better model.
    pub fn has_dropped_answer(&self) -> bool {
        self.dropped
    }

    /// Returns whether the limit on runs alone allows two more runs.
    pub fn allows_two_more_runs(&self, max_runs: u32) -> bool {
        self.runs + 2 <= max_runs
    }

    fn record_failure(&mut self, upstream: name::Upstream, failure: Failure) {
        self.excluded.push(upstream);
        match failure.ran {
            Ran::No => self.not_run += 1,
            Ran::Maybe => self.runs += 1,
        }
        self.last_failure = Some(failure);
    }

    /// Returns whether another try of a job is allowed.
    pub fn can_try(&self, job: &Job) -> bool {
        let again = job.repeatable || self.runs == 0;
        again && self.runs < job.max_runs && self.tries() < job.max_tries
    }
}

/// The reason why a job was aborted.
#[derive(Debug)]
pub enum Abort {
    /// The configuration changed before a try was sent: the request has to be resolved again.
    Stale,
    /// The caller gets a refusal.
    Refused(Refusal),
}

/// A try that an upstream accepted.
#[derive(Debug)]
pub struct Accepted<T> {
    /// Result of the dispatch.
    pub value: T,
    /// The chosen upstream; the choice must be finished.
    pub choice: Choice,
    /// Time at which the request was sent.
    pub sent: Instant,
}

impl Job {
    /// Returns the query for the decider.
    pub fn upstream_query(&self, excluded: &[name::Upstream]) -> UpstreamQuery {
        UpstreamQuery {
            generation: self.snapshot.generation,
            service: self.service,
            version: self.version,
            organisation: self.organisation,
            prompt: self.prompt,
            prefix: self.prefix,
            demand: self.demand,
            priority: self.priority,
            excluded: excluded.to_vec(),
            regions: self.regions.clone(),
            deadline: self.deadline,
            is_repeatable: self.repeatable,
        }
    }

    /// Returns whether the configuration in force permits the dispatch to an upstream. It is
    /// checked right before the first byte is sent, since the decider's state may be outdated by
    /// then.
    fn is_permitted(&self, core: &Core, upstream: &name::Upstream) -> bool {
        let Some(now) = core.snapshot() else {
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
        allowed && config.is_in_service(upstream)
    }
}

/// The limits of one try.
#[derive(Clone, Copy, Debug)]
pub struct TryLimits {
    /// Time by which the try must have ended.
    pub end: Instant,
    /// Whether no other try can follow, so that the try may take until the request deadline.
    pub last: bool,
}

/// An operation that sends a request to one upstream.
pub trait Dispatch: Sync {
    /// Result of a request that the upstream accepts.
    type Value: Send;

    /// Returns whether the request may still be sent at all.
    ///
    /// # Errors
    ///
    /// Returns the refusal for its caller if it may not.
    fn check(&self) -> Result<(), Refusal> {
        Ok(())
    }

    /// Waits until something is learned by which the request may not be sent any more, and returns the refusal for its caller.
    fn wait_for_hold(&self) -> impl Future<Output = Refusal> + Send {
        std::future::pending()
    }

    /// Waits until the state that choices go by is recent enough to dispatch by.
    fn wait_for_state(&self) -> impl Future<Output = ()> + Send {
        std::future::ready(())
    }

    /// Returns whether the upstream of a choice still wants requests. It may have said otherwise in an
    /// answer since the choice was made.
    fn is_wanted(&self, _choice: &Choice) -> bool {
        true
    }

    /// Sends the request to the upstream of a choice.
    fn dispatch(
        &self,
        choice: &Choice,
        limits: TryLimits,
    ) -> impl Future<Output = Result<Self::Value, Failure>> + Send;
}

/// Dispatches a job until an upstream accepts it.
///
/// # Errors
///
/// The configuration changed, or no upstream accepted the job.
pub async fn run<D: Dispatch>(
    core: &Core,
    job: &Job,
    dispatch: &D,
) -> Result<Accepted<D::Value>, Abort> {
    let mut history = History::default();
    match resume(core, job, &mut history, dispatch).await {
        // A request that may have run isn't resolved again, since it would then count as not run.
        Err(Abort::Stale) if history.ran() == Ran::Maybe => Err(Abort::Refused(changed_refusal())),
        ended => ended,
    }
}

/// Dispatches a job until an upstream accepts it, continuing after the tries in `history`.
///
/// # Errors
///
/// The configuration changed, in which case the request can be resolved again and resumed with its
/// history; or no upstream accepted the job.
pub async fn resume<D: Dispatch>(
    core: &Core,
    job: &Job,
    history: &mut History,
    dispatch: &D,
) -> Result<Accepted<D::Value>, Abort> {
    resume_with(core, job, history, dispatch, None).await
}

/// Dispatches a job like [`resume`], the first time to an upstream that was chosen before.
///
/// # Errors
///
/// See [`resume`].
pub async fn resume_with<D: Dispatch>(
    core: &Core,
    job: &Job,
    history: &mut History,
    dispatch: &D,
    mut chosen: Option<Choice>,
) -> Result<Accepted<D::Value>, Abort> {
    let held = |refusal: Refusal, ran| {
        let ran = refusal.ran.max(ran);
        Abort::Refused(Refusal { ran, ..refusal })
    };
    while history.can_try(job) {
        if let Err(refusal) = dispatch.check() {
            if let Some(choice) = chosen.take() {
                core.decider.finish(choice, Outcome::Cancelled).await;
            }
            return Err(held(refusal, history.ran()));
        }
        let choice = match chosen.take() {
            Some(choice) => choice,
            None => tokio::select! {
                biased;
                chosen = choose(core, job, history) => chosen?,
                refusal = dispatch.wait_for_hold() => return Err(held(refusal, history.ran())),
            },
        };
        dispatch.wait_for_state().await;
        if let Err(refusal) = dispatch.check() {
            core.decider.finish(choice, Outcome::Cancelled).await;
            return Err(held(refusal, history.ran()));
        }
        if core.clock.now().since(choice.chosen_at) > core.slack {
            // The process was paused: the chosen slot may belong to another instance by now.
            core.decider.finish(choice, Outcome::Cancelled).await;
            continue;
        }
        if !dispatch.is_wanted(&choice) {
            core.decider.finish(choice, Outcome::Cancelled).await;
            continue;
        }
        if !job.is_permitted(core, &choice.upstream) {
            core.decider.finish(choice, Outcome::Cancelled).await;
            return Err(Abort::Stale);
        }
        record_sent(core, job, &choice, history);
        let sent = Instant::now();
        let limits = TryLimits {
            end: core.clock.instant(choice.end.min(job.deadline)),
            last: !job.repeatable || !history.allows_two_more_runs(job.max_runs),
        };
        let dispatched = tokio::select! {
            biased;
            dispatched = dispatch.dispatch(&choice, limits) => dispatched,
            () = job.cancellation.cancelled() => {
                core.decider.finish(choice, Outcome::Cancelled).await;
                return Err(Abort::Refused(disconnected_refusal()));
            }
            // A prompt that waits at an upstream would end it as well.
            refusal = dispatch.wait_for_hold() => {
                core.decider.finish(choice, Outcome::Cancelled).await;
                return Err(held(refusal, Ran::Maybe));
            }
        };
        let failure = match dispatched {
            Ok(value) => {
                return Ok(Accepted {
                    value,
                    choice,
                    sent,
                });
            }
            Err(failure) => failure,
        };
        record_failed_try(core, job, &choice, &failure);
        let arrived = failure.reason != Reason::Connect;
        history.record_failure(choice.upstream.clone(), failure.clone());
        core.decider.finish(choice, outcome(&failure)).await;
        if !history.can_try(job) {
            break;
        }
        let Some(delay) = retry_delay(core, job, history, arrived).await? else {
            break;
        };
        tokio::time::sleep(delay.duration()).await;
    }
    Err(Abort::Refused(exhausted_refusal(history)))
}

/// Records a try, with the evidence for its room at the upstream where it is borrowed.
fn record_room(core: &Core, draft: EventBuilder<'_>, choice: &Choice) {
    let Some(coverage) = choice.lent else {
        draft.record();
        return;
    };
    core.metric.count(Counter::LentRoom);
    draft
        .count("lent_by_heard", coverage.heard as u64)
        .count("of_peers", coverage.known as u64)
        .record();
}

/// Returns the refusal of a request that can't be tried again.
fn exhausted_refusal(history: &History) -> Refusal {
    match &history.last_failure {
        Some(failure) => refuse(failure, history.ran()),
        None => {
            let message = "no upstream gave a whole answer";
            let refusal = Refusal::not_run(StatusCode::BAD_GATEWAY, "upstream-failed", message);
            Refusal {
                ran: history.ran(),
                ..refusal.with_retry_after(Span::from_secs(1))
            }
        }
    }
}

/// Chooses an upstream for the next try of a job, and waits for a place where none is free. The choice must be
/// finished.
///
/// # Errors
///
/// The configuration changed, or the balancer refuses the job.
pub async fn choose(core: &Core, job: &Job, history: &History) -> Result<Choice, Abort> {
    let ran = history.ran();
    let chosen = tokio::select! {
        biased;
        chosen = core.decider.choose(job.upstream_query(&history.excluded)) => chosen,
        () = job.cancellation.cancelled() => return Err(Abort::Refused(disconnected_refusal())),
    };
    let chosen = chosen.map_err(|_| Abort::Refused(closing(ran)))?;
    let refusal = match chosen {
        Ok(choice) => return Ok(choice),
        Err(refusal) => refusal,
    };
    if refusal.reason == routing::Reason::Generation {
        return Err(Abort::Stale);
    }
    // After a failed try, its failure is reported rather than the lack of another upstream.
    let refused = match &history.last_failure {
        Some(failure) => refuse(failure, ran),
        None => no_upstream_refusal(&refusal),
    };
    Err(Abort::Refused(Refusal { ran, ..refused }))
}

/// Returns the delay before another try; none if no other try is allowed. A try that reached no
/// upstream puts no load on any, and doesn't count against the budget.
///
/// # Errors
///
/// The instance is shutting down.
pub async fn retry_delay(
    core: &Core,
    job: &Job,
    history: &History,
    arrived: bool,
) -> Result<Option<Span>, Abort> {
    let closed = |_| Abort::Refused(closing(history.ran()));
    let delay = if job.uses_service_bound {
        let service = job.snapshot.config.services[job.service].name.clone();
        let allowed = !arrived || core.decider.try_repeat(service, 0).await.map_err(closed)?;
        allowed.then_some(Span::ZERO)
    } else {
        let retry = history.tries().saturating_sub(1);
        core.decider
            .schedule_retry(retry, job.deadline)
            .await
            .map_err(closed)?
    };
    if delay.is_some() {
        core.metric.count(Counter::Retries);
        core.recorder.event(Kind::Retried).request(job.id).record();
    }
    Ok(delay)
}

/// Records the dispatch of a job.
fn record_sent(core: &Core, job: &Job, choice: &Choice, history: &History) {
    let draft = core.recorder.event(Kind::Sent).request(job.id);
    let draft = match (choice.ahead, choice.expected) {
        (Some(ahead), Some(expected)) => draft
            .count("ahead", ahead as u64)
            .text("expected", expected),
        _ => draft,
    };
    let draft = draft
        .text("upstream", &choice.upstream)
        .count("try", u64::from(history.tries()))
        .count("generation", job.snapshot.generation.0);
    record_room(core, draft, choice);
}

fn record_failed_try(core: &Core, job: &Job, choice: &Choice, failure: &Failure) {
    let kind = match failure.reason {
        Reason::WrongId => Kind::Discarded,
        _ => Kind::Failed,
    };
    let draft = core.recorder.event(kind).request(job.id);
    draft
        .text("upstream", &choice.upstream)
        .text("failure", failure)
        .record();
}

/// Converts a failure into the outcome that is recorded for its upstream.
pub fn outcome(failure: &Failure) -> Outcome {
    match failure.reason {
        Reason::Refused => Outcome::Refused,
        Reason::Connect => Outcome::Unreachable,
        _ => Outcome::Failed,
    }
}

/// Returns the refusal of a request whose caller has gone.
fn disconnected_refusal() -> Refusal {
    let message = "the caller has gone";
    Refusal::may_have_run(StatusCode::BAD_GATEWAY, "gone", message)
}

/// Returns the refusal of an instance that is shutting down.
pub fn closing(ran: Ran) -> Refusal {
    let message = "this instance is being shut down; another one serves";
    let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "closing", message);
    Refusal {
        ran,
        ..refusal.with_retry_after(Span::from_secs(1))
    }
}

/// Returns the refusal of a request that may have run before the configuration changed.
fn changed_refusal() -> Refusal {
    let message = "the configuration changed while the request was tried";
    Refusal::may_have_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "configuration-changed",
        message,
    )
    .with_retry_after(Span::from_secs(1))
}

/// Converts a refusal of the balancer into one for the caller.
fn no_upstream_refusal(refusal: &routing::Refusal) -> Refusal {
    use routing::Reason as Why;
    let (status, code) = match refusal.reason {
        Why::NoUpstream | Why::NotServed | Why::Region => {
            (StatusCode::SERVICE_UNAVAILABLE, "no-upstream")
        }
        Why::NotAllowed => (StatusCode::FORBIDDEN, "not-allowed"),
        Why::Withdrawn => (StatusCode::GONE, "version-withdrawn"),
        Why::Deadline => (StatusCode::GATEWAY_TIMEOUT, "timed-out"),
        Why::ZoneOut | Why::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "upstreams-out"),
        Why::Cold => (StatusCode::SERVICE_UNAVAILABLE, "upstreams-cold"),
        Why::Resting => (StatusCode::SERVICE_UNAVAILABLE, "upstreams-resting"),
        Why::Limited => (StatusCode::SERVICE_UNAVAILABLE, "upstreams-limited"),
        Why::Failing | Why::Excluded => (StatusCode::BAD_GATEWAY, "upstream-failed"),
        Why::Full => (StatusCode::TOO_MANY_REQUESTS, "overloaded"),
        Why::Late => (StatusCode::TOO_MANY_REQUESTS, "late"),
        Why::Generation => (StatusCode::SERVICE_UNAVAILABLE, "configuration-changed"),
        Why::Closing => (StatusCode::SERVICE_UNAVAILABLE, "closing"),
    };
    let refused = Refusal::not_run(status, code, refusal.reason.to_string());
    match refusal.retry_after {
        Some(span) => refused.with_retry_after(span),
        None => refused,
    }
}

/// Returns the refusal after the last try failed; `ran` covers all tries.
pub fn refuse(failure: &Failure, ran: Ran) -> Refusal {
    let (status, code) = match failure.reason {
        Reason::Timeout => (StatusCode::GATEWAY_TIMEOUT, "timed-out"),
        Reason::Refused => (StatusCode::SERVICE_UNAVAILABLE, "upstream-refused"),
        Reason::Connect | Reason::ConnectionLost => (StatusCode::BAD_GATEWAY, "upstream-lost"),
        Reason::WrongId => (StatusCode::BAD_GATEWAY, "answer-crossed"),
        Reason::Truncated | Reason::Malformed => (StatusCode::BAD_GATEWAY, "answer-incomplete"),
        Reason::Status(_) => (StatusCode::BAD_GATEWAY, "upstream-failed"),
    };
    let refusal = Refusal::not_run(status, code, failure.reason.to_string());
    let wait = failure.retry_after.unwrap_or(Span::from_secs(1));
    Refusal {
        ran,
        ..refusal.with_retry_after(wait)
    }
}
