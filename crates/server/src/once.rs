//! Calls of plain services that run at most once.
//!
//! The order of the steps matters: the claim is won before the call is sent, the usage record is
//! committed before the answer is stored, and the answer is stored before the caller receives it.
//! So a caller that receives an answer, to a first call or to a repeat, was billed for it exactly
//! once.

use crate::plain::{self, Run};
use crate::tries::{Abort, closing};
use billing::usage;
use caller::{Idempotency, Refusal, Reply, Whole, headers};
use claims::digest::Digest;
use claims::key::{AttemptNumber, Created};
use claims::record::Answer;
use config::Route;
use entity::Span;
use entity::request::Ran;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use journal::claimer::{Attempt, Permit, Resolution};
use std::time::Duration;
use timeline::{Counter, Kind};
use tokio::time::Instant;

/// Delay after which a caller may ask again for the outcome of a call that is in progress.
const IN_PROGRESS_RETRY_AFTER: Span = Span::from_secs(2);
/// Longest wait until the release of a claim is read from the log; the caller is answered after it
/// in any case.
const RELEASE_READ_TIMEOUT: Duration = Duration::from_millis(500);

impl Run<'_> {
    /// Runs a call at most once over all instances.
    ///
    /// # Errors
    ///
    /// The call was aborted.
    pub async fn once(&self, route: &Route) -> Result<Reply, Abort> {
        let attempt = self.claim_attempt().map_err(|refusal| {
            Abort::Refused(refusal.before_claim(self.call.request.idempotency.as_ref()))
        })?;
        self.call.context.core.metric.count(Counter::Claims);
        self.call
            .context
            .core
            .recorder
            .event(Kind::Claimed)
            .request(self.call.request.id)
            .record();
        let deadline = self.call.context.core.clock.instant(self.call.deadline);
        let resolution = self.call.context.claims.claim(attempt, deadline).await;
        match resolution {
            Resolution::Won(permit) => self.run_claimed(route, permit).await,
            Resolution::Done(answer) => Ok(replay(answer)),
            other => {
                let kind = Kind::Conflicted;
                self.call
                    .context
                    .core
                    .recorder
                    .event(kind)
                    .request(self.call.request.id)
                    .record();
                Err(Abort::Refused(claim_refusal(&other)))
            }
        }
    }

    fn claim_attempt(&self) -> Result<Attempt, Refusal> {
        let bad =
            |code, message: &'static str| Refusal::not_run(StatusCode::BAD_REQUEST, code, message);
        let idempotency = self.call.request.idempotency.as_ref().ok_or_else(|| {
            bad(
                "key-required",
                "Idempotency-Key is missing: this call runs at most once a key",
            )
        })?;
        let Idempotency {
            key,
            created_ms,
            attempt_number,
        } = idempotency;
        let created = created_ms.ok_or_else(|| {
            bad(
                "key-undated",
                "Idempotency-Key is a UUIDv7, or Idempotency-Created says its time",
            )
        })?;
        let organisations = &self.call.snapshot.config.organisations;
        let plain = self.plain;
        let parts = [
            plain.method.as_str().as_bytes(),
            plain.path.as_bytes(),
            &plain.body[..],
        ];
        Ok(Attempt {
            organisation: organisations[self.call.organisation].name.clone(),
            key: key.clone(),
            created: Created(created),
            attempt_number: AttemptNumber::new(*attempt_number),
            request: self.call.request.id,
            fingerprint: Digest::of(&parts),
        })
    }

    async fn run_claimed(&self, route: &Route, permit: Permit) -> Result<Reply, Abort> {
        self.call
            .context
            .core
            .recorder
            .event(Kind::Granted)
            .request(self.call.request.id)
            .record();
        // From here on the call counts as sent, even if this process ends.
        let run = permit.dispatch();
        match self.dispatch(&self.job(false)).await {
            Ok(called) => {
                self.bill(route, &called.upstream)
                    .await
                    .map_err(Abort::Refused)?;
                let content_type = plain::media_type(called.answer.content_type.as_ref());
                let answer = Answer::new(called.answer.status, content_type, &called.answer.body);
                let settled = run.settle(answer);
                let deadline = self.call.context.core.clock.instant(self.call.deadline);
                if let Ok(Ok(())) = tokio::time::timeout_at(deadline, settled).await {
                    self.call
                        .context
                        .core
                        .recorder
                        .event(Kind::Settled)
                        .request(self.call.request.id)
                        .record();
                }
                Ok(plain::reply(called.answer))
            }
            Err(abort) if plain::ran(&abort) == Ran::No => {
                let until = Instant::now() + RELEASE_READ_TIMEOUT;
                let ran = run.not_run().release(until).await;
                self.call
                    .context
                    .core
                    .recorder
                    .event(Kind::Released)
                    .request(self.call.request.id)
                    .record();
                Err(with_claim_outcome(abort, ran))
            }
            // The claim on the key is never released, since it is unknown whether the call ran.
            Err(abort) => Err(abort),
        }
    }
}

/// Replaces the `ran` of this try by that of the claim on the key, which takes precedence.
fn with_claim_outcome(abort: Abort, ran: Ran) -> Abort {
    match abort {
        // The claim was released, so the call can't be resolved again under the same id.
        Abort::Stale => {
            let message = "the configuration changed before the call was sent";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let refusal = Refusal::not_run(status, "configuration-changed", message);
            let refusal = refusal.with_retry_after(Span::from_secs(1));
            Abort::Refused(Refusal { ran, ..refusal })
        }
        Abort::Refused(refusal) => Abort::Refused(Refusal { ran, ..refusal }),
    }
}

fn claim_refusal(resolution: &Resolution) -> Refusal {
    let may_have_run = Refusal::may_have_run;
    match resolution {
        Resolution::InProgress => {
            let message = "another call with this key was first, and has no outcome yet";
            may_have_run(StatusCode::CONFLICT, "in-progress", message)
                .with_retry_after(IN_PROGRESS_RETRY_AFTER)
        }
        Resolution::Mismatch => {
            let message = "this key was first sent with another request";
            may_have_run(StatusCode::UNPROCESSABLE_ENTITY, "key-reused", message)
        }
        Resolution::Expired => {
            let message = "this key is too old to be remembered, or dated in the future";
            may_have_run(StatusCode::GONE, "key-expired", message)
        }
        Resolution::Refused { ran, retry_after } => {
            let message = "the claim on this key can't be settled now; it will not be sent";
            let refused = may_have_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "claim-unavailable",
                message,
            );
            Refusal {
                ran: *ran,
                ..refused.with_retry_after(*retry_after)
            }
        }
        Resolution::Won(_) | Resolution::Done(_) => closing(Ran::Maybe),
    }
}

/// Returns the stored answer as the reply to a repeat.
fn replay(answer: Answer) -> Reply {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let Some(body) = answer.body else {
        let message = "the call has run; its answer was too large to be stored";
        return Reply::Refused(Refusal::may_have_run(
            StatusCode::CONFLICT,
            "already-run",
            message,
        ));
    };
    Reply::Whole(Whole {
        status,
        content_type: HeaderValue::from_str(&answer.content_type).ok(),
        headers: vec![(headers::REPLAYED, HeaderValue::from_static("true"))],
        body: String::from(body).into(),
    })
}

/// Returns the target of a usage record for a route.
pub fn target(route: &Route) -> usage::Target {
    usage::Target::Route(format!("{} {}", route.method, route.path).into())
}
