//! Takes requests of callers.

use crate::auth::Authenticator;
use crate::core::Core;
use crate::forward::belief::boot_time;
use crate::forward::freshness::Freshness;
use crate::forward::run::{Run, timeline_id};
use caller::Refusal;
use caller::forward::{Arrival, Handler, Reply};
use forward::source::Topic;
use std::sync::Arc;
use timeline::{Counter, Kind};
use upstream::forward::Pool;

/// How a model is picked where the router may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cascade {
    /// Always the largest.
    Largest,
    /// Always the smallest.
    Smallest,
    /// The smallest first, and the largest where the smallest is less confident than this.
    Below(u8),
}

/// What the requests of an instance share.
pub struct Shared {
    /// What every request is decided with.
    pub core: Core,
    /// How far the topics of the store are known.
    pub freshness: Freshness,
    /// Connections to upstreams.
    pub pool: Pool,
    /// How a model is picked where the router may.
    pub cascade: Cascade,
    /// Finds organisations by their keys.
    pub authenticator: Authenticator,
}

impl Shared {
    /// Whether the balancer may send requests here; the text says why not.
    ///
    /// # Errors
    ///
    /// It may not.
    pub fn is_ready(&self) -> Result<(), &'static str> {
        if self.core.is_draining() {
            return Err("this instance is being shut down");
        }
        if self.core.snapshot().is_none() {
            return Err("no configuration is known here yet");
        }
        let age = self.freshness.age(Topic::Operator, boot_time());
        if self.freshness.belief.wanes(age) {
            return Err("the keys in force have not been confirmed recently");
        }
        Ok(())
    }
}

/// Answers callers.
pub struct Front {
    /// What the requests share.
    pub shared: Arc<Shared>,
}

impl Handler for Front {
    async fn handle(&self, arrival: Arrival) -> Reply {
        let core = &self.shared.core;
        core.metric.count(Counter::Requests);
        let run = Arc::new(Run {
            shared: self.shared.clone(),
            id: timeline_id(&arrival.request.head.id),
            arrival,
        });
        let answer = run.run().await;
        run.note(&answer);
        answer.unwrap_or_else(Reply::Refused)
    }

    fn unreadable(&self, refusal: &Refusal) {
        let draft = self.shared.core.recorder.event(Kind::Refused);
        draft
            .text("code", refusal.code)
            .text("why", &refusal.message)
            .record();
    }
}
