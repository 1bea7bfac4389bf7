//! What operators publish and upstreams register, with names still to be resolved.

use config::forward::{self, Limits};
use config::{Key, Progress};
use entity::name;
use entity::unit::Cost;
use entity::{Moment, Span};
use std::net::SocketAddr;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Publication {
    /// Grows with every publication, not by one.
    pub version: u64,
    /// Routes, in the order of the publication.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Organisations; none where no route asks for a key.
    pub organisations: Option<Vec<Organisation>>,
    /// What callers may send.
    pub limits: Limits,
}

/// A route whose services are still to be resolved.
pub type Route = forward::Forward<name::Service>;

/// Where a part of a route's requests goes.
pub type Destination = forward::Destination<name::Service>;

/// A model that engines of a service run.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: name::Model,
    /// Its price for a thousand generated tokens.
    pub price: Cost,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: name::Service,
    /// Connections that one upstream accepts from all instances together.
    pub connections: u32,
    /// Requests a second that an upstream bears in cold start, from all instances together.
    pub cold_rate: f64,
    /// Models that its engines run, the smallest first; empty for a plain service.
    pub models: Vec<Model>,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: name::Organisation,
    /// Its bearer keys.
    pub keys: Vec<Key>,
    /// How urgent its requests are, in place of the route's priority.
    pub priority: Option<u8>,
    /// Regions that its requests may go to; empty for all.
    pub regions: Vec<name::Region>,
}

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Its service.
    pub service: name::Service,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The release of its software.
    pub release: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: State,
    /// How much longer it is in cold start, as of when it wrote this.
    pub cold: Span,
    /// When it started, in milliseconds since the Unix epoch. An upstream that starts again under
    /// its old name has lost all that it held.
    pub born: u64,
}

/// An operator's order to move a service to another release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// The service.
    pub service: name::Service,
    /// The release to move to.
    pub target: Box<str>,
    /// Time to complete it in.
    pub duration: Span,
}

/// One record of the store, read.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// The configuration in force.
    Publication(Publication),
    /// An upstream.
    Registration(name::Upstream, Registration),
    /// An order to move a service to another release.
    Rollout(Rollout),
    /// A zone that gets nothing more.
    Evacuation(name::Zone),
    /// How far the order for a service has come.
    Progress(name::Service, Box<str>, Progress),
    /// An instance of the router.
    Instance(Instance),
}

/// An instance of the router, as it tells the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its name.
    pub name: name::Instance,
    /// Where others reach it.
    pub address: SocketAddr,
    /// When it last wrote so, by its own clock.
    pub written: Moment,
}
