//! Fixed policies and the oracle.

use crate::demand::{Demand, LARGE, PRICES, SMALL, worse_share};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::fmt;

/// Number of draws from which the oracle's expectations are computed.
const DRAWS: usize = 40_000;

/// A policy for choosing a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Always the large version.
    Large,
    /// Always the small version.
    Small,
    /// A fixed share of requests to the small version, the rest to the large one.
    Split,
    /// The judge.
    Judge,
    /// The judge without cascades.
    Direct,
    /// The cheapest choice that is known to meet the target.
    Oracle,
}

impl Kind {
    /// All policies.
    pub const ALL: [Self; 6] = [
        Self::Large,
        Self::Small,
        Self::Split,
        Self::Direct,
        Self::Judge,
        Self::Oracle,
    ];
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Large => "always large",
            Self::Small => "always small",
            Self::Split => "fixed split",
            Self::Judge => "judge",
            Self::Direct => "judge without cascades",
            Self::Oracle => "oracle",
        })
    }
}

/// A choice made with full knowledge of the distributions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// One version.
    Version(usize),
    /// The small version, followed by the large one if the rating is below the threshold.
    Cascade(f64),
}

/// Returns the mean quality of both versions for the normal or the worse state of the small
/// version.
fn means(demand: &Demand, worse: bool) -> [f64; 2] {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut sums = [0.0; 2];
    for _ in 0..DRAWS {
        let request = demand.request(&mut rng, worse);
        sums[SMALL] += request.quality[SMALL];
        sums[LARGE] += request.quality[LARGE];
    }
    sums.map(|sum| sum / DRAWS as f64)
}

/// Returns the largest share of requests to the small version with which the mean quality of the
/// run meets the target.
pub fn split(demand: &Demand) -> f64 {
    let (usual, worse) = (means(demand, false), means(demand, true));
    let day =
        |version: usize| usual[version] * (1.0 - worse_share()) + worse[version] * worse_share();
    ((day(LARGE) - demand.target) / (day(LARGE) - day(SMALL)).max(1e-9)).clamp(0.0, 1.0)
}

/// Returns the oracle's choice for the normal or the worse state of the small version.
pub fn oracle(demand: &Demand, worse: bool) -> Choice {
    let means = means(demand, worse);
    if means[SMALL] >= demand.target {
        return Choice::Version(SMALL);
    }
    if demand.streamed {
        return Choice::Version(LARGE);
    }
    for percent in 1..100 {
        let threshold = f64::from(percent) / 100.0;
        let (quality, escalated) = cascade(demand, worse, threshold);
        if quality < demand.target {
            continue;
        }
        if PRICES[SMALL] + escalated * PRICES[LARGE] >= PRICES[LARGE] {
            break;
        }
        return Choice::Cascade(threshold);
    }
    Choice::Version(LARGE)
}

/// Returns the mean quality of a cascade and the fraction of requests that it escalates.
fn cascade(demand: &Demand, worse: bool, threshold: f64) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let (mut sum, mut escalated) = (0.0, 0.0);
    for _ in 0..DRAWS {
        let request = demand.request(&mut rng, worse);
        if request.score[SMALL] < threshold {
            escalated += 1.0;
            sum += request.quality[LARGE];
        } else {
            sum += request.quality[SMALL];
        }
    }
    (sum / DRAWS as f64, escalated / DRAWS as f64)
}
