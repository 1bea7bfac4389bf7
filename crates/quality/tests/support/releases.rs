//! A service with two releases.

use config::{
    AdminState, Config, Fencing, Kind, Move, Progress, Registration, Service, Stage, Upstream,
    Version, Zone,
};
use entity::id::{self, Id};
use entity::unit::{Cost, Share};
use entity::{Map, Moment, Span};

/// Time at which the order is read.
pub const START: Moment = Moment(1_000_000_000);
/// Time that the order allows.
pub const DURATION: Span = Span::from_secs(24);

/// Returns a configuration with two releases of one service and an upstream each.
pub fn config(progress: Option<Progress>) -> Config {
    let version = |name: &str| Version {
        name: name.parse().unwrap(),
        model: "advice".parse().unwrap(),
        price_in: Cost(0),
        price_out: Cost(0),
        stage: Stage::Active,
    };
    let upstream = |name: &str, index: usize| Upstream {
        name: name.parse().unwrap(),
        zone: id::Zone::new(0),
        address: ([127, 0, 0, 1], 9000).into(),
        versions: vec![id::Version::new(index)],
        services: vec![id::Service::new(0)],
        warm: 4,
        cold: 0,
        fencing: Fencing::Ignored,
        state: AdminState::In,
        registration: Some(Registration {
            incarnation: 1,
            cold_until: Moment(0),
            cold_rate: 10,
            memory: None,
        }),
    };
    let mut config = Config {
        zones: Map::new(vec![Zone {
            name: "a".parse().unwrap(),
            region: "r".parse().unwrap(),
            state: AdminState::In,
        }]),
        services: Map::new(vec![Service {
            name: "advice".parse().unwrap(),
            kind: Kind::Plain,
            depends: Vec::new(),
            versions: vec![id::Version::new(0), id::Version::new(1)],
            quality: Share::WHOLE,
            cascade: false,
            deadline: Span::ZERO,
            models: Vec::new(),
        }]),
        versions: Map::new(vec![version("advice/v1"), version("advice/v2")]),
        upstreams: Map::new(vec![upstream("i-1", 0), upstream("i-2", 1)]),
        ..Config::default()
    };
    config.moves = vec![Move {
        service: id::Service::new(0),
        target: id::Version::new(1),
        duration: DURATION,
        read: START,
        progress,
    }];
    config
}

/// The same before an order: only the old release has an upstream.
#[allow(dead_code, reason = "not every test begins before an order")]
pub fn before_the_order() -> Config {
    Config {
        moves: Vec::new(),
        upstreams: Map::new(vec![config(None).upstreams.values()[0].clone()]),
        ..config(None)
    }
}

/// A service with up to three releases, `v1` to `v3`, and what the store says of its orders.
#[derive(Clone, Copy, Debug, Default)]
#[allow(dead_code, reason = "not every test has several releases")]
pub struct Fleet {
    /// Number of upstreams of each release.
    upstreams: [usize; 3],
    /// Release that the order names.
    target: Option<usize>,
    /// Time at which the order was read; `START` by default.
    read: Option<Moment>,
    progress: Option<Progress>,
    /// Release that the store names as the target of a completed order.
    completed: Option<usize>,
}

#[allow(dead_code, reason = "not every test has several releases")]
impl Fleet {
    /// Sets the number of upstreams of each release.
    pub fn with(self, upstreams: [usize; 3]) -> Self {
        Self { upstreams, ..self }
    }

    /// Orders a move to a release.
    pub fn ordered(self, release: &str) -> Self {
        let target = ["v1", "v2", "v3"].iter().position(|one| *one == release);
        Self { target, ..self }
    }

    /// Sets the release that the store names as the target of a completed order.
    pub fn completed(self, release: &str) -> Self {
        let completed = ["v1", "v2", "v3"].iter().position(|one| *one == release);
        Self { completed, ..self }
    }

    /// Sets the time at which the order was read.
    pub fn read(self, read: Moment) -> Self {
        let read = Some(read);
        Self { read, ..self }
    }

    /// Sets the progress of the order that is in the store.
    pub fn progress(self, progress: Option<Progress>) -> Self {
        Self { progress, ..self }
    }
}

/// Returns the configuration of a fleet. Only releases with an upstream or an order are in it.
#[allow(dead_code, reason = "not every test has several releases")]
pub fn fleet(fleet: Fleet) -> Config {
    let mut config = config(None);
    let version = config.versions.values()[0].clone();
    let upstream = config.upstreams.values()[0].clone();
    let (mut versions, mut upstreams, mut target) = (Vec::new(), Vec::new(), None);
    let mut completed = Vec::new();
    for (release, &count) in fleet.upstreams.iter().enumerate() {
        let ordered = fleet.target == Some(release);
        if count == 0 && !ordered {
            continue;
        }
        let id = id::Version::new(versions.len());
        if ordered {
            target = Some(id);
        }
        if fleet.completed == Some(release) {
            completed.push((id::Service::new(0), id));
        }
        versions.push(Version {
            name: format!("advice/v{}", release + 1).parse().unwrap(),
            ..version.clone()
        });
        for number in 0..count {
            upstreams.push(Upstream {
                name: format!("i-{release}-{number}").parse().unwrap(),
                versions: vec![id],
                ..upstream.clone()
            });
        }
    }
    let ids = (0..versions.len()).map(id::Version::new).collect();
    let service = Service {
        versions: ids,
        ..config.services.values()[0].clone()
    };
    config.services = Map::new(vec![service]);
    config.versions = Map::new(versions);
    config.upstreams = Map::new(upstreams);
    config.completed = completed;
    for order in &mut config.moves {
        order.read = fleet.read.unwrap_or(START);
        order.progress = fleet.progress;
    }
    match target {
        Some(target) => config.moves[0].target = target,
        None => config.moves.clear(),
    }
    config
}
