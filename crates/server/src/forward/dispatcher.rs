//! Sends a request to one upstream, up to the first bytes of the answer that the caller receives.
//!
//! Until then the request can be retried without the caller noticing.

use crate::core::Core;
use crate::decider::Closed;
use crate::forward::aftermath;
use crate::forward::key_validity::boot_time;
use crate::forward::run::{self, Resolved, Run};
use crate::tries::{Dispatch, TryLimits};
use bytes::Bytes;
use caller::Refusal;
use caller::forward::{Content, Forwarded};
use config::Forward;
use entity::{Moment, Span, name};
use forward::Followed;
use forward::dialect::Order;
use forward::events::Splitter;
use forward::head::Request;
use forward::hop;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use quality::governor::{Governor, Observation};
use quality::release;
use quality::trial::Measure;
use quarantine::Progress;
use routing::Choice;
use routing::allowance::ESCALATION_RESERVE;
use routing::urgency;
use std::sync::Mutex;
use timeline::Kind;
use tokio::time::Instant;
use upstream::forward::{IncomingAnswer, Notice, UpstreamRequest};
use upstream::{Failure, Reason};

/// Least urgent priority that is sent to an upstream.
const LEAST_URGENT_PRIORITY: u8 = 9;

/// Sends one request to the upstreams that are chosen for it.
pub struct Dispatcher<'a> {
    /// The request.
    pub run: &'a Run,
    /// Route, organisation and service of the request.
    pub resolved: &'a Resolved,
    /// Model chosen by the router, if any.
    pub model: Option<&'a name::Model>,
    /// Escalation to a better model; `None` where the answer is accepted whatever its confidence.
    pub escalation: Option<Escalation<'a>>,
    /// Timeout for the first event, or for the whole answer, while another try can follow.
    pub try_timeout: TryTimeout,
    /// Id of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Last answer with an error status, which is passed on if no try gives a better one.
    pub failed: Mutex<Option<Forwarded>>,
}

/// Conditions under which an answer is dropped and a better model is asked.
#[derive(Clone, Copy, Debug)]
pub struct Escalation<'a> {
    /// Confidence threshold below which an answer is dropped while engines have spare capacity.
    pub threshold: u8,
    /// Whether the request is background work, which yields to other requests.
    pub background: bool,
    /// Model that is asked instead.
    pub better: &'a name::Model,
}

/// Timeout of one try, up to the first event or the whole answer.
#[derive(Clone, Debug)]
pub enum TryTimeout {
    /// The request deadline.
    Caller,
    /// A fixed time.
    Fixed(Span),
    /// A time that depends on the load of the engines.
    Load(Governor),
}

/// Result of a try that an upstream answered.
#[derive(Debug)]
pub enum Answer {
    /// A complete answer.
    Whole(Forwarded),
    /// A stream whose first events have arrived.
    Stream(Box<OpenStream>),
    /// An answer that was dropped because its confidence is below the threshold.
    BelowThreshold,
}

/// A stream that has begun.
#[derive(Debug)]
pub struct OpenStream {
    /// Answer of the upstream, whose body is still being read.
    pub response: IncomingAnswer,
    /// Time at which its head arrived.
    pub begun: Instant,
    /// Whether it has gone on for long enough to show that the prompt is sound.
    pub is_sound: bool,
    /// First events, not yet sent to the caller.
    pub first: Bytes,
    /// Splits the body into events, and holds the incomplete one.
    pub splitter: Splitter,
    /// Whether the body has ended.
    pub ended: bool,
}

impl Dispatcher<'_> {
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
    ) -> UpstreamRequest<'a> {
        let left = Span::from(end.saturating_duration_since(Instant::now()));
        UpstreamRequest {
            address: choice.address,
            head: &self.request().head,
            body: &self.request().body,
            order: Order {
                incarnation,
                organisation: self.resolved.payer.as_ref().map(name::Organisation::as_str),
                time_budget: Some(left),
                model: self.model.map(name::Model::as_str),
                last_event: self.last_event,
                urgency: Some(self.urgency()),
            },
            reuse: self.route().repeat.repeatable(),
            end,
        }
    }

    /// Returns the urgency of the request at its upstream.
    fn urgency(&self) -> u8 {
        let weight = self.resolved.weight(self.model);
        let size = self.request().head.size;
        let work = size.map(|size| weight * f64::from(size.prompt));
        urgency::of(self.route().priority, LEAST_URGENT_PRIORITY, work)
    }

    async fn read_whole(
        &self,
        choice: &Choice,
        response: IncomingAnswer,
        end: Instant,
    ) -> Result<Answer, Failure> {
        let status = response.status;
        let headers = end_to_end_headers(&response.headers);
        let (begun, watch) = (Instant::now(), response.watch());
        let body = response.collect(end).await?;
        aftermath::follow(self.run, choice, begun, watch);
        let forwarded = Forwarded {
            status,
            headers,
            body: Content::Whole(body),
        };
        // A failed answer is retried where the route allows it.
        if self.route().repeat.repeatable() && status.is_server_error() {
            *self.failed.lock().expect("the lock is never poisoned") = Some(forwarded);
            return Err(Failure::may_have_run(Reason::Status(status.as_u16())));
        }
        Ok(Answer::Whole(forwarded))
    }

    /// Returns whether the answer is dropped and a better model asked, which counts as a repeat for
    /// the service.
    async fn should_escalate(&self, confidence: Option<u8>) -> bool {
        let (Some(escalation), Some(confidence)) = (&self.escalation, confidence) else {
            return false;
        };
        if confidence >= escalation.threshold {
            return false;
        }
        // If the decider has ended, the answer is accepted.
        self.decide_escalation(escalation, confidence)
            .await
            .unwrap_or(false)
    }

    /// Returns whether the engines have capacity for a better answer and the bound on repeats
    /// allows it.
    async fn decide_escalation(
        &self,
        escalation: &Escalation<'_>,
        confidence: u8,
    ) -> Result<bool, Closed> {
        let decider = &self.core().decider;
        let service = self.resolved.service_name();
        let governor = decider.governor(service.clone()).await?;
        let better = self
            .run
            .job(self.resolved, Some(escalation.better))
            .upstream_query(&[]);
        let ahead = match decider.least_pending_work(better).await? {
            Ok(ahead) => ahead,
            // The configuration has just changed: only the governor's level is used.
            Err(refusal) if refusal.reason == routing::Reason::Generation => 0.0,
            Err(_) => f64::INFINITY,
        };
        let objective = self.route().objective.as_secs_f64().max(1e-3);
        let wait = governor.expected_delay(ahead);
        let share = wait.as_secs_f64() / objective;
        let threshold = governor.threshold(escalation.threshold, escalation.background, share);
        let escalates = confidence < threshold
            && decider
                .try_repeat(service.clone(), ESCALATION_RESERVE)
                .await?;
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

    /// Returns the deadline of a try that starts now.
    fn try_deadline(&self, choice: &Choice, limits: TryLimits) -> Instant {
        let timeout = match &self.try_timeout {
            TryTimeout::Caller => return limits.end,
            TryTimeout::Fixed(span) => *span,
            TryTimeout::Load(governor) => {
                let smallest_model = self.escalation.is_some();
                governor.first_event_timeout(self.route().objective, smallest_model, choice.ahead)
            }
        };
        if limits.last {
            return limits.end;
        }
        limits.end.min(Instant::now() + timeout.duration())
    }

    /// Reads an answer up to its first events. One that `is_droppable` may be dropped for a better one.
    async fn read_first_events(
        &self,
        mut response: IncomingAnswer,
        is_droppable: bool,
        end: Instant,
    ) -> Result<Answer, Failure> {
        let begun = Instant::now();
        if is_droppable && self.should_escalate(response.head.confidence).await {
            return Ok(Answer::BelowThreshold);
        }
        let mut splitter = Splitter::default();
        loop {
            let piece = tokio::time::timeout_at(end, response.next()).await;
            let piece = piece.map_err(|_| Failure::may_have_run(Reason::Timeout))??;
            let ended = piece.is_none();
            let first = splitter.push(&piece.unwrap_or_default());
            if splitter.is_oversized() {
                return Err(Failure::may_have_run(Reason::Malformed));
            }
            if first.is_none() && !ended {
                continue;
            }
            // A stream that was resumed may have had its last event before, if its end shows.
            let may_be_empty = self.last_event.is_some() && response.is_delimited();
            let is_missing = first.is_none() && !may_be_empty;
            if ended && (is_missing || !splitter.is_empty()) {
                return Err(Failure::may_have_run(Reason::Truncated));
            }
            return Ok(Answer::Stream(Box::new(OpenStream {
                response,
                begun,
                is_sound: false,
                first: first.unwrap_or_default(),
                splitter,
                ended,
            })));
        }
    }

    /// Records whether an upstream is still there.
    fn record_contact(
        &self,
        choice: &Choice,
        sent_to: &Result<IncomingAnswer, Failure>,
        is_misdirected: bool,
        sent_at: Moment,
    ) {
        let Some(incarnation) = choice.incarnation() else {
            return;
        };
        let (core, holds) = (self.core(), &self.run.shared.holds);
        let reason = sent_to.as_ref().err().map(|failure| failure.reason);
        match reason {
            Some(Reason::Connect) => holds.record_gone(core, &incarnation),
            Some(Reason::Refused) if is_misdirected => holds.record_gone(core, &incarnation),
            None | Some(Reason::Refused) => holds.record_alive(core, &incarnation, sent_at),
            Some(_) => {}
        }
    }

    /// Records a failure by which the upstream may have ended. `sent` is when the request was, and `begun`
    /// when the head of the answer arrived.
    fn record_lost(
        &self,
        choice: &Choice,
        answer: &Result<Answer, Failure>,
        (sent, begun): (Instant, Option<Instant>),
    ) {
        let Err(failure) = answer else {
            return;
        };
        if !failure.is_lost_answer() {
            return;
        }
        let progress = match begun {
            Some(begun) => Progress::Begun {
                since_head: Span::from(begun.elapsed()),
                delivered: false,
            },
            None => Progress::Waiting {
                since_sent: Span::from(sent.elapsed()),
                is_stream: self.route().repeat.streams(),
            },
        };
        self.run.record_lost_answer(choice, progress);
    }

    /// Records the result for the release that answered. Connection failures are not counted, since
    /// they are no evidence about a release.
    async fn record_result(&self, choice: &Choice, answer: &Result<Answer, Failure>, time: Span) {
        let (service, version, _) = choice.names();
        let Some(version) = version else {
            return;
        };
        let (failed, time) = match answer {
            Ok(Answer::Whole(forwarded)) => (forwarded.status.is_server_error(), Some(time)),
            Ok(Answer::Stream(_)) => (false, Some(time)),
            Ok(Answer::BelowThreshold) => (false, Some(time)),
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
                smallest_model: self.escalation.is_some(),
                arrived: answer.is_ok(),
            };
            decider.observe_first_event(service.clone(), first).await;
        }
        let outcome = release::AnswerOutcome {
            kind: run::request_kind(self.route(), self.model),
            failed,
            time,
            measure: Measure::Start,
        };
        decider
            .record_answer(service.clone(), version.clone(), outcome)
            .await;
    }
}

impl Dispatch for Dispatcher<'_> {
    type Value = Answer;

    async fn wait_for_state(&self) {
        let freshness = &self.run.shared.freshness;
        if freshness.allows_dispatch(Followed::Upstreams) {
            return;
        }
        let age = freshness.age(Followed::Upstreams, boot_time());
        let draft = self
            .core()
            .recorder
            .event(Kind::Queued)
            .request(self.run.id);
        draft
            .text("why", "the state of the upstreams is old")
            .text("age", age.unwrap_or_default())
            .record();
        freshness.wait_for_dispatch(Followed::Upstreams).await;
    }

    fn check(&self) -> Result<(), Refusal> {
        let shared = &self.run.shared;
        shared.holds.check(&shared.core, self.run.subject())
    }

    async fn wait_for_hold(&self) -> Refusal {
        let shared = &self.run.shared;
        let subject = self.run.subject();
        shared.holds.wait_for_hold(&shared.core, subject).await
    }

    fn is_wanted(&self, choice: &Choice) -> bool {
        let shared = &self.run.shared;
        shared.notices.is_wanted(&shared.core, choice)
    }

    async fn dispatch(&self, choice: &Choice, limits: TryLimits) -> Result<Answer, Failure> {
        // An upstream that registered itself is addressed by its incarnation, so that another one
        // that reuses the address refuses the request.
        let incarnation = choice.upstream.as_str();
        let sending = self.sending(choice, incarnation, limits.end);
        let sent = Instant::now();
        let sent_at = self.core().clock.now();
        let try_deadline = self.try_deadline(choice, limits);
        let sending = UpstreamRequest {
            end: try_deadline,
            ..sending
        };
        let shared = &self.run.shared;
        let subject = self.run.subject();
        let is_suspected = shared.holds.record_dispatch(&shared.core, subject);
        let mut notice = Notice::default();
        let sent_to = self.run.shared.pool.send(&sending, &mut notice).await;
        let names_limit = notice.limit.is_some();
        self.record_contact(choice, &sent_to, notice.misdirected, sent_at);
        if notice != Notice::default() {
            self.run.shared.record_notice(choice, notice).await;
        }
        if sent_to.is_ok() && !names_limit {
            shared.record_no_limit(choice, sent_at).await;
        }
        let begun = sent_to.is_ok().then(Instant::now);
        let answer = match sent_to {
            Ok(response) if self.route().repeat.streams() && response.status.is_success() => {
                let is_droppable = !is_suspected;
                self.read_first_events(response, is_droppable, try_deadline)
                    .await
            }
            Ok(response) => self.read_whole(choice, response, try_deadline).await,
            Err(failure) => Err(failure),
        };
        self.record_lost(choice, &answer, (sent, begun));
        self.record_result(choice, &answer, Span::from(sent.elapsed()))
            .await;
        if matches!(answer, Ok(Answer::Stream(_))) {
            if let Some(expected) = choice.expected {
                let route = &self.route().name;
                let seen = Span::from(sent.elapsed());
                self.core().metric.time_against(route, seen, expected);
            }
            self.core().decider.record_first_event(choice).await;
        }
        answer
    }
}

/// Returns the end-to-end headers of an answer, without those of its connection.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    hop::strip(&mut forwarded, &[]);
    forwarded
}

/// Returns whether a status that the router sends itself promises that the request did not run and
/// never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
