//! Generates valid configurations from a seed.

use config::{
    AdminState, Config, Fencing, Key, Kind, Organisation, Repeat, Rollout, Route, Service, Stage,
    Upstream, Version, Zone,
};
use entity::id::{self, Id};
use entity::unit::{Cost, Share};
use entity::{Map, Span};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Returns a name that sorts by its index.
fn name<N: std::str::FromStr<Err: std::fmt::Debug>>(kind: &str, index: usize) -> N {
    format!("{kind}-{index:03}/x.y:z_w")
        .parse()
        .expect("a valid name")
}

struct Generator(ChaCha8Rng);

impl Generator {
    fn coin(&mut self) -> bool {
        self.0.random()
    }

    fn count(&mut self, max: usize) -> usize {
        self.0.random_range(1..=max)
    }

    fn cost(&mut self) -> Cost {
        Cost(self.0.random_range(0..5_000_000))
    }

    fn share(&mut self, max: u32) -> Share {
        Share::from_ppm(self.0.random_range(0..=max))
    }

    fn span(&mut self) -> Span {
        Span::from_micros(self.0.random_range(0..100_000_000))
    }

    /// Returns a sorted, non-empty subset of the ids.
    fn subset<I: Id>(&mut self, ids: &[I]) -> Vec<I> {
        let required = self.0.random_range(0..ids.len());
        let mut subset = Vec::new();
        for (index, id) in ids.iter().enumerate() {
            if index == required || self.coin() {
                subset.push(*id);
            }
        }
        subset
    }

    fn zones(&mut self) -> Map<id::Zone, Zone> {
        let mut zones = Map::default();
        for index in 0..self.count(4) {
            zones.push(Zone {
                name: name("zone", index),
                region: name("region", index / 2),
                state: admin_state(self.coin()),
            });
        }
        zones
    }

    fn versions(&mut self) -> Map<id::Version, Version> {
        let mut versions = Map::default();
        for index in 0..self.count(6) {
            versions.push(Version {
                name: name("version", index),
                model: name("model", index / 2),
                price_in: self.cost(),
                price_out: self.cost(),
                stage: if index > 0 && self.coin() {
                    Stage::Withdrawn
                } else {
                    Stage::Active
                },
            });
        }
        versions
    }

    fn services(&mut self, versions: &[id::Version]) -> Map<id::Service, Service> {
        let mut services: Map<id::Service, Service> = Map::default();
        for index in 0..self.count(5) {
            let earlier: Vec<_> = services.keys().collect();
            let chat = self.coin();
            let mut listed = if chat {
                self.subset(versions)
            } else {
                Vec::new()
            };
            // The first version is always active; every chat service lists it, so that each organisation
            // has an active version.
            if chat && listed[0] != versions[0] {
                listed.insert(0, versions[0]);
            }
            services.push(Service {
                name: name("service", index),
                kind: if chat { Kind::Chat } else { Kind::Plain },
                depends: if index > 0 && self.coin() {
                    self.subset(&earlier)
                } else {
                    Vec::new()
                },
                versions: listed,
                quality: if chat {
                    self.share(1_000_000)
                } else {
                    Share::WHOLE
                },
                cascade: chat && self.coin(),
                deadline: self.span(),
                models: Vec::new(),
            });
        }
        services
    }

    fn upstreams(&mut self, config: &Config) -> Map<id::Upstream, Upstream> {
        let zones: Vec<_> = config.zones.keys().collect();
        let versions: Vec<_> = config.versions.keys().collect();
        let plain: Vec<_> = plain_services(config);
        let mut upstreams = Map::default();
        for index in 0..self.count(5) {
            let warm = self.0.random_range(1..100);
            let all = index == 0;
            upstreams.push(Upstream {
                name: name("upstream", index),
                zone: zones[self.0.random_range(0..zones.len())],
                address: ([127, 0, 0, 1], 1000 + index as u16).into(),
                versions: if all {
                    versions.clone()
                } else {
                    self.subset(&versions)
                },
                services: if all { plain.clone() } else { Vec::new() },
                warm,
                cold: self.0.random_range(0..=warm),
                fencing: if self.coin() {
                    Fencing::Checked
                } else {
                    Fencing::Ignored
                },
                state: admin_state(self.coin()),
                registration: None,
            });
        }
        upstreams
    }

    fn organisations(&mut self, config: &Config) -> Map<id::Organisation, Organisation> {
        let versions: Vec<_> = config.versions.keys().collect();
        let mut organisations = Map::default();
        for index in 0..self.count(4) {
            let mut allowed = self.subset(&versions);
            if allowed[0] != versions[0] {
                allowed.insert(0, versions[0]);
            }
            let bearer = format!("bearer-{index}");
            organisations.push(Organisation {
                name: name("organisation", index),
                services: config.services.keys().collect(),
                versions: allowed,
                weight: self.0.random_range(1..50),
                reserve: self.0.random_range(0..50),
                keys: vec![Key::generate("first.key", &bearer, &mut self.0)],
                priority: None,
                regions: Vec::new(),
            });
        }
        organisations
    }

    fn rollouts(&mut self, config: &Config) -> Vec<Rollout> {
        let mut rollouts = Vec::new();
        for (service, value) in config.services.iter() {
            let [from, to, ..] = value.versions[..] else {
                continue;
            };
            let limit = self.0.random_range(0..=1_000_000);
            rollouts.push(Rollout {
                service,
                from,
                to,
                share: self.share(limit),
                limit: Share::from_ppm(limit),
                false_alarm: self.share(1_000_000),
            });
        }
        rollouts
    }
}

fn admin_state(is_in: bool) -> AdminState {
    if is_in {
        AdminState::In
    } else {
        AdminState::Out
    }
}

fn plain_services(config: &Config) -> Vec<id::Service> {
    let services = config.services.iter();
    let plain = services.filter(|(_, service)| service.kind == Kind::Plain);
    plain.map(|(id, _)| id).collect()
}

fn routes(config: &Config) -> Vec<Route> {
    let mut routes = Vec::new();
    for service in plain_services(config) {
        for (method, path, repeat) in [
            ("GET", "/things/*", Repeat::Safe),
            ("POST", "/things", Repeat::Never),
        ] {
            routes.push(Route {
                service,
                method: method.into(),
                path: path.into(),
                repeat,
                price: Cost(service.index() as u64),
            });
        }
    }
    routes
}

/// Returns the configuration for a seed.
pub fn config(seed: u64) -> Config {
    let mut generator = Generator(ChaCha8Rng::seed_from_u64(seed));
    let mut config = Config {
        zones: generator.zones(),
        versions: generator.versions(),
        ..Config::default()
    };
    let versions: Vec<_> = config.versions.keys().collect();
    config.services = generator.services(&versions);
    config.upstreams = generator.upstreams(&config);
    config.organisations = generator.organisations(&config);
    config.routes = routes(&config);
    config.rollouts = generator.rollouts(&config);
    config
}
