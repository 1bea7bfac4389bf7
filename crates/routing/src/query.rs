//! Requests to the balancer and their results.

use crate::demand::Demand;
use crate::evidence::End;
use crate::filter::{Grant, Reason};
use crate::restriction::Incarnation;
use crate::room::Coverage;
use config::Config;
use entity::id;
use entity::name;
use entity::time::Span;
use entity::unit::Bytes;
use entity::{Generation, Moment};
use std::net::SocketAddr;
use std::sync::Arc;

/// Priority of a request; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(pub u8);

/// A request that needs an upstream: a first try, a retry, a hedge, a step of a cascade, or a
/// request that was queued.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// Generation of the configuration that issued the ids.
    pub generation: Generation,
    /// Service that the caller requested.
    pub service: id::Service,
    /// Version that must run the request; none for a plain service.
    pub version: Option<id::Version>,
    /// Organisation that pays for the request.
    pub organisation: id::Organisation,
    /// Size of the prompt or body.
    pub prompt: Bytes,
    /// Hash of the prompt's prefix, for chat services.
    pub prefix: Option<u64>,
    /// Work that the request causes at an engine; none where only the size of its prompt or body is
    /// known.
    pub demand: Option<Demand>,
    /// Priority of the request.
    pub priority: Priority,
    /// Upstreams to which the request was sent before.
    pub excluded: &'a [name::Upstream],
    /// Regions to which the request may be sent, sorted; none for all.
    pub regions: Option<&'a [name::Region]>,
    /// Deadline of the complete answer.
    pub deadline: Moment,
    /// Whether the request may be sent again after it may have run.
    pub is_repeatable: bool,
}

/// An upstream for one dispatch.
///
/// The request counts as running at the upstream from [`choose`](crate::Balancer::choose) on. Every
/// choice must be returned to [`finish`](crate::Balancer::finish), whatever its outcome.
#[derive(Debug)]
pub struct Choice {
    /// The upstream.
    pub upstream: name::Upstream,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Condition under which the dispatch is allowed.
    pub grant: Grant,
    /// Time of the choice. The request must be sent within [`slack`](crate::Bounds::slack) of it.
    pub chosen_at: Moment,
    /// Time at which the dispatch must be ended, whatever the caller's deadline.
    pub end: Moment,
    /// Work at the upstream before the first event of the answer, including that of the request
    /// itself, in tokens; none where the demand of the request is unknown.
    pub ahead: Option<f64>,
    /// The peers whose announcements showed the room that this choice borrows; none if it is within
    /// the share of this instance.
    pub lent: Option<Coverage>,
    /// Expected time to the first event of the answer; none where nothing is known of the service.
    pub expected: Option<Span>,
    /// Number of tokens that the upstream generated, once the whole answer is known.
    pub generated: Option<u32>,
    pub(crate) ticket: u64,
    pub(crate) config: Arc<Config>,
    pub(crate) generation: Generation,
    pub(crate) service: id::Service,
    pub(crate) version: Option<id::Version>,
    pub(crate) organisation: id::Organisation,
    /// Priority of the request at the upstream.
    pub priority: Priority,
}

impl Choice {
    /// Returns the number that identifies the choice within this instance.
    pub fn ticket(&self) -> u64 {
        self.ticket
    }

    /// Returns the incarnation of the upstream; none if it didn't register itself.
    pub fn incarnation(&self) -> Option<Incarnation> {
        let number = self.incarnation_number()?;
        Some(Incarnation {
            upstream: self.upstream.clone(),
            number,
        })
    }

    /// Returns the number of the upstream's incarnation; none if it didn't register itself.
    pub fn incarnation_number(&self) -> Option<u64> {
        let id = self.config.upstream(self.upstream.as_str())?;
        let registration = self.config.upstreams[id].registration.as_ref()?;
        Some(registration.incarnation)
    }

    /// Returns the service, the version if there is one, and the organisation of the request.
    pub fn names(&self) -> (&name::Service, Option<&name::Version>, &name::Organisation) {
        (
            &self.config.services[self.service].name,
            self.version
                .map(|version| &self.config.versions[version].name),
            &self.config.organisations[self.organisation].name,
        )
    }
}

/// The refusal of a request that no upstream can take now. No part of it has left the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not run: {reason}")]
pub struct Refusal {
    /// The reason that is the likeliest to pass.
    pub reason: Reason,
    /// Delay after which another attempt may succeed; none where only a change of the configuration
    /// helps.
    pub retry_after: Option<Span>,
}

/// Outcome of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer arrived.
    Done {
        /// Time from the dispatch to the first byte of the answer; none where all of it arrived at
        /// once.
        first_token: Option<Span>,
    },
    /// The complete answer arrived, and its status says that the upstream failed.
    ErrorStatus {
        /// Time from the dispatch to the first byte of the answer; none where all of it arrived at
        /// once.
        first_token: Option<Span>,
    },
    /// The upstream refused the request before running it.
    Refused,
    /// No connection to the upstream could be established.
    Unreachable,
    /// The connection failed, or the answer ended early, was late or had another id.
    Failed,
    /// The request ended for a reason that gives no evidence on the upstream.
    Cancelled,
}

impl Outcome {
    /// Returns how the try ended, as evidence on its upstream; none if it is no evidence.
    pub fn end(self) -> Option<End> {
        match self {
            Self::Done { .. } => Some(End::Well),
            Self::ErrorStatus { .. } | Self::Failed => Some(End::Failed),
            Self::Unreachable => Some(End::Unreachable),
            Self::Refused | Self::Cancelled => None,
        }
    }
}

/// A suspicion that an upstream is in cold start again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The upstream.
    pub upstream: name::Upstream,
    /// Time of the observation; a load report as of a later time settles it.
    pub since: Moment,
}
