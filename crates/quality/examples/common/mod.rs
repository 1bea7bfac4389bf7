//! Simulation models of versions, workloads and the rating service.
//!
//! An answer has a latent quality from 0 to 1. With a probability that depends on its version the
//! answer is bad (uniform on 0.10 to 0.40), else good (uniform on 0.84 to 1.00). Its rating is that
//! quality with unbiased noise, which is normal except for a symmetric limit that keeps the rating
//! within 0 to 1. The rating arrives after half a second and an exponentially distributed time.

#![allow(dead_code)]

use config::model::{Config, Kind, Rollout, Service, Stage, Version};
use entity::unit::{Cost, Share};
use entity::{Map, Moment, Span, id, id::Id, name};
use rand::{Rng, RngExt};

/// Number of instances.
pub const INSTANCES: usize = 9;

/// Standard deviation of a rating's noise.
pub const NOISE: f64 = 0.1;

/// Mean of the exponential part of a rating's delay, in seconds.
pub const RATING_DELAY: f64 = 1.5;

/// Minimum delay of a rating, in seconds.
pub const MIN_RATING_DELAY: f64 = 0.5;

/// Latent quality below which an answer is bad.
pub const BAD: f64 = 0.5;

/// Draws from an exponential distribution.
pub fn exponential(rng: &mut impl Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Draws from a standard normal distribution (Box and Muller).
pub fn normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Draws the latent quality of an answer of a version with a given fraction of bad answers.
pub fn quality(rng: &mut impl Rng, bad: f64) -> f64 {
    if rng.random_bool(bad) {
        rng.random_range(0.1..0.4)
    } else {
        rng.random_range(0.84..1.0)
    }
}

/// Returns the fraction of bad answers at which the mean quality is `mean`.
pub fn bad_for(mean: f64) -> f64 {
    (0.92 - mean) / (0.92 - 0.25)
}

/// Draws the rating of an answer.
pub fn score(rng: &mut impl Rng, quality: f64) -> f64 {
    let most = quality.min(1.0 - quality);
    (quality + (NOISE * normal(rng)).clamp(-most, most)).clamp(0.0, 1.0)
}

/// Draws the delay of a rating, in seconds.
pub fn rating_delay(rng: &mut impl Rng) -> f64 {
    MIN_RATING_DELAY + exponential(rng, RATING_DELAY)
}

/// Returns the moment that is a number of seconds into a run.
pub fn moment(seconds: f64) -> Moment {
    Moment(1_700_000_000_000_000 + (seconds * 1e6) as u64)
}

/// Returns the name of the service of all runs.
pub fn service() -> name::Service {
    "service".parse().expect("a valid name")
}

/// Returns the name of the version with an index.
pub fn version(index: usize) -> name::Version {
    format!("v/{index}").parse().expect("a valid name")
}

/// Returns a configuration with one service, whose versions have the given prices per 1000 tokens.
pub fn config(prices: &[f64], target: f64, cascade: bool, rollouts: Vec<Rollout>) -> Config {
    let mut versions = Map::default();
    for (index, price) in prices.iter().enumerate() {
        versions.push(Version {
            name: version(index),
            model: "model".parse().expect("a valid name"),
            price_in: Cost((price * 1e6) as u64 / 4),
            price_out: Cost((price * 1e6) as u64),
            stage: Stage::Active,
        });
    }
    Config {
        services: Map::new(vec![Service {
            name: service(),
            kind: Kind::Chat,
            depends: Vec::new(),
            versions: versions.keys().collect(),
            quality: Share::from_fraction(target),
            cascade,
            deadline: Span::from_secs(60),
            models: Vec::new(),
        }]),
        versions,
        rollouts,
        ..Config::default()
    }
}

/// Returns the id of the version with an index.
pub fn id(index: usize) -> id::Version {
    id::Version::new(index)
}

/// Statistics of a value over several runs: its mean, and its 5th, 50th and 95th percentiles.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Half of the width of the mean's 95 % confidence interval.
    pub error: f64,
    /// 5th percentile.
    pub low: f64,
    /// Median.
    pub median: f64,
    /// 95th percentile.
    pub high: f64,
}

impl Spread {
    /// Returns the statistics of some values.
    pub fn of(values: &[f64]) -> Self {
        assert!(!values.is_empty(), "a spread needs at least one value");
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = |part: f64| sorted[((sorted.len() - 1) as f64 * part).round() as usize];
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count;
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        Self {
            mean,
            error: 1.96 * (squares / count.max(2.0)).sqrt() / count.sqrt(),
            low: at(0.05),
            median: at(0.5),
            high: at(0.95),
        }
    }
}

/// Runs a function for each seed on four threads. The results are in the order of the seeds.
pub fn each_seed<T: Send>(seeds: std::ops::Range<u64>, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    const THREADS: usize = 4;
    let seeds: Vec<u64> = seeds.collect();
    let part = seeds.len().div_ceil(THREADS);
    let run = &run;
    std::thread::scope(|scope| {
        let mut threads = Vec::new();
        for part in seeds.chunks(part) {
            threads
                .push(scope.spawn(move || part.iter().map(|seed| run(*seed)).collect::<Vec<T>>()));
        }
        let mut results = Vec::new();
        for thread in threads {
            results.extend(thread.join().expect("a run doesn't panic"));
        }
        results
    })
}
