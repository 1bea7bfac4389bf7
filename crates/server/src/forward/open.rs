//! Sends a request to one upstream, up to the point from which it can't be tried again unseen.

use crate::core::Core;
use crate::decider::Closed;
use crate::forward::run::{Resolved, Run};
use crate::tries::{Dispatch, TryLimits};
use bytes::Bytes;
use caller::forward::{Content, Passed};
use config::Forward;
use entity::{Span, name};
use forward::dialect::Order;
use forward::events::Splitter;
use forward::head::Request;
use forward::hop;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use quality::governor::{Observation, Governor};
use quality::release;
use routing::{Choice, hash};
use std::sync::Mutex;
use timeline::Kind;
use tokio::time::Instant;
use upstream::forward::{Answered, Sending};
use upstream::{Failure, Reason};

/// The least urgent priority that a request may be sent with.
const LEAST_URGENT: u8 = 9;
/// Repeats that are left to tries after failures when a better model is asked.
const RETRY_RESERVE: u32 = 4;

/// A request as it is sent to an upstream.
pub struct Open<'a> {
    /// The request.
    pub run: &'a Run,
    /// What it was resolved to.
    pub resolved: &'a Resolved,
    /// The model that the router picked.
    pub model: Option<&'a name::Model>,
    /// When the answer is dropped for one of a better model; none where it is taken as it is.
    pub doubt: Option<Doubt<'a>>,
    /// How long the first event, or the whole answer, is waited for while another try can follow.
    pub time_budget: Patience,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// The last failed answer, which is passed on where no try gives a better one.
    pub failed: Mutex<Option<Passed>>,
}

/// When an answer is dropped for one of a better model.
#[derive(Clone, Copy, Debug)]
pub struct Doubt<'a> {
    /// Confidence below which it is dropped while engines are free.
    pub below: u8,
    /// Whether nobody waits for it, so that it gives way to others.
    pub background: bool,
    /// The better model.
    pub better: &'a name::Model,
}

/// How long the first event, or the whole answer, of one try is waited for.
#[derive(Clone, Debug)]
pub enum Patience {
    /// As long as the caller waits.
    Caller,
    /// So long.
    Fixed(Span),
    /// By the load of the engines.
    Load(Governor),
}

/// What an upstream gave.
#[derive(Debug)]
pub enum Opened {
    /// A whole answer.
    Whole(Passed),
    /// A stream of which the first events are here.
    Stream(Box<Begun>),
    /// The model doubts its answer, which was dropped.
    Doubtful,
}

/// A stream that has begun.
#[derive(Debug)]
pub struct Begun {
    /// The answer, whose body goes on.
    pub answered: Answered,
    /// The first events.
    pub first: Bytes,
    /// What arrived of the next event.
    pub splitter: Splitter,
    /// Whether the body has ended.
    pub ended: bool,
}

impl Open<'_> {
    fn core(&self) -> &Core {
        &self.run.shared.core
    }

    fn route(&self) -> &Forward {
        &self.resolved.route
    }

    fn request(&self) -> &Request {
        &self.run.arrival.request
    }

    fn sending<'a>(
        &'a self,
        choice: &'a Choice,
        incarnation: &'a str,
        end: Instant,
    ) -> Sending<'a> {
        let left = Span::from(end.saturating_duration_since(Instant::now()));
        Sending {
            address: choice.address,
            head: &self.request().head,
            body: &self.request().body,
            order: Order {
                incarnation,
                organisation: self.resolved.payer.as_ref().map(name::Organisation::as_str),
                time_budget: Some(left),
                model: self.model.map(name::Model::as_str),
                last_event: self.last_event,
                urgency: Some(self.route().priority.min(LEAST_URGENT)),
            },
            reuse: self.route().repeat.repeatable(),
            end,
        }
    }

    async fn whole(&self, answered: Answered, end: Instant) -> Result<Opened, Failure> {
        let status = answered.status;
        let headers = passed_headers(&answered.headers);
        let body = answered.collect(end).await?;
        let passed = Passed {
            status,
            headers,
            body: Content::Whole(body),
        };
        // A failed answer is worth another try where there may be one.
        if self.route().repeat.repeatable() && status.is_server_error() {
            *self.failed.lock().expect("no holder of this lock panics") = Some(passed);
            return Err(Failure::maybe(Reason::Status(status.as_u16())));
        }
        Ok(Opened::Whole(passed))
    }

    /// Whether the answer is dropped for one of a better model, which is a repeat for the service.
    async fn is_doubtful(&self, confidence: Option<u8>) -> bool {
        let (Some(doubt), Some(confidence)) = (&self.doubt, confidence) else {
            return false;
        };
        if confidence >= doubt.below {
            return false;
        }
        // A decider that has ended leaves the answer as it is.
        self.escalates(doubt, confidence).await.unwrap_or(false)
    }

    /// Whether the engines have the time for a better answer, and the bound on repeats allows it.
    async fn escalates(&self, doubt: &Doubt<'_>, confidence: u8) -> Result<bool, Closed> {
        let decider = &self.core().decider;
        let service = self.resolved.service_name();
        let governor = decider.governor(service.clone()).await?;
        let better = self.run.job(self.resolved, Some(doubt.better)).upstream_query(&[]);
        let ahead = match decider.least_pending_work(better).await? {
            Ok(ahead) => ahead,
            // The configuration has just changed: the level alone decides.
            Err(refusal) if refusal.reason == routing::Reason::Generation => 0.0,
            Err(_) => f64::INFINITY,
        };
        let objective = self.route().objective.as_secs_f64().max(1e-3);
        let wait = governor.expected_delay(ahead);
        let share = wait.as_secs_f64() / objective;
        let threshold = governor.threshold(doubt.below, doubt.background, share);
        let escalates =
            confidence < threshold && decider.repeat(service.clone(), RETRY_RESERVE).await?;
        let kind = if escalates {
            Kind::Escalated
        } else {
            Kind::Accepted
        };
        let draft = self.core().recorder.event(kind).request(self.run.id);
        draft
            .count("confidence", u64::from(confidence))
            .count("threshold", u64::from(threshold))
            .count("level", (governor.level() * 100.0) as u64)
            .text("expected", wait)
            .record();
        Ok(escalates)
    }

    /// When a try is given up on that began now.
    fn patient(&self, choice: &Choice, turn: TryLimits) -> Instant {
        let time_budget = match &self.time_budget {
            Patience::Caller => return turn.end,
            Patience::Fixed(span) => *span,
            Patience::Load(governor) => {
                let smallest_model = self.doubt.is_some();
                governor.time_budget(self.route().objective, smallest_model, choice.ahead)
            }
        };
        if turn.last {
            return turn.end;
        }
        turn.end.min(Instant::now() + time_budget.duration())
    }

    async fn stream(&self, mut answered: Answered, end: Instant) -> Result<Opened, Failure> {
        if self.is_doubtful(answered.head.confidence).await {
            return Ok(Opened::Doubtful);
        }
        let mut splitter = Splitter::default();
        loop {
            let piece = tokio::time::timeout_at(end, answered.next()).await;
            let piece = piece.map_err(|_| Failure::maybe(Reason::Timeout))??;
            let ended = piece.is_none();
            let first = splitter.push(&piece.unwrap_or_default());
            if first.is_none() && !ended {
                continue;
            }
            if ended && !splitter.is_empty() {
                return Err(Failure::maybe(Reason::Early));
            }
            return Ok(Opened::Stream(Box::new(Begun {
                answered,
                first: first.unwrap_or_default(),
                splitter,
                ended,
            })));
        }
    }

    /// Counts what the release answered. A connection that fails says nothing about a release.
    async fn note(&self, choice: &Choice, opened: &Result<Opened, Failure>, time: Span) {
        let (service, version, _) = choice.names();
        let Some(version) = version else {
            return;
        };
        let (failed, time) = match opened {
            Ok(Opened::Whole(passed)) => (passed.status.is_server_error(), Some(time)),
            Ok(Opened::Stream(_)) => (false, Some(time)),
            Ok(Opened::Doubtful) => (false, Some(time)),
            Err(failure) => match failure.reason {
                Reason::Status(_) => (true, None),
                Reason::Timeout => (false, Some(time)),
                _ => return,
            },
        };
        let decider = &self.core().decider;
        if let (Some(time), true) = (time, self.route().repeat.streams()) {
            let first = Observation {
                time,
                objective: self.route().objective,
                ahead: choice.ahead,
                smallest_model: self.doubt.is_some(),
                arrived: opened.is_ok(),
            };
            decider.first_event(service.clone(), first).await;
        }
        let model = self.model.map_or(0, |model| hash::text(model.as_str()));
        let noted = release::AnswerOutcome {
            kind: hash::part(hash::text(&self.route().name), model),
            failed,
            time,
        };
        decider
            .answered(service.clone(), version.clone(), noted)
            .await;
    }
}

impl Dispatch for Open<'_> {
    type Value = Opened;

    async fn dispatch(&self, choice: &Choice, turn: TryLimits) -> Result<Opened, Failure> {
        // An upstream that registered itself is addressed by its incarnation, so that another one
        // which was given its address refuses the request.
        let incarnation = choice.upstream.as_str();
        let sending = self.sending(choice, incarnation, turn.end);
        let sent = Instant::now();
        let patient = self.patient(choice, turn);
        let sending = Sending {
            end: patient,
            ..sending
        };
        let opened = match self.run.shared.pool.send(&sending).await {
            Ok(answered) if self.route().repeat.streams() && answered.status.is_success() => {
                self.stream(answered, patient).await
            }
            Ok(answered) => self.whole(answered, patient).await,
            Err(failure) => Err(failure),
        };
        self.note(choice, &opened, Span::from(sent.elapsed())).await;
        if matches!(opened, Ok(Opened::Stream(_))) {
            self.core().decider.record_first_event(choice).await;
        }
        opened
    }
}

/// The headers of an answer without those of its connection.
pub fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    hop::strip(&mut passed, &[]);
    passed
}

/// Whether a status of the router's own promises that the request did not run and never will.
pub fn promises(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
