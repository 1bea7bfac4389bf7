//! Configurations and ratings for the tests.
#![allow(dead_code, missing_docs)]

use config::model::{Config, Kind, Rollout, Service, Stage, Version};
use entity::unit::{Cost, Share, Tokens};
use entity::{Map, Moment, Span, id, id::Id, name};
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use quality::{Class, Judge, Query, Rating};

pub const SERVICE: &str = "advice";
/// Version names in the order of their ids, which is alphabetical: the large one, its successor,
/// the small one.
pub const VERSIONS: [&str; 3] = ["large/1", "large/2", "small/1"];
pub const LARGE: usize = 0;
pub const NEW: usize = 1;
pub const SMALL: usize = 2;

pub fn service() -> name::Service {
    SERVICE.parse().expect("a valid name")
}

pub fn version(index: usize) -> name::Version {
    VERSIONS[index].parse().expect("a valid name")
}

pub fn id(index: usize) -> id::Version {
    id::Version::new(index)
}

pub fn second(second: f64) -> Moment {
    Moment(1_700_000_000_000_000 + (second * 1e6) as u64)
}

pub fn share(text: &str) -> Share {
    text.parse().expect("a share")
}

pub fn rollout(first: &str, limit: &str, false_alarm: &str) -> Rollout {
    Rollout {
        service: id::Service::new(0),
        from: id(LARGE),
        to: id(NEW),
        share: share(first),
        limit: share(limit),
        false_alarm: share(false_alarm),
    }
}

pub fn config(quality: &str, cascade: bool, rollouts: Vec<Rollout>) -> Config {
    let price = |index| if index == SMALL { 100_000 } else { 1_000_000 };
    let versions = (0..VERSIONS.len()).map(|index| Version {
        name: version(index),
        model: "m".parse().expect("a valid name"),
        price_in: Cost(price(index)),
        price_out: Cost(price(index)),
        stage: Stage::Active,
    });
    Config {
        versions: Map::new(versions.collect()),
        services: Map::new(vec![Service {
            name: service(),
            kind: Kind::Chat,
            depends: Vec::new(),
            versions: (0..VERSIONS.len()).map(id).collect(),
            quality: share(quality),
            cascade,
            deadline: Span::from_secs(30),
            models: Vec::new(),
        }]),
        rollouts,
        ..Config::default()
    }
}

pub fn query(candidates: &[id::Version], position: Share, now: Moment) -> Query<'_> {
    Query {
        service: id::Service::new(0),
        candidates,
        class: Class::Batch,
        streamed: false,
        prompt: Tokens(500),
        budget: Span::from_secs(30),
        position,
        now,
    }
}

pub fn rate(judge: &mut Judge, of: usize, score: f64, at: Moment) {
    judge.rate(&Rating {
        service: &service(),
        version: &version(of),
        escalated: false,
        score,
        weight: 1.0,
        at,
    });
}

/// Returns a configuration with a number of cases that are the same in each run.
pub fn fixed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
