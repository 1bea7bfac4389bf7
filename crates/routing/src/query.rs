//! What is asked of the balancer, and what it answers.

use crate::demand::Demand;
use crate::filter::{Grant, Reason};
use config::Config;
use entity::id;
use entity::name;
use entity::time::Span;
use entity::unit::Bytes;
use entity::{Generation, Moment};
use std::net::SocketAddr;
use std::sync::Arc;

/// How urgent a request is; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(pub u8);

/// A request that needs an upstream: a first try, a retry, a hedge, a step of a cascade or one that
/// has waited in a queue.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// The configuration that issued the ids.
    pub generation: Generation,
    /// The service that the caller asked for.
    pub service: id::Service,
    /// The version that has to run it; none for a plain service.
    pub version: Option<id::Version>,
    /// The organisation that pays for it.
    pub organisation: id::Organisation,
    /// Size of the prompt or body.
    pub prompt: Bytes,
    /// Hash of the prompt's prefix, for chat services.
    pub prefix: Option<u64>,
    /// What it asks of an engine; none where only the size of its prompt or body is known.
    pub demand: Option<Demand>,
    /// How urgent it is.
    pub priority: Priority,
    /// Upstreams that were tried before.
    pub excluded: &'a [name::Upstream],
    /// Regions that the request may go to, sorted; none for all.
    pub regions: Option<&'a [name::Region]>,
    /// When the whole answer is due.
    pub deadline: Moment,
}

/// An upstream for one dispatch.
///
/// It counts as running there from [`choose`](crate::Balancer::choose) on, and has to be given back
/// to [`finish`](crate::Balancer::finish) whatever becomes of it.
#[derive(Debug)]
pub struct Choice {
    /// The upstream.
    pub upstream: name::Upstream,
    /// Where it is reached.
    pub address: SocketAddr,
    /// On what ground the dispatch is allowed.
    pub grant: Grant,
    /// When it was made; it is to be sent within the slack of the slots' bounds.
    pub made: Moment,
    /// The moment after which the dispatch has to be ended, whatever its caller's deadline.
    pub end: Moment,
    /// Work at the upstream before the first event of the answer, the request's own included, in
    /// tokens; none where the request told no demand.
    pub ahead: Option<f64>,
    pub(crate) ticket: u64,
    pub(crate) config: Arc<Config>,
    pub(crate) generation: Generation,
    pub(crate) service: id::Service,
    pub(crate) version: Option<id::Version>,
    pub(crate) organisation: id::Organisation,
    /// How urgent the upstream should take it to be.
    pub priority: Priority,
}

impl Choice {
    /// Identifies the choice at its instance.
    pub fn ticket(&self) -> u64 {
        self.ticket
    }

    /// The service, the version if it is for one, and the organisation that it was made for.
    pub fn names(&self) -> (&name::Service, Option<&name::Version>, &name::Organisation) {
        (
            &self.config.services[self.service].name,
            self.version
                .map(|version| &self.config.versions[version].name),
            &self.config.organisations[self.organisation].name,
        )
    }
}

/// Why no upstream can take a request now; nothing of it has left the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not run: {reason}")]
pub struct Refusal {
    /// The reason that is the likeliest to pass.
    pub reason: Reason,
    /// When another attempt may succeed; none where only an edit of the configuration helps.
    pub retry_after: Option<Span>,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer arrived whole.
    Done {
        /// From dispatch to the first byte of the answer; none where all of it came at once.
        first_token: Option<Span>,
    },
    /// The upstream refused it before it ran.
    Refused,
    /// The connection failed, or the answer ended early, was too late or bore another id.
    Failed,
    /// It ended for a reason that says nothing about the upstream.
    Cancelled,
}

/// An instance's belief that an upstream has turned cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// The upstream.
    pub upstream: name::Upstream,
    /// When it was noticed; a load report as of a later moment settles it.
    pub since: Moment,
}
