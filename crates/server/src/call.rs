//! One request whose organisation and service are known, on its way.

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

/// One request whose organisation and service are known.
#[derive(Clone)]
pub struct Call {
    /// What the instance shares.
    pub context: Arc<Context>,
    /// The configuration that the ids belong to.
    pub snapshot: Arc<Snapshot>,
    /// Who asks.
    pub organisation: id::Organisation,
    /// What is asked for.
    pub service: id::Service,
    /// The request.
    pub request: Arc<Request>,
    /// When the whole answer is due.
    pub deadline: Moment,
}

impl Call {
    /// The job for a version, or for a plain service, with a prompt or body of a size. It may be
    /// repeated and has no prefix unless its maker says otherwise.
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
            attempts: tries::MAX_TRIES,
            tries: tries::MAX_TRIES,
            // A request of this front goes on when its caller goes, so that what it used is billed.
            gone: CancellationToken::new(),
            bounded: false,
        }
    }

    /// Makes the one usage record of the request safe.
    ///
    /// # Errors
    ///
    /// Neither the log nor fellows took it.
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

    /// Time that is left for the whole answer.
    pub fn left(&self) -> Span {
        self.deadline.since(self.context.core.clock.now())
    }
}
