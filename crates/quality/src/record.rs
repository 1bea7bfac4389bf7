//! What an instance knows about one version for one service, kept by name over generations.

use crate::histogram::Histogram;
use crate::posterior::Posterior;
use crate::totals::Totals;
use entity::unit::Tokens;
use entity::{Moment, Span, name};

/// Weight of the newest measurement in a running average.
const NEWEST: f64 = 0.05;

/// Generated tokens that an answer is assumed to have until one was measured.
const ASSUMED_OUTPUT: Tokens = Tokens(400);

/// A running average with the running mean of its deviations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Average {
    value: Option<f64>,
    deviation: f64,
}

impl Average {
    /// Adds a measurement.
    pub fn add(&mut self, measured: f64) {
        let Some(value) = self.value else {
            self.value = Some(measured);
            self.deviation = measured / 2.0;
            return;
        };
        self.deviation += NEWEST * ((measured - value).abs() - self.deviation);
        self.value = Some(value + NEWEST * (measured - value));
    }

    /// The average, if anything was measured.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// A value that few measurements exceed: the average and three deviations.
    pub fn high(&self) -> Option<f64> {
        self.value.map(|value| value + 3.0 * self.deviation)
    }
}

/// Ratings, times and lengths of one version's answers for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The service.
    pub service: name::Service,
    /// The version.
    pub version: name::Version,
    /// The mean rating of answers that it was asked for first.
    pub posterior: Posterior,
    /// The mean rating of answers that were escalated to it, which are harder than the average.
    pub escalated: Posterior,
    /// The distribution of ratings.
    pub histogram: Histogram,
    /// This instance's own ratings of first answers.
    pub own: Totals,
    /// Number of them that others were told.
    pub(crate) told: u32,
    /// Seconds for a whole answer.
    latency: Average,
    /// Generated tokens of an answer.
    output: Average,
}

impl Record {
    /// A record of nothing.
    pub fn new(service: name::Service, version: name::Version) -> Self {
        Self {
            service,
            version,
            posterior: Posterior::default(),
            escalated: Posterior::default(),
            histogram: Histogram::default(),
            own: Totals::default(),
            told: 0,
            latency: Average::default(),
            output: Average::default(),
        }
    }

    /// Adds a rating of a first answer that this instance saw.
    pub fn rate(&mut self, score: f64, weight: f64, at: Moment) {
        self.posterior.add(score, weight, at);
        self.histogram.add(score, weight);
        self.own.add(score);
    }

    /// Adds ratings of first answers that other instances saw.
    pub(crate) fn add(&mut self, totals: &Totals, at: Moment) {
        let ratings = f64::from(totals.ratings);
        self.posterior
            .add_sums(ratings, totals.scores, totals.squares, at);
        self.histogram.add_counts(&totals.counts);
    }

    /// Adds how long a whole answer took and how many tokens it had.
    pub fn measure(&mut self, latency: Span, output: Tokens) {
        self.latency.add(latency.as_secs_f64());
        self.output.add(output.0 as f64);
    }

    /// Seconds that few whole answers exceed, if any was measured.
    pub fn latency(&self) -> Option<f64> {
        self.latency.high()
    }

    /// Generated tokens to expect of an answer.
    pub fn output(&self) -> f64 {
        self.output.value().unwrap_or(ASSUMED_OUTPUT.0 as f64)
    }
}
