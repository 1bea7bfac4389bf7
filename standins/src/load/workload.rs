//! What is asked, by whom and when.

use super::Options;
use hyper::Method;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use std::time::Duration;

/// Time between the turns of a session.
const THINKING: Duration = Duration::from_secs(1);
/// Districts, or clients, about which a class asks; they share a prefix each.
const SUBJECTS: u32 = 8;

/// The workload of one user.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Its classes of requests.
    pub classes: Vec<Class>,
}

/// When the requests of a class arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    /// All the time.
    #[default]
    Steady,
    /// In the first half, at twice the rate.
    Morning,
    /// In the middle third.
    Burst,
}

/// One class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name in reports.
    pub name: Box<str>,
    /// The service that is asked.
    pub service: Box<str>,
    /// The path below a plain service, none for chat. One that ends in `/` is for reads, which
    /// have no body and get digits added that no other one has.
    pub path: Option<Box<str>>,
    /// Organisations that ask, each as often as the others.
    pub organisations: Vec<Box<str>>,
    /// Sessions, or requests without one, that begin in a second.
    pub per_s: f64,
    /// Requests of a session.
    #[serde(default = "one")]
    pub turns: u32,
    /// When they arrive.
    #[serde(default)]
    pub shape: Shape,
    /// Whether somebody waits on the line.
    #[serde(default = "yes")]
    pub live: bool,
    /// Whether requests must not be repeated and bear idempotency keys.
    #[serde(default)]
    pub once: bool,
    /// How long the caller waits, in milliseconds.
    pub timeout_ms: u64,
    /// Size of the prompt's prefix.
    #[serde(default)]
    pub prefix_bytes: usize,
    /// Tokens that are asked for.
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
    /// When it is due, after the beginning.
    pub at: Duration,
    /// The index of its class.
    pub class: usize,
    /// Its number in the run.
    pub number: u32,
    /// The organisation that asks.
    pub organisation: Box<str>,
    /// The session that it is a turn of.
    pub session: Option<usize>,
    /// What it asks about.
    pub subject: u32,
    /// Whether its answer is streamed.
    pub streamed: bool,
    /// Seed of what is random about it.
    pub seed: u64,
}

impl Arrival {
    /// The question, which no other request of the run asks.
    pub fn question(&self) -> String {
        format!("question {} of run {:016x}", self.number, self.seed)
    }
}

impl Class {
    /// The method of its requests.
    pub fn method(&self) -> Method {
        match &self.path {
            Some(path) if path.ends_with('/') => Method::GET,
            _ => Method::POST,
        }
    }

    /// The path of a request below a plain service; none for chat.
    pub fn below(&self, arrival: &Arrival) -> Option<Box<str>> {
        let path = self.path.as_ref()?;
        if path.ends_with('/') {
            return Some(format!("{path}{:016x}", arrival.seed).into());
        }
        Some(path.clone())
    }
}

impl Workload {
    /// Reads a workload.
    ///
    /// # Errors
    ///
    /// Returns the error of the JSON text.
    pub fn parse(text: &str) -> serde_json::Result<Self> {
        serde_json::from_str(text)
    }

    /// A workload that comes with the tool: `wadi`, `vermeulen` or `demo`.
    pub fn named(name: &str) -> Option<Self> {
        let text = match name {
            "wadi" => include_str!("../../workloads/wadi.json"),
            "vermeulen" => include_str!("../../workloads/vermeulen.json"),
            "demo" => include_str!("../../workloads/demo.json"),
            _ => return None,
        };
        Some(Self::parse(text).expect("the workloads that come with the tool are valid"))
    }
}

impl Shape {
    /// When the first arrives and when the last, as shares of the run, and the factor of the rate.
    fn window(self) -> (f64, f64, f64) {
        match self {
            Self::Steady => (0.0, 1.0, 1.0),
            Self::Morning => (0.0, 0.5, 2.0),
            Self::Burst => (1.0 / 3.0, 2.0 / 3.0, 1.0),
        }
    }
}

/// All arrivals of a run, in order: a Poisson process for each class.
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
            at += wait(&mut rng, rate);
            if at >= options.time.mul_f64(end) {
                break;
            }
            let session = (class.turns > 1).then_some(sessions);
            sessions += usize::from(session.is_some());
            let arrival = arrival(options, index, session, at, &mut rng);
            turns(&mut arrivals, &arrival, class, options.time, &mut rng);
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    for (number, arrival) in arrivals.iter_mut().enumerate() {
        arrival.number = number as u32;
    }
    arrivals
}

/// An exponentially distributed wait.
fn wait(rng: &mut ChaCha8Rng, rate: f64) -> Duration {
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
        subject: rng.random_range(0..SUBJECTS),
        streamed: class.path.is_none() && rng.random_bool(options.streamed),
        seed: rng.next_u64(),
    }
}

/// Adds the turns of a session that are due within the run.
fn turns(
    arrivals: &mut Vec<Arrival>,
    first: &Arrival,
    class: &Class,
    time: Duration,
    rng: &mut ChaCha8Rng,
) {
    for turn in 0..class.turns {
        let at = first.at + THINKING * turn;
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
