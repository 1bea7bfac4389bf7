//! Workloads: classes of requests, the organisations that send them, and their arrival times.

use super::Options;
use hyper::Method;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use std::time::Duration;

/// Interval between the turns of a session.
const THINK_TIME: Duration = Duration::from_secs(1);
/// Number of subjects, such as districts or clients, of the requests of a class; the requests of a
/// subject share a prefix.
const SUBJECT_COUNT: u32 = 8;

/// A workload of several classes of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Classes of requests.
    pub classes: Vec<Class>,
}

/// Distribution of the arrivals of a class over the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// Arrivals during the whole run.
    #[default]
    Steady,
    /// Arrivals in the first half of the run, at twice the rate.
    Morning,
    /// Arrivals in the middle third of the run.
    Burst,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class in reports.
    pub name: Box<str>,
    /// Service that the requests use.
    pub service: Box<str>,
    /// Path below a plain service, `None` for chat. A path that ends in `/` is for reads, which
    /// have no body and to which unique digits are appended.
    pub path: Option<Box<str>>,
    /// Organisations that send the requests, each with the same probability.
    pub organisations: Vec<Box<str>>,
    /// Number of sessions, or of requests without a session, that begin in a second.
    pub per_s: f64,
    /// Number of requests of a session.
    #[serde(default = "one")]
    pub turns: u32,
    /// Distribution of the arrivals over the run.
    #[serde(default)]
    pub shape: Shape,
    /// Whether the requests have the latency class `live` rather than `draft`.
    #[serde(default = "yes")]
    pub live: bool,
    /// Whether requests must not be repeated and therefore carry idempotency keys.
    #[serde(default)]
    pub once: bool,
    /// Time budget of the caller, in milliseconds.
    pub timeout_ms: u64,
    /// Minimum size of the prompt's prefix, in bytes.
    #[serde(default)]
    pub prefix_bytes: usize,
    /// Maximum number of tokens of an answer.
    #[serde(default)]
    pub tokens: usize,
}

fn one() -> u32 {
    1
}

fn yes() -> bool {
    true
}

/// One request, before it is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time at which it is due, from the start of the run.
    pub at: Duration,
    /// Index of its class.
    pub class: usize,
    /// Sequence number in the run, in order of arrival.
    pub number: u32,
    /// Organisation that sends it.
    pub organisation: Box<str>,
    /// Session to which it belongs.
    pub session: Option<usize>,
    /// Subject, which determines the prefix of its prompt.
    pub subject: u32,
    /// Whether its answer is streamed.
    pub streamed: bool,
    /// Seed of its random values.
    pub seed: u64,
}

impl Arrival {
    /// Returns the question, which is unique within the run.
    pub fn question(&self) -> String {
        format!("question {} of run {:016x}", self.number, self.seed)
    }
}

impl Class {
    /// Returns the HTTP method of the requests.
    pub fn method(&self) -> Method {
        match &self.path {
            Some(path) if path.ends_with('/') => Method::GET,
            _ => Method::POST,
        }
    }

    /// Returns the path of a request below a plain service, or `None` for chat.
    pub fn service_path(&self, arrival: &Arrival) -> Option<Box<str>> {
        let path = self.path.as_ref()?;
        if path.ends_with('/') {
            return Some(format!("{path}{:016x}", arrival.seed).into());
        }
        Some(path.clone())
    }
}

impl Workload {
    /// Parses a workload from JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid workload.
    pub fn parse(text: &str) -> serde_json::Result<Self> {
        serde_json::from_str(text)
    }

    /// Returns a built-in workload: `wadi`, `vermeulen` or `demo`.
    pub fn named(name: &str) -> Option<Self> {
        let text = match name {
            "wadi" => include_str!("../../workloads/wadi.json"),
            "vermeulen" => include_str!("../../workloads/vermeulen.json"),
            "demo" => include_str!("../../workloads/demo.json"),
            _ => return None,
        };
        Some(Self::parse(text).expect("the built-in workloads are valid"))
    }
}

impl Shape {
    /// Returns the begin and the end of the arrivals as shares of the run, and the factor of the
    /// rate.
    fn window(self) -> (f64, f64, f64) {
        match self {
            Self::Steady => (0.0, 1.0, 1.0),
            Self::Morning => (0.0, 0.5, 2.0),
            Self::Burst => (1.0 / 3.0, 2.0 / 3.0, 1.0),
        }
    }
}

/// Returns all arrivals of a run in order of time, from one Poisson process for each class.
pub fn plan(options: &Options) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut sessions = 0;
    for (index, class) in options.workload.classes.iter().enumerate() {
        let seed = options.seed.wrapping_add(index as u64);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (begin, end, factor) = class.shape.window();
        let rate = class.per_s * factor * options.scale;
        let mut at = options.time.mul_f64(begin);
        loop {
            at += exponential_interval(&mut rng, rate);
            if at >= options.time.mul_f64(end) {
                break;
            }
            let session = (class.turns > 1).then_some(sessions);
            sessions += usize::from(session.is_some());
            let arrival = arrival(options, index, session, at, &mut rng);
            push_turns(&mut arrivals, &arrival, class, options.time, &mut rng);
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    for (number, arrival) in arrivals.iter_mut().enumerate() {
        arrival.number = number as u32;
    }
    arrivals
}

/// Returns an exponentially distributed interval.
fn exponential_interval(rng: &mut ChaCha8Rng, rate: f64) -> Duration {
    let uniform: f64 = rng.random();
    Duration::from_secs_f64((-(1.0 - uniform).ln() / rate).min(1e6))
}

fn arrival(
    options: &Options,
    index: usize,
    session: Option<usize>,
    at: Duration,
    rng: &mut ChaCha8Rng,
) -> Arrival {
    let class = &options.workload.classes[index];
    let organisation = rng.random_range(0..class.organisations.len());
    Arrival {
        at,
        class: index,
        number: 0,
        organisation: class.organisations[organisation].clone(),
        session,
        subject: rng.random_range(0..SUBJECT_COUNT),
        streamed: class.path.is_none() && rng.random_bool(options.streamed),
        seed: rng.next_u64(),
    }
}

/// Adds the turns of a session that are due before the end of the run.
fn push_turns(
    arrivals: &mut Vec<Arrival>,
    first: &Arrival,
    class: &Class,
    time: Duration,
    rng: &mut ChaCha8Rng,
) {
    for turn in 0..class.turns {
        let at = first.at + THINK_TIME * turn;
        if at >= time {
            break;
        }
        arrivals.push(Arrival {
            at,
            seed: rng.next_u64(),
            ..first.clone()
        });
    }
}
