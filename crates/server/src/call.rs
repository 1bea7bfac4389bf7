//! A request whose organisation and service are resolved.

use crate::bill;
use crate::context::Context;
use crate::tries::{self, Job};
use adoption::Snapshot;
use billing::usage::{Record, Step, Target};
use caller::{Refusal, Request};
use entity::unit::Bytes;
use entity::{Moment, Span, id};
use routing::Priority;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// A request whose organisation and service are resolved.
#[derive(Clone)]
pub struct Call {
    /// Shared state of the instance.
    pub context: Arc<Context>,
    /// The configuration that the ids belong to.
    pub snapshot: Arc<Snapshot>,
    /// Organisation of the caller.
    pub organisation: id::Organisation,
    /// The requested service.
    pub service: id::Service,
    /// The request as the caller sent it.
    pub request: Arc<Request>,
    /// Deadline of the whole answer.
    pub deadline: Moment,
}

impl Call {
    /// Returns the job for a version, or for a plain service if there is none, with a prompt or
    /// body of `prompt` bytes. By default it may be retried and has no prefix.
    pub fn job(&self, version: Option<id::Version>, prompt: Bytes) -> Job {
        Job {
            id: self.request.id,
            snapshot: self.snapshot.clone(),
            service: self.service,
            version,
            organisation: self.organisation,
            prompt,
            prefix: None,
            demand: None,
            regions: None,
            priority: Priority(u8::from(!self.request.live)),
            deadline: self.deadline,
            repeatable: true,
            max_runs: tries::MAX_TRIES,
            max_tries: tries::MAX_TRIES,
            // A request of this front continues when its caller has gone, so that its usage is
            // billed.
            cancellation: CancellationToken::new(),
            uses_service_bound: false,
        }
    }

    /// Commits the usage record of the request; each request has exactly one.
    ///
    /// # Errors
    ///
    /// Neither the log nor peers accepted the record.
    pub async fn bill(&self, target: Target, steps: Vec<Step>) -> Result<(), Refusal> {
        let config = &self.snapshot.config;
        let record = Record {
            request: self.request.id,
            organisation: config.organisations[self.organisation].name.clone(),
            service: config.services[self.service].name.clone(),
            target,
            steps,
            lender: None,
        };
        bill::commit(&self.context, record).await
    }

    /// Returns the remaining time budget for the whole answer.
    pub fn time_budget(&self) -> Span {
        self.deadline.since(self.context.core.clock.now())
    }
}
