//! Resolution of the catalog into a configuration with dense ids.

use crate::catalog::{self, Publication};
use crate::fold::{Fold, RegisteredUpstream};
use config::forward::{Destination, Forward};
use config::{
    AdminState, Config, Fencing, Kind, Move, Organisation, Progress, Registration, Service, Stage,
    Upstream, Version, Zone,
};
use entity::id::{self, Id};
use entity::unit::{Cost, Share};
use entity::{Map, Span, name};

/// Name of the organisation that stands for all callers of public routes. It can't collide with an
/// operator's organisation, since their names begin with a letter.
pub const PUBLIC: &str = ":public";

/// Regions of the availability zones, from the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneRegions {
    /// Zones with their regions, sorted by zone.
    pub zones: Vec<(name::Zone, name::Region)>,
}

impl ZoneRegions {
    /// Returns the region of a zone; none if the zone is unknown.
    pub fn region(&self, zone: &name::Zone) -> Option<&name::Region> {
        let found = self.zones.binary_search_by(|(known, _)| known.cmp(zone));
        found.ok().map(|index| &self.zones[index].1)
    }
}

/// Returns the version name of a service's release, or `None` if the release is no valid name.
pub fn version_name(service: &name::Service, release: &str) -> Option<name::Version> {
    format!("{service}/{release}").parse().ok()
}

/// Builds the configuration from the fold. Returns `None` before the first publication.
pub fn resolve(fold: &Fold, zone_regions: &ZoneRegions) -> Option<Config> {
    let publication = fold.publication()?;
    let mut config = Config {
        zones: zones(fold, zone_regions),
        limits: publication.limits,
        ..Config::default()
    };
    config.versions = versions(fold);
    config.services = services(publication, &config);
    config.upstreams = upstreams(fold, publication, &config);
    config.organisations = organisations(publication, &config);
    config.moves = moves(fold, &config);
    config.completed = completed(fold, &config);
    config.forwards = forwards(publication, &config);
    Some(config)
}

fn zones(fold: &Fold, zone_regions: &ZoneRegions) -> Map<id::Zone, Zone> {
    let unknown: name::Region = "unknown".parse().expect("a valid name");
    let mut named: Vec<(name::Zone, name::Region)> = zone_regions.zones.clone();
    for registered in fold.upstreams() {
        let zone = &registered.registration.zone;
        if let Err(index) = named.binary_search_by(|(other, _)| other.cmp(zone)) {
            named.insert(index, (zone.clone(), unknown.clone()));
        }
    }
    let zone = |(name, region): (name::Zone, name::Region)| {
        let out = fold.evacuated().any(|zone| *zone == name);
        let state = if out { AdminState::Out } else { AdminState::In };
        Zone {
            name,
            region,
            state,
        }
    };
    Map::new(named.into_iter().map(zone).collect())
}

/// Collects the releases of all services, sorted by name.
fn versions(fold: &Fold) -> Map<id::Version, Version> {
    let mut named = Vec::new();
    let mut add = |service: &name::Service, release: &str| {
        let model = service.as_str().parse::<name::Model>();
        let (Some(name), Ok(model)) = (version_name(service, release), model) else {
            return;
        };
        let found = named.binary_search_by(|(other, _): &(name::Version, _)| other.cmp(&name));
        if let Err(index) = found {
            named.insert(index, (name, model));
        }
    };
    for registered in fold.upstreams() {
        add(
            &registered.registration.service,
            &registered.registration.release,
        );
    }
    for order in fold.orders() {
        add(&order.rollout.service, &order.rollout.target);
    }
    let version = |(name, model)| Version {
        name,
        model,
        price_in: Cost(0),
        price_out: Cost(0),
        stage: Stage::Active,
    };
    Map::new(named.into_iter().map(version).collect())
}

fn services(publication: &Publication, config: &Config) -> Map<id::Service, Service> {
    let mut services = Vec::new();
    for service in &publication.services {
        let prefix = format!("{}/", service.name);
        let own = config
            .versions
            .iter()
            .filter(|(_, version)| version.name.as_str().starts_with(&prefix));
        services.push(Service {
            name: service.name.clone(),
            kind: Kind::Plain,
            depends: Vec::new(),
            versions: own.map(|(id, _)| id).collect(),
            quality: Share::WHOLE,
            cascade: false,
            deadline: Span::ZERO,
            models: service
                .models
                .iter()
                .map(|model| (model.name.clone(), model.price))
                .collect(),
        });
    }
    services.sort_by(|left, right| left.name.cmp(&right.name));
    services.dedup_by(|left, right| left.name == right.name);
    Map::new(services)
}

fn upstreams(
    fold: &Fold,
    publication: &Publication,
    config: &Config,
) -> Map<id::Upstream, Upstream> {
    let mut upstreams = Vec::new();
    for registered in fold.upstreams() {
        // An upstream whose service is not published yet is skipped here; the fold retains it.
        let service = publication
            .services
            .iter()
            .find(|service| service.name == registered.registration.service);
        let upstream = service.and_then(|service| upstream(registered, service, config));
        upstreams.extend(upstream);
    }
    Map::new(upstreams)
}

fn upstream(
    registered: &RegisteredUpstream,
    service: &catalog::Service,
    config: &Config,
) -> Option<Upstream> {
    let registration = &registered.registration;
    let version = version_name(&registration.service, &registration.release)?;
    let state = if registered.is_ready() {
        AdminState::In
    } else {
        AdminState::Out
    };
    Some(Upstream {
        name: registered.name.clone(),
        zone: config.zone(registration.zone.as_str())?,
        address: registration.address,
        versions: vec![config.version(version.as_str())?],
        services: vec![config.service(registration.service.as_str())?],
        warm: registration.slots,
        cold: 0,
        fencing: Fencing::Ignored,
        state,
        registration: Some(Registration {
            incarnation: registration.incarnation,
            cold_until: registered.cold_until,
            cold_rate: service.cold_rate.max(0.0) as u32,
            memory: service.memory,
        }),
    })
}

fn organisations(
    publication: &Publication,
    config: &Config,
) -> Map<id::Organisation, Organisation> {
    let services: Vec<_> = config.services.keys().collect();
    let versions: Vec<_> = config.versions.keys().collect();
    let organisation = |name, keys, priority, mut regions: Vec<name::Region>| {
        regions.sort();
        Organisation {
            name,
            services: services.clone(),
            versions: versions.clone(),
            weight: 1,
            reserve: 0,
            keys,
            priority,
            regions,
        }
    };
    let public = PUBLIC.parse().expect("a valid name");
    let mut organisations = vec![organisation(public, Vec::new(), None, Vec::new())];
    for one in publication.organisations.iter().flatten() {
        organisations.push(organisation(
            one.name.clone(),
            one.keys.clone(),
            one.priority,
            one.regions.clone(),
        ));
    }
    organisations.sort_by(|left, right| left.name.cmp(&right.name));
    organisations.dedup_by(|left, right| left.name == right.name);
    Map::new(organisations)
}

fn moves(fold: &Fold, config: &Config) -> Vec<Move> {
    let mut moves = Vec::new();
    for order in fold.orders() {
        let rollout = &order.rollout;
        let service = config.service(rollout.service.as_str());
        let version = version_name(&rollout.service, &rollout.target);
        let target = version.and_then(|version| config.version(version.as_str()));
        let (Some(service), Some(target)) = (service, target) else {
            continue;
        };
        let written = fold
            .rollout_progress()
            .iter()
            .find(|one| one.service == rollout.service && one.target == rollout.target);
        moves.push(Move {
            service,
            target,
            duration: rollout.duration,
            read: order.read,
            progress: written.map(|one| one.progress),
        });
    }
    moves.sort_by_key(|order| order.service);
    moves.dedup_by_key(|order| order.service);
    moves
}

fn completed(fold: &Fold, config: &Config) -> Vec<(id::Service, id::Version)> {
    let mut completed = Vec::new();
    for written in fold.rollout_progress() {
        let service = config.service(written.service.as_str());
        let version = version_name(&written.service, &written.target);
        let version = version.and_then(|version| config.version(version.as_str()));
        if let (Some(service), Some(version), Progress::Completed) =
            (service, version, written.progress)
        {
            completed.push((service, version));
        }
    }
    completed.sort_by_key(|(service, _)| *service);
    completed
}

fn forwards(publication: &Publication, config: &Config) -> Vec<Forward> {
    let open = publication.organisations.is_none();
    let mut forwards = Vec::new();
    for route in &publication.routes {
        let mut destinations = Vec::new();
        for destination in &route.destinations {
            let Some(service) = config.service(destination.service.as_str()) else {
                continue;
            };
            destinations.push(Destination {
                service,
                weight: destination.weight,
            });
        }
        if destinations.is_empty() {
            continue;
        }
        let mut regions = route.regions.clone();
        regions.sort();
        forwards.push(Forward {
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            name: route.name.clone(),
            repeat: route.repeat,
            timeout: route.timeout,
            objective: route.objective,
            max_event_gap: route.max_event_gap,
            max_runs: route.max_runs,
            priority: route.priority,
            models: route.models.clone(),
            destinations,
            public: route.public || open,
            regions,
        });
    }
    forwards.sort_by(|left, right| (&left.host, &left.prefix).cmp(&(&right.host, &right.prefix)));
    forwards.dedup_by(|left, right| left.host == right.host && left.prefix == right.prefix);
    forwards
}

/// Returns the dense id of the organisation that stands for all callers of public routes.
pub fn public(config: &Config) -> id::Organisation {
    config
        .organisation(PUBLIC)
        .unwrap_or_else(|| id::Organisation::new(0))
}
