//! Ratings, latencies and answer lengths of one version for one service. Records are keyed by name
//! and survive configuration changes.

use crate::histogram::Histogram;
use crate::posterior::Posterior;
use crate::totals::Totals;
use entity::unit::Tokens;
use entity::{Moment, Span, name};

/// Weight of the newest measurement in an exponential moving average.
const MEASUREMENT_EWMA_WEIGHT: f64 = 0.05;

/// Number of generated tokens assumed for an answer until one has been measured.
const ASSUMED_OUTPUT: Tokens = Tokens(400);

/// An exponential moving average together with the average absolute deviation from it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Average {
    value: Option<f64>,
    deviation: f64,
}

impl Average {
    /// Adds a measurement to the average.
    pub fn add(&mut self, measured: f64) {
        let Some(value) = self.value else {
            self.value = Some(measured);
            self.deviation = measured / 2.0;
            return;
        };
        self.deviation += MEASUREMENT_EWMA_WEIGHT * ((measured - value).abs() - self.deviation);
        self.value = Some(value + MEASUREMENT_EWMA_WEIGHT * (measured - value));
    }

    /// Returns the average, or `None` if nothing has been measured.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// Returns a value that few measurements exceed: the average plus three deviations.
    pub fn upper(&self) -> Option<f64> {
        self.value.map(|value| value + 3.0 * self.deviation)
    }
}

/// Ratings, latencies and lengths of one version's answers for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The rated service.
    pub service: name::Service,
    /// The rated version.
    pub version: name::Version,
    /// Posterior of the mean rating of answers for which this version was asked first.
    pub posterior: Posterior,
    /// Posterior of the mean rating of answers that were escalated to this version. Escalated
    /// requests are harder than the average.
    pub escalated: Posterior,
    /// Distribution of the ratings of first answers.
    pub histogram: Histogram,
    /// Totals of the ratings of first answers that this instance received.
    pub own: Totals,
    /// Number of the ratings in `own` that have been sent to peers.
    pub(crate) sent: u32,
    /// Time to a complete answer, in seconds.
    latency: Average,
    /// Number of generated tokens of an answer.
    output: Average,
}

impl Record {
    /// Returns an empty record.
    pub fn new(service: name::Service, version: name::Version) -> Self {
        Self {
            service,
            version,
            posterior: Posterior::default(),
            escalated: Posterior::default(),
            histogram: Histogram::default(),
            own: Totals::default(),
            sent: 0,
            latency: Average::default(),
            output: Average::default(),
        }
    }

    /// Adds a rating of a first answer that this instance received.
    pub fn rate(&mut self, score: f64, weight: f64, at: Moment) {
        self.posterior.add(score, weight, at);
        self.histogram.add(score, weight);
        self.own.add(score);
    }

    /// Adds totals of ratings of first answers that a peer received.
    pub(crate) fn add(&mut self, totals: &Totals, at: Moment) {
        let ratings = f64::from(totals.ratings);
        self.posterior
            .add_sums(ratings, totals.scores, totals.squares, at);
        self.histogram.add_counts(&totals.counts);
    }

    /// Adds the latency of a complete answer and the number of its generated tokens.
    pub fn measure(&mut self, latency: Span, output: Tokens) {
        self.latency.add(latency.as_secs_f64());
        self.output.add(output.0 as f64);
    }

    /// Returns a time in seconds that few complete answers exceed, or `None` if none was measured.
    pub fn latency(&self) -> Option<f64> {
        self.latency.upper()
    }

    /// Returns the expected number of generated tokens of an answer.
    pub fn output(&self) -> f64 {
        self.output.value().unwrap_or(ASSUMED_OUTPUT.0 as f64)
    }
}
