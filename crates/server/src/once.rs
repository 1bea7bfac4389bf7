//! Calls of plain services that run at most once.
//!
//! The order is what matters: the claim is won before anything is sent, the usage record is safe
//! before the answer is stored, and the answer is stored before the caller has it. So whoever gets
//! an answer, by a first call or a repeat, was billed for it exactly once.

use crate::plain::{self, Run};
use crate::tries::{GivenUp, closing};
use billing::usage;
use caller::{Idempotency, Refusal, Reply, Whole, headers};
use claims::digest::Digest;
use claims::key::{Created, AttemptNumber};
use claims::record::Answer;
use config::Route;
use entity::Span;
use entity::request::Ran;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use journal::claimer::{Attempt, Permit, Verdict};
use std::time::Duration;
use timeline::{Counter, Kind};
use tokio::time::Instant;

/// When to come back for the outcome of a call that is in progress.
const IN_PROGRESS_WAIT: Span = Span::from_secs(2);
/// Longest wait for a release to be read; the caller is answered after it in any case.
const RELEASE_WAIT: Duration = Duration::from_millis(500);

impl Run<'_> {
    /// Runs a call at most once over all instances.
    ///
    /// # Errors
    ///
    /// It was given up.
    pub async fn once(&self, route: &Route) -> Result<Reply, GivenUp> {
        let attempt = self.attempt().map_err(|refusal| {
            GivenUp::Refused(refusal.unclaimed(self.call.request.idempotency.as_ref()))
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
        let verdict = self.call.context.claims.claim(attempt, deadline).await;
        match verdict {
            Verdict::Won(permit) => self.won(route, permit).await,
            Verdict::Done(answer) => Ok(replay(answer)),
            other => {
                let kind = Kind::Conflicted;
                self.call
                    .context
                    .core
                    .recorder
                    .event(kind)
                    .request(self.call.request.id)
                    .record();
                Err(GivenUp::Refused(refusal(&other)))
            }
        }
    }

    fn attempt(&self) -> Result<Attempt, Refusal> {
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
            sending,
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
            sending: AttemptNumber::new(*sending),
            request: self.call.request.id,
            fingerprint: Digest::of(&parts),
        })
    }

    async fn won(&self, route: &Route, permit: Permit) -> Result<Reply, GivenUp> {
        self.call
            .context
            .core
            .recorder
            .event(Kind::Granted)
            .request(self.call.request.id)
            .record();
        // From here on the call counts as sent, whatever becomes of this process.
        let run = permit.dispatch();
        match self.dispatch(&self.job(false)).await {
            Ok(called) => {
                self.bill(route, &called.upstream)
                    .await
                    .map_err(GivenUp::Refused)?;
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
            Err(given_up) if plain::ran(&given_up) == Ran::No => {
                let until = Instant::now() + RELEASE_WAIT;
                let ran = run.not_run().release(until).await;
                self.call
                    .context
                    .core
                    .recorder
                    .event(Kind::Released)
                    .request(self.call.request.id)
                    .record();
                Err(said(given_up, ran))
            }
            // The key stays held for good: nobody can know whether the call ran.
            Err(given_up) => Err(given_up),
        }
    }
}

/// What may be said of the key goes before what is known of this try.
fn said(given_up: GivenUp, ran: Ran) -> GivenUp {
    match given_up {
        // The claim was given up, so that the call can't be looked at anew under the same id.
        GivenUp::Stale => {
            let message = "the configuration changed before the call was sent";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let refusal = Refusal::not_run(status, "configuration-changed", message);
            let refusal = refusal.after(Span::from_secs(1));
            GivenUp::Refused(Refusal { ran, ..refusal })
        }
        GivenUp::Refused(refusal) => GivenUp::Refused(Refusal { ran, ..refusal }),
    }
}

fn refusal(verdict: &Verdict) -> Refusal {
    let maybe = Refusal::may_have_run;
    match verdict {
        Verdict::InProgress => {
            let message = "another call with this key was first, and has no outcome yet";
            maybe(StatusCode::CONFLICT, "in-progress", message).after(IN_PROGRESS_WAIT)
        }
        Verdict::Mismatch => {
            let message = "this key was first sent with another request";
            maybe(StatusCode::UNPROCESSABLE_ENTITY, "key-reused", message)
        }
        Verdict::Expired => {
            let message = "this key is too old to be remembered, or dated in the future";
            maybe(StatusCode::GONE, "key-expired", message)
        }
        Verdict::Refused { ran, retry_after } => {
            let message = "the claim on this key can't be settled now; it will not be sent";
            let refused = maybe(
                StatusCode::SERVICE_UNAVAILABLE,
                "claim-unavailable",
                message,
            );
            Refusal {
                ran: *ran,
                ..refused.after(*retry_after)
            }
        }
        Verdict::Won(_) | Verdict::Done(_) => closing(Ran::Maybe),
    }
}

/// The stored answer, given to a repeat.
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

/// The route of a usage record.
pub fn target(route: &Route) -> usage::Target {
    usage::Target::Route(format!("{} {}", route.method, route.path).into())
}
