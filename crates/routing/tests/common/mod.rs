//! A small configuration for tests: two zones with alternating upstreams, two versions, two
//! organisations.
#![allow(dead_code, reason = "each test binary uses a part")]

use config::{
    AdminState, Config, Fencing, Kind, Organisation, Service, Stage, Upstream, Version, Zone,
};
use entity::id::{self, Id};
use entity::time::Span;
use entity::unit::{Bytes, Cost, Share};
use entity::{Generation, Map, Moment, name};
use routing::{Balancer, Bounds, Load, Members, Priority, Query};
use std::sync::Arc;

pub const START: Moment = Moment(1_000_000_000);
pub const FIRST: Generation = Generation(1);

pub fn secs(secs: u64) -> Span {
    Span::from_secs(secs)
}

pub fn millis(millis: u64) -> Span {
    Span::from_millis(millis)
}

pub fn config(upstreams: usize) -> Config {
    let zone = |name: &str| Zone {
        name: name.parse().unwrap(),
        region: "amman".parse().unwrap(),
        state: AdminState::In,
    };
    let version = |name: &str| Version {
        name: name.parse().unwrap(),
        model: "draft".parse().unwrap(),
        price_in: Cost(1),
        price_out: Cost(2),
        stage: Stage::Active,
    };
    let service = Service {
        name: "draft".parse().unwrap(),
        kind: Kind::Chat,
        depends: Vec::new(),
        versions: vec![id::Version::new(0), id::Version::new(1)],
        quality: Share::percent(80),
        cascade: false,
        deadline: secs(30),
        models: Vec::new(),
    };
    Config {
        zones: Map::new(vec![zone("amman-a"), zone("amman-b")]),
        services: Map::new(vec![service]),
        versions: Map::new(vec![version("draft/1"), version("draft/2")]),
        upstreams: Map::new((0..upstreams).map(upstream).collect()),
        organisations: Map::new(vec![organisation("clinics"), organisation("schools")]),
        ..Config::default()
    }
}

fn upstream(index: usize) -> Upstream {
    Upstream {
        name: format!("engine-{index:03}").parse().unwrap(),
        zone: id::Zone::new(index % 2),
        address: format!("127.0.0.1:{}", 9000 + index).parse().unwrap(),
        versions: vec![id::Version::new(0)],
        services: Vec::new(),
        warm: 8,
        cold: 2,
        fencing: Fencing::Checked,
        state: AdminState::In,
        registration: None,
    }
}

fn organisation(name: &str) -> Organisation {
    Organisation {
        name: name.parse().unwrap(),
        services: vec![id::Service::new(0)],
        versions: vec![id::Version::new(0), id::Version::new(1)],
        weight: 1,
        reserve: 0,
        keys: Vec::new(),
        priority: None,
        regions: Vec::new(),
    }
}

pub fn instance(index: usize) -> name::Instance {
    format!("entry-{index}").parse().unwrap()
}

pub fn engine(index: usize) -> name::Upstream {
    format!("engine-{index:03}").parse().unwrap()
}

pub fn members(version: u64, live: &[usize]) -> Members {
    Members::new(version, live.iter().map(|&index| instance(index)).collect())
}

pub fn balancer(config: &Config, seed: u64) -> Balancer {
    let zone = "amman-a".parse().unwrap();
    let mut balancer = Balancer::new(instance(0), zone, Bounds::default(), seed);
    balancer.configure(&Arc::new(config.clone()), FIRST, START);
    balancer
}

pub fn warm(as_of: Moment) -> Load {
    Load {
        as_of,
        ..Load::default()
    }
}

pub fn query(now: Moment) -> Query<'static> {
    Query {
        generation: FIRST,
        service: id::Service::new(0),
        version: Some(id::Version::new(0)),
        organisation: id::Organisation::new(0),
        prompt: Bytes(1000),
        prefix: None,
        demand: None,
        priority: Priority(0),
        excluded: &[],
        regions: None,
        deadline: now + secs(30),
        is_repeatable: true,
    }
}

/// Reports all upstreams as warm and idle.
pub fn warm_all(balancer: &mut Balancer, upstreams: usize, now: Moment) {
    for index in 0..upstreams {
        balancer.record_load(&engine(index), warm(now), now);
    }
}

/// Reads the list once a second until all slots that this instance owns are usable.
pub fn settle(balancer: &mut Balancer, live: &[usize], from: Moment) -> Moment {
    let mut now = from;
    for _ in 0..=Bounds::default().clear_time().as_secs_f64() as u64 + 1 {
        balancer.set_members(members(1, live), now, now);
        now = now + secs(1);
    }
    now
}
