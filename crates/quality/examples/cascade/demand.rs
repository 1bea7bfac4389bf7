//! The services of both users, and how good the versions are for them.

use crate::common::{self, exponential};
use rand::{Rng, RngExt};

/// Length of a run, in seconds.
pub const DAY: f64 = 8.0 * 3600.0;

/// When the small version is worse, in seconds.
const WORSE: (f64, f64) = (3.0 * 3600.0, 4.0 * 3600.0);

/// By how much its probability of a bad answer is then higher.
const WORSE_BY: f64 = 0.3;

/// When the rating service is out, in seconds.
const OUTAGE: (f64, f64) = (5.0 * 3600.0, 5.5 * 3600.0);

/// Credits for a thousand generated tokens, by version.
pub const PRICES: [f64; 2] = [0.1, 1.0];

/// The index of the small version.
pub const SMALL: usize = 0;

/// The index of the large version.
pub const LARGE: usize = 1;

/// One service.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Its name.
    pub name: &'static str,
    /// Requests a second, over all instances.
    rate: f64,
    /// The target of the mean rating.
    pub target: f64,
    /// Whether answers are streamed to somebody who waits.
    pub streamed: bool,
    /// Times of an answer of the small and the large version, in seconds.
    pub latency: [f64; 2],
    /// Mean probability of a bad answer of the small version, in each language or kind of file.
    small: &'static [f64],
}

/// Residents on the line in English and Arabic, and morning drafts.
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

/// Advisers' questions, renewal drafts and tags.
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

/// One request's answers by both versions, drawn beforehand.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Latent qualities.
    pub quality: [f64; 2],
    /// Ratings.
    pub score: [f64; 2],
}

/// Whether the rating service is out.
pub fn is_out(at: f64) -> bool {
    (OUTAGE.0..OUTAGE.1).contains(&at)
}

/// Whether the small version is worse.
pub fn is_worse(at: f64) -> bool {
    (WORSE.0..WORSE.1).contains(&at)
}

/// The part of a day in which the small version is worse.
pub fn worse_part() -> f64 {
    (WORSE.1 - WORSE.0) / DAY
}

impl Demand {
    /// Time to the next request, in seconds.
    pub fn gap(&self, rng: &mut impl Rng) -> f64 {
        exponential(rng, 1.0 / self.rate)
    }

    /// A request while the small version is worse or not.
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
