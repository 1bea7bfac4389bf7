//! Report of a run: counts, percentiles and the history of each request.

use super::attempt::{Answer, Outcome};
use super::workload::{Arrival, Class};
use super::{Options, body_digest};
use crate::engine::answer;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Maximum time in histograms, in microseconds; longer times are recorded as this one.
const MAX_TIME_US: u64 = 600_000_000;
/// Significant decimal digits of the times in histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// One request with the outcomes of its attempts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchange {
    /// Name of its class.
    pub class: Box<str>,
    /// Organisation that sent it.
    pub organisation: Box<str>,
    /// Service that it used.
    pub service: Box<str>,
    /// Idempotency key, if its class uses them.
    pub key: Option<Box<str>>,
    /// Session, if it belongs to one.
    pub session: Option<usize>,
    /// Method and path below its plain service; `None` for chat.
    pub path: Option<Box<str>>,
    /// Hash of its body or question, by which upstreams identify what they executed.
    pub digest: Box<str>,
    /// Outcome of each attempt.
    pub attempts: Vec<Outcome>,
}

impl Exchange {
    pub(super) fn new(class: &Class, arrival: &Arrival, key: Option<Box<str>>, body: &str) -> Self {
        let digest = match class.path {
            Some(_) => body_digest(body),
            None => answer::prompt_hash(&arrival.question()),
        };
        Self {
            class: class.name.clone(),
            organisation: arrival.organisation.clone(),
            service: class.service.clone(),
            key,
            session: arrival.session,
            path: class
                .service_path(arrival)
                .map(|service_path| format!("{} {service_path}", class.method()).into()),
            digest,
            attempts: Vec::new(),
        }
    }

    pub(super) fn push(&mut self, outcome: Outcome) {
        self.attempts.push(outcome);
    }
}

/// Histogram of durations.
#[derive(Debug)]
pub(super) struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        Self(
            Histogram::new_with_max(MAX_TIME_US, SIGNIFICANT_DIGITS)
                .expect("the histogram bounds are valid"),
        )
    }
}

/// Percentiles of durations, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Percentiles {
    /// Number of durations.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

impl DurationHistogram {
    pub(super) fn add(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    pub(super) fn percentiles(&self) -> Percentiles {
        let millis = |quantile| self.0.value_at_quantile(quantile) as f64 / 1000.0;
        Percentiles {
            count: self.0.len(),
            p50: millis(0.5),
            p95: millis(0.95),
            p99: millis(0.99),
            max: self.0.max() as f64 / 1000.0,
        }
    }
}

/// Running totals of the requests of one class.
#[derive(Debug, Default)]
struct Tally {
    sent: u64,
    answered: u64,
    retried: u64,
    quality: f64,
    rated: u64,
    /// Number of attempts without an answer, by kind and reason.
    failures: BTreeMap<Box<str>, u64>,
    first: DurationHistogram,
    whole: DurationHistogram,
    gaps: DurationHistogram,
}

impl Tally {
    fn add(&mut self, exchange: &Exchange) {
        self.sent += 1;
        self.retried += u64::from(exchange.attempts.len() > 1);
        for attempt in &exchange.attempts {
            match attempt {
                Outcome::Answered(answer) => self.answer(answer),
                Outcome::Refused { code, run, .. } => self.fail(&format!("{run} {code}")),
                Outcome::Lost { reason, .. } => self.fail(&format!("lost: {reason}")),
                Outcome::Wrong { reason, .. } => self.fail(&format!("WRONG: {reason}")),
            }
        }
    }

    fn answer(&mut self, answer: &Answer) {
        self.answered += 1;
        self.whole.add(answer.whole);
        if let Some(first) = answer.first {
            self.first.add(first);
        }
        for gap in &answer.gaps {
            self.gaps.add(*gap);
        }
        if let Some(quality) = answer.quality {
            self.quality += quality;
            self.rated += 1;
        }
    }

    fn fail(&mut self, reason: &str) {
        *self.failures.entry(reason.into()).or_default() += 1;
    }

    fn summary(&self) -> Summary {
        Summary {
            sent: self.sent,
            answered: self.answered,
            retried: self.retried,
            quality: (self.rated > 0).then(|| self.quality / self.rated as f64),
            failures: self.failures.clone(),
            first_ms: self.first.percentiles(),
            gap_ms: self.gaps.percentiles(),
            whole_ms: self.whole.percentiles(),
        }
    }
}

/// Summary of one class.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Number of requests.
    pub sent: u64,
    /// Number of requests that got their complete answer.
    pub answered: u64,
    /// Number of requests with more than one attempt.
    pub retried: u64,
    /// Mean quality of the chat answers, if there were any.
    pub quality: Option<f64>,
    /// Number of attempts without an answer, by kind and reason.
    pub failures: BTreeMap<Box<str>, u64>,
    /// Time from due to the first token of streamed answers, in milliseconds.
    pub first_ms: Percentiles,
    /// Interval between tokens of streamed answers, in milliseconds.
    pub gap_ms: Percentiles,
    /// Time from due to the end of the answer, in milliseconds.
    pub whole_ms: Percentiles,
}

/// Report of a run.
#[derive(Debug)]
pub struct Report {
    seed: u64,
    seconds: f64,
    classes: BTreeMap<Box<str>, Tally>,
    exchanges: Vec<Exchange>,
}

#[derive(Serialize)]
struct Json<'a> {
    seed: u64,
    seconds: f64,
    classes: BTreeMap<&'a str, Summary>,
    session_moves: usize,
    requests: &'a [Exchange],
}

impl Report {
    pub(super) fn new(options: &Options) -> Self {
        Self {
            seed: options.seed,
            seconds: options.time.as_secs_f64(),
            classes: BTreeMap::new(),
            exchanges: Vec::new(),
        }
    }

    pub(super) fn add(&mut self, exchange: Exchange) {
        let class = self.classes.entry(exchange.class.clone()).or_default();
        class.add(&exchange);
        self.exchanges.push(exchange);
    }

    /// Returns all requests with the outcomes of their attempts.
    pub fn exchanges(&self) -> &[Exchange] {
        &self.exchanges
    }

    /// Returns the summary of each class by its name.
    pub fn summaries(&self) -> BTreeMap<&str, Summary> {
        let mut summaries = BTreeMap::new();
        for (name, tally) in &self.classes {
            summaries.insert(&**name, tally.summary());
        }
        summaries
    }

    /// Returns the number of attempts whose reply was neither an answer to them nor a refusal.
    pub fn wrong_count(&self) -> usize {
        let attempts = self
            .exchanges
            .iter()
            .flat_map(|exchange| &exchange.attempts);
        attempts
            .filter(|attempt| matches!(attempt, Outcome::Wrong { .. }))
            .count()
    }

    /// Returns, over all sessions, the number of versions beyond the first that answered it.
    pub fn session_moves(&self) -> usize {
        let mut versions: Vec<(usize, &str)> = Vec::new();
        for exchange in &self.exchanges {
            for attempt in &exchange.attempts {
                if let (Some(session), Outcome::Answered(answer)) = (exchange.session, attempt) {
                    versions.push((session, &*answer.version));
                }
            }
        }
        versions.sort_unstable();
        versions.dedup();
        let answered = versions.len();
        versions.dedup_by_key(|(session, _)| *session);
        answered - versions.len()
    }

    /// Writes the complete report as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if writing fails.
    pub fn write_json(&self, writer: impl std::io::Write) -> serde_json::Result<()> {
        let json = Json {
            seed: self.seed,
            seconds: self.seconds,
            classes: self.summaries(),
            session_moves: self.session_moves(),
            requests: &self.exchanges,
        };
        serde_json::to_writer(writer, &json)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, {} s, times in ms", self.seed, self.seconds)?;
        writeln!(
            f,
            "{:<12} {:>6} {:>8} {:>7} {:>7} {:>19} {:>19} {:>19}",
            "class",
            "sent",
            "answered",
            "retried",
            "quality",
            "first p50/p95",
            "gap p50/p95",
            "whole p50/p95"
        )?;
        for (name, summary) in self.summaries() {
            let quality = summary
                .quality
                .map_or("-".into(), |mean| format!("{mean:.3}"));
            let Summary {
                sent,
                answered,
                retried,
                ..
            } = summary;
            write!(
                f,
                "{name:<12} {sent:>6} {answered:>8} {retried:>7} {quality:>7}"
            )?;
            for times in [summary.first_ms, summary.gap_ms, summary.whole_ms] {
                write!(f, " {:>9.1}/{:>9.1}", times.p50, times.p95)?;
            }
            writeln!(f)?;
            for (reason, count) in &summary.failures {
                writeln!(f, "  {count:>6} {reason}")?;
            }
        }
        write!(f, "sessions that changed version: {}", self.session_moves())
    }
}
