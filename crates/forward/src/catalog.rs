//! Publications of operators and registrations of upstreams, before names are resolved to ids.

use config::forward::{self, Limits};
use config::{Key, Progress};
use entity::name;
use entity::unit::Cost;
use entity::{Moment, Span};
use std::net::SocketAddr;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Publication {
    /// Version number. It increases with every publication, but not necessarily by one.
    pub version: u64,
    /// Routes, in the order of the publication.
    pub routes: Vec<Route>,
    /// Services that routes can name.
    pub services: Vec<Service>,
    /// Organisations; `None` if no route requires a key.
    pub organisations: Option<Vec<Organisation>>,
    /// Limits on the requests of callers.
    pub limits: Limits,
}

/// A route that refers to services by name.
pub type Route = forward::Forward<name::Service>;

/// A weighted destination of a route, with its service by name.
pub type Destination = forward::Destination<name::Service>;

/// A model that the engines of a service run.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name of the model.
    pub name: name::Model,
    /// Price of a thousand generated tokens.
    pub price: Cost,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: name::Service,
    /// Connections that one upstream accepts from all instances together.
    pub connections: u32,
    /// Requests per second that an upstream can serve during cold start, over all instances.
    pub cold_rate: f64,
    /// Number of tokens that the memory of an engine holds; none where it is not known.
    pub memory: Option<u32>,
    /// Models that its engines run, the smallest first; empty for a plain service.
    pub models: Vec<Model>,
}

/// A customer whose requests are authenticated by bearer keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: name::Organisation,
    /// Bearer keys that authenticate its callers.
    pub keys: Vec<Key>,
    /// Priority of its requests, which overrides the priority of the route.
    pub priority: Option<u8>,
    /// Regions that its requests may be sent to; empty for all regions.
    pub regions: Vec<name::Region>,
}

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The upstream accepts new requests.
    Ready,
    /// The upstream finishes its requests before it shuts down, and accepts no new ones.
    Draining,
}

/// The entry that an upstream writes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Service that the upstream belongs to.
    pub service: name::Service,
    /// Socket address that accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: name::Zone,
    /// Release of its software.
    pub release: Box<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// Remaining duration of its cold start when it wrote the entry.
    pub cold: Span,
    /// Start time of this incarnation, in milliseconds since the Unix epoch. An upstream that
    /// restarts under its old name has lost all of its state.
    pub incarnation: u64,
}

/// Most requests that an upstream may say to run at once.
const MAX_SLOTS: u32 = 100_000;
/// Longest cold start that an upstream may announce.
const MAX_COLD_START: Span = Span::from_secs(3600);

impl Registration {
    /// Checks that the figures are those of an upstream. Another writer's would distort what is added up
    /// over all upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error that names the field.
    pub fn check(&self) -> Result<(), Box<str>> {
        if self.slots > MAX_SLOTS {
            return Err(format!("slots = {}: at most {MAX_SLOTS}", self.slots).into());
        }
        if self.cold > MAX_COLD_START {
            return Err(format!("cold = {}: at most {MAX_COLD_START}", self.cold).into());
        }
        if self.address.port() == 0 {
            return Err(format!("address = {}: the port is missing", self.address).into());
        }
        Ok(())
    }
}

/// An operator's request to roll a service out to another release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// Service to roll out.
    pub service: name::Service,
    /// Release to move to.
    pub target: Box<str>,
    /// Time within which the rollout has to complete.
    pub duration: Span,
}

/// One decoded record of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// A version of the operators' configuration.
    Publication(Publication),
    /// The registration of an upstream.
    Registration(name::Upstream, Registration),
    /// A request to roll a service out to another release.
    Rollout(Rollout),
    /// An evacuated availability zone, which gets no new requests.
    Evacuation(name::Zone),
    /// Progress of a rollout: the service, its target release and the state.
    Progress(name::Service, Box<str>, Progress),
    /// An instance of the router.
    Instance(Instance),
}

/// The entry that an instance of the router writes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name of the instance.
    pub name: name::Instance,
    /// Socket address at which its peers reach it.
    pub address: SocketAddr,
    /// Time of its last write, on its own clock.
    pub written_at: Moment,
}
