//! Handles requests of callers.

use crate::auth::Authenticator;
use crate::core::Core;
use crate::forward::freshness::Freshness;
use crate::forward::holds::Holds;
use crate::forward::key_validity::boot_time;
use crate::forward::notices::Notices;
use crate::forward::paths::Paths;
use crate::forward::run::{Run, align_status, timeline_id};
use crate::tries;
use caller::Refusal;
use caller::forward::{Arrival, Handler, Reply};
use config::Move;
use entity::request::Ran;
use forward::Followed;
use quarantine::Part;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use timeline::{Counter, Kind};
use upstream::forward::Pool;

/// How a model is chosen for requests that leave the choice to the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cascade {
    /// Always the largest model.
    Largest,
    /// Always the smallest model.
    Smallest,
    /// The smallest model first, then the largest if the confidence of the answer is below this
    /// threshold.
    Below(u8),
}

/// State shared by the requests of an instance.
pub struct Shared {
    /// State shared by all kinds of fronts.
    pub core: Core,
    /// Digests and ages of the topics of the store.
    pub freshness: Freshness,
    /// What upstreams said about themselves.
    pub notices: Notices,
    /// Which requests must not be sent.
    pub holds: Holds,
    /// Ways to upstreams.
    pub paths: Arc<Paths>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// How a model is chosen for requests that leave the choice to the router.
    pub cascade: Cascade,
    /// Finds organisations by their API keys.
    pub authenticator: Authenticator,
    /// Whether a peer has told this instance the state since its start, or none did in time.
    pub introduced: AtomicBool,
}

impl Shared {
    /// Returns whether a peer has told this instance the state since its start, or none did in time.
    pub fn is_introduced(&self) -> bool {
        self.introduced.load(Ordering::Relaxed)
    }

    /// Checks whether the load balancer may send requests to this instance.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not.
    pub fn check_ready(&self) -> Result<(), &'static str> {
        if self.core.is_draining() {
            return Err("this instance is being shut down");
        }
        let Some(snapshot) = self.core.snapshot() else {
            return Err("no configuration is known here yet");
        };
        if !self.is_introduced() && snapshot.config.moves.iter().any(Move::is_under_way) {
            return Err("no peer has told the age of an order yet");
        }
        let age = self.freshness.age(Followed::Operator, boot_time());
        if self.freshness.key_validity.is_near_expiry(age) {
            return Err("the keys in force have not been confirmed recently");
        }
        Ok(())
    }
}

/// Handler of callers' requests.
pub struct Front {
    /// State shared by the requests.
    pub shared: Arc<Shared>,
}

impl Handler for Front {
    async fn handle(&self, arrival: Arrival) -> Reply {
        let core = &self.shared.core;
        core.metric.count(Counter::Requests);
        let parts = arrival.request.head.shared_parts();
        let run = Arc::new(Run {
            shared: self.shared.clone(),
            parts: parts.iter().map(|part| Part(part.id)).collect(),
            fingerprint: OnceLock::new(),
            id: timeline_id(&arrival.request.head.id),
            arrival,
        });
        let answer = tokio::select! {
            biased;
            answer = run.run() => answer,
            () = core.giving_up.cancelled() => {
                Err(align_status(tries::closing(Ran::Maybe), Ran::Maybe))
            }
        };
        run.record_result(&answer);
        answer.unwrap_or_else(Reply::Refused)
    }

    fn record_unreadable(&self, refusal: &Refusal) {
        let draft = self.shared.core.recorder.event(Kind::Refused);
        draft
            .text("code", refusal.code)
            .text("why", &refusal.message)
            .record();
    }
}
