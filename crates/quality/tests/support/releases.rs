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
pub fn before_the_order() -> Config {
    Config {
        moves: Vec::new(),
        upstreams: Map::new(vec![config(None).upstreams.values()[0].clone()]),
        ..config(None)
    }
}
