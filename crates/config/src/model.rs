//! What a configuration text says, with all references resolved to dense ids.
//!
//! Entities of each kind are sorted by name, so that a dense id is the rank of its name and equal
//! texts give equal ids at every instance.

use crate::forward::{Forward, Limits};
use crate::key::Key;
use entity::id;
use entity::name;
use entity::time::Span;
use entity::unit::{Cost, Share};
use entity::{Map, Moment, id::Id};
use std::net::SocketAddr;

/// One checked configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    /// Availability zones, by name.
    pub zones: Map<id::Zone, Zone>,
    /// Services, by name.
    pub services: Map<id::Service, Service>,
    /// Versions of models, by name.
    pub versions: Map<id::Version, Version>,
    /// Upstreams, by name.
    pub upstreams: Map<id::Upstream, Upstream>,
    /// Organisations, by name.
    pub organisations: Map<id::Organisation, Organisation>,
    /// Routes of plain services, by service, method and path.
    pub routes: Vec<Route>,
    /// Roll-outs, by service; at most one for each service.
    pub rollouts: Vec<Rollout>,
    /// Orders to move services to other releases, by service; at most one for each.
    pub moves: Vec<Move>,
    /// Routes of requests that are passed on unchanged, by host and prefix.
    pub forwards: Vec<Forward>,
    /// What callers of those routes may send.
    pub limits: Limits,
}

/// Whether operators let a zone or an upstream receive new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It receives new work.
    In,
    /// It receives no new work: a zone taken out, or an upstream that is leaving.
    Out,
}

/// `[zone NAME]`: an availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Its name.
    pub name: name::Zone,
    /// `region`: the region that it is in.
    pub region: name::Region,
    /// `state = in | out`.
    pub state: Presence,
}

/// What a service is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Chat completions by models.
    Chat,
    /// A plain service, to which requests are passed on by path and method.
    Plain,
}

/// `[service NAME]`: what callers ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name; callers of chat services give it as the model.
    pub name: name::Service,
    /// `kind = chat | plain`.
    pub kind: Kind,
    /// `depends`: services that this one needs, without cycles.
    pub depends: Vec<id::Service>,
    /// `versions`: versions that can answer for a chat service; empty for a plain one.
    pub versions: Vec<id::Version>,
    /// `quality`: the least mean rating, as a share of the best; whole for a plain service.
    pub quality: Share,
    /// `cascade = yes | no`: whether a cheap answer may be escalated to a dearer version.
    pub cascade: bool,
    /// `deadline`: longest time for a whole answer, where the caller gives none.
    pub deadline: Span,
    /// Models of a service whose requests are passed on, with their prices for a thousand generated
    /// tokens.
    pub models: Vec<(name::Model, Cost)>,
}

impl Service {
    /// The price of a model in relation to that of the dearest: what engine time costs, so that it
    /// stands for the time that a model takes for a token.
    pub fn weight(&self, model: &name::Model) -> f64 {
        let own = self.models.iter().find(|(known, _)| known == model);
        let most = self.models.iter().map(|(_, price)| price.credits());
        let most = most.fold(0.0, f64::max);
        match own {
            Some((_, price)) if most > 0.0 => price.credits() / most,
            _ => 1.0,
        }
    }
}

/// Whether operators let a version receive new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It receives new work.
    Active,
    /// It receives no new work, whatever a session says.
    Withdrawn,
}

/// `[version NAME]`: a version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Its name.
    pub name: name::Version,
    /// `model`: the model that it is a version of.
    pub model: Model,
    /// `price-in`: for a thousand tokens of prompt.
    pub price_in: Cost,
    /// `price-out`: for a thousand generated tokens.
    pub price_out: Cost,
    /// `state = active | withdrawn`.
    pub stage: Stage,
}

/// The model of a version.
pub type Model = name::Model;

/// Whether an upstream refuses an order with an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// It refuses orders with a number below the largest that it has seen.
    Checked,
    /// It takes any order.
    Ignored,
}

/// `[upstream NAME]`: a server that runs requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its name.
    pub name: name::Upstream,
    /// `zone`: the availability zone that it is in.
    pub zone: id::Zone,
    /// `address`: IP number and port.
    pub address: SocketAddr,
    /// `versions`: versions that it has, sorted.
    pub versions: Vec<id::Version>,
    /// `services`: plain services that it runs, sorted.
    pub services: Vec<id::Service>,
    /// `warm`: most requests at once, over all instances, while it is warm.
    pub warm: u32,
    /// `cold`: most requests at once, over all instances, while it is in cold start.
    pub cold: u32,
    /// `fencing = checked | ignored`.
    pub fencing: Fencing,
    /// `state = in | leaving`.
    pub state: Presence,
    /// What the upstream says of itself; none for one that operators listed.
    pub registration: Option<Registration>,
}

/// What an upstream that registered itself says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// When it started, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Until when it is in cold start.
    pub cold_until: Moment,
    /// Requests a second that it bears in cold start, from all instances together.
    pub cold_rate: u32,
}

/// `[organisation NAME]`: a customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: name::Organisation,
    /// `services`: services that it may use, sorted.
    pub services: Vec<id::Service>,
    /// `versions`: versions that may run its requests, sorted; `*` in the text is all of them.
    pub versions: Vec<id::Version>,
    /// `weight`: its share under contention, in relation to the others'.
    pub weight: u32,
    /// `reserve`: requests at once for which it has asked capacity to be kept.
    pub reserve: u32,
    /// `keys`: salted hashes of its bearer keys.
    pub keys: Vec<Key>,
    /// How urgent its forwarded requests are, in place of their route's priority.
    pub priority: Option<u8>,
    /// Regions that its forwarded requests may go to, sorted; empty for all.
    pub regions: Vec<name::Region>,
}

/// Whether a call of a plain service may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Running it again does no harm: it may be retried.
    Safe,
    /// It runs at most once for each idempotency key.
    Never,
}

/// `[route SERVICE METHOD PATH]`: calls of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The service.
    pub service: id::Service,
    /// The HTTP method, in capitals.
    pub method: Box<str>,
    /// The path below the service; a trailing `*` stands for any rest.
    pub path: Box<str>,
    /// `repeat = safe | never`.
    pub repeat: Repeat,
    /// `price`: for one call.
    pub price: Cost,
}

/// `[rollout SERVICE]`: new sessions of a service move from one version to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// The service.
    pub service: id::Service,
    /// `from`: the version in service.
    pub from: id::Version,
    /// `to`: the new version.
    pub to: id::Version,
    /// `share`: the share of new sessions that begin on the new version.
    pub share: Share,
    /// `limit`: the largest share to which ratings may raise it without an edit of the text.
    pub limit: Share,
    /// `false-alarm`: the rate of false alarms of the brake, over the whole roll-out.
    pub false_alarm: Share,
}

/// How far an order to move a service to another release has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Both releases serve.
    Running,
    /// The new release serves alone; the old one may be stopped.
    Completed,
    /// The new release turned out bad.
    RolledBack,
}

/// An order to move a service whose upstreams register themselves to another release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The service.
    pub service: id::Service,
    /// The release to move to.
    pub target: id::Version,
    /// Time to complete it in.
    pub duration: Span,
    /// When this instance read it first.
    pub read: Moment,
    /// How far it has come, as instances wrote.
    pub progress: Option<Progress>,
}

macro_rules! lookup {
    ($function:ident, $field:ident, $entity:ident) => {
        /// The entity of this name, by binary search.
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

    /// The roll-out of a service, if one is under way.
    pub fn rollout(&self, service: id::Service) -> Option<&Rollout> {
        let found = self
            .rollouts
            .binary_search_by_key(&service, |rollout| rollout.service);
        found.ok().map(|index| &self.rollouts[index])
    }

    /// Whether an upstream may receive new work by the text alone: neither it is leaving nor its
    /// zone is out.
    pub fn in_service(&self, upstream: id::Upstream) -> bool {
        let upstream = &self.upstreams[upstream];
        upstream.state == Presence::In && self.zones[upstream.zone].state == Presence::In
    }

    /// Whether an organisation may use a version for a service, and the version is active.
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
