//! The model of a configuration, with all references resolved to dense ids.
//!
//! Entities of each kind are sorted by name, so that a dense id is the rank of its name and equal
//! texts yield equal ids at every instance.

use crate::forward::{Forward, Limits};
use crate::key::Key;
use entity::id;
use entity::name;
use entity::time::Span;
use entity::unit::{Cost, Share};
use entity::{Map, Moment, id::Id};
use std::net::SocketAddr;

/// A verified configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    /// Availability zones, sorted by name.
    pub zones: Map<id::Zone, Zone>,
    /// Services, sorted by name.
    pub services: Map<id::Service, Service>,
    /// Versions of models, sorted by name.
    pub versions: Map<id::Version, Version>,
    /// Upstreams, sorted by name.
    pub upstreams: Map<id::Upstream, Upstream>,
    /// Organisations, sorted by name.
    pub organisations: Map<id::Organisation, Organisation>,
    /// Routes of plain services, sorted by service, method and path.
    pub routes: Vec<Route>,
    /// Rollouts, sorted by service; at most one for each service.
    pub rollouts: Vec<Rollout>,
    /// Orders to move services to other releases, sorted by service; at most one for each service.
    pub moves: Vec<Move>,
    /// Releases that services have moved to by their newest completed order, sorted by service.
    pub completed: Vec<(id::Service, id::Version)>,
    /// Routes of requests that are forwarded unchanged, sorted by host and prefix.
    pub forwards: Vec<Forward>,
    /// Limits on requests that callers send to those routes.
    pub limits: Limits,
}

/// Administrative state of a zone or an upstream, which operators set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminState {
    /// The entity receives new work.
    In,
    /// The entity receives no new work: a zone is out of service, or an upstream is leaving.
    Out,
}

/// `[zone NAME]`: an availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Name of the zone.
    pub name: name::Zone,
    /// `region`: the region that contains the zone.
    pub region: name::Region,
    /// `state = in | out`.
    pub state: AdminState,
}

/// Kind of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Models answer chat completion requests.
    Chat,
    /// A plain service, to which requests are forwarded by path and method.
    Plain,
}

/// `[service NAME]`: a service that callers name in their requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service; callers of chat services give it as the model.
    pub name: name::Service,
    /// `kind = chat | plain`.
    pub kind: Kind,
    /// `depends`: services that this one depends on; the graph has no cycles.
    pub depends: Vec<id::Service>,
    /// `versions`: versions that may answer for a chat service; empty for a plain one.
    pub versions: Vec<id::Version>,
    /// `quality`: lowest acceptable mean rating, as a share of the best rating; 100% for a plain
    /// service.
    pub quality: Share,
    /// `cascade = yes | no`: whether an answer of a cheap version may be escalated to a more
    /// expensive one.
    pub cascade: bool,
    /// `deadline`: longest time for a complete answer if the request carries no deadline.
    pub deadline: Span,
    /// Models of a service whose requests are forwarded unchanged, with the price of 1000 generated
    /// tokens for each.
    pub models: Vec<(name::Model, Cost)>,
}

impl Service {
    /// Returns the price of a model relative to that of the most expensive one, or 1 if the model is
    /// unknown or no model has a price. Prices reflect the cost of engine time, so the ratio estimates
    /// the relative time that a model needs for a token.
    pub fn weight(&self, model: &name::Model) -> f64 {
        let own = self.models.iter().find(|(name, _)| name == model);
        let max = self.models.iter().map(|(_, price)| price.credits());
        let max = max.fold(0.0, f64::max);
        match own {
            Some((_, price)) if max > 0.0 => price.credits() / max,
            _ => 1.0,
        }
    }
}

/// State of a version, which operators set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The version receives new work.
    Active,
    /// The version receives no new work, not even from sessions that began on it.
    Withdrawn,
}

/// `[version NAME]`: a version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Name of the version.
    pub name: name::Version,
    /// `model`: the model that this is a version of.
    pub model: Model,
    /// `price-in`: price of 1000 prompt tokens.
    pub price_in: Cost,
    /// `price-out`: price of 1000 generated tokens.
    pub price_out: Cost,
    /// `state = active | withdrawn`.
    pub stage: Stage,
}

/// Name of the model of a version.
pub type Model = name::Model;

/// Whether an upstream checks fencing tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// The upstream rejects orders whose fencing token is below the largest that it has seen.
    Checked,
    /// The upstream accepts orders regardless of their fencing token.
    Ignored,
}

/// `[upstream NAME]`: a server that executes requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: name::Upstream,
    /// `zone`: the availability zone in which it runs.
    pub zone: id::Zone,
    /// `address`: IP address and port.
    pub address: SocketAddr,
    /// `versions`: versions that it serves, sorted.
    pub versions: Vec<id::Version>,
    /// `services`: plain services that it serves, sorted.
    pub services: Vec<id::Service>,
    /// `warm`: limit of concurrent requests, over all instances, while the upstream is warm.
    pub warm: u32,
    /// `cold`: limit of concurrent requests, over all instances, during cold start.
    pub cold: u32,
    /// `fencing = checked | ignored`.
    pub fencing: Fencing,
    /// `state = in | leaving`.
    pub state: AdminState,
    /// Data that the upstream registered itself with; `None` if operators listed it.
    pub registration: Option<Registration>,
}

/// Data of an upstream that registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Time at which the upstream started, in milliseconds since the Unix epoch; it identifies the
    /// incarnation of the upstream.
    pub incarnation: u64,
    /// End of its cold start.
    pub cold_until: Moment,
    /// Request rate that it can sustain during cold start, in requests per second over all
    /// instances.
    pub cold_rate: u32,
    /// Number of tokens that its memory holds, of all its running requests together; none where it is
    /// not known.
    pub memory: Option<u32>,
}

/// `[organisation NAME]`: a customer, whose requests are billed together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: name::Organisation,
    /// `services`: services that it may use, sorted.
    pub services: Vec<id::Service>,
    /// `versions`: versions that may run its requests, sorted; `*` in the text means all versions.
    pub versions: Vec<id::Version>,
    /// `weight`: relative weight in fair queueing under contention.
    pub weight: u32,
    /// `reserve`: number of concurrent requests for which capacity is reserved.
    pub reserve: u32,
    /// `keys`: salted hashes of its bearer keys.
    pub keys: Vec<Key>,
    /// Priority of its forwarded requests, which overrides the priority of the route.
    pub priority: Option<u8>,
    /// Regions to which its requests may be forwarded, sorted; empty for all regions.
    pub regions: Vec<name::Region>,
}

/// Whether a call of a plain service may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The call is safe to retry.
    Safe,
    /// The call runs at most once for each idempotency key.
    Never,
}

/// `[route SERVICE METHOD PATH]`: a kind of call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Service that is called.
    pub service: id::Service,
    /// HTTP method, in capitals.
    pub method: Box<str>,
    /// Path below the service; a trailing `*` matches any suffix.
    pub path: Box<str>,
    /// `repeat = safe | never`.
    pub repeat: Repeat,
    /// `price`: price of one call.
    pub price: Cost,
}

/// `[rollout SERVICE]`: moves new sessions of a service from a baseline version to a candidate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// Service that is rolled out.
    pub service: id::Service,
    /// `from`: the baseline version.
    pub from: id::Version,
    /// `to`: the candidate version.
    pub to: id::Version,
    /// `share`: canary share, the share of new sessions that begin on the candidate.
    pub share: Share,
    /// `limit`: largest share to which ratings may raise the canary share without an edit of the
    /// text.
    pub limit: Share,
    /// `false-alarm`: false alarm rate of the brake over the whole rollout.
    pub false_alarm: Share,
}

/// Progress of an order to move a service to another release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Both releases serve.
    Running,
    /// Only the new release serves; the old one may be stopped.
    Completed,
    /// The new release was judged bad and the move was rolled back.
    RolledBack,
}

/// An order to move a service whose upstreams register themselves to another release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Service that is moved.
    pub service: id::Service,
    /// Release to which it moves.
    pub target: id::Version,
    /// Time within which the move is to be completed.
    pub duration: Span,
    /// Time at which this instance first read the order.
    pub read: Moment,
    /// Progress of the order as recorded by instances; `None` if none has recorded any.
    pub progress: Option<Progress>,
}

impl Move {
    /// Returns whether the order is under way, as far as its progress is known.
    pub fn is_under_way(&self) -> bool {
        matches!(self.progress, None | Some(Progress::Running))
    }
}

macro_rules! lookup {
    ($function:ident, $field:ident, $entity:ident) => {
        /// Returns the id of the entity with this name, by binary search.
        pub fn $function(&self, name: &str) -> Option<id::$entity> {
            let found = self
                .$field
                .values()
                .binary_search_by(|entity| entity.name.as_str().cmp(name));
            found.ok().map(id::$entity::new)
        }
    };
}

impl Config {
    lookup!(zone, zones, Zone);
    lookup!(service, services, Service);
    lookup!(version, versions, Version);
    lookup!(upstream, upstreams, Upstream);
    lookup!(organisation, organisations, Organisation);

    /// Returns the rollout of a service, if one is in progress.
    pub fn rollout(&self, service: id::Service) -> Option<&Rollout> {
        let found = self
            .rollouts
            .binary_search_by_key(&service, |rollout| rollout.service);
        found.ok().map(|index| &self.rollouts[index])
    }

    /// Returns the release that a service has moved to by its newest order, if that was completed.
    pub fn completed(&self, service: id::Service) -> Option<id::Version> {
        let found = self
            .completed
            .binary_search_by_key(&service, |(service, _)| *service);
        found.ok().map(|index| self.completed[index].1)
    }

    /// Returns whether the configuration lets an upstream receive new work: the upstream is not
    /// leaving and its zone is not out of service.
    pub fn is_in_service(&self, upstream: id::Upstream) -> bool {
        let upstream = &self.upstreams[upstream];
        upstream.state == AdminState::In && self.zones[upstream.zone].state == AdminState::In
    }

    /// Returns whether an organisation may use a version for a service and the version is active.
    pub fn allows(
        &self,
        organisation: id::Organisation,
        service: id::Service,
        version: id::Version,
    ) -> bool {
        let organisation = &self.organisations[organisation];
        organisation.services.binary_search(&service).is_ok()
            && organisation.versions.binary_search(&version).is_ok()
            && self.services[service].versions.contains(&version)
            && self.versions[version].stage == Stage::Active
    }
}
