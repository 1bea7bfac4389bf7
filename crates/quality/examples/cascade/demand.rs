//! The services of both organisations, and the quality of the versions for them.

use crate::common::{self, exponential};
use rand::{Rng, RngExt};

/// Length of a run, in seconds.
pub const RUN_DURATION: f64 = 8.0 * 3600.0;

/// Period in which the small version is worse, in seconds.
const WORSE_PERIOD: (f64, f64) = (3.0 * 3600.0, 4.0 * 3600.0);

/// Increase of the small version's probability of a bad answer in this period.
const WORSE_BY: f64 = 0.3;

/// Period of the rating service outage, in seconds.
const OUTAGE: (f64, f64) = (5.0 * 3600.0, 5.5 * 3600.0);

/// Price of 1000 generated tokens in credits, by version.
pub const PRICES: [f64; 2] = [0.1, 1.0];

/// Index of the small version.
pub const SMALL: usize = 0;

/// Index of the large version.
pub const LARGE: usize = 1;

/// The load and quality model of one service.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Name of the service.
    pub name: &'static str,
    /// Requests per second, over all instances.
    rate: f64,
    /// Target of the mean rating.
    pub target: f64,
    /// Whether answers are streamed to a person who waits.
    pub streamed: bool,
    /// Latency of a complete answer of the small and the large version, in seconds.
    pub latency: [f64; 2],
    /// Mean probability of a bad answer of the small version, for each language or kind of file.
    small: &'static [f64],
}

/// Interactive requests of residents in English and Arabic, and drafts in the morning.
pub const WADI: [Demand; 2] = [
    Demand {
        name: "residents",
        rate: 3.6,
        target: 0.8,
        streamed: true,
        latency: [1.0, 2.0],
        small: &[0.05, 0.1, 0.1],
    },
    Demand {
        name: "drafts",
        rate: 2.4,
        target: 0.85,
        streamed: false,
        latency: [4.0, 10.0],
        small: &[0.25, 0.35],
    },
];

/// Questions of advisers, renewal drafts and tags.
pub const VERMEULEN: [Demand; 3] = [
    Demand {
        name: "advisers",
        rate: 3.0,
        target: 0.85,
        streamed: true,
        latency: [1.0, 2.0],
        small: &[0.2],
    },
    Demand {
        name: "renewals",
        rate: 4.0,
        target: 0.87,
        streamed: false,
        latency: [4.0, 10.0],
        small: &[0.3],
    },
    Demand {
        name: "tags",
        rate: 3.0,
        target: 0.85,
        streamed: false,
        latency: [0.5, 1.0],
        small: &[0.04],
    },
];

/// The answers of both versions to one request, drawn in advance.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Latent quality of each version's answer.
    pub quality: [f64; 2],
    /// Rating of each version's answer.
    pub score: [f64; 2],
}

/// Returns whether the rating service is out.
pub fn is_out(at: f64) -> bool {
    (OUTAGE.0..OUTAGE.1).contains(&at)
}

/// Returns whether the small version is worse.
pub fn is_worse(at: f64) -> bool {
    (WORSE_PERIOD.0..WORSE_PERIOD.1).contains(&at)
}

/// Returns the fraction of a run in which the small version is worse.
pub fn worse_share() -> f64 {
    (WORSE_PERIOD.1 - WORSE_PERIOD.0) / RUN_DURATION
}

impl Demand {
    /// Draws the time to the next request, in seconds.
    pub fn interarrival_time(&self, rng: &mut impl Rng) -> f64 {
        exponential(rng, 1.0 / self.rate)
    }

    /// Draws a request for the normal or the worse state of the small version.
    pub fn request(&self, rng: &mut impl Rng, worse: bool) -> Request {
        let difficulty: f64 = rng.random();
        let mean = self.small[rng.random_range(0..self.small.len())];
        let more = if worse { WORSE_BY } else { 0.0 };
        let small = (2.0 * mean * difficulty + more).min(1.0);
        let large = 0.01 + 0.03 * difficulty;
        let quality = [small, large].map(|bad| common::quality(rng, bad));
        let score = quality.map(|quality| common::score(rng, quality));
        Request { quality, score }
    }
}
