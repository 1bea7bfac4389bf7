//! Sends a request to one upstream, up to the point from which it can't be tried again unseen.

use crate::forward::front::Shared;
use crate::tries::{Dispatch, Turn};
use bytes::Bytes;
use caller::forward::{Content, Passed};
use config::Forward;
use entity::Span;
use entity::name;
use forward::dialect::Order;
use forward::events::Splitter;
use forward::head::Request;
use forward::hop;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use quality::release;
use routing::{Choice, hash};
use std::sync::Mutex;
use tokio::time::Instant;
use upstream::forward::{Answered, Sending};
use upstream::{Failure, Reason};

/// Repeats that are left to tries after failures when a better model is asked.
const RETRY_RESERVE: u32 = 4;

/// A request as it is sent to an upstream.
pub struct Open<'a> {
    /// What the instance shares.
    pub shared: &'a Shared,
    /// The request.
    pub request: &'a Request,
    /// Its route.
    pub route: &'a Forward,
    /// The service that runs it.
    pub service: name::Service,
    /// Who pays for it; none where the route is open to anybody.
    pub organisation: Option<&'a name::Organisation>,
    /// The model that the router picked.
    pub model: Option<&'a name::Model>,
    /// Confidence below which the answer of the model is dropped for one of a better model.
    pub threshold: Option<u8>,
    /// How long the first event, or the whole answer, is waited for; none to wait as long as the
    /// caller does.
    pub patience: Option<Span>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// How urgent it is.
    pub urgency: u8,
    /// Whether a failed answer is worth another try, so that it is not taken at once.
    pub picky: bool,
    /// The last failed answer, which is passed on where no try gives a better one.
    pub failed: Mutex<Option<Passed>>,
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
    fn sending<'a>(
        &'a self,
        choice: &'a Choice,
        incarnation: &'a str,
        end: Instant,
    ) -> Sending<'a> {
        let left = Span::from(end.saturating_duration_since(Instant::now()));
        Sending {
            address: choice.address,
            head: &self.request.head,
            body: &self.request.body,
            order: Order {
                incarnation,
                organisation: self.organisation.map(name::Organisation::as_str),
                patience: Some(left),
                model: self.model.map(name::Model::as_str),
                last_event: self.last_event,
                urgency: Some(self.urgency),
            },
            reuse: self.route.repeat.repeatable(),
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
        if self.picky && status.is_server_error() {
            *self.failed.lock().expect("no holder of this lock panics") = Some(passed);
            return Err(Failure::maybe(Reason::Status(status.as_u16())));
        }
        Ok(Opened::Whole(passed))
    }

    /// Whether the answer is dropped for one of a better model, which is a repeat for the service.
    async fn is_doubtful(&self, confidence: Option<u8>) -> bool {
        let (Some(threshold), Some(confidence)) = (self.threshold, confidence) else {
            return false;
        };
        if confidence >= threshold {
            return false;
        }
        let decider = &self.shared.core.decider;
        let allowed = decider.repeat(self.service.clone(), RETRY_RESERVE).await;
        allowed.unwrap_or(false)
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
}

impl Open<'_> {
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
        let decider = &self.shared.core.decider;
        if let (Some(_), Some(time)) = (self.threshold, time) {
            let objective = self.route.objective;
            decider.first_event(service.clone(), time, objective).await;
        }
        let model = self.model.map_or(0, |model| hash::text(model.as_str()));
        let noted = release::Noted {
            kind: hash::part(hash::text(&self.route.name), model),
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

    async fn dispatch(&self, choice: &Choice, turn: Turn) -> Result<Opened, Failure> {
        // An upstream that registered itself is addressed by its incarnation, so that another one
        // which was given its address refuses the request.
        let incarnation = choice.upstream.as_str();
        let sending = self.sending(choice, incarnation, turn.end);
        let sent = Instant::now();
        let patient = match self.patience {
            Some(patience) if !turn.last => turn.end.min(sent + patience.duration()),
            _ => turn.end,
        };
        let sending = Sending {
            end: patient,
            ..sending
        };
        let opened = match self.shared.pool.send(&sending).await {
            Ok(answered) if self.route.repeat.streams() && answered.status.is_success() => {
                self.stream(answered, patient).await
            }
            Ok(answered) => self.whole(answered, patient).await,
            Err(failure) => Err(failure),
        };
        self.note(choice, &opened, Span::from(sent.elapsed())).await;
        if matches!(opened, Ok(Opened::Stream(_))) {
            self.shared.core.decider.started(choice).await;
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
